//! How far a server's failures count against it.

use std::time::{Duration, Instant};

/// How long a server is kept from most work after its first failure in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// The longest such pause.
const MAX_PAUSE: Duration = Duration::from_secs(5);
/// Weight of a new outcome in the share of failures.
const OUTCOME_WEIGHT: f64 = 0.15;
/// The share of failures halves in this time without any, so that a server which got no work
/// because of it is tried again.
const FORGIVENESS: Duration = Duration::from_secs(2);

/// The failures of one server.
#[derive(Debug, Default)]
pub struct Trouble {
    /// The share of requests that had failed, 0 to 1, when the last one did.
    share: f64,
    failed_at: Option<Instant>,
    /// Failures without a success in between.
    strikes: u32,
    /// Until when it gets work only if no other server can take it.
    until: Option<Instant>,
}

impl Trouble {
    /// Takes in a success.
    pub fn succeed(&mut self) {
        self.share *= 1.0 - OUTCOME_WEIGHT;
        self.strikes = 0;
        self.until = None;
    }

    /// Takes in a failure.
    pub fn fail(&mut self, now: Instant) {
        let share = self.share(now);
        self.share = share + OUTCOME_WEIGHT * (1.0 - share);
        self.failed_at = Some(now);
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(self.strikes);
        self.strikes = (self.strikes + 1).min(8);
        self.until = Some(now + pause.min(MAX_PAUSE));
    }

    /// Takes in that it turned a request away.
    pub fn reject(&mut self, now: Instant) {
        self.until = Some(now + FIRST_PAUSE / 4);
    }

    /// Returns how much the server is to be avoided: 0 not at all, 1 if anything else will do.
    pub fn weight(&self, now: Instant) -> f64 {
        match self.until {
            Some(until) if now < until => 1.0,
            _ => self.share(now),
        }
    }

    fn share(&self, now: Instant) -> f64 {
        let age = self.failed_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.share * 0.5_f64.powf(age.as_secs_f64() / FORGIVENESS.as_secs_f64())
    }
}
