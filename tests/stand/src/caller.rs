//! A caller that sees exactly what comes over its connection.

use std::{
    collections::BTreeMap,
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use anyhow::Context as _;

/// An answer as it came.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its headers, with names in lowercase.
    pub headers: BTreeMap<String, String>,
    /// Its body, without the framing.
    pub body: String,
    /// Whether the framing says that the body is whole.
    pub complete: bool,
}

/// A request to be made.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// The id of the attempt.
    pub id: String,
    /// The key, if one is sent.
    pub key: Option<String>,
    /// How long the caller waits.
    pub deadline: Duration,
    /// Further headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Request {
    /// Gets a request with the key `k1` and ten seconds to wait.
    pub fn new(method: &str, path: &str, id: &str) -> Self {
        Self {
            method: method.to_string(),
            path: path.to_string(),
            id: id.to_string(),
            key: Some("k1".to_string()),
            deadline: Duration::from_secs(10),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    /// Sends it on a connection of its own.
    pub fn open(&self, to: SocketAddr) -> anyhow::Result<TcpStream> {
        let mut stream = TcpStream::connect(to)?;
        stream.set_read_timeout(Some(self.deadline + Duration::from_secs(2)))?;
        self.write(&mut stream)?;
        Ok(stream)
    }

    /// Writes it to an open connection.
    pub fn write(&self, stream: &mut TcpStream) -> anyhow::Result<()> {
        let mut head = format!(
            "{} {} HTTP/1.1\r\nhost: site.example\r\nrequest-id: {}\r\ndeadline-ms: {}\r\n",
            self.method,
            self.path,
            self.id,
            self.deadline.as_millis()
        );
        if let Some(key) = &self.key {
            head.push_str(&format!("authorization: Token {key}\r\n"));
        }
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("content-length: {}\r\n\r\n", self.body.len()));
        stream.write_all(head.as_bytes())?;
        stream.write_all(&self.body)?;
        Ok(())
    }

    /// Sends it and reads the answer.
    pub fn send(&self, to: SocketAddr) -> anyhow::Result<Answer> {
        read(&mut self.open(to)?)
    }
}

impl Answer {
    /// Returns the numbers of the events of a stream, in order.
    pub fn events(&self) -> Vec<u64> {
        let ids = self.body.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }
}

/// Reads one answer; a connection that closes before any byte is an error.
pub fn read(stream: &mut TcpStream) -> anyhow::Result<Answer> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = find(&bytes, b"\r\n\r\n") {
            break end;
        }
        anyhow::ensure!(fill(stream, &mut bytes)?, "closed without an answer");
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = head.lines();
    let status = lines.next().and_then(|line| line.split(' ').nth(1)).context("no status")?;
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_lowercase(), value.trim().to_string()))
        .collect();
    let mut answer = Answer { status: status.parse()?, headers, ..Answer::default() };
    let mut rest = bytes.split_off(end + 4);
    let (body, complete) = match answer.headers.get("content-length") {
        Some(length) => {
            let length: usize = length.parse()?;
            while rest.len() < length && fill(stream, &mut rest).unwrap_or(false) {}
            (rest.clone(), rest.len() == length)
        }
        None => chunks(stream, rest),
    };
    answer.body = String::from_utf8_lossy(&body).into_owned();
    answer.complete = complete;
    Ok(answer)
}

/// Reads a chunked body; returns it with whether its end came.
fn chunks(stream: &mut TcpStream, mut rest: Vec<u8>) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(end) = find(&rest, b"\r\n") else {
            if !fill(stream, &mut rest).unwrap_or(false) {
                return (body, false);
            }
            continue;
        };
        let text = String::from_utf8_lossy(&rest[..end]).into_owned();
        let Ok(length) = usize::from_str_radix(text.trim(), 16) else { return (body, false) };
        while rest.len() < end + 2 + length + 2 {
            if !fill(stream, &mut rest).unwrap_or(false) {
                return (body, false);
            }
        }
        body.extend_from_slice(&rest[end + 2..end + 2 + length]);
        rest.drain(..end + 2 + length + 2);
        if length == 0 {
            return (body, true);
        }
    }
}

fn fill(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> std::io::Result<bool> {
    let mut buffer = [0; 4096];
    let count = stream.read(&mut buffer)?;
    bytes.extend_from_slice(&buffer[..count]);
    Ok(count > 0)
}

fn find(bytes: &[u8], mark: &[u8]) -> Option<usize> {
    bytes.windows(mark.len()).position(|window| window == mark)
}
