//! The memory that buffered responses may take together.

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};

use crate::send::cause;

/// A response up to this size is always accepted: large ones must not crowd out the others.
const FREE_BYTES: usize = 64 * 1024;
/// The largest response that is buffered.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// How long past the deadline the rest of a buffered response that has begun is awaited.
pub const RESPONSE_GRACE: Duration = Duration::from_millis(40);

/// Counts the bytes of all buffered responses beyond [`FREE_BYTES`] each.
#[derive(Clone, Debug)]
pub struct Memory {
    used: Rc<Cell<usize>>,
    /// The most that they take.
    max_bytes: usize,
}

/// A part of the memory; dropping it frees it.
#[derive(Debug)]
pub struct Reservation {
    memory: Memory,
    bytes: usize,
}

impl Memory {
    /// Creates the memory for responses of `max_bytes` in all, beside [`FREE_BYTES`] each.
    pub fn new(max_bytes: usize) -> Self {
        Self { used: Rc::default(), max_bytes }
    }

    /// Returns whether there is little room left: less than two of the largest responses, or a quarter.
    pub fn is_short(&self) -> bool {
        let reserve = (2 * MAX_RESPONSE_BYTES).min(self.max_bytes / 4);
        self.used.get() + reserve > self.max_bytes
    }

    /// Returns an empty reservation.
    pub fn reserve(&self) -> Reservation {
        Reservation { memory: self.clone(), bytes: 0 }
    }
}

impl Reservation {
    /// Changes the reservation to what a response of `length` bytes takes; returns whether there is room.
    pub fn resize(&mut self, length: usize) -> bool {
        let bytes = length.saturating_sub(FREE_BYTES);
        let used = self.memory.used.get() - self.bytes + bytes;
        if length > MAX_RESPONSE_BYTES || (bytes > self.bytes && used > self.memory.max_bytes) {
            return false;
        }
        self.memory.used.set(used);
        self.bytes = bytes;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.used.update(|used| used - self.bytes);
    }
}

/// Reads a body to its end; returns it with the memory that it takes, or the cause of the failure. What the buffer can
/// hold counts, not only what it holds.
pub async fn collect(
    memory: &Memory,
    mut body: Incoming,
) -> Result<(Bytes, Reservation), &'static str> {
    let mut reservation = memory.reserve();
    let most = body.size_hint().exact().map_or(MAX_RESPONSE_BYTES, |length| length as usize);
    let mut buffer: Vec<u8> = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| cause::ANSWER_BROKE_OFF)?;
        let Ok(data) = frame.into_data() else { continue };
        let length = buffer.len() + data.len();
        if length > buffer.capacity() {
            let capacity = (2 * buffer.capacity()).min(most).max(length);
            if !reservation.resize(capacity) {
                return Err(cause::TOO_LARGE);
            }
            buffer.reserve_exact(capacity - buffer.len());
        }
        buffer.extend_from_slice(&data);
    }
    Ok((Bytes::from(buffer), reservation))
}
