//! The real program as a process of its own.

use std::{
    fs,
    io::{BufRead as _, BufReader},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use anyhow::Context as _;
use parking_lot::Mutex;
use serde_json::{Value, json};

/// Where a gateway listens.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer.
    pub ready: SocketAddr,
    /// For peers.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// A running gateway; it is killed when it is dropped.
pub struct Gateway {
    child: Child,
    /// Where it listens.
    pub ports: Ports,
    /// Its settings file.
    pub settings: PathBuf,
    lines: Arc<Mutex<Vec<Value>>>,
}

/// Gateways that this process has started.
static STARTED: AtomicU64 = AtomicU64::new(0);

/// Draws free ports on this machine.
pub fn draw_ports() -> anyhow::Result<Ports> {
    // All are held until all are drawn, so that no two are alike.
    let held: Vec<TcpListener> =
        (0..4).map(|_| TcpListener::bind(("127.0.0.1", 0))).collect::<Result<_, _>>()?;
    let address = |i: usize| held[i].local_addr();
    Ok(Ports {
        callers: address(0)?,
        ready: address(1)?,
        peers: address(2)?,
        operators: address(3)?,
    })
}

/// Returns the settings of a gateway.
pub fn settings(name: &str, ports: &Ports, store: SocketAddr, duties: SocketAddr) -> Value {
    json!({
        "host": name, "domain": "d1", "callers": ports.callers, "ready": ports.ready,
        "peers": ports.peers, "operators": ports.operators, "objects": store, "duties": duties,
        "bounds": {"withdraw_ms": 5_000, "stop_s": 8, "lease_ms": 3_000, "usage_window_s": 5,
            "usage_due_s": 10, "repeat_ratio": 0.2, "repeat_window_s": 10, "repeat_allowance": 54},
    })
}

impl Gateway {
    /// Starts `program` with `settings`.
    pub fn start(program: &Path, ports: Ports, settings: &Value) -> anyhow::Result<Self> {
        let name = settings["host"].as_str().unwrap_or("gateway");
        let number = STARTED.fetch_add(1, Ordering::SeqCst);
        let unique = format!("{name}-{}-{number}.json", std::process::id());
        let path = std::env::temp_dir().join(unique);
        fs::write(&path, settings.to_string())?;
        let mut child = Command::new(program)
            .args(["gateway", "--settings"])
            .arg(&path)
            .env("RUST_LOG", "info")
            .stdout(Stdio::piped())
            .spawn()
            .context("the program does not start")?;
        let output = child.stdout.take().context("the program has no output")?;
        let lines = Arc::new(Mutex::new(Vec::new()));
        let collected = lines.clone();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if let Ok(value) = serde_json::from_str(&line) {
                    collected.lock().push(value);
                }
            }
        });
        Ok(Self { child, ports, settings: path, lines })
    }

    /// Returns its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the balancer would send connections.
    pub fn wait_ready(&self) -> anyhow::Result<()> {
        wait("readiness", || self.is_ready())
    }

    /// Returns whether the balancer would send connections.
    pub fn is_ready(&self) -> bool {
        let url = format!("http://{}/api/readiness", self.ports.ready);
        minreq::get(url).with_timeout(1).send().is_ok_and(|answer| answer.status_code == 200)
    }

    /// Returns its log lines so far.
    pub fn lines(&self) -> Vec<Value> {
        self.lines.lock().clone()
    }

    /// Returns the lines with this message.
    pub fn said(&self, message: &str) -> Vec<Value> {
        self.lines().into_iter().filter(|line| line["message"] == message).collect()
    }

    /// Returns the text of a page of the operator port.
    pub fn page(&self, path: &str) -> anyhow::Result<String> {
        let url = format!("http://{}{path}", self.ports.operators);
        Ok(minreq::get(url).with_timeout(2).send()?.as_str()?.to_string())
    }

    /// Sends it a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) -> anyhow::Result<()> {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([format!("-{name}"), id]).status()?;
        anyhow::ensure!(sent.success(), "the signal was not sent");
        Ok(())
    }

    /// Waits for its end and returns whether it ended well.
    pub fn wait_end(&mut self, limit: Duration) -> anyhow::Result<bool> {
        let end = Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status.success());
            }
            anyhow::ensure!(Instant::now() < end, "the process does not end");
            thread::sleep(POLL);
        }
    }

    /// Returns how it ended, if it has.
    pub fn ended(&mut self) -> anyhow::Result<Option<String>> {
        Ok(self.child.try_wait()?.map(|status| status.to_string()))
    }

    /// Kills it.
    pub fn kill(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_file(&self.settings);
    }
}

const POLL: Duration = Duration::from_millis(20);
const PATIENCE: Duration = Duration::from_secs(20);

/// Polls until `holds`.
pub fn wait(what: &str, holds: impl Fn() -> bool) -> anyhow::Result<()> {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        anyhow::ensure!(Instant::now() < end, "waited in vain for {what}");
        thread::sleep(POLL);
    }
    Ok(())
}
