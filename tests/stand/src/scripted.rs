//! Backend server that sends scripted bytes, for responses that no HTTP library would produce.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use wasabi_core::call::Framing;

/// When servers say that they were born, unless a test says otherwise.
pub const BORN: u64 = 1_000;
/// The path of a server's report.
pub const REPORT_PATH: &str = "/api/report";
const CHUNKED: &str = "transfer-encoding: chunked\r\n";
const LAST_CHUNK: &str = "0\r\n\r\n";
/// Ends a script whose next request does not arrive.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// A TCP server that runs a script on each connection.
pub struct Server {
    /// The listen address.
    pub address: SocketAddr,
    connections: Arc<AtomicUsize>,
}

impl Server {
    /// Starts a server that runs `script` on a thread for each connection, with the connection's
    /// number counted from 0.
    pub fn start(
        script: impl Fn(TcpStream, usize) -> std::io::Result<()> + Send + Sync + 'static,
    ) -> anyhow::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), script)
    }

    /// As [`Server::start`], at an address.
    pub fn start_at(
        address: SocketAddr,
        script: impl Fn(TcpStream, usize) -> std::io::Result<()> + Send + Sync + 'static,
    ) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let connections = Arc::new(AtomicUsize::new(0));
        let counted = connections.clone();
        let script = Arc::new(script);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let number = counted.fetch_add(1, Ordering::SeqCst);
                let script = script.clone();
                thread::spawn(move || {
                    stream.set_read_timeout(Some(READ_TIMEOUT))?;
                    script(stream, number)
                });
            }
        });
        Ok(Self { address, connections })
    }

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }
}

/// Reads one request head; it is empty if the peer has closed the connection. Requests for the server's report
/// are answered, as a server that was born at [`BORN`], and not returned.
pub fn read_head(stream: &mut TcpStream) -> std::io::Result<String> {
    read_head_of(stream, BORN)
}

/// As [`read_head`], for a server that was born at `born`.
pub fn read_head_of(stream: &mut TcpStream, born: u64) -> std::io::Result<String> {
    loop {
        let head = read_any_head(stream)?;
        if !head.starts_with(&format!("GET {REPORT_PATH} ")) {
            return Ok(head);
        }
        let body = report(born);
        let length = body.len();
        write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}")?;
    }
}

/// As [`read_head`], but requests for the report are returned, too.
pub fn read_any_head(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut head = Vec::new();
    let mut byte = [0; 1];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            return Ok(String::new());
        }
        head.push(byte[0]);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}

/// Returns the report of a server that was born at `born`.
pub fn report(born: u64) -> String {
    format!(r#"{{"stage":"both","sequence":2,"queued":0,"running":1,"born":{born}}}"#)
}

/// Writes `part` again and again until the peer closes the connection; waits for `pause` in between.
pub fn flood(stream: &mut TcpStream, part: &[u8], pause: Duration) {
    while stream.write_all(part).is_ok() {
        thread::sleep(pause);
    }
}

/// Returns the first value of a header in a head, or an empty string.
pub fn header(head: &str, name: &str) -> String {
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    let mut values = lines.filter(|(found, _)| found.eq_ignore_ascii_case(name));
    values.next().map(|(_, value)| value.trim().to_string()).unwrap_or_default()
}

/// Returns the head of a signed response to the request with `head`; `extra` holds further header
/// lines, each with its CRLF.
pub fn signed(head: &str, status: u16, extra: &str) -> String {
    let id = header(head, "request-id");
    format!(
        "HTTP/1.1 {status} X\r\nrequest-id: {id}\r\nresponse-signature: s\r\n\
         server-load: 1,0,8\r\n{extra}\r\n"
    )
}

/// Returns a signed response to the request with `head`, its body framed as stated. With
/// `Framing::Close` the connection must be closed after it.
pub fn framed(head: &str, framing: Framing, extra: &str, body: &str) -> String {
    let (length, chunk) = (body.len(), format!("{:x}\r\n{body}\r\n", body.len()));
    let (header, body) = match framing {
        Framing::Length => (format!("content-length: {length}\r\n"), body.to_string()),
        Framing::Chunked if body.is_empty() => (CHUNKED.to_string(), LAST_CHUNK.to_string()),
        Framing::Chunked => (CHUNKED.to_string(), chunk + LAST_CHUNK),
        Framing::Close => (String::new(), body.to_string()),
        Framing::Absent => (String::new(), String::new()),
    };
    signed(head, 200, &format!("{extra}{header}")) + &body
}
