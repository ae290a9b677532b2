//! Splits a byte stream into server-sent events (WHATWG HTML, section 9.2) and formats events.
//!
//! An event ends with LF LF or CR LF CR LF; other line ends of the standard are not recognized.

use bytes::{Bytes, BytesMut};
use wasabi_core::errors::{Code, Error, Result};

/// Larger events fail the answer.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
const MAX_TERMINATOR_BYTES: usize = 4;
const DATA_FIELD: &str = "data:";

/// Buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub struct Splitter {
    /// Can exceed `MAX_EVENT_BYTES` by two reads: `push` compares the limit only with `scanned`,
    /// the part that was searched before.
    buffer: BytesMut,
    /// Length of the prefix in which no terminator begins; it is not searched again.
    scanned: usize,
}

impl Splitter {
    /// Appends bytes as they were received.
    ///
    /// Errors: `AnswerBroken` if more than 1 MiB was already searched without finding the end of
    /// the event, even if `bytes` contain it.
    pub fn push(&mut self, bytes: &[u8]) -> Result<()> {
        self.buffer.extend_from_slice(bytes);
        if self.scanned > MAX_EVENT_BYTES {
            return Err(Error::new(Code::AnswerBroken, "an event is too large"));
        }
        Ok(())
    }

    /// Removes and returns the next complete event with its blank line. Call it until it returns
    /// `None`, before the next `push`.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let Some(end) = self.find_event_end() else {
            self.scanned = self.buffer.len().saturating_sub(MAX_TERMINATOR_BYTES - 1);
            return None;
        };
        self.scanned = 0;
        Some(self.buffer.split_to(end).freeze())
    }

    fn find_event_end(&self) -> Option<usize> {
        let unscanned = &self.buffer[self.scanned..];
        let lf = find(unscanned, b"\n\n").map(|at| at + 2);
        let crlf = find(unscanned, b"\r\n\r\n").map(|at| at + MAX_TERMINATOR_BYTES);
        lf.into_iter().chain(crlf).min().map(|end| self.scanned + end)
    }
}

/// Returns the data of an event, its lines joined by newlines; `None` if it has no data or is not
/// UTF-8.
pub fn data(event: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(event).ok()?;
    let lines = text.lines().filter_map(|line| line.strip_prefix(DATA_FIELD));
    let lines: Vec<&str> = lines.map(|line| line.strip_prefix(' ').unwrap_or(line)).collect();
    (!lines.is_empty()).then(|| lines.join("\n"))
}

/// Formats an event; `data` must be a single line.
pub fn event(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

fn find(buffer: &[u8], pattern: &[u8]) -> Option<usize> {
    buffer.windows(pattern.len()).position(|window| window == pattern)
}
