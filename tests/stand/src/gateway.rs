//! Runs the gateway binary as a child process.

use std::{
    fs,
    io::{BufRead as _, BufReader},
    net::SocketAddr,
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
use socket2::{Domain, Socket, Type};

/// The listen addresses of a gateway.
#[derive(Clone, Copy, Debug)]
pub struct ListenAddresses {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Readiness checks of the load balancer.
    pub ready: SocketAddr,
    /// Traffic between hosts.
    pub peers: SocketAddr,
    /// Metrics, dumps and other operator pages.
    pub operators: SocketAddr,
}

/// A gateway process; it is killed when dropped.
pub struct Gateway {
    child: Child,
    /// Its listen addresses.
    pub addresses: ListenAddresses,
    /// The settings file; deleted on drop.
    pub settings_path: PathBuf,
    /// Log lines that are valid JSON, in order.
    lines: Arc<Mutex<Vec<Value>>>,
}

/// Number of gateways started by this process; makes the names of settings files unique.
static STARTED: AtomicU64 = AtomicU64::new(0);

/// The sockets that hold picked ports for as long as this process runs.
static RESERVATIONS: Mutex<Vec<Socket>> = Mutex::new(Vec::new());

/// Picks four different free ports of 127.0.0.1 and reserves them for this process and its gateways.
pub fn pick_ports() -> anyhow::Result<ListenAddresses> {
    Ok(ListenAddresses {
        callers: reserve_port()?,
        ready: reserve_port()?,
        peers: reserve_port()?,
        operators: reserve_port()?,
    })
}

/// Binds a socket that does not listen: the kernel gives its port to no other process, but a
/// listener that sets `SO_REUSEADDR`, as the gateway's do, can bind it.
fn reserve_port() -> anyhow::Result<SocketAddr> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    let address = socket.local_addr()?.as_socket().context("not an IP address")?;
    RESERVATIONS.lock().push(socket);
    Ok(address)
}

/// Returns the program that `.ci/older-build` has built from the history, beside today's `program`.
pub fn older_program(program: &str) -> anyhow::Result<String> {
    let target = Path::new(program).parent().and_then(Path::parent).context("no target folder")?;
    let older = target.join("older/wasabirouter");
    anyhow::ensure!(older.exists(), "{} is not there; run .ci/older-build", older.display());
    Ok(older.to_string_lossy().into_owned())
}

/// Returns the settings of a gateway in failure domain `d1`; `store` and `duties` are the addresses
/// of the platform's interfaces.
pub fn settings(
    name: &str,
    addresses: &ListenAddresses,
    store: SocketAddr,
    duties: SocketAddr,
) -> Value {
    json!({
        "host": name, "domain": "d1", "callers": addresses.callers, "ready": addresses.ready,
        "peers": addresses.peers, "operators": addresses.operators, "objects": store, "duties": duties,
        "bounds": {"withdraw_ms": 5_000, "stop_s": 8, "lease_ms": 3_000, "usage_window_s": 5,
            "usage_due_s": 10, "repeat_ratio": 0.2, "repeat_window_s": 10, "repeat_allowance": 54},
    })
}

impl Gateway {
    /// Starts `program` with `settings` in a temporary file and collects its log lines.
    pub fn start(
        program: &Path,
        addresses: ListenAddresses,
        settings: &Value,
    ) -> anyhow::Result<Self> {
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
            .context("cannot start the gateway binary")?;
        let output = child.stdout.take().context("the gateway process has no stdout pipe")?;
        let lines = Arc::new(Mutex::new(Vec::new()));
        let collected = lines.clone();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if let Ok(value) = serde_json::from_str(&line) {
                    collected.lock().push(value);
                }
            }
        });
        Ok(Self { child, addresses, settings_path: path, lines })
    }

    /// Returns the size of the process's resident memory.
    pub fn resident_bytes(&self) -> anyhow::Result<usize> {
        self.memory_bytes("VmRSS:")
    }

    /// Returns the largest size that the process's resident memory has had.
    pub fn peak_resident_bytes(&self) -> anyhow::Result<usize> {
        self.memory_bytes("VmHWM:")
    }

    fn memory_bytes(&self, field: &str) -> anyhow::Result<usize> {
        const KIB: usize = 1024;
        let status = fs::read_to_string(format!("/proc/{}/status", self.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix(field));
        let kib = line.and_then(|line| line.split_whitespace().next()).context("no such field")?;
        Ok(kib.parse::<usize>()? * KIB)
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the readiness check succeeds.
    pub fn wait_ready(&self) -> anyhow::Result<()> {
        wait_for("readiness", || self.is_ready())
    }

    /// Returns whether the readiness check responds 200 within one second.
    pub fn is_ready(&self) -> bool {
        let url = format!("http://{}/api/readiness", self.addresses.ready);
        minreq::get(url).with_timeout(1).send().is_ok_and(|response| response.status_code == 200)
    }

    /// Returns the log lines written so far.
    pub fn lines(&self) -> Vec<Value> {
        self.lines.lock().clone()
    }

    /// Returns the log lines with this message.
    pub fn log_lines(&self, message: &str) -> Vec<Value> {
        self.lines().into_iter().filter(|line| line["message"] == message).collect()
    }

    /// Returns the body of a page of the operator port, whatever its status.
    pub fn page(&self, path: &str) -> anyhow::Result<String> {
        let url = format!("http://{}{path}", self.addresses.operators);
        Ok(minreq::get(url).with_timeout(2).send()?.as_str()?.to_string())
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) -> anyhow::Result<()> {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([format!("-{name}"), id]).status()?;
        anyhow::ensure!(sent.success(), "the signal was not sent");
        Ok(())
    }

    /// Waits up to `limit` for the process to exit and returns whether its exit status is 0.
    pub fn wait_exit(&mut self, limit: Duration) -> anyhow::Result<bool> {
        let deadline = Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status.success());
            }
            anyhow::ensure!(Instant::now() < deadline, "the process did not exit in time");
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns the exit status as text, if the process has exited.
    pub fn exit_status(&mut self) -> anyhow::Result<Option<String>> {
        Ok(self.child.try_wait()?.map(|status| status.to_string()))
    }

    /// Kills the process (SIGKILL) and waits for its exit.
    pub fn kill(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_file(&self.settings_path);
    }
}

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Polls until `condition` returns true; fails after 20 s.
pub fn wait_for(what: &str, condition: impl Fn() -> bool) -> anyhow::Result<()> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        anyhow::ensure!(Instant::now() < deadline, "timed out waiting for {what}");
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}
