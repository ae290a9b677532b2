//! Failure history of a server, and how far it is to be avoided because of it.

use std::time::{Duration, Instant};

/// How long a server is avoided after a failure; it doubles with each further one in a row.
const FIRST_BACKOFF: Duration = Duration::from_millis(400);
/// The longest time that a server is avoided after a failure.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Weight of a new outcome in the failure rate.
const OUTCOME_WEIGHT: f64 = 0.15;
/// The failure rate halves in this time without failures, so that a server that got no work because
/// of it is tried again.
const FAILURE_RATE_HALF_LIFE: Duration = Duration::from_secs(2);

/// The failures of one server.
#[derive(Debug, Default)]
pub struct FailureHistory {
    /// Moving average of the outcomes: 0 if all succeeded, 1 if all failed. It decays from
    /// `failed_at` on.
    failure_rate: f64,
    failed_at: Option<Instant>,
    /// Failures since the last success, capped at 8.
    consecutive_failures: u32,
    /// Until when [`Self::avoidance`] is 1.
    avoid_until: Option<Instant>,
}

impl FailureHistory {
    /// Records a success: the failure rate falls and the server is no longer avoided.
    pub fn record_success(&mut self) {
        self.failure_rate *= 1.0 - OUTCOME_WEIGHT;
        self.consecutive_failures = 0;
        self.avoid_until = None;
    }

    /// Records a failure.
    pub fn record_failure(&mut self, now: Instant) {
        let failure_rate = self.failure_rate(now);
        self.failure_rate = failure_rate + OUTCOME_WEIGHT * (1.0 - failure_rate);
        self.failed_at = Some(now);
        let backoff = FIRST_BACKOFF * 2_u32.saturating_pow(self.consecutive_failures);
        self.consecutive_failures = (self.consecutive_failures + 1).min(8);
        self.avoid_until = Some(now + backoff.min(MAX_BACKOFF));
    }

    /// Records that the server refused a request: it is avoided for a quarter of `FIRST_BACKOFF`
    /// from now on, which also replaces a longer back-off. Its failure rate stays.
    pub fn record_rejection(&mut self, now: Instant) {
        self.avoid_until = Some(now + FIRST_BACKOFF / 4);
    }

    /// Returns how much the server is to be avoided, from 0 (not at all) to 1 (used only if
    /// the others are worse by the full failure penalty).
    pub fn avoidance(&self, now: Instant) -> f64 {
        match self.avoid_until {
            Some(until) if now < until => 1.0,
            _ => self.failure_rate(now),
        }
    }

    fn failure_rate(&self, now: Instant) -> f64 {
        let age = self.failed_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.failure_rate * 0.5_f64.powf(age.as_secs_f64() / FAILURE_RATE_HALF_LIFE.as_secs_f64())
    }
}
