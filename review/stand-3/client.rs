//! Clients: each attempt has an id of its own and a new connection.

use std::{
    io::{self, Write as _},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::{
    http::{self, Connection},
    record::Record,
};

/// What a client sends.
#[derive(Clone, Default)]
pub struct Call {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub key: Option<&'static str>,
    /// How long the client will wait.
    pub deadline_ms: u64,
    /// The parts of the prompt as ID:TOKENS.
    pub prompt: Option<String>,
    /// The attempt that brought the first event, and the last event that the client has.
    pub resumes: Option<(String, u64)>,
}

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if there was none.
    pub status: u16,
    pub retry_after_ms: Option<u64>,
    /// The ids of the events.
    pub events: Vec<u64>,
    pub complete: bool,
    pub text: String,
}

impl Call {
    /// Sends the request and waits for the answer.
    pub fn send(&self, to: SocketAddr, record: &Record) -> Answer {
        let mut answer = Answer::default();
        record.add(format!("{} sent, {} {} to {to}", self.id, self.method, self.path));
        let ended = self.exchange(to, &mut answer);
        let Answer { status, events, complete, .. } = &answer;
        let last = events.last().copied().unwrap_or(0);
        let cause = ended.err().map(|e| e.kind().to_string()).unwrap_or_default();
        record.add(format!(
            "{} got status {status}, {} events up to {last}, complete {complete} {cause}",
            self.id,
            events.len()
        ));
        answer
    }

    fn exchange(&self, to: SocketAddr, answer: &mut Answer) -> io::Result<()> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_millis(self.deadline_ms)))?;
        let mut connection = Connection::new(stream);
        let mut head = format!(
            "{} {} HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\n",
            self.method, self.path, self.id, self.deadline_ms
        );
        if let Some(key) = self.key {
            head.push_str(&format!("Authorization: Token {key}\r\n"));
        }
        if let Some(prompt) = &self.prompt {
            let parts =
                prompt.split(',').filter_map(|part| part.split_once(':')?.1.parse::<u64>().ok());
            let tokens: u64 = parts.sum();
            head.push_str(&format!("Model: m\r\nToken-Usage: {tokens},300\r\n"));
            head.push_str(&format!("Prompt-Prefix: {prompt}\r\n"));
        }
        if let Some((begun, after)) = &self.resumes {
            head.push_str(&format!("Resumes: {begun}\r\nLast-Event-Id: {after}\r\n"));
        }
        head.push_str("Content-Length: 0\r\n\r\n");
        connection.stream.write_all(head.as_bytes())?;
        let (status, headers) = connection.response_head()?;
        answer.status = status;
        let seconds =
            http::header(&headers, "Retry-After").and_then(|text| text.parse::<f64>().ok());
        answer.retry_after_ms = seconds.map(|seconds| (seconds * 1e3) as u64);
        if http::header(&headers, "Transfer-Encoding").is_none() {
            answer.text = String::from_utf8_lossy(&connection.body(&headers)?).into_owned();
            answer.complete = true;
            return Ok(());
        }
        while let Some(part) = connection.chunk()? {
            answer.text.push_str(&String::from_utf8_lossy(&part));
            let ids = answer.text.lines().filter_map(|line| line.strip_prefix("id: "));
            answer.events = ids.filter_map(|id| id.parse().ok()).collect();
        }
        answer.complete = true;
        Ok(())
    }
}
