//! The platform's store and its interface for duties, as PROTOCOL.md describes them.

use std::{
    collections::BTreeMap,
    io::{self, BufReader},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    time::{SystemTime, UNIX_EPOCH},
};

use crate::{
    json::Json,
    net::{self, Message},
};

struct Object {
    revision: u64,
    spec: String,
}

#[derive(Default)]
struct Inner {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
}

/// The store.
#[derive(Default)]
pub struct Store(Mutex<Inner>);

impl Object {
    fn json(&self, name: &str) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created\":1,\"finalizers\":[],\
             \"deleting\":false}},\"spec\":{},\"status\":null}}",
            self.revision, self.spec
        )
    }
}

impl Store {
    pub fn start() -> io::Result<(Arc<Self>, SocketAddr)> {
        let store = Arc::new(Self::default());
        let served = store.clone();
        let address = net::listen(net::any_port(), move |stream| served.serve(stream))?;
        Ok((store, address))
    }

    /// Writes an object as the operator, an engine or another writer does. Returns when the store has it.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut inner = self.0.lock().unwrap();
        inner.revision += 1;
        let revision = inner.revision;
        let object = Object { revision, spec: spec.to_string() };
        inner.objects.insert((kind.to_string(), name.to_string()), object);
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut inner = self.0.lock().unwrap();
        inner.revision += 1;
        inner.objects.remove(&(kind.to_string(), name.to_string()));
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        while let Some(request) = net::read_request(&mut reader)? {
            let (status, body) = self.answer(&request);
            let headers = "Content-Type: application/json\r\nStore-Era: 1\r\n";
            net::respond(&mut stream, status, headers, body.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let Some(rest) = path.strip_prefix("/api/objects/") else {
            return (404, String::new());
        };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        let mut inner = self.0.lock().unwrap();
        let revision = inner.revision;
        match (request.method(), name) {
            ("GET", "") => {
                let after = query.split('&').find_map(|field| field.strip_prefix("after_rev="));
                let items: Vec<String> = inner
                    .objects
                    .iter()
                    .filter(|((k, n), _)| k == kind && after.is_none_or(|after| n.as_str() > after))
                    .map(|((_, n), object)| object.json(n))
                    .collect();
                let items = items.join(",");
                (200, format!("{{\"items\":[{items}],\"has_more\":false,\"current_rev\":{revision}}}"))
            }
            ("GET", name) => match inner.objects.get(&(kind.to_string(), name.to_string())) {
                Some(object) => (200, object.json(name)),
                None => (404, String::new()),
            },
            ("POST", "") => {
                let Some(body) = body else { return (400, String::new()) };
                let name = body.get("metadata").and_then(|m| m.get("name")).and_then(Json::text);
                let Some(name) = name else { return (400, String::new()) };
                let key = (kind.to_string(), name.to_string());
                if let Some(present) = inner.objects.get(&key) {
                    return (409, present.json(name));
                }
                let spec = body.get("spec").map_or("null".to_string(), Json::write);
                inner.revision += 1;
                let object = Object { revision: inner.revision, spec };
                let json = object.json(name);
                inner.objects.insert(key, object);
                (200, json)
            }
            ("PUT", name) => {
                let Some(body) = body else { return (400, String::new()) };
                let key = (kind.to_string(), name.to_string());
                let Some(present) = inner.objects.get(&key) else { return (404, String::new()) };
                let wanted =
                    body.get("metadata").and_then(|m| m.get("revision")).and_then(Json::number);
                if wanted.is_some_and(|wanted| wanted != present.revision) {
                    return (409, present.json(name));
                }
                let spec = body.get("spec").map_or("null".to_string(), Json::write);
                if spec == present.spec {
                    return (200, present.json(name));
                }
                inner.revision += 1;
                let object = Object { revision: inner.revision, spec };
                let json = object.json(name);
                inner.objects.insert(key, object);
                (200, json)
            }
            ("DELETE", name) => {
                inner.revision += 1;
                match inner.objects.remove(&(kind.to_string(), name.to_string())) {
                    Some(object) => (200, object.json(name)),
                    None => (404, String::new()),
                }
            }
            _ => (405, String::new()),
        }
    }
}

/// Accepts usage reports; has no engines to give (409 to orders). Calls with a lower fencing token than one
/// seen before for the matter get 409.
#[derive(Default)]
pub struct Duties(Mutex<BTreeMap<String, u64>>);

impl Duties {
    pub fn start() -> io::Result<SocketAddr> {
        let duties = Arc::new(Self::default());
        let served = duties;
        let address = net::listen(net::any_port(), move |stream| {
            let mut reader = BufReader::new(stream.try_clone()?);
            let mut stream = stream;
            while let Some(request) = net::read_request(&mut reader)? {
                let status = served.answer(&request);
                net::respond(&mut stream, status, "", b"")?;
            }
            Ok(())
        })?;
        Ok(address)
    }

    fn answer(&self, request: &Message) -> u16 {
        let fence = request.header("fencing-token").parse().unwrap_or(0);
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let mut inner = self.0.lock().unwrap();
        let field = |name| Json::parse(&body).and_then(|b| b.get(name).map(Json::write)).unwrap_or_default();
        let matter = match request.target() {
            "/usage" => "usage".to_string(),
            _ => format!("scale {} {}", field("service"), field("zone")),
        };
        let seen = inner.entry(matter).or_default();
        let is_old = fence < *seen;
        *seen = fence.max(*seen);
        if is_old || request.target() == "/scale" { 409 } else { 200 }
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
