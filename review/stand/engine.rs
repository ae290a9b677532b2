//! A model engine as a process of its own: when it is killed, the kernel closes its connections.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::Duration;

use crate::fleet::unix_ms;
use crate::http::{Head, Input};

/// Until when the engine is silent, in milliseconds since 1970: it generates, but neither sends nor sees what
/// callers do.
static SILENT_UNTIL: AtomicU64 = AtomicU64::new(0);
/// Every so many answers are spoiled; 0 for none.
static SPOILED: AtomicU64 = AtomicU64::new(0);
/// Answers over kept connections so far.
static ANSWERS: AtomicU64 = AtomicU64::new(0);

/// The version of the engine's software.
static VERSION: OnceLock<String> = OnceLock::new();

/// Late second answers to earlier requests: refusals, and the answer at the deadline.
const LATE_ANSWERS: [&str; 3] = [
    "HTTP/1.1 503 Service Unavailable\r\n",
    "HTTP/1.1 421 Misdirected Request\r\n",
    "HTTP/1.1 504 Gateway Timeout\r\n",
];

/// Serves as an engine until the process that started it ends. `argument` holds its id, the address at which it
/// listens and the version of its software, parted by blanks.
///
/// The body of a request says what it generates: `events=N gap_ms=M framing=close|chunked`, and beside it
/// `size=B` for the bytes of each event; or `work_ms=M size=B` for a plain answer, with `framing=close rest_ms=R` one
/// that ends with its connection and whose second half takes so long.
pub fn run(argument: &str) -> io::Result<()> {
    let words: Vec<&str> = argument.split(' ').collect();
    let [id, address, version] = words[..] else { return Err(io::ErrorKind::InvalidInput.into()) };
    VERSION.get_or_init(|| version.to_string());
    let listener = TcpListener::bind(address)?;
    println!("listening {}", listener.local_addr()?);
    thread::spawn(|| {
        for line in io::stdin().lines().map_while(Result::ok) {
            if let Some(ms) = line.strip_prefix("silent ").and_then(|ms| ms.parse::<u64>().ok()) {
                SILENT_UNTIL.store(unix_ms() + ms, Ordering::SeqCst);
            }
            if let Some(every) = line.strip_prefix("spoil ").and_then(|every| every.parse().ok()) {
                SPOILED.store(every, Ordering::SeqCst);
            }
        }
        std::process::exit(0);
    });
    for stream in listener.incoming().flatten() {
        let id = id.to_string();
        thread::spawn(move || serve(stream, &id).ok());
    }
    Ok(())
}

fn option(body: &str, name: &str) -> Option<String> {
    let mut words = body.split_whitespace();
    words.find_map(|word| Some(word.strip_prefix(name)?.strip_prefix('=')?.to_string()))
}

fn serve(mut stream: TcpStream, id: &str) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut input = Input::new(&stream)?;
    for number in 0.. {
        let Some(head) = input.head()? else { break };
        let mut body = Vec::new();
        if !input.body(&head, false, &mut body)? {
            break;
        }
        if number > 0 {
            spoil(&mut stream, head.get("request-id"))?;
        }
        let echo = format!("Request-Id: {}\r\nInstance-Id: {id}\r\n", head.get("request-id"));
        if head.word(1) == "/health" {
            let answer = format!("HTTP/1.1 200 OK\r\n{echo}Content-Length: 0\r\n\r\n");
            stream.write_all(answer.as_bytes())?;
            continue;
        }
        let expected = head.get("expect-instance");
        if !expected.is_empty() && expected != id {
            let answer =
                format!("HTTP/1.1 421 -\r\n{echo}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            stream.write_all(answer.as_bytes())?;
            continue;
        }
        let body = String::from_utf8_lossy(&body).into_owned();
        println!("runs {}", head.get("request-id"));
        if !answer(&mut stream, &head, &echo, &body)? {
            break;
        }
    }
    Ok(())
}

/// Where the answer to the request `id` is expected, sends the beginning of a late second answer to an earlier
/// one, broken off within its first line, if it is the turn of that.
fn spoil(stream: &mut TcpStream, id: &str) -> io::Result<()> {
    let every = SPOILED.load(Ordering::SeqCst);
    let answers = ANSWERS.fetch_add(1, Ordering::SeqCst) + 1;
    if every == 0 || answers % every != 0 {
        return Ok(());
    }
    let turn = answers / every;
    let late = LATE_ANSWERS[turn as usize % LATE_ANSWERS.len()];
    // Everywhere within the line, in an order that repeats.
    let length = 1 + (turn * 19 % (late.len() as u64 - 1)) as usize;
    println!("spoils {id} {:?}", &late[..length]);
    stream.write_all(late[..length].as_bytes())
}

/// Answers a request; returns whether the connection may be used again.
fn answer(stream: &mut TcpStream, head: &Head, echo: &str, body: &str) -> io::Result<bool> {
    let id = head.get("request-id");
    let number = |name: &str| option(body, name).and_then(|text| text.parse::<u64>().ok());
    let signature = format!("Response-Signature: {id}.s\r\n");
    let Some(events) = number("events") else {
        thread::sleep(Duration::from_millis(number("work_ms").unwrap_or(60)));
        let bytes = "x".repeat(number("size").unwrap_or(800) as usize);
        if option(body, "framing").as_deref() == Some("close") {
            let kind = "Content-Type: text/plain\r\nConnection: close\r\n";
            let (first, rest) = bytes.split_at(bytes.len() / 2);
            let answer = format!("HTTP/1.1 200 OK\r\n{echo}{signature}{kind}\r\n{first}");
            stream.write_all(answer.as_bytes())?;
            thread::sleep(Duration::from_millis(number("rest_ms").unwrap_or(0)));
            stream.write_all(rest.as_bytes())?;
            println!("ended {id}");
            return Ok(false);
        }
        let kind = format!("Content-Type: text/plain\r\nContent-Length: {}\r\n", bytes.len());
        let answer = format!("HTTP/1.1 200 OK\r\n{echo}{signature}{kind}\r\n{bytes}");
        stream.write_all(answer.as_bytes())?;
        println!("ended {id}");
        return Ok(true);
    };
    let close = option(body, "framing").as_deref() == Some("close");
    let framing = if close { "Connection: close" } else { "Transfer-Encoding: chunked" };
    let start = format!(
        "HTTP/1.1 200 OK\r\n{echo}{signature}Content-Type: text/event-stream\r\n{framing}\r\n\r\n"
    );
    stream.write_all(start.as_bytes())?;
    let after = head.get("last-event-id").parse::<u64>().unwrap_or(0);
    let gap = Duration::from_millis(number("gap_ms").unwrap_or(20));
    let engine = head.get("expect-instance");
    let version = VERSION.get().map_or("", String::as_str);
    let filler = "y".repeat(number("size").unwrap_or(40) as usize);
    let began = unix_ms();
    let mut unsent = String::new();
    let worked = || println!("worked {id} {began} {}", unix_ms());
    thread::sleep(Duration::from_millis(number("first_ms").unwrap_or(0)));
    for event in after + 1..=events {
        if !gap.is_zero() {
            thread::sleep(gap);
        }
        let event =
            format!("id: {event}\ndata: piece {event} of {events} by {engine} as {version} {filler}\n\n");
        let event = if close { event } else { format!("{:x}\r\n{event}\r\n", event.len()) };
        unsent.push_str(&event);
        if unix_ms() < SILENT_UNTIL.load(Ordering::SeqCst) {
            continue;
        }
        if is_closed(stream) || stream.write_all(unsent.as_bytes()).is_err() {
            worked();
            return Ok(false);
        }
        unsent.clear();
    }
    worked();
    stream.write_all(unsent.as_bytes())?;
    if !close {
        stream.write_all(b"0\r\n\r\n")?;
    }
    println!("ended {id}");
    Ok(!close)
}

/// Whether the caller has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0]);
    let open =
        matches!(&peeked, Ok(1..)) || peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock);
    stream.set_nonblocking(false).is_err() || !open
}

/// A running engine; it is killed when dropped.
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Engine {
    pub fn start(id: &str) -> io::Result<Self> {
        Self::start_version(id, None, "v1")
    }

    /// Starts an engine with this version of its software, at `address` if that is given.
    pub fn start_version(id: &str, address: Option<SocketAddr>, version: &str) -> io::Result<Self> {
        let address = address.map_or("127.0.0.1:0".to_string(), |address| address.to_string());
        let mut child = Command::new(std::env::current_exe()?)
            .args(["engine", &format!("{id} {address} {version}")])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let mut output = BufReader::new(output);
        let mut first = String::new();
        output.read_line(&mut first)?;
        let address = first.trim().strip_prefix("listening ").and_then(|text| text.parse().ok());
        let address = address.ok_or(io::ErrorKind::InvalidData)?;
        let lines = Arc::new(Mutex::new(Vec::new()));
        let collected = lines.clone();
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                collected.lock().unwrap().push(line);
            }
        });
        Ok(Self { id: id.to_string(), address, child, lines })
    }

    /// Returns the ids of the requests that it has begun to run, in order.
    pub fn runs(&self) -> Vec<String> {
        let lines = self.lines.lock().unwrap();
        lines.iter().filter_map(|line| line.strip_prefix("runs ")).map(str::to_string).collect()
    }

    /// Returns the ids of the requests that it has answered to the end.
    pub fn ended(&self) -> Vec<String> {
        let lines = self.lines.lock().unwrap();
        lines.iter().filter_map(|line| line.strip_prefix("ended ")).map(str::to_string).collect()
    }

    /// Returns when it began to generate for a request and when it stopped, in milliseconds since 1970.
    pub fn worked(&self, id: &str) -> Option<(u64, u64)> {
        let lines = self.lines.lock().unwrap();
        let mut found = lines.iter().filter_map(|line| line.strip_prefix(&format!("worked {id} ")));
        let (from, until) = found.next()?.split_once(' ')?;
        Some((from.parse().ok()?, until.parse().ok()?))
    }

    /// Returns what stood in front of the answers that were spoiled, by the ids of the requests.
    pub fn spoiled(&self) -> BTreeMap<String, String> {
        let lines = self.lines.lock().unwrap();
        let spoiled = lines.iter().filter_map(|line| line.strip_prefix("spoils ")?.split_once(' '));
        spoiled.map(|(id, before)| (id.to_string(), before.to_string())).collect()
    }

    /// Makes it silent from now on for `time`.
    pub fn silence(&mut self, time: Duration) -> io::Result<()> {
        self.command(&format!("silent {}\n", time.as_millis()))
    }

    /// Makes it spoil one in `every` answers over kept connections from now on.
    pub fn spoil(&mut self, every: u64) -> io::Result<()> {
        self.command(&format!("spoil {every}\n"))
    }

    fn command(&mut self, line: &str) -> io::Result<()> {
        let commands = self.child.stdin.as_mut().ok_or(io::ErrorKind::BrokenPipe)?;
        commands.write_all(line.as_bytes())
    }

    /// Ends the process at once (SIGKILL).
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.kill();
    }
}
