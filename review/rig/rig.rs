//! A small deployment: store, duties, engines and hosts, and the record of a run.

use std::{
    fs,
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::Engine,
    net::{Answer, Call},
    store::{Duties, Store, unix_ms},
};

/// The record of a run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    begun: Instant,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(fs::File::create(path)?)), begun: Instant::now() })
    }

    pub fn say(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.begun.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// A host of the system.
pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
    pub log: Arc<Mutex<Vec<String>>>,
}

pub struct Rig {
    pub store: Arc<Store>,
    pub store_address: SocketAddr,
    pub duties_address: SocketAddr,
    pub record: Record,
    folder: PathBuf,
    numbers: AtomicU64,
}

/// Free ports of 127.0.0.1.
fn free_ports(count: usize) -> io::Result<Vec<SocketAddr>> {
    let listeners: io::Result<Vec<TcpListener>> =
        (0..count).map(|_| TcpListener::bind(("127.0.0.1", 0))).collect();
    listeners?.iter().map(TcpListener::local_addr).collect()
}

impl Rig {
    pub fn start(record: &str) -> io::Result<Self> {
        let (store, store_address) = Store::start()?;
        let duties_address = Duties::start()?;
        let folder = std::env::temp_dir().join(format!("wasabi-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        Ok(Self {
            store,
            store_address,
            duties_address,
            record: Record::create(record)?,
            folder,
            numbers: AtomicU64::new(0),
        })
    }

    /// Starts a host as the deploy file does. Its settings are those that the template makes, with the
    /// bounds of the site.
    pub fn host(&self, name: &str, domain: &str, store: SocketAddr) -> io::Result<Host> {
        let ports = free_ports(4)?;
        let settings = self.folder.join(format!("{name}.json"));
        let text = format!(
            "{{\"host\":\"{name}\",\"domain\":\"{domain}\",\"callers\":\"{}\",\"ready\":\"{}\",\
             \"peers\":\"{}\",\"operators\":\"{}\",\"objects\":\"{store}\",\"duties\":\"{}\",\
             \"bounds\":{{\"withdraw_ms\":5000,\"leave_ms\":2000,\"stop_s\":8,\"lease_ms\":3000,\
             \"usage_window_s\":5,\"usage_due_s\":10,\"repeat_ratio\":0.2,\"repeat_window_s\":10,\
             \"repeat_allowance\":54}}}}",
            ports[0], ports[1], ports[2], ports[3], self.duties_address
        );
        fs::write(&settings, text)?;
        let mut host = Host {
            name: name.to_string(),
            callers: ports[0],
            ready: ports[1],
            settings,
            child: None,
            log: Arc::default(),
        };
        host.start(&self.record)?;
        Ok(host)
    }

    /// Waits until all hosts say that they are ready and hear each other.
    pub fn wait_ready(&self, hosts: &[Host]) -> io::Result<()> {
        let begun = Instant::now();
        while !hosts.iter().all(Host::is_ready) {
            if begun.elapsed() > Duration::from_secs(15) {
                return Err(io::Error::other("the hosts do not become ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        thread::sleep(Duration::from_secs(4));
        Ok(())
    }

    /// Writes the entry of an engine.
    pub fn list(&self, engine: &Engine, service: &str, zone: &str, more: &str) {
        self.list_at(&engine.id, engine.address, service, zone, more);
    }

    pub fn list_at(&self, id: &str, address: SocketAddr, service: &str, zone: &str, more: &str) {
        let state = if more.contains("\"state\"") { "" } else { "\"state\":\"ready\"," };
        let version = if more.contains("\"version\"") { "" } else { "\"version\":\"v1\"," };
        let born = if more.contains("\"born\"") { "" } else { "\"born\":1700000000000," };
        let spec = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",{state}{born}{version}{more}\
             \"slots\":64,\"cold_remaining_ms\":0,\"sequence\":{}}}",
            self.numbers.fetch_add(1, Ordering::SeqCst)
        );
        self.store.put("servers", id, &spec);
        self.record.say(&format!("store: servers/{id} = {spec}"));
    }

    /// A call of a client with a key.
    pub fn call(&self, method: &str, path: &str, id: &str, deadline_ms: u64) -> Call {
        let header = |name: &str, value: &str| (name.to_string(), value.to_string());
        Call {
            method: method.to_string(),
            path: path.to_string(),
            host: "site.example".to_string(),
            headers: vec![
                header("Request-Id", id),
                header("Deadline-Ms", &deadline_ms.to_string()),
                header("Authorization", "Token k1"),
            ],
            body: if method == "GET" { Vec::new() } else { b"body".to_vec() },
            timeout: Duration::from_millis(deadline_ms + 1_000),
        }
    }

    pub fn note_answer(&self, id: &str, answer: &Answer) {
        self.record.say(&format!(
            "client: {id} answered {} complete={} bytes={} took={}ms retry-after={:?} {}",
            answer.status,
            answer.complete,
            answer.body.len(),
            answer.took.as_millis(),
            answer.header("retry-after"),
            answer.error
        ));
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Host {
    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self, record: &Record) -> io::Result<()> {
        let mut child = Command::new("target/release/wasabirouter")
            .arg("gateway")
            .env("WASABIROUTER_SETTINGS", &self.settings)
            .stdout(Stdio::piped())
            .spawn()?;
        record.say(&format!("host {} started, callers at {}", self.name, self.callers));
        let reader = BufReader::new(child.stdout.take().expect("a pipe"));
        let log = self.log.clone();
        thread::spawn(move || {
            for line in reader.lines().map_while(Result::ok) {
                log.lock().unwrap().push(line);
            }
        });
        self.child = Some(child);
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let call = Call {
            method: "GET".to_string(),
            path: "/api/readiness".to_string(),
            host: self.ready.to_string(),
            headers: Vec::new(),
            body: Vec::new(),
            timeout: Duration::from_secs(1),
        };
        call.send(self.ready).status == 200
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Lines of its log with this text.
    pub fn logged(&self, text: &str) -> Vec<String> {
        self.log.lock().unwrap().iter().filter(|line| line.contains(text)).cloned().collect()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The operator's configuration: routes to the services `llm` (engines) and `app`.
pub fn config(version: u64, routes: &[(&str, &str, &str, bool, u32)], tenants: &str) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|(path, kind, service, resumable, attempts)| {
            format!(
                "{{\"name\":\"r{}\",\"host\":\"site.example\",\"path_prefix\":\"{path}\",\"kind\":\"{kind}\",\
                 \"timeout_ms\":12000,\"target_latency_ms\":500,\"target_gap_ms\":400,\"priority\":1,\
                 \"service\":\"{service}\",\"max_attempts\":{attempts},\"public\":false,\"sticky\":{},\
                 \"resumable\":{resumable}}}",
                path.trim_matches('/'),
                kind == &"streaming"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"llm\",\"health_path\":\"/health\",\
         \"max_connections\":360,\"engine\":{{\"slots\":64,\"kv_capacity_tokens\":400000,\"stride\":5}}}},\
         {{\"name\":\"app\",\"health_path\":\"/health\",\"max_connections\":100}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":1000000,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":{tenants}}}",
        routes.join(",")
    )
}

pub const TENANTS: &str = "[{\"name\":\"w1\",\"api_keys\":[\"k1\"],\"priority\":1}]";

pub fn now_ms() -> u64 {
    unix_ms()
}
