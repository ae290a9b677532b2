//! Contact with the store.

use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// The time of the last contact with the store.
pub struct Contact {
    last: Mutex<Instant>,
}

impl Contact {
    /// Gets a contact that was made at `now`.
    pub fn new(now: Instant) -> Self {
        Self { last: Mutex::new(now) }
    }

    /// Notes contact at `now`.
    pub fn made(&self, now: Instant) {
        *self.last.lock() = now;
    }

    /// Returns the time since the last contact.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(*self.last.lock())
    }
}
