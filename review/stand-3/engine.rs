//! Stand-ins of engines (PROTOCOL.md, «Engines» and «Service discovery») and of plain services. Each listens on a
//! port of its own, runs requests, and writes its entry into the store.

use std::{
    io,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Connection, Request},
    json::Json,
    record::Record,
    store::Store,
};

const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// How often a running request looks whether its client is gone or its engine has crashed.
const STEP: Duration = Duration::from_millis(10);

/// What an engine is.
#[derive(Clone)]
pub struct Kind {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    /// The version of its software.
    pub version: &'static str,
    pub slots: usize,
    /// The events of a stream; 0 for a plain service.
    pub events: u64,
    /// The time before each event, or before a plain answer.
    pub work: Duration,
    /// A part of prompts on which the engine crashes when it begins to write an answer.
    pub fatal_part: Option<&'static str>,
}

#[derive(Clone)]
pub struct Engine {
    pub kind: Kind,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// The address in its entry.
    pub listed: Arc<Mutex<SocketAddr>>,
    store: Store,
    record: Record,
    /// Set when the present process ends.
    ended: Arc<Mutex<Arc<AtomicBool>>>,
    /// The connections of the present process.
    open: Arc<Mutex<Vec<TcpStream>>>,
    born: Arc<AtomicU64>,
    running: Arc<AtomicUsize>,
    sequence: Arc<AtomicU64>,
    /// When it crashed, in milliseconds of the record.
    pub crashes: Arc<Mutex<Vec<u64>>>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

impl Engine {
    /// Starts an engine; its entry is written at once.
    pub fn start(kind: Kind, store: &Store, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let engine = Self {
            kind,
            address,
            listed: Arc::new(Mutex::new(address)),
            store: store.clone(),
            record: record.clone(),
            ended: Arc::default(),
            open: Arc::default(),
            born: Arc::default(),
            running: Arc::default(),
            sequence: Arc::default(),
            crashes: Arc::default(),
        };
        engine.begin_process(listener)?;
        let beating = engine.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                beating.beat();
            }
        });
        Ok(engine)
    }

    fn begin_process(&self, listener: TcpListener) -> io::Result<()> {
        let ended = Arc::new(AtomicBool::new(false));
        *self.ended.lock().unwrap() = ended.clone();
        self.born.store(unix_ms(), Ordering::SeqCst);
        self.sequence.store(0, Ordering::SeqCst);
        let (engine, process) = (self.clone(), ended.clone());
        http::listen(listener, ended, move |connection, _| engine.serve(connection, &process))?;
        self.beat();
        Ok(())
    }

    fn is_alive(&self) -> bool {
        !self.ended.lock().unwrap().load(Ordering::SeqCst)
    }

    /// Writes the entry, if the engine lives.
    pub fn beat(&self) {
        if !self.is_alive() {
            return;
        }
        let Kind { service, zone, version, slots, .. } = &self.kind;
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let entry = format!(
            r#"{{"service":"{service}","address":"{}","zone":"{zone}","version":"{version}","slots":{slots},"state":"ready","cold_remaining_ms":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{sequence},"born":{}}}"#,
            self.listed.lock().unwrap(),
            self.born.load(Ordering::SeqCst),
        );
        if let Some(entry) = Json::parse(entry.as_bytes()) {
            self.store.put("servers", &self.kind.id, entry);
        }
    }

    /// Ends the process at once, as SIGKILL does: the port refuses connections and what is open is closed.
    pub fn crash(&self) {
        let ended = self.ended.lock().unwrap().clone();
        if !ended.swap(true, Ordering::SeqCst) {
            self.crashes.lock().unwrap().push(self.record.now());
            for stream in self.open.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            self.record.add(format!("engine {} crashes", self.kind.id));
        }
    }

    /// Ends the process and starts it again after `pause`, under the same id and at the same address.
    fn crash_for(&self, pause: Duration) {
        self.crash();
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(pause);
            let listener = (0..100).find_map(|_| {
                thread::sleep(STEP);
                TcpListener::bind(engine.address).ok()
            });
            if let Some(listener) = listener {
                engine.record.add(format!("engine {} starts again", engine.kind.id));
                let _ = engine.begin_process(listener);
            }
        });
    }

    fn serve(&self, mut connection: Connection, ended: &Arc<AtomicBool>) {
        let _ = connection.stream.set_read_timeout(Some(Duration::from_secs(20)));
        if let Ok(stream) = connection.stream.try_clone() {
            self.open.lock().unwrap().push(stream);
        }
        while let Ok(request) = connection.request() {
            if ended.load(Ordering::SeqCst)
                || self.answer(&mut connection, &request, ended).is_err()
            {
                break;
            }
        }
        let _ = connection.stream.shutdown(Shutdown::Both);
    }

    fn answer(
        &self,
        connection: &mut Connection,
        request: &Request,
        ended: &AtomicBool,
    ) -> io::Result<()> {
        let load = format!("{},0,{}", self.running.load(Ordering::SeqCst), self.kind.slots);
        let load = ("Server-Load", load.as_str());
        if request.target == "/api/report" {
            let body = format!(
                r#"{{"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"sequence":0,"queued":0,"running":{},"kv_used":0,"kv_total":278703,"handles":0,"born":{}}}"#,
                self.running.load(Ordering::SeqCst),
                self.born.load(Ordering::SeqCst)
            );
            return connection.respond(200, &[("Content-Type", "application/json")], &body);
        }
        let instance = ("Instance-Id", self.kind.id.as_str());
        if request.target == "/health" {
            return connection.respond(200, &[instance, load], "");
        }
        let Some(id) = request.header("Request-Id") else {
            return connection.respond(400, &[("Not-Executed", "1")], "");
        };
        let echo = ("Request-Id", id);
        if request.header("Expect-Instance").is_some_and(|expected| expected != self.kind.id) {
            return connection.respond(421, &[echo, instance], "");
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= self.kind.slots {
            self.running.fetch_sub(1, Ordering::SeqCst);
            return connection.respond(503, &[echo, ("Not-Executed", "1"), load], "");
        }
        let done = self.run(connection, request, id, ended, load);
        self.running.fetch_sub(1, Ordering::SeqCst);
        done
    }

    fn run(
        &self,
        connection: &mut Connection,
        request: &Request,
        id: &str,
        ended: &AtomicBool,
        load: (&str, &str),
    ) -> io::Result<()> {
        let after = request.header("Last-Event-Id").and_then(|text| text.parse().ok()).unwrap_or(0);
        let Kind { id: engine, version, events, work, fatal_part, .. } = &self.kind;
        self.record.add(format!("engine {engine} ({version}) runs {id}, after event {after}"));
        let signature = format!("{engine}.{id}");
        let mut headers =
            vec![("Request-Id", id), ("Response-Signature", signature.as_str()), load];
        self.wait(*work, connection, ended)?;
        if *events == 0 {
            headers.push(("Content-Type", "text/plain"));
            return connection.respond(200, &headers, &format!("done {id} at {engine}"));
        }
        let prompt = request.header("Prompt-Prefix").unwrap_or_default();
        let is_fatal = |part: &str| prompt.split(',').any(|item| item.starts_with(part));
        if fatal_part.is_some_and(is_fatal) {
            self.crash_for(Duration::from_secs(2));
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        headers.push(("Content-Type", "text/event-stream"));
        headers.push(("Weight-Versions", "1"));
        connection.begin_chunks(&headers)?;
        for event in after + 1..=*events {
            if event > after + 1 {
                self.wait(*work, connection, ended)?;
            }
            connection
                .write_chunk(&format!("id: {event}\ndata: {event} by {engine} {version}\n\n"))?;
        }
        connection.end_chunks()
    }

    /// Works for a time; fails if the client leaves or the process ends meanwhile.
    fn wait(&self, time: Duration, connection: &Connection, ended: &AtomicBool) -> io::Result<()> {
        let mut left = time;
        while !left.is_zero() {
            let step = left.min(STEP);
            thread::sleep(step);
            left -= step;
            if ended.load(Ordering::SeqCst) || connection.is_closed() {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
        }
        Ok(())
    }
}
