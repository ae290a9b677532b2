//! A caller's request over a connection of its own.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{Head, Input};

#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
    pub deadline: Duration,
    /// How long the caller takes to send the body.
    pub upload: Duration,
}

#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if no head came.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether its framing says that all of it has come.
    pub complete: bool,
}

impl Request {
    pub fn new(id: &str, method: &'static str, path: &str, body: &str) -> Self {
        let deadline = Duration::from_secs(12);
        let (path, body) = (path.to_string(), body.to_string());
        Self {
            id: id.to_string(),
            method,
            path,
            headers: Vec::new(),
            body,
            deadline,
            upload: Duration::ZERO,
        }
    }

    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_string(), value.to_string()));
        self
    }

    fn head(&self) -> String {
        let more: String = self.headers.iter().map(|(n, v)| format!("{n}: {v}\r\n")).collect();
        format!(
            "{} {} HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\n\
             Authorization: Token k1\r\nContent-Length: {}\r\n{more}\r\n",
            self.method,
            self.path,
            self.id,
            self.deadline.as_millis(),
            self.body.len()
        )
    }

    /// Sends the request and reads its answer until it ends or the deadline has passed.
    pub fn send(&self, to: SocketAddr) -> Answer {
        let mut answer = Answer::default();
        // What came until an error stays in the answer, which is not complete then.
        let _ = self.exchange(to, &mut answer);
        answer
    }

    fn exchange(&self, to: SocketAddr, answer: &mut Answer) -> io::Result<()> {
        Kept::connect(to)?.exchange(self, answer)
    }
}

/// A connection that is kept for further requests.
pub struct Kept {
    stream: TcpStream,
    input: Input,
}

impl Kept {
    pub fn connect(to: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let input = Input::new(&stream)?;
        Ok(Self { stream, input })
    }

    /// Sends a request and reads its answer; an error if the connection is of no further use.
    pub fn exchange(&mut self, request: &Request, answer: &mut Answer) -> io::Result<()> {
        self.stream.set_read_timeout(Some(request.deadline))?;
        self.stream.write_all(request.head().as_bytes())?;
        self.write_body(request)?;
        let Some(head) = self.input.head()? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        answer.status = head.word(1).parse().unwrap_or(0);
        answer.head = head;
        answer.complete = self.input.body(&answer.head, true, &mut answer.body)?;
        match answer.head.get("connection").eq_ignore_ascii_case("close") {
            true => Err(io::ErrorKind::NotConnected.into()),
            false => Ok(()),
        }
    }

    /// Sends the body in as many parts as the request says, spread over its time for that.
    fn write_body(&mut self, request: &Request) -> io::Result<()> {
        const PARTS: usize = 20;
        let body = request.body.as_bytes();
        if request.upload.is_zero() {
            return self.stream.write_all(body);
        }
        for part in body.chunks(body.len().div_ceil(PARTS).max(1)) {
            self.stream.write_all(part)?;
            std::thread::sleep(request.upload / PARTS as u32);
        }
        Ok(())
    }
}

impl Answer {
    /// Returns the ids of the events of a stream.
    pub fn event_ids(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
    }

    /// Whether an engine has answered it with success.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status) && self.head.has("response-signature")
    }
}
