//! The cluster time: a time of day that the hosts agree on although their wall clocks differ and
//! jump.
//!
//! Monotonic clocks do not jump, so the agreed time is carried forward by the monotonic clock. A
//! large deviation of the median of the wall clocks is applied only once it has lasted, since most
//! wall clocks can jump together for some seconds. It is applied at once to a time that has just
//! been agreed on, and a time that a peer has held for longer replaces this host's.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use wasabi_core::units::HostId;

/// A wall clock that has not been heard for this long is left out of the median.
const CLOCK_EXPIRY: Duration = Duration::from_secs(5);
/// A time that has been held for less than this follows the median of the wall clocks at once. It
/// is long enough to hear all wall clocks.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// The largest correction that is applied at once: the wall clocks of synchronized hosts differ by
/// less.
const MAX_IMMEDIATE_CORRECTION_MS: u64 = 250;
/// A larger correction is applied once the wall clocks have deviated for this long; wall clocks
/// that jump by error are usually set right sooner.
const CORRECTION_DELAY: Duration = Duration::from_secs(60);

/// The cluster time, as an offset from this host's monotonic clock.
#[derive(Debug)]
pub struct ClusterClock {
    base: Instant,
    /// Milliseconds from the Unix epoch to `base` by each host's wall clock, and when it was heard.
    clocks: BTreeMap<HostId, (i64, Instant)>,
    agreed: Option<Agreed>,
}

/// The agreed time, which the monotonic clock carries forward between corrections.
#[derive(Clone, Copy, Debug)]
struct Agreed {
    /// Milliseconds from the Unix epoch to `base`.
    offset_ms: i64,
    /// Since when it has been held, by this host or by the peers that it came from.
    since: Instant,
    /// Since when the median of the wall clocks deviates from it by too much to be applied at once.
    deviating_since: Option<Instant>,
}

impl ClusterClock {
    /// Creates a clock without an agreed time, whose offsets are relative to `base`.
    pub fn new(base: Instant) -> Self {
        Self { base, clocks: BTreeMap::new(), agreed: None }
    }

    /// Records a reading of the wall clock of `host`, in milliseconds since the Unix epoch; returns
    /// whether the agreed time jumped, that is, changed by more than `MAX_IMMEDIATE_CORRECTION_MS`.
    pub fn observe_wall_clock(&mut self, now: Instant, host: &HostId, wall_ms: u64) -> bool {
        self.clocks.insert(host.clone(), (self.offset_ms(now, wall_ms), now));
        let before = self.agreed;
        self.apply_median(now);
        self.has_jumped(before)
    }

    /// Handles the cluster time that a peer has held for `held`. It replaces this host's time if
    /// there is none, or if it has been held for longer and for more than `SETTLING_TIME` and the
    /// two differ by more than `MAX_IMMEDIATE_CORRECTION_MS`. Returns whether the agreed time
    /// jumped.
    pub fn observe_peer_time(
        &mut self,
        now: Instant,
        cluster_time_ms: u64,
        held: Duration,
    ) -> bool {
        let before = self.agreed;
        let offset_ms = self.offset_ms(now, cluster_time_ms);
        let since = now.checked_sub(held).unwrap_or(self.base);
        let supersedes = self.agreed.is_none_or(|own| {
            own.since > since
                && own.offset_ms.abs_diff(offset_ms) > MAX_IMMEDIATE_CORRECTION_MS
                && held > SETTLING_TIME
        });
        if supersedes {
            self.agreed = Some(Agreed { offset_ms, since, deviating_since: None });
        }
        self.has_jumped(before)
    }

    /// The cluster time in milliseconds since the Unix epoch; counts from 0 at `base` while no time
    /// has been agreed on.
    pub fn now_ms(&self, now: Instant) -> u64 {
        let offset_ms = self.agreed.map_or(0, |agreed| agreed.offset_ms);
        (offset_ms + self.elapsed_ms(now)).max(0) as u64
    }

    /// For how long the agreed time has been held.
    pub fn held_for(&self, now: Instant) -> Duration {
        self.agreed.map_or(Duration::ZERO, |agreed| now.saturating_duration_since(agreed.since))
    }

    fn apply_median(&mut self, now: Instant) {
        let Some(median) = self.median(now) else { return };
        let Some(agreed) = &mut self.agreed else {
            self.agreed = Some(Agreed { offset_ms: median, since: now, deviating_since: None });
            return;
        };
        let settling = now.saturating_duration_since(agreed.since) < SETTLING_TIME;
        if settling || agreed.offset_ms.abs_diff(median) <= MAX_IMMEDIATE_CORRECTION_MS {
            (agreed.offset_ms, agreed.deviating_since) = (median, None);
            return;
        }
        let deviating_since = *agreed.deviating_since.get_or_insert(now);
        if now.saturating_duration_since(deviating_since) >= CORRECTION_DELAY {
            *agreed = Agreed { offset_ms: median, since: now, deviating_since: None };
        }
    }

    fn has_jumped(&self, before: Option<Agreed>) -> bool {
        let jump_ms = before.zip(self.agreed).map(|(a, b)| a.offset_ms.abs_diff(b.offset_ms));
        jump_ms.is_some_and(|change| change > MAX_IMMEDIATE_CORRECTION_MS)
    }

    /// The median offset of the wall clocks that were heard recently.
    fn median(&self, now: Instant) -> Option<i64> {
        let recent = self
            .clocks
            .values()
            .filter(|(_, at)| now.saturating_duration_since(*at) < CLOCK_EXPIRY);
        let mut offsets: Vec<i64> = recent.map(|(offset_ms, _)| *offset_ms).collect();
        offsets.sort_unstable();
        // The lower median is always the reading of one clock. An average of two clocks, of which
        // either may be wrong, would match neither.
        offsets.get(offsets.len().saturating_sub(1) / 2).copied()
    }

    fn offset_ms(&self, now: Instant, wall_ms: u64) -> i64 {
        wall_ms as i64 - self.elapsed_ms(now)
    }

    fn elapsed_ms(&self, now: Instant) -> i64 {
        now.saturating_duration_since(self.base).as_millis() as i64
    }
}
