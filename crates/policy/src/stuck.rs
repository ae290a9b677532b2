//! Time-outs after which a request without progress counts as stuck at its server.
//!
//! A server may accept a request and never answer it, or a connection may go silent; the caller
//! would wait until its time is up although other servers are free. A server that is merely slow or
//! busy must not be taken for a stuck one, since moving its requests adds load, so the time-outs
//! grow with the recently observed delays.

use std::time::{Duration, Instant};

/// The time-out of a first event as a multiple of its expected delay times the latency ratio
/// (observed to expected time). The ratio follows the mean, and single delays reach about twice the
/// mean.
const FIRST_EVENT_TIMEOUT_FACTOR: f64 = 3.0;
/// Added to the time-out of a first event, in milliseconds: short expected delays are wrong by
/// up to about this much.
const FIRST_EVENT_TIMEOUT_MARGIN_MS: f64 = 500.0;
/// A stream that has begun is stuck after this time without an event; the pauses that long prompts
/// on the same engine cause are shorter.
pub const EVENT_GAP_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long after it counts as stuck a stream without an event leaves its server. A sound server may be silent for
/// 1.2 s, goes on meanwhile and does not see its caller leave; for all but 400 ms of that, no other server may work
/// on the same stream.
pub const MOVE_DELAY: Duration = Duration::from_millis(500);
/// The time-out of a whole response as a multiple of the average response time: a plain server
/// queues three requests for each one that it runs, and those are not stuck.
const RESPONSE_TIMEOUT_FACTOR: f64 = 6.0;
/// The shortest time-out of a whole response, in milliseconds.
const MIN_RESPONSE_TIMEOUT_MS: f64 = 250.0;
/// The average response time before any response is observed, in milliseconds.
const INITIAL_RESPONSE_MS: f64 = 100.0;
/// Weight of a new observation in the average response time.
const AVERAGE_GAIN: f64 = 0.1;

/// Moving average of the response time of one service, from the placement of a request to its whole
/// response.
#[derive(Clone, Copy, Debug)]
pub struct AverageResponseTime {
    average_ms: f64,
}

impl Default for AverageResponseTime {
    fn default() -> Self {
        Self { average_ms: INITIAL_RESPONSE_MS }
    }
}

impl AverageResponseTime {
    /// Records the time that a response took.
    pub fn observe(&mut self, took: Duration) {
        self.average_ms += AVERAGE_GAIN * (took.as_secs_f64() * 1e3 - self.average_ms);
    }

    /// Returns the time after which a response counts as stuck.
    pub fn timeout(self) -> Duration {
        Duration::from_secs_f64(
            (self.average_ms * RESPONSE_TIMEOUT_FACTOR).max(MIN_RESPONSE_TIMEOUT_MS) / 1e3,
        )
    }
}

/// When to give up an answer or its server while parts of the answer arrive.
///
/// Asked before each wait for a part: a timer that is set anew for each part may never fire while parts keep
/// arriving.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    deadline: Instant,
    /// When the server counts as stuck; `None` once it has, until there is progress.
    stuck_at: Option<Instant>,
    /// When the stream may leave the server, not before `stuck_at`; `None` once it has come, until there is
    /// progress.
    leave_at: Option<Instant>,
}

/// What is due; each but the deadline is said once, until there is progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// The time of the request is up.
    Deadline,
    /// The server shows no progress.
    Stuck,
    /// The stream may leave the server.
    Leave,
}

impl Watch {
    /// Watches an answer whose server counts as stuck after `until_stuck` without an event.
    pub fn new(now: Instant, deadline: Instant, until_stuck: Duration) -> Self {
        let stuck_at = now.checked_add(until_stuck);
        let leave_at = stuck_at.and_then(|at| at.checked_add(MOVE_DELAY));
        Self { deadline, stuck_at, leave_at }
    }

    /// Records progress: an event, not just bytes.
    pub fn record_event(&mut self, now: Instant) {
        self.stuck_at = now.checked_add(EVENT_GAP_TIMEOUT);
        // Longer than any server is silent.
        self.leave_at = self.stuck_at;
    }

    /// Returns what is due; call it again until it is `None`.
    pub fn due(&mut self, now: Instant) -> Option<Due> {
        let is_due = |at: &mut Instant| now >= *at;
        if now >= self.deadline {
            return Some(Due::Deadline);
        }
        let stuck = self.stuck_at.take_if(is_due).map(|_| Due::Stuck);
        stuck.or_else(|| self.leave_at.take_if(is_due).map(|_| Due::Leave))
    }

    /// Returns the time until something is due.
    pub fn remaining(&self, now: Instant) -> Duration {
        let next = [self.stuck_at, self.leave_at].into_iter().flatten().min();
        next.unwrap_or(self.deadline).min(self.deadline).saturating_duration_since(now)
    }
}

/// Returns the delay after which a first event that was expected after `expected` counts as stuck,
/// while first events take `latency_ratio` times as long as expected.
pub fn first_event_timeout(expected: Duration, latency_ratio: f64) -> Duration {
    let ms = expected.as_secs_f64() * 1e3 * latency_ratio.max(1.0) * FIRST_EVENT_TIMEOUT_FACTOR
        + FIRST_EVENT_TIMEOUT_MARGIN_MS;
    Duration::from_secs_f64(ms / 1e3)
}
