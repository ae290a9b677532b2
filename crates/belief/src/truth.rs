//! The true time of day, agreed on by the hosts whose clocks differ and jump.
//!
//! Steady clocks do not jump, so a time that was agreed on is carried forward by the steady clock.
//! The clocks of the hosts correct it only if they keep contradicting it: most of them can jump at
//! once for some seconds.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use wasabi_core::units::HostId;

/// An offset that has not been heard again for this time is left out.
const STALE: Duration = Duration::from_secs(5);
/// How long after its start a host follows the clocks freely; they are all heard by then.
const SETTLING: Duration = Duration::from_secs(3);
/// The greatest correction that is followed at once, in milliseconds: clocks of well-kept hosts
/// differ by less.
const CLOSE_MS: u64 = 250;
/// A greater one is followed once the clocks have shown it for this time; jumps that are mistakes
/// are mended sooner.
const PERSISTENCE: Duration = Duration::from_secs(60);

/// The time of day by this host's steady clock.
#[derive(Debug)]
pub struct Truth {
    base: Instant,
    /// Milliseconds since 1970 at `base` by each host's clock, and when that was heard.
    clocks: BTreeMap<HostId, (i64, Instant)>,
    agreed: Option<Agreed>,
}

/// A time that holds until the clocks contradict it for long.
#[derive(Clone, Copy, Debug)]
struct Agreed {
    /// Milliseconds since 1970 at `base`.
    offset: i64,
    /// Since when it has been held, by this host or by those it has it from.
    since: Instant,
    /// Since when the clocks contradict it.
    doubted: Option<Instant>,
}

impl Truth {
    /// Gets an empty table on the steady clock that shows `base`.
    pub fn new(base: Instant) -> Self {
        Self { base, clocks: BTreeMap::new(), agreed: None }
    }

    /// Takes in what the clock of `host` shows; returns whether the time changes more than slightly.
    pub fn heard(&mut self, now: Instant, host: &HostId, wall_ms: u64) -> bool {
        self.clocks.insert(host.clone(), (self.offset(now, wall_ms), now));
        let before = self.agreed;
        self.follow_clocks(now);
        self.is_changed(before)
    }

    /// Takes in the time that a peer has held for `held`; of two that differ, the one that has been
    /// held for longer stays. Returns whether the time changes more than slightly.
    pub fn told(&mut self, now: Instant, truth_ms: u64, held: Duration) -> bool {
        let before = self.agreed;
        let offset = self.offset(now, truth_ms);
        let since = now.checked_sub(held).unwrap_or(self.base);
        let older = self.agreed.is_none_or(|own| {
            own.since > since && own.offset.abs_diff(offset) > CLOSE_MS && held > SETTLING
        });
        if older {
            self.agreed = Some(Agreed { offset, since, doubted: None });
        }
        self.is_changed(before)
    }

    /// Returns the milliseconds since 1970.
    pub fn now_ms(&self, now: Instant) -> u64 {
        let offset = self.agreed.map_or(0, |agreed| agreed.offset);
        (offset + self.passed(now)).max(0) as u64
    }

    /// Returns for how long the present time has been held.
    pub fn held(&self, now: Instant) -> Duration {
        self.agreed.map_or(Duration::ZERO, |agreed| now.saturating_duration_since(agreed.since))
    }

    fn follow_clocks(&mut self, now: Instant) {
        let Some(median) = self.median(now) else { return };
        let Some(agreed) = &mut self.agreed else {
            self.agreed = Some(Agreed { offset: median, since: now, doubted: None });
            return;
        };
        let settling = now.saturating_duration_since(agreed.since) < SETTLING;
        if settling || agreed.offset.abs_diff(median) <= CLOSE_MS {
            (agreed.offset, agreed.doubted) = (median, None);
            return;
        }
        let doubted = *agreed.doubted.get_or_insert(now);
        if now.saturating_duration_since(doubted) >= PERSISTENCE {
            *agreed = Agreed { offset: median, since: now, doubted: None };
        }
    }

    fn is_changed(&self, before: Option<Agreed>) -> bool {
        let offsets = before.zip(self.agreed).map(|(a, b)| a.offset.abs_diff(b.offset));
        offsets.is_some_and(|change| change > CLOSE_MS)
    }

    /// Returns the median of the clocks heard lately.
    fn median(&self, now: Instant) -> Option<i64> {
        let fresh =
            self.clocks.values().filter(|(_, at)| now.saturating_duration_since(*at) < STALE);
        let mut offsets: Vec<i64> = fresh.map(|(offset, _)| *offset).collect();
        offsets.sort_unstable();
        // Of two clocks neither is more likely right; the lower median never mixes them.
        offsets.get(offsets.len().saturating_sub(1) / 2).copied()
    }

    fn offset(&self, now: Instant, wall_ms: u64) -> i64 {
        wall_ms as i64 - self.passed(now)
    }

    fn passed(&self, now: Instant) -> i64 {
        now.saturating_duration_since(self.base).as_millis() as i64
    }
}
