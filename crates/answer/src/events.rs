//! Splits a byte stream into server-sent events (WHATWG HTML, section 9.2.6).

use bytes::{Bytes, BytesMut};

use crate::broken::Broken;

/// Larger events fail the answer.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// No field of an event has such a name; it begins the head of another answer.
const STATUS_LINE: &[u8] = b"HTTP/1.";

/// Buffers bytes until an event is complete. Lines end with LF, CR LF or CR.
#[derive(Debug)]
pub struct Splitter {
    /// Can exceed `MAX_EVENT_BYTES` by two reads: `push` compares the limit only with `scanned`,
    /// the part that was searched before.
    buffer: BytesMut,
    /// Length of the prefix that has been searched; no event ends in it.
    scanned: usize,
    /// Whether `scanned` ends a line, or is 0.
    at_line_start: bool,
    /// Whether the head of another answer has been found in place of an event.
    has_other_answer: bool,
}

impl Default for Splitter {
    fn default() -> Self {
        Self { buffer: BytesMut::new(), scanned: 0, at_line_start: true, has_other_answer: false }
    }
}

impl Splitter {
    /// Appends bytes as they were received.
    ///
    /// Errors: `EventTooLarge` if more than 1 MiB was already searched without finding the end of
    /// the event, even if `bytes` contain it; `OtherAnswer` after the head of another answer.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), Broken> {
        if self.has_other_answer {
            return Err(Broken::OtherAnswer);
        }
        self.buffer.extend_from_slice(bytes);
        if self.scanned > MAX_EVENT_BYTES {
            return Err(Broken::EventTooLarge);
        }
        Ok(())
    }

    /// Removes and returns the next complete event with its blank line; there is none after the head of
    /// another answer. Call it until it returns `None`, before the next `push`.
    pub fn next_event(&mut self) -> Option<Bytes> {
        if self.has_other_answer {
            return None;
        }
        while let Some(byte) = self.buffer.get(self.scanned) {
            let line_end = match (byte, self.buffer.get(self.scanned + 1)) {
                (b'\n', _) => 1,
                (b'\r', Some(b'\n')) => 2,
                (b'\r', Some(_)) => 1,
                // It may be the first half of CR LF.
                (b'\r', None) => return None,
                _ => 0,
            };
            let ends_event = line_end > 0 && self.at_line_start;
            self.scanned += line_end.max(1);
            self.at_line_start = line_end > 0;
            if ends_event {
                self.has_other_answer = has_status_line(&self.buffer[..self.scanned]);
                return (!self.has_other_answer).then(|| self.take_scanned());
            }
        }
        None
    }

    /// Ends the stream; returns its last event if the line end of that is a lone CR.
    ///
    /// Errors: `InsideEvent` if the stream ends inside an event, `OtherAnswer` inside another answer.
    pub fn finish(&mut self) -> Result<Option<Bytes>, Broken> {
        if self.has_other_answer {
            return Err(Broken::OtherAnswer);
        }
        match &self.buffer[self.scanned..] {
            [] if self.scanned == 0 => Ok(None),
            [b'\r'] if self.at_line_start => {
                self.scanned += 1;
                Ok(Some(self.take_scanned()))
            }
            _ => Err(Broken::InsideEvent),
        }
    }

    /// Returns how many bytes follow the last complete event.
    pub fn partial_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Discards the bytes after the last complete event.
    pub fn discard_partial(&mut self) {
        *self = Self::default();
    }

    fn take_scanned(&mut self) -> Bytes {
        let event = self.buffer.split_to(self.scanned).freeze();
        (self.scanned, self.at_line_start) = (0, true);
        event
    }
}

fn has_status_line(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| matches!(byte, b'\n' | b'\r'));
    lines.any(|line| line.starts_with(STATUS_LINE))
}
