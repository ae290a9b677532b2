//! The events of a stream: whole ones only, each with its id.

use bytes::{Bytes, BytesMut};

/// Splits a stream of bytes into whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    /// What has come of an event that is not whole yet.
    rest: BytesMut,
    /// The id of the last whole event.
    last: Option<u64>,
}

impl Splitter {
    /// Returns the id of the last event that was passed on.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Takes in bytes and returns the whole events that are now complete, if there are any.
    ///
    /// Events that were passed on before, by their ids, are left out.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.rest.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        while let Some(end) = end_of_event(&self.rest) {
            let event = self.rest.split_to(end);
            let id = id(&event);
            let known = matches!((id, self.last), (Some(id), Some(last)) if id <= last);
            if known {
                continue;
            }
            self.last = id.or(self.last);
            out.unsplit(event);
        }
        (!out.is_empty()).then(|| out.freeze())
    }

    /// Returns what is left at the end of a complete stream.
    pub fn finish(&mut self) -> Bytes {
        self.rest.split().freeze()
    }

    /// Drops what has come of an event that will not be completed.
    pub fn drop_rest(&mut self) {
        self.rest.clear();
    }
}

/// Returns the length of the first event with its blank line.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let mut line = 0;
    for (at, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let blank = at == line || (at == line + 1 && bytes[line] == b'\r');
        if blank {
            return Some(at + 1);
        }
        line = at + 1;
    }
    None
}

fn id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
