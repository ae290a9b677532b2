//! The machines of the system, as the platform starts them, and what the operator writes.

use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::Request;
use crate::json::Json;

/// The words of `run` in the deploy file.
const RUN: [&str; 2] = ["target/release/wasabirouter", "gateway"];

/// Writes `record.txt`, each line with the milliseconds since the start.
pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> io::Result<Self> {
        let file = Mutex::new(File::create(folder.join("record.txt"))?);
        Ok(Self { file, began: Instant::now() })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        use std::io::Write as _;
        let ms = self.began.elapsed().as_millis();
        let line = format!("{ms:>7} {}\n", text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line, also to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// The process that ends the machines' processes if this one ends before it has done so itself.
static MINDER: Mutex<Option<Child>> = Mutex::new(None);

/// Tells the minder that a process was started (`+`) or has ended (`-`).
fn tell_minder(sign: char, pid: u32) -> io::Result<()> {
    use std::io::Write as _;
    let mut minder = MINDER.lock().unwrap();
    if minder.is_none() {
        let program = std::env::current_exe()?;
        *minder = Some(Command::new(program).args(["mind", "-"]).stdin(Stdio::piped()).spawn()?);
    }
    let commands = minder.as_mut().and_then(|minder| minder.stdin.as_mut());
    commands.ok_or(io::ErrorKind::BrokenPipe)?.write_all(format!("{sign}{pid}\n").as_bytes())
}

/// Is the minder: waits until the process that started this one ends.
pub fn mind() -> io::Result<()> {
    let mut running = std::collections::BTreeSet::new();
    for line in io::stdin().lines().map_while(Result::ok) {
        let Some((sign, pid)) = line.split_at_checked(1) else { continue };
        match sign {
            "+" => running.insert(pid.to_string()),
            _ => running.remove(pid),
        };
    }
    for pid in running {
        Command::new("sh").args(["-c", &format!("kill -9 {pid}")]).status()?;
    }
    Ok(())
}

/// A machine of class `front`.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

/// The addresses of a machine.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    pub operators: SocketAddr,
}

impl Addresses {
    /// Picks free ones, all different.
    pub fn pick() -> io::Result<Self> {
        let bind = |_| TcpListener::bind("127.0.0.1:0");
        let listeners = (0..4).map(bind).collect::<io::Result<Vec<_>>>()?;
        let at = |number: usize| listeners[number].local_addr();
        Ok(Self { callers: at(0)?, ready: at(1)?, peers: at(2)?, operators: at(3)? })
    }
}

impl Gateway {
    /// Starts a machine in `zone`, with settings as `deploy/settings.json.tmpl` makes them of those of the
    /// site.
    pub fn start(folder: &Path, name: &str, zone: &str, platform: SocketAddr) -> io::Result<Self> {
        Self::start_at(Addresses::pick()?, folder, name, zone, platform)
    }

    /// Starts a machine at these addresses, and waits until it is ready.
    pub fn start_at(
        addresses: Addresses,
        folder: &Path,
        name: &str,
        zone: &str,
        platform: SocketAddr,
    ) -> io::Result<Self> {
        let mut gateway = Self::launch_at(addresses, folder, name, zone, platform)?;
        let began = Instant::now();
        while !gateway.is_ready() {
            if began.elapsed() > Duration::from_secs(10) || gateway.child.try_wait()?.is_some() {
                return Err(io::Error::other("a machine does not become ready"));
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(gateway)
    }

    /// Starts a machine at these addresses.
    pub fn launch_at(
        addresses: Addresses,
        folder: &Path,
        name: &str,
        zone: &str,
        platform: SocketAddr,
    ) -> io::Result<Self> {
        let Addresses { callers, ready, peers, operators } = addresses;
        let settings = format!(
            r#"{{"host": "{name}", "domain": "{zone}", "callers": "{callers}", "ready": "{ready}",
            "peers": "{peers}", "operators": "{operators}", "objects": "{platform}",
            "duties": "{platform}",
            "bounds": {{"withdraw_ms": 5000, "leave_ms": 2000, "stop_s": 8.0, "lease_ms": 3000,
            "usage_window_s": 5, "usage_due_s": 10, "repeat_ratio": 0.2, "repeat_window_s": 10,
            "repeat_allowance": 52}}}}"#
        );
        let path: PathBuf = folder.join(format!("{name}.json"));
        fs::write(&path, settings)?;
        let log = File::create(folder.join(format!("{name}.log")))?;
        let child = Command::new(RUN[0])
            .args(&RUN[1..])
            .env("WASABIROUTER_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        tell_minder('+', child.id())?;
        let name = name.to_string();
        Ok(Self { name, callers, operators, ready, child })
    }

    pub fn is_ready(&self) -> bool {
        let mut probe = Request::new("ready", "GET", "/api/readiness", "");
        probe.deadline = Duration::from_secs(1);
        probe.send(self.ready).status == 200
    }

    /// Fetches the page with the metrics.
    pub fn metrics(&self) -> String {
        let page = Request::new("metrics", "GET", "/metrics", "").send(self.operators);
        String::from_utf8_lossy(&page.body).into_owned()
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Ends the process at once (SIGKILL).
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = tell_minder('-', self.child.id());
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the configuration of a small site: one service of model engines with two streaming routes, one of
/// which may be resumed, and a plain service.
pub fn configuration(version: u64) -> Json {
    let route = |name: &str, path: &str, kind: &str, service: &str, attempts: u32, more: &str| {
        format!(
            r#"{{"name": "{name}", "host": "site.example", "path_prefix": "{path}", "kind": "{kind}",
            "timeout_ms": 12000, "target_latency_ms": 500, "target_gap_ms": 400, "priority": 1,
            "service": "{service}", "max_attempts": {attempts}, "public": false, "sticky": true{more}}}"#
        )
    };
    let routes = [
        route("draft", "/draft/", "streaming", "model", 1, ", \"resumable\": false"),
        route("ask", "/ask/", "streaming", "model", 2, ", \"resumable\": true"),
        route("confirm", "/confirm/", "unsafe", "app", 1, ""),
        route("history", "/history/", "safe", "app", 2, ""),
    ];
    let text = format!(
        r#"{{"version": {version}, "routes": [{}],
        "services": [
            {{"name": "model", "health_path": "/health", "max_connections": 360, "protocol": "h1",
            "tls": false, "engine": {{"slots": 64, "kv_capacity_tokens": 278703, "stride": 6}}}},
            {{"name": "app", "health_path": "/health", "max_connections": 96, "protocol": "h1",
            "tls": false}}],
        "limits": {{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000}},
        "tenants": [{{"name": "t1", "api_keys": ["k1"], "priority": 1}}]}}"#,
        routes.join(", ")
    );
    Json::read(&text).expect("the configuration is JSON")
}

/// Returns the entry of an engine in the store.
pub fn entry(service: &str, address: SocketAddr, zone: &str, born_ms: u64) -> Json {
    versioned_entry(service, address, zone, born_ms, "v1")
}

/// The same for an engine whose software has this version.
pub fn versioned_entry(
    service: &str,
    address: SocketAddr,
    zone: &str,
    born_ms: u64,
    version: &str,
) -> Json {
    let text = format!(
        r#"{{"service": "{service}", "address": "{address}", "zone": "{zone}", "version": "{version}",
        "slots": 64, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": {born_ms}}}"#
    );
    Json::read(&text).expect("the entry is JSON")
}

/// Returns a new folder for the files of a run, which the case removes.
pub fn temporary_folder(name: &str) -> io::Result<PathBuf> {
    let folder = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    Ok(folder)
}

pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |since| since.as_millis() as u64)
}

/// Resident bytes of a process: now, and at their peak.
pub fn memory_mb(pid: u32) -> Option<(f64, f64)> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let value = |name: &str| {
        let line = status.lines().find(|line| line.starts_with(name))?;
        line.split_whitespace().nth(1)?.parse::<f64>().ok().map(|kb| kb / 1024.0)
    };
    Some((value("VmRSS:")?, value("VmHWM:")?))
}
