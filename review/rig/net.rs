//! HTTP/1.1 over blocking sockets: a server with a thread a connection, and a client.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub line: String,
    /// Headers with names in lowercase.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message { line: line.trim_end().to_string(), ..Message::default() };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_lowercase(), value.trim().to_string()));
        }
    }
}

/// Reads a request with its body.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Calls `serve` on a thread for each connection to a free port of `ip`, or to a given port.
pub fn listen(
    at: SocketAddr,
    serve: impl Fn(TcpStream) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(at)?;
    let address = listener.local_addr()?;
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let serve = serve.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let _ = serve(stream);
            });
        }
    });
    Ok(address)
}

pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Writes a whole response with its length.
pub fn respond(stream: &mut impl Write, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// How an answer to a client ended.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the framing of the answer says that it is complete.
    pub complete: bool,
    /// Why there is no answer, or no complete one.
    pub error: String,
    pub took: Duration,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value.as_str())
    }
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: String,
    pub path: String,
    pub host: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub timeout: Duration,
}

impl Call {
    pub fn bytes(&self) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\nHost: {}\r\n", self.method, self.path, self.host);
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.method != "GET" {
            head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        head.push_str("\r\n");
        [head.as_bytes(), &self.body].concat()
    }

    /// Sends the request on a new connection and reads the answer.
    pub fn send(&self, to: SocketAddr) -> Answer {
        let begun = Instant::now();
        let mut answer = Answer::default();
        if let Err(e) = self.exchange(to, &mut answer) {
            answer.error = e.to_string();
        }
        answer.took = begun.elapsed();
        answer
    }

    fn exchange(&self, to: SocketAddr, answer: &mut Answer) -> io::Result<()> {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(self.timeout))?;
        stream.write_all(&self.bytes())?;
        read_answer(&mut BufReader::new(stream), answer)
    }
}

/// Reads an answer; what has arrived is in `answer` also after an error.
pub fn read_answer(reader: &mut impl BufRead, answer: &mut Answer) -> io::Result<()> {
    let end = || io::Error::from(io::ErrorKind::UnexpectedEof);
    let head = read_head(reader)?.ok_or_else(end)?;
    (answer.status, answer.headers) = (head.status(), head.headers.clone());
    if head.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(end());
            }
            let length = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk)?;
            if length == 0 {
                answer.complete = true;
                return Ok(());
            }
            answer.body.extend_from_slice(&chunk[..length]);
        }
    }
    let length: usize = head.header("content-length").parse().unwrap_or(0);
    let mut buffer = [0; 4096];
    while answer.body.len() < length {
        let most = buffer.len().min(length - answer.body.len());
        match reader.read(&mut buffer[..most])? {
            0 => return Err(end()),
            count => answer.body.extend_from_slice(&buffer[..count]),
        }
    }
    answer.complete = true;
    Ok(())
}
