//! Host processes under test, and the CPU time and memory of processes.

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

const DEFAULT_WAIT_TIMEOUT_S: u64 = 60;
const WAIT_TIMEOUT_VARIABLE: &str = "WASABI_TEST_PATIENCE_S";
/// Indices of `utime` and `stime` among the fields of `/proc/PID/stat` after the process name; see
/// proc(5).
const UTIME_FIELD: usize = 11;
const STIME_FIELD: usize = 12;
/// Clock ticks of `utime` and `stime` (`USER_HZ`), 100 on Linux.
const TICKS_PER_SECOND: f64 = 100.0;
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running host process, which is killed when this is dropped.
pub struct HostProcess {
    child: Child,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for operators.
    pub operators: SocketAddr,
    /// The address for peers.
    pub peers: SocketAddr,
    logs: Arc<CapturedLog>,
    settings_path: PathBuf,
}

/// Log lines from the standard output of a process.
#[derive(Default)]
struct CapturedLog {
    lines: Mutex<Vec<String>>,
    /// Whether the process has closed its standard output.
    closed: AtomicBool,
    changed: Condvar,
}

impl HostProcess {
    /// Starts `program run` with `settings`, and waits until it logs that it listens.
    pub fn start(program: &Path, settings: &Value) -> anyhow::Result<Self> {
        let path = scratch_file("settings", &settings.to_string())?;
        let mut child = Command::new(program)
            .args(["run", "--settings"])
            .arg(&path)
            .env("RUST_LOG", "info")
            .stdout(Stdio::piped())
            .spawn()
            .context("the program cannot be started")?;
        let logs = Arc::new(CapturedLog::default());
        let collector = logs.clone();
        let output =
            child.stdout.take().context("the standard output of the program is not captured")?;
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                collector.lines.lock().push(line);
                collector.changed.notify_all();
            }
            collector.closed.store(true, Ordering::SeqCst);
            collector.changed.notify_all();
        });
        let line = logs.wait("listening").with_context(|| logs.text())?;
        let address = |name: &str| -> anyhow::Result<SocketAddr> {
            let text = line
                .get(name)
                .and_then(Value::as_str)
                .context("the log line has no such address")?;
            Ok(text.parse()?)
        };
        let (callers, operators, peers) =
            (address("callers")?, address("operators")?, address("peers")?);
        Ok(Self { child, callers, operators, peers, logs, settings_path: path })
    }

    /// Returns the log lines written so far.
    pub fn log_text(&self) -> String {
        self.logs.text()
    }

    /// Waits for a log line with exactly this `message`, and returns it. Lines that were
    /// logged before the call are searched too.
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

    /// Sends SIGKILL and waits until the process has exited.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process exits; returns its exit code, `None` if a signal killed it.
    pub fn wait(&mut self) -> anyhow::Result<Option<i32>> {
        let end = Instant::now() + wait_timeout();
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status.code());
            }
            thread::sleep(POLL_INTERVAL);
        }
        anyhow::bail!("the process did not exit in time: {}", self.logs.text())
    }

    /// Requests `path` of the operator port; returns the body.
    pub fn get_operator_path(&self, path: &str) -> anyhow::Result<String> {
        let url = format!("http://{}{path}", self.operators);
        Ok(minreq::get(url).with_timeout(10).send()?.as_str()?.to_string())
    }

    /// Requests `/dump` and returns it as JSON.
    pub fn dump(&self) -> anyhow::Result<Value> {
        Ok(serde_json::from_str(&self.get_operator_path("/dump")?)?)
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.settings_path);
    }
}

impl CapturedLog {
    fn text(&self) -> String {
        self.lines.lock().join("\n")
    }

    fn wait(&self, message: &str) -> anyhow::Result<Value> {
        let end = Instant::now() + wait_timeout();
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
            let finished = self.closed.load(Ordering::SeqCst) || Instant::now() >= end;
            anyhow::ensure!(!finished, "no log line has the message {message:?}");
            self.changed.wait_for(&mut lines, Duration::from_millis(200));
        }
    }
}

/// Runs a program until it exits; returns its status and output.
pub fn run(program: &Path, args: &[&str]) -> anyhow::Result<Output> {
    Command::new(program).args(args).output().context("the program cannot be started")
}

/// Returns the time after which a waiting test fails.
///
/// `WASABI_TEST_PATIENCE_S` sets it in seconds: runs in which tests are expected to fail shorten
/// it.
pub fn wait_timeout() -> Duration {
    let seconds = std::env::var(WAIT_TIMEOUT_VARIABLE).ok().and_then(|text| text.parse().ok());
    Duration::from_secs(seconds.unwrap_or(DEFAULT_WAIT_TIMEOUT_S))
}

/// Returns the user and system CPU time of a process in seconds, 0 if it cannot be read.
pub fn cpu_seconds(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse().ok()).unwrap_or(0.0);
    (ticks(UTIME_FIELD) + ticks(STIME_FIELD)) / TICKS_PER_SECOND
}

/// Returns the resident memory of a process in bytes, 0 if it cannot be read.
pub fn resident_bytes(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}

/// Writes `text` to a new temporary file with a unique name; returns its path.
pub fn scratch_file(name: &str, text: &str) -> anyhow::Result<PathBuf> {
    let unique: u64 = rand::random();
    let path = std::env::temp_dir().join(format!("wasabi-{name}-{unique:016x}.json"));
    std::fs::write(&path, text)?;
    Ok(path)
}

/// Waits until `condition` holds; fails after [`wait_timeout`], with `what` in the error.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) -> anyhow::Result<()> {
    let end = Instant::now() + wait_timeout();
    while !condition() {
        anyhow::ensure!(Instant::now() < end, "timed out waiting until {what}");
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}
