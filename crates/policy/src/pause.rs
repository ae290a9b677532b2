//! How long a server that asked for it gets no requests.

use std::time::{Duration, Instant};

/// A longer wait than this is cut to it, so that a value that makes no sense does not take a server
/// out for good.
const MAX_WAIT: Duration = Duration::from_secs(3_600);
/// Hosts come back spread over this part of the wait, and over [`MAX_SPREAD`] at most.
const SPREAD_SHARE: f64 = 0.25;
const MAX_SPREAD: Duration = Duration::from_secs(1);

/// The first pause of an entry at whose address another server answers; each later one takes twice as long.
const MISDIRECTED_WAIT: Duration = Duration::from_secs(1);
/// The longest of these pauses.
const MAX_MISDIRECTED_WAIT: Duration = Duration::from_secs(60);

/// The pause of one server.
#[derive(Debug, Default)]
pub struct Pause {
    /// Never moved to an earlier time: each answer of the server holds for its whole wait.
    until: Option<Instant>,
    /// How often another server answered at its address.
    misdirected: u32,
}

impl Pause {
    /// Begins a pause of `wait`, or extends the present one. `spread`, from 0 to 1, is drawn by each
    /// host, so that they do not all come back at the same moment.
    pub fn begin(&mut self, now: Instant, wait: Duration, spread: f64) {
        let wait = wait.min(MAX_WAIT);
        let spread = wait.mul_f64(SPREAD_SHARE).min(MAX_SPREAD).mul_f64(spread.clamp(0.0, 1.0));
        self.until = self.until.max(Some(now + wait + spread));
    }

    /// Begins or extends a pause because another server answers at the address.
    pub fn misdirect(&mut self, now: Instant, spread: f64) {
        let wait = MISDIRECTED_WAIT * 2_u32.saturating_pow(self.misdirected);
        self.misdirected = self.misdirected.saturating_add(1);
        self.begin(now, wait.min(MAX_MISDIRECTED_WAIT), spread);
    }

    /// Returns the rest of the pause; zero if there is none.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }
}
