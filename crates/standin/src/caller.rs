//! HTTP/1.1 client for tests: plain calls and streamed chat completions, one connection each.

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
    /// The HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers besides `host`, `content-length` and `connection`, which are added on sending.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// A response, as far as it was received.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body, without chunk framing.
    pub body: Vec<u8>,
    /// Whether the body was received completely, according to its framing.
    pub complete: bool,
}

/// A streamed response, as far as it was received.
#[derive(Clone, Debug)]
pub struct Stream {
    /// The HTTP status.
    pub status: u16,
    /// The text of all tokens.
    pub text: String,
    /// Number of tokens received.
    pub tokens: u64,
    /// Whether both the `[DONE]` event and the last chunk were received.
    pub complete: bool,
    /// The error in the body, or in the last event with an error.
    pub error: Option<Value>,
    /// When the first token was received.
    pub first_token_at: Option<Instant>,
    /// When each token was received.
    pub token_times: Vec<Instant>,
    /// The longest time between two tokens.
    pub longest_gap: Duration,
}

impl Call {
    /// A chat completion that streams `tokens` tokens at most.
    pub fn chat(key: &str, model: &str, prompt: &str, tokens: u64) -> Self {
        let body = json!({
            "model": model,
            "stream": true,
            "max_tokens": tokens,
            "messages": prompt,
        });
        Self::post("/v1/chat/completions", body.to_string()).bearer(key)
    }

    /// A POST request with a JSON body.
    pub fn post(target: &str, body: impl Into<String>) -> Self {
        let headers = vec![("content-type".to_string(), "application/json".to_string())];
        let body = body.into().into_bytes();
        Self { method: "POST".to_string(), target: target.to_string(), headers, body }
    }

    /// A GET request without headers.
    pub fn get(target: &str) -> Self {
        let (method, target) = ("GET".to_string(), target.to_string());
        Self { method, target, headers: Vec::new(), body: Vec::new() }
    }

    /// Adds `key` as bearer token.
    pub fn bearer(self, key: &str) -> Self {
        self.header("authorization", &format!("Bearer {key}"))
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_string(), value.to_string()));
        self
    }

    /// Sends the request on a new connection; the response is still to be read.
    pub fn send(&self, address: SocketAddr) -> anyhow::Result<PendingResponse> {
        let mut socket = TcpStream::connect(address).context("connect")?;
        socket.set_read_timeout(Some(process::wait_timeout()))?;
        socket.set_nodelay(true)?;
        let mut head = format!("{} {} HTTP/1.1\r\nhost: {address}\r\n", self.method, self.target);
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("content-length: {}\r\nconnection: close\r\n\r\n", self.body.len()));
        socket.write_all(head.as_bytes())?;
        socket.write_all(&self.body)?;
        Ok(PendingResponse { reader: BufReader::new(socket), head: None, first_chunk: None })
    }

    /// Sends the request and reads the response to its end.
    pub fn fetch(&self, address: SocketAddr) -> anyhow::Result<Response> {
        self.send(address)?.read()
    }

    /// Sends the request and reads the streamed response to its end.
    pub fn stream(&self, address: SocketAddr) -> anyhow::Result<Stream> {
        self.send(address)?.stream()
    }
}

/// A sent request, whose response is not yet read.
pub struct PendingResponse {
    reader: BufReader<TcpStream>,
    /// The head, once `wait_first_chunk` has read it.
    head: Option<Head>,
    /// The first chunk, once `wait_first_chunk` has read it.
    first_chunk: Option<Vec<u8>>,
}

/// The status and the headers of a response, names in lower case.
type Head = (u16, Vec<(String, String)>);

impl PendingResponse {
    /// Reads the response to its end.
    pub fn read(mut self) -> anyhow::Result<Response> {
        let (status, headers) = self.read_head()?;
        let mut body = Vec::new();
        let find = |name: &str| headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str());
        let complete = if find("transfer-encoding").is_some() {
            loop {
                match self.read_chunk() {
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
        Ok(Response { status, headers, body, complete })
    }

    /// Reads the streamed response to its end; a response with a status other than 200 must be
    /// JSON.
    pub fn stream(mut self) -> anyhow::Result<Stream> {
        let (status, headers) = self.read_head()?;
        let mut stream = Stream {
            status,
            text: String::new(),
            tokens: 0,
            complete: false,
            error: None,
            first_token_at: None,
            token_times: Vec::new(),
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
        while let Ok(chunk) = self.read_chunk() {
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
                stream.add_event(serde_json::from_str(data)?);
            }
        }
        Ok(stream)
    }

    /// Waits for the head of the response, and for the first chunk if the status is 200; returns
    /// the status.
    pub fn wait_first_chunk(&mut self) -> anyhow::Result<u16> {
        let head = self.read_head()?;
        let status = head.0;
        if status == 200 {
            self.first_chunk = self.read_chunk()?;
        }
        self.head = Some(head);
        Ok(status)
    }

    /// Reads the chunks after the first one, which [`Self::wait_first_chunk`] must have read;
    /// returns their text, and whether the last chunk was received.
    pub fn read_rest(mut self) -> (String, bool) {
        self.first_chunk = None;
        let mut text = String::new();
        loop {
            match self.read_chunk() {
                Ok(Some(data)) => text.push_str(&String::from_utf8_lossy(&data)),
                Ok(None) => return (text, true),
                Err(_) => return (text, false),
            }
        }
    }

    fn read_head(&mut self) -> anyhow::Result<Head> {
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

    /// Reads a chunk; `None` is the last chunk.
    fn read_chunk(&mut self) -> anyhow::Result<Option<Vec<u8>>> {
        if let Some(first) = self.first_chunk.take() {
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
    /// Returns the code of the error, if there is one.
    pub fn code(&self) -> Option<u64> {
        self.error.as_ref()?.get("error")?.get("code")?.as_u64()
    }

    /// Returns the mean time between tokens, zero with fewer than two tokens.
    pub fn mean_gap(&self) -> Duration {
        let (Some(first), Some(last)) = (self.first_token_at, self.token_times.last()) else {
            return Duration::ZERO;
        };
        last.duration_since(first) / (self.tokens.saturating_sub(1)).max(1) as u32
    }

    fn add_event(&mut self, event: Value) {
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
        let gap = self.token_times.last().map_or(Duration::ZERO, |last| now.duration_since(*last));
        self.token_times.push(now);
        self.longest_gap = self.longest_gap.max(gap);
        self.first_token_at.get_or_insert(now);
        self.text.push_str(text);
        self.tokens += 1;
    }
}

impl Response {
    /// Returns the body as JSON, null if it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the code of the error in the body, if there is one.
    pub fn code(&self) -> Option<u64> {
        self.json().get("error")?.get("code")?.as_u64()
    }

    /// Returns the field `ran` of the error in the body: whether the request has run.
    pub fn ran(&self) -> Option<String> {
        Some(self.json().get("error")?.get("ran")?.as_str()?.to_string())
    }
}
