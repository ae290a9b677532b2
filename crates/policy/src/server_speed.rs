//! Learned speed of plain servers: the response time by running requests, as a level up to a bend and
//! in proportion to the running requests beyond it.
//!
//! Beyond the bend, more concurrent requests do not bring more responses in the same time (Little's
//! law), so the bend is the concurrency that the server takes well; it replaces the number of slots.
//! Servers are then compared by the shortest expected delay: the requests that would run there, times
//! the response time without load, over the concurrency. For servers that are alike, this is the order
//! by running requests per slot.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Response times kept of one server.
const WINDOW: usize = 48;
/// Fewer response times than this say nothing.
const MIN_OBSERVATIONS: usize = 12;
/// Response times are forgotten after this time: after it, a server that got few requests because it
/// was slow is tried as if it were like the others.
const MAX_AGE: Duration = Duration::from_secs(20);
/// A curve is fitted after this many new response times.
const FIT_INTERVAL: u32 = 6;
/// The bends that are tried lie at the slots divided by powers of the fourth root of 2, down to a
/// quarter of the slots.
const BEND_STEPS: i32 = 8;
/// A bend below the slots is believed only if it reduces the mean deviation of the response times to
/// this share; scatter alone favours some bend by a few percent.
const BEND_ERROR_SHARE: f64 = 0.85;
/// How far the concurrency moves towards a bend that was found, in logarithms.
const BEND_GAIN: f64 = 0.5;
/// While nothing ran beyond the known bend, it is raised by this factor with each fit, to find out
/// whether the server takes more by now.
const BEND_GROWTH: f64 = 1.05;
/// Response times without load that differ from the service's median by less than this factor count as
/// alike: the median of a window scatters by up to 15%.
const ALIKE: f64 = 1.25;
/// From this factor on, the difference counts in full; in between it rises steadily.
const UNLIKE: f64 = 1.6;
/// Bound of the factor on the response time, both ways.
const MAX_FACTOR: f64 = 4.0;

/// The observed response times of one server.
#[derive(Debug, Default)]
pub(crate) struct ServerSpeed {
    window: VecDeque<Observation>,
    /// Observations since the last fit.
    unread: u32,
    /// The concurrency that the server takes well; `None` for its slots.
    bend: Option<f64>,
    /// The response time without load, in milliseconds, as of the last fit.
    base_ms: Option<f64>,
    /// `base_ms` as a multiple of the service's median, between the bounds, as of the last refresh.
    factor: Option<f64>,
}

#[derive(Clone, Copy, Debug)]
struct Observation {
    at: Instant,
    /// Requests that ran when it was placed, itself included.
    running: f64,
    /// The logarithm of the response time in milliseconds.
    log_ms: f64,
}

impl ServerSpeed {
    /// Records that a request that was placed as one of `running` was answered after `took`.
    pub(crate) fn record(&mut self, now: Instant, running: u32, took: Duration, slots: u32) {
        if self.window.len() >= WINDOW {
            self.window.pop_front();
        }
        let running = f64::from(running.max(1));
        let log_ms = (took.as_secs_f64() * 1e3).max(0.1).ln();
        self.window.push_back(Observation { at: now, running, log_ms });
        self.unread += 1;
        if self.unread >= FIT_INTERVAL {
            self.forget_old(now);
            self.fit(f64::from(slots.max(1)));
        }
    }

    /// Returns the concurrency that a server with `slots` takes well.
    pub(crate) fn concurrency(&self, slots: u32) -> f64 {
        let slots = f64::from(slots.max(1));
        self.bend.map_or(slots, |bend| bend.min(slots))
    }

    /// Returns the factor on the usual response time of the service.
    pub(crate) fn factor(&self) -> f64 {
        self.factor.unwrap_or(1.0)
    }

    fn forget_old(&mut self, now: Instant) {
        let is_old = |seen: &mut Observation| now.saturating_duration_since(seen.at) > MAX_AGE;
        while self.window.pop_front_if(is_old).is_some() {}
        if self.window.is_empty() {
            *self = Self::default();
        }
    }

    fn fit(&mut self, slots: f64) {
        self.unread = 0;
        if self.window.len() < MIN_OBSERVATIONS {
            return;
        }
        let most = self.window.iter().map(|seen| seen.running).fold(0.0, f64::max);
        let straight = self.level_and_error(slots);
        let bends = (1..=BEND_STEPS).map(|step| slots * 0.5_f64.powf(f64::from(step) / 4.0));
        let best = bends
            .map(|bend| (bend, self.level_and_error(bend).1))
            .min_by(|a, b| a.1.total_cmp(&b.1))
            .filter(|(_, error)| *error < straight.1 * BEND_ERROR_SHARE);
        let known = self.bend.unwrap_or(slots);
        let bend = match best {
            Some((bend, _)) => known * (bend / known).powf(BEND_GAIN),
            None if most <= known => known * BEND_GROWTH,
            None => known * (slots / known).powf(BEND_GAIN),
        };
        self.bend = (bend < slots).then_some(bend);
        self.base_ms = Some(self.level_and_error(bend.min(slots)).0.exp());
    }

    /// Returns the logarithm of the response time before the bend, and the mean deviation of the observed
    /// logarithms from the curve.
    fn level_and_error(&self, bend: f64) -> (f64, f64) {
        let mut levels: Vec<f64> = self
            .window
            .iter()
            .map(|seen| seen.log_ms - (seen.running / bend).max(1.0).ln())
            .collect();
        let middle = levels.len() / 2;
        let level = *levels.select_nth_unstable_by(middle, f64::total_cmp).1;
        let error = levels.iter().map(|value| (value - level).abs()).sum::<f64>();
        (level, error / levels.len() as f64)
    }
}

/// Drops old observations of the service's servers and compares the servers with each other.
pub(crate) fn refresh<'a>(now: Instant, servers: impl Iterator<Item = &'a mut ServerSpeed>) {
    let mut servers: Vec<&mut ServerSpeed> = servers.collect();
    servers.iter_mut().for_each(|server| server.forget_old(now));
    let mut known: Vec<f64> = servers.iter().filter_map(|server| server.base_ms).collect();
    if known.is_empty() {
        return;
    }
    // The lower one of two: of two servers that differ, the slower one counts as slow.
    let middle = (known.len() - 1) / 2;
    let median = *known.select_nth_unstable_by(middle, f64::total_cmp).1;
    for server in servers {
        server.factor = server.base_ms.map(|base_ms| significant(base_ms / median));
    }
}

/// Returns the factor that counts for an observed one: see [`ALIKE`] and [`UNLIKE`].
fn significant(ratio: f64) -> f64 {
    let difference = ratio.ln().abs();
    let weight = (difference - ALIKE.ln()) / (UNLIKE.ln() - ALIKE.ln());
    ratio.clamp(1.0 / MAX_FACTOR, MAX_FACTOR).powf(weight.clamp(0.0, 1.0))
}
