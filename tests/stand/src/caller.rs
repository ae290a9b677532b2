//! HTTP/1.1 client that also returns incomplete responses; a response without a length is read as
//! chunked.

use std::{
    collections::BTreeMap,
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use anyhow::Context as _;

/// A response as it was received.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The headers, with names in lowercase; of a repeated header the last value.
    pub headers: BTreeMap<String, String>,
    /// The body without the chunk framing; invalid UTF-8 is replaced.
    pub body: String,
    /// Whether the body is complete by its `content-length` or its last chunk.
    pub complete: bool,
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// The `request-id` header.
    pub id: String,
    /// The API key, if one is sent.
    pub key: Option<String>,
    /// The `deadline-ms` header; each read times out after it plus two seconds.
    pub deadline: Duration,
    /// Additional headers.
    pub headers: Vec<(String, String)>,
    /// The body; sent with its `content-length`.
    pub body: Vec<u8>,
}

impl Request {
    /// Creates a request with the key `k1`, a deadline of ten seconds and an empty body.
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

    /// Creates a request that takes up a stream after event `after`; `begun` is the id of the attempt
    /// that brought its first event.
    pub fn resume(path: &str, id: &str, begun: &str, after: u64) -> Self {
        let headers = [("resumes", begun.to_string()), ("last-event-id", after.to_string())];
        let headers = headers.map(|(name, value)| (name.to_string(), value));
        Self { headers: headers.into(), ..Self::new("POST", path, id) }
    }

    /// Sends the request on a new connection, without reading the response.
    pub fn open(&self, to: SocketAddr) -> anyhow::Result<TcpStream> {
        let mut stream = TcpStream::connect(to)?;
        stream.set_read_timeout(Some(self.read_timeout()))?;
        self.write(&mut stream)?;
        Ok(stream)
    }

    /// How long a read of the response may take.
    pub fn read_timeout(&self) -> Duration {
        self.deadline + Duration::from_secs(2)
    }

    /// Writes the request to an open connection.
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

    /// Sends the request on a new connection and reads the response.
    pub fn send(&self, to: SocketAddr) -> anyhow::Result<Response> {
        read(&mut self.open(to)?)
    }
}

impl Response {
    /// Returns the numeric ids of the events of a stream, in order of arrival.
    pub fn event_ids(&self) -> Vec<u64> {
        let ids = self.body.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }
}

/// Reads one response; fails if the connection closes before the head is complete.
pub fn read(stream: &mut TcpStream) -> anyhow::Result<Response> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = find(&bytes, b"\r\n\r\n") {
            break end;
        }
        anyhow::ensure!(
            read_some(stream, &mut bytes)?,
            "connection closed before the end of the response head"
        );
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = head.lines();
    let status = lines
        .next()
        .and_then(|line| line.split(' ').nth(1))
        .context("the response has no status")?;
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_lowercase(), value.trim().to_string()))
        .collect();
    let mut response = Response { status: status.parse()?, headers, ..Response::default() };
    let mut rest = bytes.split_off(end + 4);
    let (body, complete) = match response.headers.get("content-length") {
        Some(length) => {
            let length: usize = length.parse()?;
            while rest.len() < length && read_some(stream, &mut rest).unwrap_or(false) {}
            (rest.clone(), rest.len() == length)
        }
        None => read_chunked(stream, rest),
    };
    response.body = String::from_utf8_lossy(&body).into_owned();
    response.complete = complete;
    Ok(response)
}

/// Reads a chunked body after the bytes `rest`; returns it with whether the last chunk arrived.
fn read_chunked(stream: &mut TcpStream, mut rest: Vec<u8>) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(end) = find(&rest, b"\r\n") else {
            if !read_some(stream, &mut rest).unwrap_or(false) {
                return (body, false);
            }
            continue;
        };
        let text = String::from_utf8_lossy(&rest[..end]).into_owned();
        let Ok(length) = usize::from_str_radix(text.trim(), 16) else { return (body, false) };
        while rest.len() < end + 2 + length + 2 {
            if !read_some(stream, &mut rest).unwrap_or(false) {
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

/// Appends the bytes of one read; returns false at the end of the stream.
fn read_some(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> std::io::Result<bool> {
    let mut buffer = [0; 4096];
    let count = stream.read(&mut buffer)?;
    bytes.extend_from_slice(&buffer[..count]);
    Ok(count > 0)
}

fn find(bytes: &[u8], needle: &[u8]) -> Option<usize> {
    bytes.windows(needle.len()).position(|window| window == needle)
}
