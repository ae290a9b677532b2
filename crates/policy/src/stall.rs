//! When a request that shows no progress is taken to be stuck at its server.
//!
//! Answers servers that accept requests and leave some of them unanswered, and connections that
//! fall silent: callers would wait there until their time is up, while other servers are free.
//! A server that is merely slow or busy must not look like that, since moving its requests adds
//! load, so the limits grow with what was observed lately.

use std::time::Duration;

/// A first event is late at this many times the expected delay, with the present strain; the strain
/// follows the mean, and single delays are about twice as long.
const FIRST_FACTOR: f64 = 3.0;
/// Added to that: expectations of short waits miss by about this much, in milliseconds.
const FIRST_MARGIN_MS: f64 = 500.0;
/// A stream that has begun is stuck after this long without an event; pauses beside long prompts
/// stay below it.
pub const BETWEEN_EVENTS: Duration = Duration::from_millis(1_500);
/// A whole answer is late at this many times the usual delay: a plain server queues three requests
/// for each one that it runs, and those are not stuck.
const ANSWER_FACTOR: f64 = 6.0;
/// The least delay at which a whole answer is late, in milliseconds.
const LEAST_ANSWER_MS: f64 = 250.0;
/// The usual delay of whole answers until one is observed, in milliseconds.
const FIRST_ANSWER_MS: f64 = 100.0;
/// Weight of a new observation.
const ANSWER_WEIGHT: f64 = 0.1;

/// The usual delay of the whole answers of one service.
#[derive(Clone, Copy, Debug)]
pub struct Usual {
    ms: f64,
}

impl Default for Usual {
    fn default() -> Self {
        Self { ms: FIRST_ANSWER_MS }
    }
}

impl Usual {
    /// Takes in an answer's delay.
    pub fn observe(&mut self, took: Duration) {
        self.ms += ANSWER_WEIGHT * (took.as_secs_f64() * 1e3 - self.ms);
    }

    /// Returns after which delay an answer is late.
    pub fn limit(self) -> Duration {
        Duration::from_secs_f64((self.ms * ANSWER_FACTOR).max(LEAST_ANSWER_MS) / 1e3)
    }
}

/// Returns after which delay a first event is late that was expected after `expected`, while first
/// events take `strain` times as long as expected.
pub fn first_event(expected: Duration, strain: f64) -> Duration {
    let ms = expected.as_secs_f64() * 1e3 * strain.max(1.0) * FIRST_FACTOR + FIRST_MARGIN_MS;
    Duration::from_secs_f64(ms / 1e3)
}
