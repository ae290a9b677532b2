//! The store's present era, and since when it is known to be in force.

use std::time::{Duration, Instant};

use wasabi_core::units::Era;

/// What is known of the era. A host that starts learns its age from peers.
#[derive(Debug, Default)]
pub struct View {
    /// The latest era, and the earliest time at which any host is known to have seen it.
    known: Option<(Era, Instant)>,
}

impl View {
    /// Takes in an era that was in force at `since`; returns the former era if this is a newer one.
    pub fn observe(&mut self, era: Era, since: Instant) -> Option<Era> {
        match self.known {
            Some((known, _)) if known > era => None,
            Some((known, first)) if known == era => {
                self.known = Some((era, first.min(since)));
                None
            }
            former => {
                self.known = Some((era, since));
                former.map(|(former, _)| former)
            }
        }
    }

    /// The era, and for how long it is known to have been in force.
    pub fn age(&self, now: Instant) -> Option<(Era, Duration)> {
        self.known.map(|(era, since)| (era, now.saturating_duration_since(since)))
    }
}
