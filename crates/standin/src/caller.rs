//! A caller: plain HTTP requests and streams, as a client would make them.

use std::{
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use anyhow::Context as _;
use serde_json::{Value, json};

use crate::process;

/// A request that is ready to be sent.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// Headers with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body, without chunk framing.
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub complete: bool,
}

/// A streamed answer.
#[derive(Clone, Debug)]
pub struct Stream {
    /// The HTTP status.
    pub status: u16,
    /// The text of all tokens.
    pub text: String,
    /// How many tokens came.
    pub tokens: u64,
    /// Whether the end marker came and the framing ended.
    pub complete: bool,
    /// The error that the answer or its last event states.
    pub error: Option<Value>,
    /// When the first token came.
    pub first: Option<Instant>,
    /// When each token came.
    pub times: Vec<Instant>,
    /// The longest time between tokens.
    pub longest_gap: Duration,
}

impl Call {
    /// Gets a streamed chat request.
    pub fn chat(key: &str, model: &str, prompt: &str, tokens: u64) -> Self {
        let body = json!({
            "model": model,
            "stream": true,
            "max_tokens": tokens,
            "messages": prompt,
        });
        Self::post("/v1/chat/completions", body.to_string()).bearer(key)
    }

    /// Gets a POST request.
    pub fn post(target: &str, body: impl Into<String>) -> Self {
        let headers = vec![("content-type".to_string(), "application/json".to_string())];
        let body = body.into().into_bytes();
        Self { method: "POST".to_string(), target: target.to_string(), headers, body }
    }

    /// Gets a GET request.
    pub fn get(target: &str) -> Self {
        let (method, target) = ("GET".to_string(), target.to_string());
        Self { method, target, headers: Vec::new(), body: Vec::new() }
    }

    /// Returns the request with a key.
    pub fn bearer(self, key: &str) -> Self {
        self.header("authorization", &format!("Bearer {key}"))
    }

    /// Returns the request with one more header.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_string(), value.to_string()));
        self
    }

    /// Sends the request; the answer is still to be read.
    pub fn send(&self, address: SocketAddr) -> anyhow::Result<Pending> {
        let mut socket = TcpStream::connect(address).context("connect")?;
        socket.set_read_timeout(Some(process::patience()))?;
        socket.set_nodelay(true)?;
        let mut head = format!("{} {} HTTP/1.1\r\nhost: {address}\r\n", self.method, self.target);
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("content-length: {}\r\nconnection: close\r\n\r\n", self.body.len()));
        socket.write_all(head.as_bytes())?;
        socket.write_all(&self.body)?;
        Ok(Pending { reader: BufReader::new(socket), head: None, first: None })
    }

    /// Sends the request and gets the whole answer.
    pub fn answer(&self, address: SocketAddr) -> anyhow::Result<Answer> {
        self.send(address)?.answer()
    }

    /// Sends the request and gets the whole stream.
    pub fn stream(&self, address: SocketAddr) -> anyhow::Result<Stream> {
        self.send(address)?.stream()
    }
}

/// A request that was sent.
pub struct Pending {
    reader: BufReader<TcpStream>,
    /// The head, once `wait_first` has read it.
    head: Option<Head>,
    /// The first chunk, once `wait_first` has read it.
    first: Option<Vec<u8>>,
}

/// The status and the headers of an answer.
type Head = (u16, Vec<(String, String)>);

impl Pending {
    /// Gets the whole answer.
    pub fn answer(mut self) -> anyhow::Result<Answer> {
        let (status, headers) = self.head()?;
        let mut body = Vec::new();
        let find = |name: &str| headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str());
        let complete = if find("transfer-encoding").is_some() {
            loop {
                match self.chunk() {
                    Ok(Some(data)) => body.extend_from_slice(&data),
                    Ok(None) => break true,
                    Err(_) => break false,
                }
            }
        } else {
            let length: usize = find("content-length").unwrap_or("0").parse()?;
            body.resize(length, 0);
            self.reader.read_exact(&mut body).is_ok()
        };
        Ok(Answer { status, headers, body, complete })
    }

    /// Gets the whole stream.
    pub fn stream(mut self) -> anyhow::Result<Stream> {
        let (status, headers) = self.head()?;
        let mut stream = Stream {
            status,
            text: String::new(),
            tokens: 0,
            complete: false,
            error: None,
            first: None,
            times: Vec::new(),
            longest_gap: Duration::ZERO,
        };
        if status != 200 {
            let length = headers.iter().find(|(name, _)| name == "content-length");
            let length: usize = length.map_or(Ok(0), |(_, value)| value.parse())?;
            let mut body = vec![0; length];
            self.reader.read_exact(&mut body)?;
            stream.error = Some(serde_json::from_slice(&body)?);
            return Ok(stream);
        }
        let mut done = false;
        while let Ok(chunk) = self.chunk() {
            let Some(chunk) = chunk else {
                stream.complete = done;
                break;
            };
            for line in String::from_utf8_lossy(&chunk).lines() {
                let Some(data) = line.strip_prefix("data: ") else { continue };
                if data == "[DONE]" {
                    done = true;
                    continue;
                }
                stream.take(serde_json::from_str(data)?);
            }
        }
        Ok(stream)
    }

    /// Waits for the first chunk of the answer.
    pub fn wait_first(&mut self) -> anyhow::Result<u16> {
        let head = self.head()?;
        let status = head.0;
        if status == 200 {
            self.first = self.chunk()?;
        }
        self.head = Some(head);
        Ok(status)
    }

    /// Reads on after `wait_first` to the end; returns the text read and whether it ended well.
    pub fn rest(mut self) -> (String, bool) {
        self.first = None;
        let mut text = String::new();
        loop {
            match self.chunk() {
                Ok(Some(data)) => text.push_str(&String::from_utf8_lossy(&data)),
                Ok(None) => return (text, true),
                Err(_) => return (text, false),
            }
        }
    }

    fn head(&mut self) -> anyhow::Result<Head> {
        if let Some(head) = self.head.take() {
            return Ok(head);
        }
        let mut line = String::new();
        self.reader.read_line(&mut line)?;
        let status = line.split(' ').nth(1).context("no status")?.parse()?;
        let mut headers = Vec::new();
        loop {
            let mut line = String::new();
            self.reader.read_line(&mut line)?;
            let Some((name, value)) = line.trim().split_once(':') else { break };
            headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
        Ok((status, headers))
    }

    fn chunk(&mut self) -> anyhow::Result<Option<Vec<u8>>> {
        if let Some(first) = self.first.take() {
            return Ok(Some(first));
        }
        let mut line = String::new();
        self.reader.read_line(&mut line)?;
        let length = usize::from_str_radix(line.trim(), 16)?;
        let mut data = vec![0; length + 2];
        self.reader.read_exact(&mut data)?;
        data.truncate(length);
        Ok((length > 0).then_some(data))
    }
}

impl Stream {
    /// Returns the number of the error, if there is one.
    pub fn code(&self) -> Option<u64> {
        self.error.as_ref()?.get("error")?.get("code")?.as_u64()
    }

    /// Returns the mean time between tokens.
    pub fn mean_gap(&self) -> Duration {
        let (Some(first), Some(last)) = (self.first, self.times.last()) else {
            return Duration::ZERO;
        };
        last.duration_since(first) / (self.tokens.saturating_sub(1)).max(1) as u32
    }

    fn take(&mut self, event: Value) {
        if event.get("error").is_some() {
            self.error = Some(event);
            return;
        }
        let Some(choice) = event.get("choices").and_then(|choices| choices.get(0)) else { return };
        let delta = choice.get("delta").and_then(|delta| delta.get("content"));
        let Some(text) = delta.or_else(|| choice.get("text")).and_then(Value::as_str) else {
            return;
        };
        let now = Instant::now();
        let gap = self.times.last().map_or(Duration::ZERO, |last| now.duration_since(*last));
        self.times.push(now);
        self.longest_gap = self.longest_gap.max(gap);
        self.first.get_or_insert(now);
        self.text.push_str(text);
        self.tokens += 1;
    }
}

impl Answer {
    /// Returns the body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the number of the error that the body states, if it does.
    pub fn code(&self) -> Option<u64> {
        self.json().get("error")?.get("code")?.as_u64()
    }

    /// Returns what the error says of the request's run.
    pub fn ran(&self) -> Option<String> {
        Some(self.json().get("error")?.get("ran")?.as_str()?.to_string())
    }
}
