//! The store's present era, and since when it is known to be in force.

use std::time::{Duration, Instant};

use wasabi_core::units::Era;

/// After a restore, the operator has written the configuration again within this time; until then
/// the store may show an older one.
const RESTORE_SETTLE_TIME: Duration = Duration::from_millis(2_000);

/// What is known of an era.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Known {
    /// The era.
    pub era: Era,
    /// The earliest time at which any host is known to have seen it.
    pub since: Instant,
    /// Whether a host saw the restore that began it, or found contents of an older era when it started.
    pub restored: bool,
}

/// The latest era. A host that starts learns its age from peers.
#[derive(Debug, Default)]
pub struct View(Option<Known>);

impl View {
    /// Takes in an era that the store stated now; returns the former era if this is a newer one.
    pub fn observe(&mut self, now: Instant, era: Era) -> Option<Era> {
        self.merge(Known { era, since: now, restored: false })
    }

    /// Takes in what a peer knows; returns the former era if the peer's is newer.
    pub fn merge(&mut self, theirs: Known) -> Option<Era> {
        let Some(known) = &mut self.0 else {
            self.0 = Some(theirs);
            return None;
        };
        if known.era == theirs.era {
            known.since = known.since.min(theirs.since);
            known.restored |= theirs.restored;
        }
        if known.era >= theirs.era {
            return None;
        }
        let former = known.era;
        *known = Known { restored: true, ..theirs };
        Some(former)
    }

    /// Records that the store holds what was written in an older era: it was restored, and no host that saw that
    /// has written since.
    pub fn record_older_copy(&mut self) {
        if let Some(known) = &mut self.0 {
            known.restored = true;
        }
    }

    /// The latest era.
    pub fn known(&self) -> Option<Known> {
        self.0
    }

    /// Whether the store's contents may be taken for the newest: no restore was seen, or the operator
    /// has had the time to write the configuration again.
    pub fn is_settled(&self, now: Instant) -> bool {
        self.0.is_none_or(|known| {
            !known.restored || now.saturating_duration_since(known.since) >= RESTORE_SETTLE_TIME
        })
    }
}
