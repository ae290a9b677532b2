//! HTTP/1.1 as the stand-ins need it.

use std::io::{self, Read};
use std::net::TcpStream;

/// The head of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the first value of a header, or an empty text.
    pub fn get(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    pub fn has(&self, name: &str) -> bool {
        self.headers.iter().any(|(n, _)| n == name)
    }

    /// Returns a word of the first line.
    pub fn word(&self, number: usize) -> &str {
        self.first_line.split(' ').nth(number).unwrap_or_default()
    }
}

/// Reads from a connection; keeps what was received beyond the message.
pub struct Input {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Input {
    pub fn new(stream: &TcpStream) -> io::Result<Self> {
        Ok(Self { stream: stream.try_clone()?, buffer: Vec::new() })
    }

    /// Receives some bytes; false at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 64 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    /// Reads a head; `None` if the connection ends before it.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break end;
            }
            if !self.fill()? {
                return Ok(None);
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first_line = lines.next().unwrap_or_default().to_string();
        let headers = lines.filter_map(|line| {
            let (name, value) = line.split_once(':')?;
            Some((name.to_ascii_lowercase(), value.trim().to_string()))
        });
        Ok(Some(Head { first_line, headers: headers.collect() }))
    }

    /// Reads the body of a request or a response into `body`; returns whether it was complete. A body
    /// without length and chunks ends with the connection if `until_close`, and is empty otherwise.
    pub fn body(&mut self, head: &Head, until_close: bool, body: &mut Vec<u8>) -> io::Result<bool> {
        if head.get("transfer-encoding").eq_ignore_ascii_case("chunked") {
            return self.chunks(body);
        }
        if let Ok(length) = head.get("content-length").parse::<usize>() {
            while self.buffer.len() < length {
                if !self.fill()? {
                    body.append(&mut self.buffer);
                    return Ok(false);
                }
            }
            body.extend(self.buffer.drain(..length));
            return Ok(true);
        }
        if until_close {
            while self.fill()? {}
            body.append(&mut self.buffer);
        }
        Ok(true)
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            let end = loop {
                if let Some(end) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                    break end;
                }
                if !self.fill()? {
                    return Ok(false);
                }
            };
            let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
            let size = line.split(';').next().unwrap_or_default().trim().to_string();
            let Ok(length) = usize::from_str_radix(&size, 16) else { return Ok(false) };
            while self.buffer.len() < end + 2 + length + 2 {
                if !self.fill()? {
                    return Ok(false);
                }
            }
            body.extend_from_slice(&self.buffer[end + 2..end + 2 + length]);
            self.buffer.drain(..end + 2 + length + 2);
            if length == 0 {
                return Ok(true);
            }
        }
    }
}
