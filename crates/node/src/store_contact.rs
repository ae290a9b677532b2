//! Tracks contact with the store.

use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// The time of the last contact with the store.
pub struct StoreContact {
    last: Mutex<Instant>,
}

impl StoreContact {
    /// Starts with a contact at `now`, so that a new process does not count as out of contact.
    pub fn new(now: Instant) -> Self {
        Self { last: Mutex::new(now) }
    }

    /// Records a contact at `now`.
    pub fn record(&self, now: Instant) {
        *self.last.lock() = now;
    }

    /// Returns the time since the last contact.
    pub fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(*self.last.lock())
    }
}
