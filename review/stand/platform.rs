//! The platform: its store and its interface for duties, on one address each. Both are sound.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::Input;
use crate::json::Json;

/// The way of one machine to the platform.
#[derive(Default)]
pub struct Way {
    /// While set, no answer comes on it.
    pub cut: AtomicBool,
    /// How long each answer takes.
    pub delay_ms: AtomicU64,
    /// Addresses under which others appear on it, in place of their own.
    pub translated: Mutex<Vec<(SocketAddr, SocketAddr)>>,
}

#[derive(Default)]
pub struct Platform {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, Json)>,
    /// The highest fencing token by subject.
    tokens: BTreeMap<String, u64>,
}

fn table(fields: Vec<(&str, Json)>) -> Json {
    Json::Table(fields.into_iter().map(|(name, value)| (name.to_string(), value)).collect())
}

impl Platform {
    /// Starts it; the address serves the store and the duties.
    pub fn start() -> io::Result<(Arc<Self>, SocketAddr)> {
        let platform = Arc::new(Self::default());
        let address = platform.listen(Arc::default())?;
        Ok((platform, address))
    }

    /// Serves one more address, for the machine that has this way.
    pub fn listen(self: &Arc<Self>, way: Arc<Way>) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let serving = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (platform, way) = (serving.clone(), way.clone());
                // A caller that goes away ends only its own connection.
                thread::spawn(move || platform.serve(stream, &way).ok());
            }
        });
        Ok(address)
    }

    /// Writes an object as the operator or an engine does.
    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        let mut inner = self.inner.lock().unwrap();
        inner.revision += 1;
        let revision = inner.revision;
        inner.objects.insert((kind.to_string(), name.to_string()), (revision, spec));
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut inner = self.inner.lock().unwrap();
        inner.revision += 1;
        inner.objects.remove(&(kind.to_string(), name.to_string()));
    }

    fn serve(&self, mut stream: TcpStream, way: &Way) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut input = Input::new(&stream)?;
        while let Some(head) = input.head()? {
            let mut body = Vec::new();
            if !input.body(&head, false, &mut body)? {
                break;
            }
            if way.cut.load(Ordering::SeqCst) {
                // What is sent during the cut never arrives.
                while way.cut.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(20));
                }
                break;
            }
            let body = Json::read(&String::from_utf8_lossy(&body)).unwrap_or(Json::Null);
            let path = head.word(1).split('?').next().unwrap_or_default().to_string();
            let mut inner = self.inner.lock().unwrap();
            let (status, answer) = match path.strip_prefix("/api/objects/") {
                Some(object) => {
                    let (kind, name) = object.split_once('/').unwrap_or((object, ""));
                    inner.store(head.word(0), kind, name, &body)
                }
                None => {
                    let token = head.get("fencing-token").parse().unwrap_or(0);
                    inner.duty(&path, token, &body)
                }
            };
            drop(inner);
            let mut answer = answer.map_or(String::new(), |json| json.to_string());
            for (from, to) in way.translated.lock().unwrap().iter() {
                answer = answer.replace(&format!("\"{from}\""), &format!("\"{to}\""));
            }
            thread::sleep(Duration::from_millis(way.delay_ms.load(Ordering::SeqCst)));
            let text = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            stream.write_all(text.as_bytes())?;
        }
        Ok(())
    }
}

impl Inner {
    fn object(&self, kind: &str, name: &str) -> Option<Json> {
        let (revision, spec) = self.objects.get(&(kind.to_string(), name.to_string()))?;
        let metadata = table(vec![
            ("name", name.into()),
            ("revision", (*revision).into()),
            ("created", 1.into()),
            ("finalizers", Json::List(Vec::new())),
            ("deleting", Json::Bool(false)),
        ]);
        Some(table(vec![("metadata", metadata), ("spec", spec.clone()), ("status", Json::Null)]))
    }

    fn store(&mut self, method: &str, kind: &str, name: &str, body: &Json) -> (u16, Option<Json>) {
        if method == "GET" && name.is_empty() {
            let names = self.objects.keys().filter(|(k, _)| k == kind).map(|(_, name)| name);
            let items = names.filter_map(|name| self.object(kind, name)).collect();
            let page = table(vec![
                ("items", Json::List(items)),
                ("has_more", Json::Bool(false)),
                ("current_rev", self.revision.into()),
            ]);
            return (200, Some(page));
        }
        if method == "GET" {
            let found = self.object(kind, name);
            return (if found.is_some() { 200 } else { 404 }, found);
        }
        let creates = method == "POST";
        let name = if creates { body.get("metadata").get("name").text() } else { name }.to_string();
        let key = (kind.to_string(), name.clone());
        let present = self.objects.get(&key).map(|(revision, _)| *revision);
        let expected = body.get("metadata").get("revision").number();
        match present {
            Some(_) if creates => return (409, self.object(kind, &name)),
            Some(present) if expected.is_some_and(|e| e != present) => {
                return (409, self.object(kind, &name));
            }
            None if !creates => return (404, None),
            _ => {}
        }
        self.revision += 1;
        self.objects.insert(key, (self.revision, body.get("spec").clone()));
        (200, self.object(kind, &name))
    }

    fn duty(&mut self, path: &str, token: u64, body: &Json) -> (u16, Option<Json>) {
        let subject = format!("{path} {} {}", body.get("service"), body.get("zone"));
        let highest = self.tokens.entry(subject).or_default();
        if token < *highest {
            return (409, None);
        }
        *highest = token;
        (200, None)
    }
}
