//! HTTP/1.1 over blocking sockets, one thread a connection.

use std::{
    io::{self, ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// A request as it was received.
#[derive(Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut found = headers.iter().filter(|(known, _)| known.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.as_str())
}

/// A connection, with what has been read of it and not been used.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, rest: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut buffer = [0; 16 * 1024];
        let count = self.stream.read(&mut buffer)?;
        if count == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        self.rest.extend_from_slice(&buffer[..count]);
        Ok(())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.rest.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                self.rest.drain(..end + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    fn exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < length {
            self.fill()?;
        }
        Ok(self.rest.drain(..length).collect())
    }

    fn headers(&mut self) -> io::Result<Vec<(String, String)>> {
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(headers);
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.to_string(), value.trim().to_string()));
            }
        }
    }

    /// Reads one request.
    pub fn request(&mut self) -> io::Result<Request> {
        let line = self.line()?;
        let mut words = line.split(' ');
        let method = words.next().unwrap_or_default().to_string();
        let target = words.next().unwrap_or_default().to_string();
        let headers = self.headers()?;
        let body = match find(&headers, "transfer-encoding") {
            Some(_) => {
                let mut body = Vec::new();
                while let Some(part) = self.chunk()? {
                    body.extend(part);
                }
                body
            }
            None => {
                let length = find(&headers, "content-length").and_then(|text| text.parse().ok());
                self.exactly(length.unwrap_or(0))?
            }
        };
        Ok(Request { method, target, headers, body })
    }

    /// Reads one chunk; `None` is the last one.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.line()?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| ErrorKind::InvalidData)?;
        if size == 0 {
            self.line()?;
            return Ok(None);
        }
        let part = self.exactly(size)?;
        self.line()?;
        Ok(Some(part))
    }

    /// Reads the head of a response.
    pub fn response_head(&mut self) -> io::Result<(u16, Vec<(String, String)>)> {
        let line = self.line()?;
        let status = line.split(' ').nth(1).and_then(|text| text.parse().ok());
        Ok((status.ok_or(ErrorKind::InvalidData)?, self.headers()?))
    }

    /// Reads the body of a response that has a length.
    pub fn body(&mut self, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
        let length = find(headers, "content-length").and_then(|text| text.parse().ok());
        self.exactly(length.unwrap_or(0))
    }

    /// Writes a response with its length.
    pub fn respond(&mut self, status: u16, headers: &[(&str, &str)], body: &str) -> io::Result<()> {
        let mut text = head(status, headers);
        text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
        self.stream.write_all(text.as_bytes())
    }

    /// Writes the head of a response in chunks.
    pub fn begin_chunks(&mut self, headers: &[(&str, &str)]) -> io::Result<()> {
        let text = head(200, headers) + "Transfer-Encoding: chunked\r\n\r\n";
        self.stream.write_all(text.as_bytes())
    }

    pub fn write_chunk(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
    }

    pub fn end_chunks(&mut self) -> io::Result<()> {
        self.stream.write_all(b"0\r\n\r\n")
    }

    /// Whether the other side has closed the connection.
    pub fn is_closed(&self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let peeked = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(e) => e.kind() != ErrorKind::WouldBlock,
        }
    }
}

fn head(status: u16, headers: &[(&str, &str)]) -> String {
    let mut text = format!("HTTP/1.1 {status} X\r\n");
    headers.iter().for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
    text
}

/// Returns a header of a response.
pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    find(headers, name)
}

/// Accepts connections until `stop` is set, and then closes the port. Each connection is handled in a thread.
pub fn listen(
    listener: TcpListener,
    stop: Arc<AtomicBool>,
    handle: impl Fn(Connection, SocketAddr) + Send + Sync + 'static,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        while !stop.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, from)) => {
                    let handle = handle.clone();
                    let _ = stream.set_nonblocking(false);
                    thread::spawn(move || handle(Connection::new(stream), from));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    });
    Ok(())
}
