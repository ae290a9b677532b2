//! The true time of day, agreed on by the hosts whose clocks differ and jump.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use wasabi_core::units::HostId;

/// An offset that has not been heard again for this time is left out.
const STALE: Duration = Duration::from_secs(5);

/// The offsets of all hosts' times of day from this host's steady clock.
#[derive(Debug)]
pub struct Truth {
    base: Instant,
    /// Milliseconds since 1970 at `base` by each host's clock, and when that was heard.
    offsets: BTreeMap<HostId, (i64, Instant)>,
}

impl Truth {
    /// Gets an empty table on the steady clock that shows `base`.
    pub fn new(base: Instant) -> Self {
        Self { base, offsets: BTreeMap::new() }
    }

    /// Takes in what the clock of `host` shows.
    pub fn heard(&mut self, now: Instant, host: &HostId, wall_ms: u64) {
        let passed = now.saturating_duration_since(self.base).as_millis() as i64;
        self.offsets.insert(host.clone(), (wall_ms as i64 - passed, now));
    }

    /// Returns the milliseconds since 1970 by the median of the clocks heard lately.
    pub fn now_ms(&self, now: Instant) -> u64 {
        let fresh =
            self.offsets.values().filter(|(_, at)| now.saturating_duration_since(*at) < STALE);
        let mut offsets: Vec<i64> = fresh.map(|(offset, _)| *offset).collect();
        offsets.sort_unstable();
        // Of two clocks neither is more likely right; the lower median never mixes them.
        let median = offsets.get(offsets.len().saturating_sub(1) / 2).copied().unwrap_or(0);
        let passed = now.saturating_duration_since(self.base).as_millis() as i64;
        (median + passed).max(0) as u64
    }
}
