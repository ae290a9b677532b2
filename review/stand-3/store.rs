//! Stand-in of the platform's store (PROTOCOL.md, «The platform's metadata store»), with outages, and with a
//! restore from an older copy (NEWS.md).

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Connection, Request},
    json::Json,
};

const ANSWER_TIME: Duration = Duration::from_millis(4);
/// An entry of a server is removed after three heartbeat intervals of silence.
const LAPSE: Duration = Duration::from_millis(3_600);
const PAGE: usize = 500;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    Up,
    /// Calls get no answer, and nothing is done.
    Silent,
    /// Connections are closed, and nothing is done.
    Away,
}

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Json,
    status: Json,
    /// When a server last wrote it.
    beat: Instant,
}

type Objects = BTreeMap<(String, String), Object>;

/// A copy of the contents.
#[derive(Clone)]
pub struct Copy {
    revision: u64,
    objects: Objects,
}

struct Inner {
    mode: Mode,
    era: u64,
    revision: u64,
    objects: Objects,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    inner: Arc<Mutex<Inner>>,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let inner = Inner { mode: Mode::Up, era: 1, revision: 100, objects: Objects::new() };
        let store = Self { address: listener.local_addr()?, inner: Arc::new(Mutex::new(inner)) };
        let (serving, lapsing) = (store.clone(), store.clone());
        http::listen(listener, Arc::default(), move |connection, _| serving.serve(connection))?;
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                lapsing.remove_silent_servers();
            }
        });
        Ok(store)
    }

    pub fn set_mode(&self, mode: Mode) {
        let mut inner = self.inner.lock().unwrap();
        if mode == Mode::Up && inner.mode != Mode::Up {
            // Servers that live have had no way to write.
            inner.objects.values_mut().for_each(|object| object.beat = Instant::now());
        }
        inner.mode = mode;
    }

    /// Writes an object as the operator or a server does; returns whether the store took it.
    pub fn put(&self, kind: &str, name: &str, spec: Json) -> bool {
        let mut inner = self.inner.lock().unwrap();
        if inner.mode != Mode::Up {
            return false;
        }
        let key = (kind.to_string(), name.to_string());
        if let Some(known) = inner.objects.get_mut(&key)
            && known.spec == spec
        {
            known.beat = Instant::now();
            return true;
        }
        inner.write(key, Some(spec), None);
        true
    }

    pub fn copy(&self) -> Copy {
        let inner = self.inner.lock().unwrap();
        Copy { revision: inner.revision, objects: inner.objects.clone() }
    }

    /// Comes back from an older copy: what was written since is gone, and revisions are given out again.
    pub fn restore(&self, copy: &Copy) {
        let mut inner = self.inner.lock().unwrap();
        inner.objects = copy.objects.clone();
        inner.objects.values_mut().for_each(|object| object.beat = Instant::now());
        inner.revision = copy.revision;
        inner.era += 1;
        inner.mode = Mode::Up;
    }

    fn remove_silent_servers(&self) {
        let mut inner = self.inner.lock().unwrap();
        if inner.mode != Mode::Up {
            return;
        }
        let before = inner.objects.len();
        inner
            .objects
            .retain(|(kind, _), object| kind != "servers" || object.beat.elapsed() < LAPSE);
        inner.revision += (before - inner.objects.len()) as u64;
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.request() {
            thread::sleep(ANSWER_TIME);
            if self.inner.lock().unwrap().mode == Mode::Silent {
                // This connection brings nothing further, also when the store is back.
                while !connection.is_closed() {
                    thread::sleep(Duration::from_millis(20));
                }
                return;
            }
            if self.inner.lock().unwrap().mode == Mode::Away {
                return;
            }
            let (status, body, era) = {
                let mut inner = self.inner.lock().unwrap();
                let (status, body) = inner.execute(&request);
                (status, body, inner.era.to_string())
            };
            let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
            if connection.respond(status, &headers, &body).is_err() {
                return;
            }
        }
    }
}

impl Inner {
    fn write(&mut self, key: (String, String), spec: Option<Json>, status: Option<Json>) {
        self.revision += 1;
        let known = self.objects.get(&key);
        let object = Object {
            revision: self.revision,
            created: known.map_or(self.revision, |object| object.created),
            spec: spec.or(known.map(|object| object.spec.clone())).unwrap_or(Json::Null),
            status: status.or(known.map(|object| object.status.clone())).unwrap_or(Json::Null),
            beat: Instant::now(),
        };
        self.objects.insert(key, object);
    }

    fn object(&self, key: &(String, String)) -> Option<String> {
        let object = self.objects.get(key)?;
        Some(format!(
            r#"{{"metadata":{{"name":{},"revision":{},"created":{},"finalizers":[],"deleting":false}},"spec":{},"status":{}}}"#,
            Json::Text(key.1.clone()),
            object.revision,
            object.created,
            object.spec,
            object.status
        ))
    }

    fn execute(&mut self, request: &Request) -> (u16, String) {
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let path = path.strip_prefix("/api/objects/").unwrap_or_default();
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let (name, is_status) = match name.strip_suffix("/status") {
            Some(name) => (name, true),
            None => (name, false),
        };
        let parameter = |name: &str| {
            let mut found = query.split('&').filter_map(|item| item.split_once('='));
            found.find(|(known, _)| *known == name).map(|(_, value)| value.to_string())
        };
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let metadata = body.get("metadata").cloned().unwrap_or(Json::Null);
        let key = (kind.to_string(), name.to_string());
        let stated = metadata.get("revision").and_then(Json::number);
        let stated = stated.or(parameter("revision").and_then(|text| text.parse().ok()));
        let is_other = |object: &Object| stated.is_some_and(|stated| stated != object.revision);
        match request.method.as_str() {
            "GET" if parameter("watch").is_some() => (410, String::new()),
            "GET" if name.is_empty() => (200, self.list(kind, parameter("after_rev"))),
            "GET" => self.object(&key).map_or((404, String::new()), |object| (200, object)),
            "POST" => {
                let name = metadata.get("name").and_then(Json::text).unwrap_or_default();
                let key = (kind.to_string(), name.to_string());
                if let Some(known) = self.object(&key) {
                    return (409, known);
                }
                self.write(key.clone(), body.get("spec").cloned(), body.get("status").cloned());
                (200, self.object(&key).unwrap_or_default())
            }
            "PUT" => {
                let Some(known) = self.objects.get(&key) else { return (404, String::new()) };
                if is_other(known) {
                    return (409, self.object(&key).unwrap_or_default());
                }
                let field = if is_status { "status" } else { "spec" };
                let value = body.get(field).cloned().unwrap_or(Json::Null);
                let present = if is_status { &known.status } else { &known.spec };
                if *present != value {
                    let (spec, status) =
                        if is_status { (None, Some(value)) } else { (Some(value), None) };
                    self.write(key.clone(), spec, status);
                }
                (200, self.object(&key).unwrap_or_default())
            }
            "DELETE" => {
                let Some(known) = self.objects.get(&key) else { return (404, String::new()) };
                if is_other(known) {
                    return (409, self.object(&key).unwrap_or_default());
                }
                self.objects.remove(&key);
                self.revision += 1;
                (200, "{}".to_string())
            }
            _ => (405, String::new()),
        }
    }

    fn list(&self, kind: &str, after: Option<String>) -> String {
        let after = after.unwrap_or_default();
        let names = self.objects.keys().filter(|(known, name)| known == kind && *name > after);
        let names: Vec<&(String, String)> = names.collect();
        let items: Vec<String> =
            names.iter().take(PAGE).filter_map(|key| self.object(key)).collect();
        format!(
            r#"{{"items":[{}],"has_more":{},"current_rev":{}}}"#,
            items.join(","),
            names.len() > PAGE,
            self.revision
        )
    }
}
