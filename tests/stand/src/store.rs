//! In-memory test double of the platform's object store, with faults.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::{Method, header::HeaderValue};
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::runtime::Handle;

use crate::net::{self, BoxResponse, ReceivedRequest, ResponseFuture, Service};

/// How the store responds to calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Fault {
    /// Normal operation.
    #[default]
    None,
    /// Responds 503 without executing the call.
    Busy,
    /// Accepts calls and never responds.
    Silent,
    /// Executes writes and closes the connection without a response; reads work normally.
    LosesAnswers,
    /// Executes the call and responds after this delay.
    Slow(Duration),
}

/// The object store; objects are identified by kind and name.
#[derive(Default)]
pub struct Store {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    fault: Fault,
    /// The kinds whose reads are answered late, and by how much.
    late_reads: BTreeMap<String, Duration>,
    revision: u64,
    /// Objects by kind and name, each with the revision of its last write.
    objects: BTreeMap<(String, String), (u64, Value)>,
    /// What another writer has stored, whatever it is; by kind and name.
    foreign: BTreeMap<(String, String), Vec<u8>>,
    /// Kind, name and value of every write over HTTP, oldest first.
    writes: Vec<(String, String, Value)>,
    calls: u64,
    /// When each call arrived, and whether it was a write.
    arrivals: Vec<(Instant, bool)>,
    /// How often it was restored.
    era: u64,
    /// The object whose next read finds the store restored to a copy.
    restored_by: Option<(String, String, Backup)>,
}

/// A copy of the contents, as a backup has it.
#[derive(Clone)]
pub struct Backup {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, Value)>,
}

impl Store {
    /// Starts an empty store and returns it with its address.
    pub fn start(runtime: &Handle) -> anyhow::Result<(Arc<Self>, SocketAddr)> {
        let store = Arc::new(Self::default());
        let address = net::listen(runtime, store.clone())?;
        Ok((store, address))
    }

    /// Sets how the store responds to calls from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.inner.lock().fault = fault;
    }

    /// Answers reads of objects of `kind` after `delay` from now on.
    pub fn set_late_reads(&self, kind: &str, delay: Duration) {
        self.inner.lock().late_reads.insert(kind.to_string(), delay);
    }

    /// Writes an object directly, in place of an operator or a server: faults do not apply, and
    /// [`Self::history`] does not include it.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        let mut inner = self.inner.lock();
        inner.revision += 1;
        let revision = inner.revision;
        inner.objects.insert((kind.to_string(), name.to_string()), (revision, spec));
    }

    /// Stores an object of another writer; its value is sent as it is.
    pub fn put_foreign(&self, kind: &str, name: &str, spec: &[u8]) {
        self.inner.lock().foreign.insert((kind.to_string(), name.to_string()), spec.to_vec());
    }

    /// Removes an object if it exists; faults do not apply.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut inner = self.inner.lock();
        inner.revision += 1;
        inner.objects.remove(&(kind.to_string(), name.to_string()));
    }

    /// Returns the current value of an object.
    pub fn get(&self, kind: &str, name: &str) -> Option<Value> {
        let key = (kind.to_string(), name.to_string());
        self.inner.lock().objects.get(&key).map(|(_, spec)| spec.clone())
    }

    /// Returns a copy of the contents.
    pub fn backup(&self) -> Backup {
        let inner = self.inner.lock();
        Backup { revision: inner.revision, objects: inner.objects.clone() }
    }

    /// Goes back to a copy: what was written since is gone, and revisions are given out again. The
    /// returned objects are those of the operator and the servers, for [`Self::rewrite`].
    pub fn restore(&self, backup: &Backup) -> Vec<(String, String, Value)> {
        self.inner.lock().restore(backup)
    }

    /// Goes back to a copy when an object is read next: its answer is the first of the new era.
    pub fn restore_before_read(&self, kind: &str, name: &str, backup: Backup) {
        self.inner.lock().restored_by = Some((kind.to_string(), name.to_string(), backup));
    }

    /// Writes objects as the operator and the servers do after a restore.
    pub fn rewrite(&self, objects: Vec<(String, String, Value)>) {
        objects.into_iter().for_each(|(kind, name, value)| self.put(&kind, &name, value));
    }

    /// Returns every value that was written to an object over HTTP, oldest first.
    pub fn history(&self, kind: &str, name: &str) -> Vec<Value> {
        let inner = self.inner.lock();
        let matching = inner.writes.iter().filter(|(k, n, _)| k == kind && n == name);
        matching.map(|(_, _, value)| value.clone()).collect()
    }

    /// Returns the number of HTTP calls received.
    pub fn calls(&self) -> u64 {
        self.inner.lock().calls
    }

    /// Returns when each call since `from` arrived, and whether it was a write.
    pub fn arrivals(&self, from: Instant) -> Vec<(Instant, bool)> {
        let arrivals = self.inner.lock().arrivals.clone();
        arrivals.into_iter().filter(|(at, _)| *at >= from).collect()
    }

    /// Returns by how much the answer to a call is late.
    fn delay(&self, request: &ReceivedRequest) -> Duration {
        if request.method() != Method::GET {
            return Duration::ZERO;
        }
        let late = self.inner.lock().late_reads.get(object_path(request).0).copied();
        late.unwrap_or_default()
    }

    fn execute(&self, request: &ReceivedRequest) -> BoxResponse {
        let mut inner = self.inner.lock();
        let (kind, name) = object_path(request);
        match (request.method(), name) {
            (&Method::GET, "") => inner.list(kind),
            (&Method::GET, name) => {
                let is_due = |due: &mut (String, String, Backup)| due.0 == kind && due.1 == name;
                if let Some((_, _, backup)) = inner.restored_by.take_if(is_due) {
                    inner.restore(&backup);
                }
                inner.read(kind, name)
            }
            (&Method::POST, _) => {
                let body: Value = serde_json::from_slice(request.body()).unwrap_or_default();
                let name = body["metadata"]["name"].as_str().unwrap_or_default().to_string();
                inner.write(kind, &name, &body, true)
            }
            (&Method::PUT, name) => {
                let body: Value = serde_json::from_slice(request.body()).unwrap_or_default();
                inner.write(kind, name, &body, false)
            }
            (&Method::DELETE, name) => {
                inner.revision += 1;
                let key = (kind.to_string(), name.to_string());
                match inner.objects.remove(&key) {
                    Some(_) => net::full_response(200, "{}"),
                    None => net::full_response(404, ""),
                }
            }
            _ => net::full_response(405, ""),
        }
    }
}

/// Returns the kind in the path of a call and the name, which is empty if there is none.
fn object_path(request: &ReceivedRequest) -> (&str, &str) {
    let path = request.uri().path().trim_start_matches("/api/objects/");
    path.split_once('/').unwrap_or((path, ""))
}

impl Inner {
    fn restore(&mut self, backup: &Backup) -> Vec<(String, String, Value)> {
        let present = std::mem::replace(&mut self.objects, backup.objects.clone());
        self.revision = backup.revision;
        self.era += 1;
        let others = present.into_iter().map(|((kind, name), (_, value))| (kind, name, value));
        others.filter(|(kind, _, _)| matches!(kind.as_str(), "config" | "servers")).collect()
    }

    fn object(&self, kind: &str, name: &str) -> Option<Value> {
        let (revision, spec) = self.objects.get(&(kind.to_string(), name.to_string()))?;
        Some(json!({
            "metadata": {"name": name, "revision": revision, "created": 1, "finalizers": [],
                "deleting": false},
            "spec": spec,
            "status": null,
        }))
    }

    fn list(&self, kind: &str) -> BoxResponse {
        let names: BTreeSet<&String> = (self.objects.keys().chain(self.foreign.keys()))
            .filter(|(k, _)| k == kind)
            .map(|(_, name)| name)
            .collect();
        let items: Vec<Vec<u8>> = names.iter().filter_map(|name| self.text(kind, name)).collect();
        let rest = format!(r#"],"has_more":false,"current_rev":{}}}"#, self.revision);
        let list = [br#"{"items":["#.to_vec(), items.join(&b','), rest.into_bytes()].concat();
        net::full_response(200, list)
    }

    /// Returns an object as it is sent.
    fn text(&self, kind: &str, name: &str) -> Option<Vec<u8>> {
        let Some(foreign) = self.foreign.get(&(kind.to_string(), name.to_string())) else {
            return self.object(kind, name).map(|object| object.to_string().into_bytes());
        };
        let metadata = json!({"name": name, "revision": self.revision, "created": 1});
        let begin = format!(r#"{{"metadata":{metadata},"spec":"#);
        Some([begin.as_bytes(), foreign, br#","status":null}"#].concat())
    }

    fn read(&self, kind: &str, name: &str) -> BoxResponse {
        match self.text(kind, name) {
            Some(object) => net::full_response(200, object),
            None => net::full_response(404, ""),
        }
    }

    fn write(&mut self, kind: &str, name: &str, body: &Value, create: bool) -> BoxResponse {
        let key = (kind.to_string(), name.to_string());
        let present = self.objects.get(&key).map(|(revision, _)| *revision);
        let expected = body["metadata"]["revision"].as_u64();
        let allowed = match (create, present) {
            (true, present) => present.is_none(),
            (false, None) => return net::full_response(404, ""),
            (false, Some(present)) => expected.is_none_or(|expected| expected == present),
        };
        if !allowed {
            let object = self.object(kind, name).unwrap_or_default();
            return net::full_response(409, object.to_string());
        }
        self.revision += 1;
        self.objects.insert(key, (self.revision, body["spec"].clone()));
        self.writes.push((kind.to_string(), name.to_string(), body["spec"].clone()));
        self.read(kind, name)
    }
}

impl Service for Store {
    fn serve(self: Arc<Self>, request: ReceivedRequest) -> ResponseFuture {
        Box::pin(async move {
            let fault = {
                let mut inner = self.inner.lock();
                inner.calls += 1;
                inner.arrivals.push((Instant::now(), request.method() != Method::GET));
                inner.fault
            };
            tokio::time::sleep(self.delay(&request)).await;
            let mut response = self.clone().respond(&request, fault).await?;
            let era = HeaderValue::from(self.inner.lock().era);
            response.headers_mut().insert("store-era", era);
            Some(response)
        })
    }
}

impl Store {
    async fn respond(
        self: Arc<Self>,
        request: &ReceivedRequest,
        fault: Fault,
    ) -> Option<BoxResponse> {
        match fault {
            Fault::None => Some(self.execute(request)),
            Fault::Busy => Some(net::full_response(503, "")),
            Fault::Silent => std::future::pending().await,
            Fault::LosesAnswers => {
                if request.method() == Method::GET {
                    return Some(self.execute(request));
                }
                self.execute(request);
                None
            }
            Fault::Slow(delay) => {
                tokio::time::sleep(delay).await;
                Some(self.execute(request))
            }
        }
    }
}
