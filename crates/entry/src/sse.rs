//! Splits server-sent events (WHATWG HTML, section 9.2) out of a stream of bytes.

use bytes::{Bytes, BytesMut};
use wasabi_core::errors::{Code, Error, Result};

/// Larger events break the answer.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
const DATA: &str = "data:";

/// Collects bytes until an event is whole.
#[derive(Debug, Default)]
pub struct Splitter {
    /// At most `MAX_EVENT_BYTES` and one read.
    buffer: BytesMut,
}

impl Splitter {
    /// Takes in bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) -> Result<()> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > MAX_EVENT_BYTES && self.end().is_none() {
            return Err(Error::new(Code::AnswerBroken, "an event is too large"));
        }
        Ok(())
    }

    /// Takes out the next whole event with its blank line.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let end = self.end()?;
        Some(self.buffer.split_to(end).freeze())
    }

    fn end(&self) -> Option<usize> {
        let unix = find(&self.buffer, b"\n\n").map(|at| at + 2);
        let dos = find(&self.buffer, b"\r\n\r\n").map(|at| at + 4);
        unix.into_iter().chain(dos).min()
    }
}

/// Returns the data of an event, its lines joined by newlines; `None` if it has none.
pub fn data(event: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(event).ok()?;
    let lines = text.lines().filter_map(|line| line.strip_prefix(DATA));
    let lines: Vec<&str> = lines.map(|line| line.strip_prefix(' ').unwrap_or(line)).collect();
    (!lines.is_empty()).then(|| lines.join("\n"))
}

/// Returns an event with one line of data.
pub fn event(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

fn find(buffer: &[u8], pattern: &[u8]) -> Option<usize> {
    buffer.windows(pattern.len()).position(|window| window == pattern)
}
