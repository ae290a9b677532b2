//! One host's part of the budget of repeated sends that all hosts share.
//!
//! When many requests fail, the repeats of all hosts in any window stay within a share of the
//! callers' requests plus a fixed allowance, so that repeats do not overload the servers. A repeat
//! is a further send of a caller's request to a server of its service. Unlike
//! [`retry_budget`](crate::retry_budget), which each host keeps for itself, this budget is divided
//! among the live hosts.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// The share of the ratio and the allowance that the known hosts use together; the rest covers
/// hosts that do not know of each other yet.
const USABLE_SHARE: f64 = 0.6;

/// The bounds of the shared budget, from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Repeats allowed for each first send of a request.
    pub ratio: f64,
    /// Repeats allowed in addition in each window, for all hosts together.
    pub allowance: f64,
    /// The length of a window.
    pub window: Duration,
}

/// The sends of this host to one service in the last window.
#[derive(Debug)]
pub struct Budget {
    bounds: Bounds,
    /// For one window after this time there is no allowance beside the ratio, since the repeats of
    /// this host before a restart are not known.
    started_at: Instant,
    /// Times of first sends, oldest first; not older than a window.
    first_sends: VecDeque<Instant>,
    /// Times of repeats, oldest first; not older than a window.
    repeats: VecDeque<Instant>,
}

impl Budget {
    /// Creates a budget without sends; the first window without allowance begins at `now`.
    pub fn new(now: Instant, bounds: Bounds) -> Self {
        Self { bounds, started_at: now, first_sends: VecDeque::new(), repeats: VecDeque::new() }
    }

    /// Replaces the bounds; the sends so far still count.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Records the first send of a request.
    pub fn record_first_send(&mut self, now: Instant) {
        self.evict_expired(now);
        self.first_sends.push_back(now);
    }

    /// Returns whether a request may be sent once more, and records the repeat if so.
    ///
    /// `hosts` is the number of live hosts that share the allowance. One repeat a window is always
    /// allowed.
    pub fn try_repeat(&mut self, now: Instant, hosts: usize) -> bool {
        self.evict_expired(now);
        let in_first_window = now.saturating_duration_since(self.started_at) < self.bounds.window;
        let allowance = if in_first_window { 0.0 } else { self.bounds.allowance * USABLE_SHARE };
        let share = allowance / hosts.max(1) as f64;
        let allowed = self.first_sends.len() as f64 * self.bounds.ratio * USABLE_SHARE + share;
        if self.repeats.len() as f64 + 1.0 > allowed.max(1.0) {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn evict_expired(&mut self, now: Instant) {
        let window = self.bounds.window;
        for times in [&mut self.first_sends, &mut self.repeats] {
            while times.front().is_some_and(|at| now.saturating_duration_since(*at) > window) {
                times.pop_front();
            }
        }
    }
}
