//! What the scripts of this review share: hosts started as the deploy file does it, and the record.

pub mod engine;
pub mod unframed;

use std::{
    fs,
    io::Write as _,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use serde_json::json;
use wasabi_stand::gateway::ListenAddresses;

/// The program that `deploy/system.toml` builds and runs, from the root of the repository.
pub const PROGRAM: &str = "target/release/wasabirouter";

/// Whether the case plays its disruption; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// What was sent, answered and run, with the milliseconds since the case began.
pub struct Record {
    began: Instant,
    file: Mutex<fs::File>,
}

impl Record {
    /// Begins the record in the file that the first argument of the program names.
    pub fn begin() -> anyhow::Result<Self> {
        let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_string());
        Ok(Self { began: Instant::now(), file: Mutex::new(fs::File::create(path)?) })
    }

    /// Adds a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_millis();
        let line = format!("{at:>7} ms  {}\n", text.as_ref());
        print!("{line}");
        let _ = self.file.lock().write_all(line.as_bytes());
    }

    /// Adds a line without a time.
    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("            {}\n", text.as_ref());
        print!("{line}");
        let _ = self.file.lock().write_all(line.as_bytes());
    }

    /// Milliseconds since the case began.
    pub fn ms(&self, at: Instant) -> u128 {
        at.saturating_duration_since(self.began).as_millis()
    }
}

/// One host: a process of `wasabirouter gateway`, with the variables and settings of `deploy/`. It is killed when
/// dropped.
pub struct Host {
    /// Its name.
    pub name: String,
    /// Its ports.
    pub addresses: ListenAddresses,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    memory_mb: u64,
}

static NUMBER: AtomicU64 = AtomicU64::new(0);

impl Host {
    /// Prepares a host in a failure domain, with the bounds of the small deployments' sheets.
    pub fn new(
        name: &str,
        domain: &str,
        store: SocketAddr,
        cloud: SocketAddr,
    ) -> anyhow::Result<Self> {
        let addresses = wasabi_stand::gateway::pick_ports()?;
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let unique = format!("review-2-{}-{number}", std::process::id());
        let settings = std::env::temp_dir().join(format!("{unique}.json"));
        // As deploy/settings.json.tmpl has it.
        let text = json!({
            "host": name, "domain": domain, "callers": addresses.callers, "ready": addresses.ready,
            "peers": addresses.peers, "operators": addresses.operators, "objects": store,
            "duties": cloud,
            "bounds": {"withdraw_ms": 5_000, "leave_ms": 2_000, "stop_s": 8.0, "lease_ms": 3_000,
                "usage_window_s": 5, "usage_due_s": 10, "repeat_ratio": 0.2, "repeat_window_s": 10,
                "repeat_allowance": 54},
        });
        fs::write(&settings, text.to_string())?;
        Ok(Self {
            name: name.to_string(),
            addresses,
            settings,
            log: std::env::temp_dir().join(format!("{unique}.log")),
            child: None,
            memory_mb: 260,
        })
    }

    /// Sets the memory that the platform states.
    pub fn with_memory(mut self, memory_mb: u64) -> Self {
        self.memory_mb = memory_mb;
        self
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> anyhow::Result<()> {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let child = Command::new(Path::new(PROGRAM))
            .arg("gateway")
            .env("WASABIROUTER_SETTINGS", &self.settings)
            .env("WASABIROUTER_MEMORY_MB", self.memory_mb.to_string())
            .env("WASABIROUTER_EVACUATE_MS", "")
            .env("WASABIROUTER_REGIONS", "{}")
            .env("WASABIROUTER_COLD_BOUND", ",")
            .stdout(Stdio::from(log))
            .stderr(Stdio::null())
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// The process id, while it runs.
    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Waits until the readiness path answers 200.
    pub fn wait_ready(&self) -> anyhow::Result<()> {
        let url = format!("http://{}/api/readiness", self.addresses.ready);
        let limit = Instant::now() + Duration::from_secs(15);
        while !minreq::get(&url)
            .with_timeout(1)
            .send()
            .is_ok_and(|answer| answer.status_code == 200)
        {
            anyhow::ensure!(Instant::now() < limit, "{} does not get ready", self.name);
            thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) -> anyhow::Result<()> {
        let sent =
            Command::new("kill").args([format!("-{name}"), self.id().to_string()]).status()?;
        anyhow::ensure!(sent.success(), "the signal was not sent");
        Ok(())
    }

    /// Whether the process has ended; its status as text.
    pub fn ended(&mut self) -> Option<String> {
        self.child.as_mut().and_then(|child| child.try_wait().ok().flatten()).map(|s| s.to_string())
    }

    /// A field of `/proc/PID/status` in bytes, such as `VmHWM:`.
    pub fn memory(&self, field: &str) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix(field));
        let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kib.unwrap_or(0) * 1024
    }

    /// The lines of its log that hold `text`.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_string).collect()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_file(&self.settings);
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_file(&self.log);
        } else {
            println!("log of {}: {}", self.name, self.log.display());
        }
    }
}
