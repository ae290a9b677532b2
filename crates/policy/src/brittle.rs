//! Servers of a service that fall over if they turn away too many requests in a second for want of room.
//!
//! Such a server may let fewer requests wait than usual. Hosts see each other's requests late, so each
//! leaves some room, and rests for a while once a server has turned it away, so that all hosts together
//! are turned away less often than the server can bear.

use std::time::{Duration, Instant};

use wasabi_core::call::Load;

/// The share of its slots that a brittle server is filled to. The rest covers the requests that other hosts
/// have placed and not yet announced.
const USABLE_SLOTS: f64 = 0.75;
/// The share of what a server may turn away that all hosts together use.
const REJECTION_SHARE: f64 = 0.5;
/// The rest of a server that reports that it is full; a short request ends within it.
const FULL_REST: Duration = Duration::from_millis(60);
/// The bounds of a rest after a request was turned away.
const MIN_REST: Duration = Duration::from_millis(300);
const MAX_REST: Duration = Duration::from_secs(5);

/// What the servers of a service say of themselves.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Brittleness {
    /// How many requests a server may turn away in a second, and when a server last said so; `None`
    /// while they are not brittle.
    stated: Option<(u32, Instant)>,
}

impl Brittleness {
    /// Records what a server says in its answer to a request that was sent at `sent`.
    pub(crate) fn record(&mut self, now: Instant, sent: Instant, rejections: Option<u32>) {
        match rejections {
            Some(rejections) => self.stated = Some((rejections, now)),
            // An answer to an earlier request may have been overtaken.
            None if self.stated.is_some_and(|(_, at)| sent >= at) => self.stated = None,
            None => {}
        }
    }

    /// Returns how many requests may run and wait at a server with `slots`, of `usual` otherwise.
    pub(crate) fn room(self, slots: u32, usual: u32) -> u32 {
        match self.stated {
            Some(_) => usual.min(((f64::from(slots) * USABLE_SLOTS) as u32).max(1)),
            None => usual,
        }
    }

    /// Returns how many requests each of `hosts` runs at most at a server with `slots`; `None` for no limit
    /// of its own. A short request has ended before its announcement arrives, so hosts share the room.
    pub(crate) fn own_room(self, slots: u32, hosts: usize) -> Option<u32> {
        self.stated?;
        let share = f64::from(self.room(slots, slots)) / hosts.max(1) as f64;
        Some((share.ceil() as u32).max(1))
    }

    /// Returns how long a host sends nothing to a server that reports `load`, if that is full.
    pub(crate) fn rest_at(self, load: Load) -> Option<Duration> {
        self.stated?;
        let is_full = load.running + load.waiting >= self.room(load.slots, load.slots);
        is_full.then_some(FULL_REST)
    }

    /// Returns how long each of `hosts` sends nothing to a server that has turned a request away.
    pub(crate) fn rest(self, hosts: usize) -> Option<Duration> {
        let (rejections, _) = self.stated?;
        let per_second = f64::from(rejections.max(1)) * REJECTION_SHARE;
        let rest = Duration::from_secs_f64(hosts.max(1) as f64 / per_second);
        Some(rest.clamp(MIN_REST, MAX_REST))
    }
}
