//! This host's part of the budget of repeats that all hosts share.
//!
//! Answers storms of failures: repeats of all hosts in any window stay within a share of the
//! callers' requests plus a fixed allowance.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// The part of the shared allowance that the hosts use together; the rest covers hosts that do
/// not know of each other yet.
const USED_SHARE: f64 = 0.6;

/// Bounds of the budget, from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Repeats allowed for each first send.
    pub ratio: f64,
    /// Repeats allowed besides in each window, by all hosts together.
    pub allowance: f64,
    /// The length of a window.
    pub window: Duration,
}

/// What this host sent lately to one service.
#[derive(Debug)]
pub struct Ration {
    bounds: Bounds,
    /// Nothing is allowed beyond the ratio for one window after the start, since what this host
    /// spent before a restart is not known.
    started: Instant,
    /// Not older than a window.
    first: VecDeque<Instant>,
    /// Not older than a window.
    repeats: VecDeque<Instant>,
}

impl Ration {
    /// Gets a ration that begins at `now`.
    pub fn new(now: Instant, bounds: Bounds) -> Self {
        Self { bounds, started: now, first: VecDeque::new(), repeats: VecDeque::new() }
    }

    /// Notes a caller's request.
    pub fn first(&mut self, now: Instant) {
        self.forget(now);
        self.first.push_back(now);
    }

    /// Returns whether a request may be sent once more, among `hosts` live hosts, and pays for it.
    pub fn repeat(&mut self, now: Instant, hosts: usize) -> bool {
        self.forget(now);
        let fresh = now.saturating_duration_since(self.started) < self.bounds.window;
        let allowance = if fresh { 0.0 } else { self.bounds.allowance * USED_SHARE };
        let share = allowance / hosts.max(1) as f64;
        let allowed = self.first.len() as f64 * self.bounds.ratio * USED_SHARE + share;
        if self.repeats.len() as f64 + 1.0 > allowed.max(1.0) {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn forget(&mut self, now: Instant) {
        let window = self.bounds.window;
        for times in [&mut self.first, &mut self.repeats] {
            while times.front().is_some_and(|at| now.saturating_duration_since(*at) > window) {
                times.pop_front();
            }
        }
    }
}
