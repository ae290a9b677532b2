//! Real processes under test.

use std::{
    io::{BufRead as _, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Output, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use anyhow::Context as _;
use parking_lot::{Condvar, Mutex};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

const PATIENCE_SECONDS: u64 = 60;
const PATIENCE_NAME: &str = "WASABI_TEST_PATIENCE_S";
/// Fields of `/proc/PID/stat` after the name (proc(5): utime and stime).
const USER_FIELD: usize = 11;
const SYSTEM_FIELD: usize = 12;
const TICKS_A_SECOND: f64 = 100.0;
const POLL: Duration = Duration::from_millis(10);

/// A running host process.
pub struct Daemon {
    child: Child,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where operators reach it.
    pub operators: SocketAddr,
    /// Where peers reach it.
    pub peers: SocketAddr,
    logs: Arc<Logs>,
    settings: PathBuf,
}

#[derive(Default)]
struct Logs {
    lines: Mutex<Vec<String>>,
    /// Set when the process has closed its output.
    ended: AtomicBool,
    changed: Condvar,
}

impl Daemon {
    /// Starts `program` with `settings` and waits until it listens.
    pub fn start(program: &Path, settings: &Value) -> anyhow::Result<Self> {
        let path = scratch_file("settings", &settings.to_string())?;
        let mut child = Command::new(program)
            .args(["run", "--settings"])
            .arg(&path)
            .env("RUST_LOG", "info")
            .stdout(Stdio::piped())
            .spawn()
            .context("the program does not start")?;
        let logs = Arc::new(Logs::default());
        let collecting = logs.clone();
        let output = child.stdout.take().context("the program has no output")?;
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                collecting.lines.lock().push(line);
                collecting.changed.notify_all();
            }
            collecting.ended.store(true, Ordering::SeqCst);
            collecting.changed.notify_all();
        });
        let line = logs.wait("listening").with_context(|| logs.text())?;
        let address = |name: &str| -> anyhow::Result<SocketAddr> {
            let text = line.get(name).and_then(Value::as_str).context("no address")?;
            Ok(text.parse()?)
        };
        let (callers, operators, peers) =
            (address("callers")?, address("operators")?, address("peers")?);
        Ok(Self { child, callers, operators, peers, logs, settings: path })
    }

    /// Returns everything that it has logged.
    pub fn log_text(&self) -> String {
        self.logs.text()
    }

    /// Waits for a log line with `message`.
    pub fn wait_log(&self, message: &str) -> anyhow::Result<Value> {
        self.logs.wait(message).with_context(|| self.logs.text())
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Sends SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the end; returns the exit code.
    pub fn wait(&mut self) -> anyhow::Result<Option<i32>> {
        let end = Instant::now() + patience();
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status.code());
            }
            thread::sleep(POLL);
        }
        anyhow::bail!("the process does not end: {}", self.logs.text())
    }

    /// Gets a page of the operator port.
    pub fn operator(&self, path: &str) -> anyhow::Result<String> {
        let url = format!("http://{}{path}", self.operators);
        Ok(minreq::get(url).with_timeout(10).send()?.as_str()?.to_string())
    }

    /// Gets the dump of its state.
    pub fn dump(&self) -> anyhow::Result<Value> {
        Ok(serde_json::from_str(&self.operator("/dump")?)?)
    }

    /// Returns its process number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.settings);
    }
}

impl Logs {
    fn text(&self) -> String {
        self.lines.lock().join("\n")
    }

    fn wait(&self, message: &str) -> anyhow::Result<Value> {
        let end = Instant::now() + patience();
        let mut lines = self.lines.lock();
        let mut read = 0;
        loop {
            for line in &lines[read..] {
                let value: Value = serde_json::from_str(line).unwrap_or_default();
                if value.get("message").and_then(Value::as_str) == Some(message) {
                    return Ok(value);
                }
            }
            read = lines.len();
            let over = self.ended.load(Ordering::SeqCst) || Instant::now() >= end;
            anyhow::ensure!(!over, "no log line says {message:?}");
            self.changed.wait_for(&mut lines, Duration::from_millis(200));
        }
    }
}

/// Runs a program to its end.
pub fn run(program: &Path, args: &[&str]) -> anyhow::Result<Output> {
    Command::new(program).args(args).output().context("the program does not start")
}

/// Returns the time after which a test that waits has failed.
///
/// `WASABI_TEST_PATIENCE_S` shortens it where failures are expected.
pub fn patience() -> Duration {
    let seconds = std::env::var(PATIENCE_NAME).ok().and_then(|text| text.parse().ok());
    Duration::from_secs(seconds.unwrap_or(PATIENCE_SECONDS))
}

/// Returns the CPU seconds that a process has used, by the system's accounting.
pub fn cpu_seconds(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse().ok()).unwrap_or(0.0);
    (ticks(USER_FIELD) + ticks(SYSTEM_FIELD)) / TICKS_A_SECOND
}

/// Returns the bytes of memory that a process holds.
pub fn resident_bytes(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}

/// Writes a file of its own for a test; returns its path.
pub fn scratch_file(name: &str, text: &str) -> anyhow::Result<PathBuf> {
    let unique: u64 = rand::random();
    let path = std::env::temp_dir().join(format!("wasabi-{name}-{unique:016x}.json"));
    std::fs::write(&path, text)?;
    Ok(path)
}

/// Waits until `condition` holds.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) -> anyhow::Result<()> {
    let end = Instant::now() + patience();
    while !condition() {
        anyhow::ensure!(Instant::now() < end, "waited in vain until {what}");
        thread::sleep(POLL);
    }
    Ok(())
}
