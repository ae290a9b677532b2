//! Backend server in a process of its own: when it is killed, the kernel closes its connections.

use std::{
    env,
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use anyhow::Context as _;

use crate::scripted;

/// Set for the processes that serve, to the version of their software, when they were born, and the address at
/// which they listen, parted by blanks.
const VARIABLE: &str = "WASABI_STAND_PROCESS";
const LISTENING: &str = "listening ";
const REQUEST: &str = "request";
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
/// The number of events of a whole stream.
pub const EVENTS: u64 = 10;
/// The number of events of a whole stream below `/long/large`.
pub const LARGE_EVENTS: u64 = 2_000;
/// The bytes of each of them.
const LARGE_EVENT_BYTES: usize = 16 * 1024;
/// What a plain answer begins with; its end is never sent.
pub const FIRST_PART: &str = "part one, ";

/// A server process; it is killed when dropped.
pub struct Process {
    child: Child,
    /// The listen address.
    pub address: SocketAddr,
    requests: Arc<AtomicUsize>,
}

impl Process {
    /// Starts the test program that runs now once more, with the test `entry` only, which has to call
    /// [`serve`].
    pub fn start(entry: &str) -> anyhow::Result<Self> {
        Self::start_version(entry, "v1")
    }

    /// As [`Process::start`]; the server names `version` as that of its software in its events.
    pub fn start_version(entry: &str, version: &str) -> anyhow::Result<Self> {
        Self::start_at(entry, version, scripted::BORN, SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// As [`Process::start_version`], at an address; the server says that it was born at `born`.
    pub fn start_at(
        entry: &str,
        version: &str,
        born: u64,
        address: SocketAddr,
    ) -> anyhow::Result<Self> {
        let mut child = Command::new(env::current_exe()?)
            .args(["--exact", entry, "--nocapture"])
            .env(VARIABLE, format!("{version} {born} {address}"))
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child.stdout.take().context("the server process has no stdout pipe")?;
        let mut lines = BufReader::new(output).lines().map_while(Result::ok);
        let address = lines
            .find_map(|line| line.split_once(LISTENING).map(|(_, address)| address.to_string()))
            .context("the server process does not listen")?;
        let requests = Arc::new(AtomicUsize::new(0));
        let counted = requests.clone();
        thread::spawn(move || {
            for _ in lines.filter(|line| line == REQUEST) {
                counted.fetch_add(1, Ordering::SeqCst);
            }
        });
        Ok(Self { child, address: address.parse()?, requests })
    }

    /// Returns the number of requests received so far.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }

    /// Kills the process (SIGKILL) and waits for its exit.
    pub fn kill(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Serves until the process is killed, if [`Process::start`] has started it; returns at once otherwise.
///
/// Answers have neither a length nor chunks. Paths that begin with `/chat/` or `/long/` are answered with
/// [`EVENTS`] events, from the one after `last-event-id` on; below `/long/leave` the server says that it leaves, and exits after the last one if that is the whole path, below
/// `/long/large` it sends [`LARGE_EVENTS`] as fast as they are taken.
pub fn serve() -> anyhow::Result<()> {
    let Ok(arguments) = env::var(VARIABLE) else { return Ok(()) };
    let arguments: Vec<&str> = arguments.split(' ').collect();
    let [version, born, address] = arguments[..] else { anyhow::bail!("three are needed") };
    let version: Arc<str> = version.into();
    let born: u64 = born.parse()?;
    let listener = TcpListener::bind(address)?;
    println!("{LISTENING}{}", listener.local_addr()?);
    for stream in listener.incoming() {
        let stream = stream?;
        let version = version.clone();
        thread::spawn(move || answer(stream, &version, born));
    }
    Ok(())
}

fn answer(mut stream: TcpStream, version: &str, born: u64) -> std::io::Result<()> {
    let head = scripted::read_head_of(&mut stream, born)?;
    if head.is_empty() {
        return Ok(());
    }
    // Bytes that nobody has read would make the kernel reset the connection.
    let length = scripted::header(&head, "content-length").parse().unwrap_or(0);
    stream.read_exact(&mut vec![0; length])?;
    println!("{REQUEST}");
    let path = head.split(' ').nth(1).unwrap_or_default();
    if !path.starts_with("/chat/") && !path.starts_with("/long/") {
        let head = scripted::signed(&head, 200, "content-type: text/plain\r\n");
        stream.write_all(format!("{head}{FIRST_PART}").as_bytes())?;
        loop {
            thread::park();
        }
    }
    let leaves = path.starts_with("/long/leave");
    let leaving = if leaves { "server-leaving: 1\r\n" } else { "" };
    let kind = format!("content-type: text/event-stream\r\n{leaving}");
    stream.write_all(scripted::signed(&head, 200, &kind).as_bytes())?;
    if path.starts_with("/long/large") {
        let data = "x".repeat(LARGE_EVENT_BYTES);
        for id in 1..=LARGE_EVENTS {
            stream.write_all(format!("id: {id}\ndata: {data}\n\n").as_bytes())?;
        }
        return Ok(());
    }
    let after: u64 = scripted::header(&head, "last-event-id").parse().unwrap_or(0);
    for id in after + 1..=EVENTS {
        thread::sleep(EVENT_INTERVAL);
        stream.write_all(format!("id: {id}\ndata: event {id} of {version}\n\n").as_bytes())?;
    }
    if path == "/long/leave" {
        std::process::exit(0);
    }
    Ok(())
}
