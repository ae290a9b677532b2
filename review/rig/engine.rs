//! An engine in a process of its own. It prints one line for each thing that happens.

use std::{
    collections::BTreeMap,
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    process::{Child, ChildStdin, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    net::{self, Message},
    store::unix_ms,
};

/// What an engine is told to do; from the words `name=value` of its command line.
struct Options(BTreeMap<String, String>);

impl Options {
    fn text(&self, name: &str) -> &str {
        self.0.get(name).map_or("", String::as_str)
    }

    fn number(&self, name: &str) -> u64 {
        self.text(name).parse().unwrap_or(0)
    }
}

/// Runs an engine until it is killed. Words: `id`, `kind` (`stream` or `plain`), `events`, `interval_ms` (of the
/// events, or the work of a plain request), `listen`, `version` (of its software), `framing` (`close`: neither length nor chunks), `slots`.
/// A line `leaving` on its input makes it say so in its answers.
pub fn run(words: &[String]) -> io::Result<()> {
    let words = words.iter().filter_map(|word| word.split_once('='));
    let options = Arc::new(Options(words.map(|(k, v)| (k.to_string(), v.to_string())).collect()));
    let (leaving, running) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU32::new(0)));
    let (shared, left) = (options.clone(), leaving.clone());
    let at = options.text("listen").parse().unwrap_or_else(|_| net::any_port());
    let address = net::listen(at, move |stream| serve(stream, &shared, &left, &running))?;
    say(&format!("listening {address}"));
    for line in io::stdin().lock().lines() {
        if line? == "leaving" {
            leaving.store(true, Ordering::SeqCst);
        }
    }
    Ok(())
}

fn say(line: &str) {
    let mut out = io::stdout().lock();
    let _ = writeln!(out, "{line}").and_then(|()| out.flush());
}

fn serve(
    mut stream: TcpStream,
    options: &Options,
    leaving: &AtomicBool,
    running: &AtomicU32,
) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = net::read_request(&mut reader)? {
        let (id, me) = (request.header("request-id").to_string(), options.text("id"));
        let path = request.target().to_string();
        if path == "/health" {
            let status = if leaving.load(Ordering::SeqCst) { 503 } else { 200 };
            let load = format!("{},0,{}", running.load(Ordering::SeqCst), options.number("slots"));
            net::respond(&mut stream, status, &format!("Instance-Id: {me}\r\nServer-Load: {load}\r\n"), b"")?;
            continue;
        }
        if path == "/api/report" {
            let body = format!(
                "{{\"born\":{},\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                 \"busy\":false,\"sequence\":0,\"queued\":0,\"running\":{},\"kv_used\":0,\"kv_total\":400000,\
                 \"handles\":0}}",
                options.number("born"),
                running.load(Ordering::SeqCst)
            );
            net::respond(&mut stream, 200, "Content-Type: application/json\r\n", body.as_bytes())?;
            continue;
        }
        let expected = request.header("expect-instance");
        say(&format!("arrived {} {id} {expected}", unix_ms()));
        if !expected.is_empty() && expected != me {
            net::respond(&mut stream, 421, &format!("Request-Id: {id}\r\nNot-Executed: 1\r\n"), b"")?;
            continue;
        }
        say(&format!("run {} {id}", unix_ms()));
        running.fetch_add(1, Ordering::SeqCst);
        let done = answer(&mut stream, &request, options, leaving, running);
        running.fetch_sub(1, Ordering::SeqCst);
        done?;
        say(&format!("done {} {id}", unix_ms()));
        if options.text("framing") == "close" {
            return Ok(());
        }
    }
    Ok(())
}

fn answer(
    stream: &mut TcpStream,
    request: &Message,
    options: &Options,
    leaving: &AtomicBool,
    running: &AtomicU32,
) -> io::Result<()> {
    let (id, me) = (request.header("request-id"), options.text("id"));
    let pause = Duration::from_millis(options.number("interval_ms"));
    let by_close = options.text("framing") == "close";
    let load = format!("{},0,{}", running.load(Ordering::SeqCst), options.number("slots"));
    let mut head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: {me}.{id}\r\nServer-Load: {load}\r\n"
    );
    if leaving.load(Ordering::SeqCst) {
        head.push_str("Server-Leaving: 1\r\n");
    }
    if options.text("kind") != "stream" {
        thread::sleep(pause);
        let body = plain_body(id);
        match by_close {
            true => head.push_str("Content-Type: text/plain\r\nConnection: close\r\n\r\n"),
            false => head.push_str(&format!("Content-Type: text/plain\r\nContent-Length: {}\r\n\r\n", body.len())),
        }
        let (first, rest) = body.split_at(body.len() / 2);
        stream.write_all(&[head.as_bytes(), first.as_bytes()].concat())?;
        thread::sleep(pause);
        return stream.write_all(rest.as_bytes());
    }
    head.push_str("Content-Type: text/event-stream\r\nWeight-Versions: 1\r\n");
    head.push_str(if by_close { "Connection: close\r\n\r\n" } else { "Transfer-Encoding: chunked\r\n\r\n" });
    let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
    let mut begun = false;
    for event in after + 1..=options.number("events") {
        thread::sleep(pause);
        let text = format!("id: {event}\ndata: event {event} by {me} {}\n\n", options.text("version"));
        let bytes = match by_close {
            true => text.into_bytes(),
            false => format!("{:x}\r\n{text}\r\n", text.len()).into_bytes(),
        };
        let bytes = if begun { bytes } else { [head.as_bytes(), &bytes].concat() };
        begun = true;
        stream.write_all(&bytes)?;
    }
    if !begun {
        stream.write_all(head.as_bytes())?;
    }
    if !by_close {
        stream.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}

/// The whole body of a plain answer.
pub fn plain_body(id: &str) -> String {
    format!("record of {id}: {}", "0123456789".repeat(80))
}

/// An engine process that this process has started.
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    child: Child,
    input: Option<ChildStdin>,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Engine {
    pub fn start(id: &str, words: &[&str]) -> io::Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .arg("engine")
            .arg(format!("id={id}"))
            .args(words)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut reader = BufReader::new(child.stdout.take().expect("a pipe"));
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let address = line.trim().strip_prefix("listening ").and_then(|at| at.parse().ok());
        let address = address.ok_or_else(|| io::Error::other("the engine does not listen"))?;
        let lines = Arc::new(Mutex::new(Vec::new()));
        let collected = lines.clone();
        thread::spawn(move || {
            for line in reader.lines().map_while(Result::ok) {
                collected.lock().unwrap().push(line);
            }
        });
        let input = child.stdin.take();
        Ok(Self { id: id.to_string(), address, child, input, lines })
    }

    /// What it has said so far: the word, the Unix millisecond, and the rest of each line.
    pub fn lines(&self, word: &str) -> Vec<(u64, String)> {
        let lines = self.lines.lock().unwrap();
        let fields = lines.iter().filter_map(|line| {
            let mut fields = line.splitn(3, ' ');
            let same = fields.next() == Some(word);
            let at = fields.next()?.parse().ok()?;
            same.then(|| (at, fields.next().unwrap_or_default().to_string()))
        });
        fields.collect()
    }

    /// Makes it say in its answers that it leaves.
    pub fn leave(&mut self) {
        if let Some(input) = &mut self.input {
            let _ = writeln!(input, "leaving");
        }
    }

    /// Kills the process (SIGKILL).
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
