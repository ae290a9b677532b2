//! The limits and parameters of one request at admission: how long it may wait for its first event,
//! its urgency, how long its stream may last, and when it may be retried after a refusal.
//!
//! In bursts beyond capacity, requests that would be late are refused while the caller still has
//! time to retry, so that those that are accepted are on time.

use std::time::Duration;

use wasabi_core::{
    call::Prompt,
    catalog::{Catalog, Route},
};

/// A stream is accepted if its first event is expected within this share of the target; the rest
/// covers errors of the expectation.
const TARGET_WAIT_SHARE: f64 = 0.85;
/// The share of its remaining time that a retry after a refusal may wait.
const RETRY_WAIT_SHARE: f64 = 0.4;
/// A request with less than this share of the route's timeout left is taken for a retry after a
/// refusal: a retry has lost the retry delay, while the remaining times of first attempts differ by
/// only a sixth of the timeout.
const FIRST_ATTEMPT_MIN_TIME_SHARE: f64 = 0.8;
/// The share of its remaining time that a plain request, which is not a stream, may wait.
const PLAIN_WAIT_SHARE: f64 = 0.9;
/// The shortest delay before a retry that callers are asked for, unless `MAX_RETRY_DELAY_SHARE` of
/// their time left is shorter.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Retries after a pause are spread over this part of it.
const PAUSE_RETRY_SPREAD: f64 = 0.25;
/// Added to the earliest return, for callers that round the delay.
const RECOGNITION_MARGIN: Duration = Duration::from_millis(10);
/// Callers wait for the retry delay only up to this share of the time that they have left.
const MAX_RETRY_DELAY_SHARE: f64 = 0.33;
/// The time of one answer token on a slow engine with many streams, in milliseconds: a step of 5 to
/// 6 ms, a third longer for the slow engine, and an occasional prompt in between.
const SLOW_TOKEN_MS: f64 = 9.0;
/// Each workspace rank has this many urgency levels, and the route's rank selects one of them;
/// there are ten levels in all.
const LEVELS_PER_WORKSPACE_RANK: u8 = 3;
const LEAST_URGENT_LEVEL: u8 = 9;

/// Guesses whether a request with `time_left` of its route's `timeout` is a retry after a refusal.
pub fn looks_like_retry(time_left: Duration, timeout: Duration) -> bool {
    time_left.as_secs_f64() < timeout.as_secs_f64() * FIRST_ATTEMPT_MIN_TIME_SHARE
}

/// Returns the longest wait for the first event of a stream, or for the response to a plain
/// request. `is_retry` is as guessed by [`looks_like_retry`]; it matters for streams only.
///
/// A stream may wait as long as those of equally or less urgent routes that share a service with
/// it; otherwise it would be refused while they are accepted, only because its target is shorter.
pub fn max_wait(catalog: &Catalog, route: &Route, time_left: Duration, is_retry: bool) -> Duration {
    if !route.kind.is_stream() {
        return time_left.mul_f64(PLAIN_WAIT_SHARE);
    }
    let sharing_routes = catalog.routes.iter().filter(|other| {
        other.kind.is_stream() && other.rank >= route.rank && shares_service(other, route)
    });
    let target = sharing_routes.map(|other| other.target).max().unwrap_or(route.target);
    max_first_event_wait(target.max(route.target), time_left, is_retry)
}

fn shares_service(a: &Route, b: &Route) -> bool {
    a.backends.iter().any(|(service, _)| b.backends.iter().any(|(other, _)| other == service))
}

/// Returns the longest wait for the first event of a stream whose target is `target`.
pub fn max_first_event_wait(target: Duration, time_left: Duration, is_retry: bool) -> Duration {
    match is_retry {
        true => time_left.mul_f64(RETRY_WAIT_SHARE),
        false => target.mul_f64(TARGET_WAIT_SHARE),
    }
}

/// Returns the urgency for engines, 0 (most urgent) to 9, from the ranks of the workspace and the
/// route: the workspace's decides first. Without a workspace rank, the route's stands in for it.
///
/// Engines preempt by it, so requests with the same ranks must have the same urgency.
pub fn urgency(workspace: Option<u8>, route: u8) -> u8 {
    let route_level = route.min(LEVELS_PER_WORKSPACE_RANK - 1);
    let level = workspace.unwrap_or(route).saturating_mul(LEVELS_PER_WORKSPACE_RANK);
    level.saturating_add(route_level).min(LEAST_URGENT_LEVEL)
}

/// Estimates how long a stream takes at most on a busy engine, from the maximum tokens of its
/// answer.
pub fn max_stream_duration(prompt: &Prompt) -> Duration {
    Duration::from_secs_f64(f64::from(prompt.output) * SLOW_TOKEN_MS / 1e3)
}

/// Returns the retry delay of a request that was refused because `expected` exceeds `limit`.
///
/// `time_left` is the caller's remaining time. `draw` is uniform in 0 to 1 and spreads the retries
/// of a burst.
pub fn late_retry_delay(
    expected: Duration,
    limit: Duration,
    time_left: Duration,
    draw: f64,
) -> Duration {
    let excess_wait = expected.saturating_sub(limit);
    let wait = (MIN_RETRY_DELAY + excess_wait).mul_f64(1.0 + draw);
    wait.min(time_left.mul_f64(MAX_RETRY_DELAY_SHARE))
}

/// Returns the earliest and the latest delay after which the caller of a refused request should
/// return.
///
/// `excess_wait` is the expected wait beyond the acceptable one. If the request is to be preferred on
/// its return, `recognized` is the route's timeout: the earliest delay is then such that any host
/// can tell the request from a first attempt by [`looks_like_retry`].
pub fn return_range(
    excess_wait: Duration,
    time_left: Duration,
    recognized: Option<Duration>,
) -> (Duration, Duration) {
    let latest = time_left.mul_f64(MAX_RETRY_DELAY_SHARE);
    let first_attempt = recognized.map_or(Duration::ZERO, |timeout| {
        time_left.saturating_sub(timeout.mul_f64(FIRST_ATTEMPT_MIN_TIME_SHARE))
    });
    let earliest = (MIN_RETRY_DELAY + excess_wait).max(first_attempt + RECOGNITION_MARGIN);
    (earliest.min(latest), latest)
}

/// Returns the retry delay of a request that no server could take; `draw` and `time_left` are as
/// for [`late_retry_delay`].
pub fn unplaced_retry_delay(draw: f64, time_left: Duration) -> Duration {
    MIN_RETRY_DELAY.mul_f64(1.0 + draw).min(time_left.mul_f64(MAX_RETRY_DELAY_SHARE))
}

/// Returns the retry delay of a request whose servers all want none for `rest`, however long that
/// is: an earlier retry would be refused too. `draw` is as for [`late_retry_delay`].
pub fn after_pause(rest: Duration, draw: f64) -> Duration {
    rest.max(MIN_RETRY_DELAY).mul_f64(1.0 + PAUSE_RETRY_SPREAD * draw)
}
