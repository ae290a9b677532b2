//! Which connections of callers are ended because their callers do not read.
//!
//! A connection waits from when it takes no more bytes until it has taken what it was given then, some tens of
//! kilobytes, so a caller that reads little by little counts as one that does not read.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// A caller that waits for less than this may be on a slow link: a part of 64 KB in this time is half a megabit
/// a second.
pub const MIN_WAIT: Duration = Duration::from_millis(1_000);

/// The connections that wait for their callers.
#[derive(Clone, Debug, Default)]
pub struct Callers {
    /// Since when each connection waits.
    waiting: BTreeMap<u64, Instant>,
    /// The number of the next connection.
    next: u64,
}

/// How many connections may wait, and for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Connections that may wait for [`MIN_WAIT`] or longer at the same time.
    pub connections: usize,
    /// How long any connection may wait.
    pub time: Duration,
    /// Whether other responses lack the memory that those of waiting connections hold.
    pub lacks_memory: bool,
}

impl Callers {
    /// Returns the number for a new connection.
    pub fn add(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Records that a connection takes no more bytes; it may wait already.
    pub fn record_blocked(&mut self, now: Instant, connection: u64) {
        self.waiting.entry(connection).or_insert(now);
    }

    /// Records that a connection has taken what it was given, or is closed.
    pub fn record_taken(&mut self, connection: u64) {
        self.waiting.remove(&connection);
    }

    /// Returns how many connections wait, however long.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the connections to end now: those that have waited for too long; of the others those that have
    /// waited longest, as many as there are too many, or half of them while memory is lacking.
    pub fn overdue(&self, now: Instant, limits: Limits) -> Vec<u64> {
        let waited = |since: &Instant| now.saturating_duration_since(*since);
        let mut slow: Vec<(Instant, u64)> = self
            .waiting
            .iter()
            .filter(|(_, since)| waited(since) >= MIN_WAIT.min(limits.time))
            .map(|(connection, since)| (*since, *connection))
            .collect();
        slow.sort_unstable();
        let too_long = slow.iter().filter(|(since, _)| waited(since) >= limits.time).count();
        let too_many = slow.len().saturating_sub(limits.connections);
        let half = if limits.lacks_memory { slow.len().div_ceil(2) } else { 0 };
        slow.truncate(too_long.max(too_many).max(half));
        slow.into_iter().map(|(_, connection)| connection).collect()
    }
}
