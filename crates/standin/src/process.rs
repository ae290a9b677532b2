//! Real processes under test.

use std::{
    io::{BufRead as _, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Output, Stdio},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use anyhow::Context as _;
use parking_lot::{Condvar, Mutex};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

/// After this time a test that waits has failed.
pub const PATIENCE: Duration = Duration::from_secs(60);
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
            .stderr(Stdio::piped())
            .spawn()
            .context("the program does not start")?;
        let logs = Arc::new(Logs::default());
        let collecting = logs.clone();
        let output = child.stderr.take().context("the program has no output")?;
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                collecting.lines.lock().push(line);
                collecting.changed.notify_all();
            }
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
        let end = Instant::now() + PATIENCE;
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
        let end = Instant::now() + PATIENCE;
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
            anyhow::ensure!(Instant::now() < end, "no log line says {message:?}");
            self.changed.wait_for(&mut lines, Duration::from_millis(200));
        }
    }
}

/// Runs a program to its end.
pub fn run(program: &Path, args: &[&str]) -> anyhow::Result<Output> {
    Command::new(program).args(args).output().context("the program does not start")
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
    let end = Instant::now() + PATIENCE;
    while !condition() {
        anyhow::ensure!(Instant::now() < end, "waited in vain until {what}");
        thread::sleep(POLL);
    }
    Ok(())
}
