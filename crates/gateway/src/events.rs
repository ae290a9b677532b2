//! Splits a stream of server-sent events, so that only complete events are passed on.

use bytes::{Bytes, BytesMut};

/// Splits bytes into complete events and drops events that were already passed on.
#[derive(Debug, Default)]
pub struct Splitter {
    /// The bytes of an event that is not complete yet.
    partial: BytesMut,
    /// The last id among the events passed on.
    last_id: Option<u64>,
    /// Number of events passed on.
    count: u64,
}

impl Splitter {
    /// Returns the last id among the events passed on; events without an id do not change it.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of events passed on.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns how many bytes follow the last complete event.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Adds bytes and returns the events that they complete, if any.
    ///
    /// Events whose id is not greater than the last one are dropped: a server that resumes a stream
    /// may repeat them.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.partial.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        while let Some(end) = event_length(&self.partial) {
            let event = self.partial.split_to(end);
            let id = event_id(&event);
            let duplicate = matches!((id, self.last_id), (Some(id), Some(last)) if id <= last);
            if duplicate {
                continue;
            }
            self.last_id = id.or(self.last_id);
            self.count += 1;
            out.unsplit(event);
        }
        (!out.is_empty()).then(|| out.freeze())
    }

    /// Returns the bytes after the last complete event, at the end of the stream.
    pub fn finish(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Discards the bytes of an incomplete event, since the stream broke off within it.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }
}

/// Returns the length of the first event, including the blank line that ends it.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (at, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let blank = at == line_start || (at == line_start + 1 && bytes[line_start] == b'\r');
        if blank {
            return Some(at + 1);
        }
        line_start = at + 1;
    }
    None
}

/// Returns the number in the event's first `id` field, if it has one.
fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
