//! How long a request may wait for its first event, how urgent it is, and when a refused one may
//! come back.
//!
//! Answers bursts beyond capacity: requests that would come too late are refused while the caller
//! still has time to come back, so that those that are taken are on time.

use std::time::Duration;

use wasabi_core::{
    call::Prompt,
    catalog::{Catalog, Route},
};

/// A first event that is expected within this part of the target is on time: the rest covers what
/// the expectation misses.
const TARGET_SHARE: f64 = 0.85;
/// The part of its remaining time that a request that came back may wait.
const RETURNING_SHARE: f64 = 0.4;
/// A caller that has less than this part of the route's time left has been here before: one that
/// was refused waits before it returns, and the deadlines of fresh callers differ by a sixth.
const FRESH_SHARE: f64 = 0.8;
/// Plain requests may wait this part of their time.
const PLAIN_SHARE: f64 = 0.9;
/// The shortest pause that is asked for.
const LEAST_PAUSE: Duration = Duration::from_millis(300);
/// Callers honour pauses up to this part of the time that they have left.
const HONOURED_SHARE: f64 = 0.33;
/// A token of an answer on a slower engine with many streams, in milliseconds: a step of 5 to 6 ms,
/// a third longer, and now and then a prompt in between.
const TOKEN_MS: f64 = 9.0;
/// Urgency has ten levels: the workspace's rank decides, then the route's among three.
const ROUTE_LEVELS: u8 = 3;
const LEAST_URGENT: u8 = 9;

/// Returns whether a caller that still waits `patience` has been refused before.
pub fn is_returning(patience: Duration, timeout: Duration) -> bool {
    patience.as_secs_f64() < timeout.as_secs_f64() * FRESH_SHARE
}

/// Returns the longest wait for the first event, or for the answer of a plain request.
///
/// A stream may wait as long as those of less urgent routes to the same services: it would otherwise
/// be refused while they are taken, only since its target is shorter.
pub fn limit(catalog: &Catalog, route: &Route, time: Duration, returning: bool) -> Duration {
    if !route.kind.is_stream() {
        return time.mul_f64(PLAIN_SHARE);
    }
    let beside = catalog.routes.iter().filter(|other| {
        other.kind.is_stream() && other.rank >= route.rank && shares_service(other, route)
    });
    let target = beside.map(|other| other.target).max().unwrap_or(route.target);
    first_event(target.max(route.target), time, returning)
}

fn shares_service(a: &Route, b: &Route) -> bool {
    a.backends.iter().any(|(service, _)| b.backends.iter().any(|(other, _)| other == service))
}

/// Returns the longest wait for the first event of a stream whose target is `target`.
pub fn first_event(target: Duration, time: Duration, returning: bool) -> Duration {
    match returning {
        true => time.mul_f64(RETURNING_SHARE),
        false => target.mul_f64(TARGET_SHARE),
    }
}

/// Returns the urgency that engines get: the workspace's rank goes before the route's.
///
/// Engines preempt by it, so requests of one rank must share it whatever else differs.
pub fn urgency(workspace: Option<u8>, route: u8) -> u8 {
    let within = route.min(ROUTE_LEVELS - 1);
    let level = workspace.unwrap_or(route).saturating_mul(ROUTE_LEVELS);
    level.saturating_add(within).min(LEAST_URGENT)
}

/// Returns how long a stream may last on a busy engine, as far as its prompt tells.
pub fn longest(prompt: &Prompt) -> Duration {
    Duration::from_secs_f64(f64::from(prompt.output) * TOKEN_MS / 1e3)
}

/// Returns when a request that was refused for its expected wait may come back.
///
/// `draw` is uniform in 0 to 1 and spreads the callers of a burst.
pub fn come_back(expected: Duration, limit: Duration, left: Duration, draw: f64) -> Duration {
    let excess = expected.saturating_sub(limit);
    let wait = (LEAST_PAUSE + excess).mul_f64(1.0 + draw);
    wait.min(left.mul_f64(HONOURED_SHARE))
}

/// Returns when a request may come back that no server could take.
pub fn pause(draw: f64, left: Duration) -> Duration {
    LEAST_PAUSE.mul_f64(1.0 + draw).min(left.mul_f64(HONOURED_SHARE))
}
