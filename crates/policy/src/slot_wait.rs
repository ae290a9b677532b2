//! The expected wait for a slot of an engine that runs nearly as many requests as it can.
//!
//! An engine with few slots fills within the time that announcements take: hosts that each see free slots place
//! more requests there than it has. So the wait is estimated before the known requests fill the engine, from
//! the spread of what may run there unseen.

use std::time::Duration;

use crate::moving_average::Average;

/// How long a request occupies a slot before any has ended, in milliseconds: some 60 events of five tokens.
const INITIAL_RESIDENCE_MS: f64 = 1_500.0;

/// Requests of both kinds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ByKind {
    pub(crate) light: f64,
    pub(crate) heavy: f64,
}

/// How long requests occupy a slot on the engines of one service, from placement to end.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Residence {
    light: Average,
    heavy: Average,
}

impl Residence {
    /// Records that a request has ended as it should.
    pub(crate) fn observe(&mut self, light: bool, took: Duration) {
        let average = if light { &mut self.light } else { &mut self.heavy };
        average.observe(took.as_secs_f64() * 1e3);
    }

    /// Returns the mean over the running requests.
    fn mean_ms(&self, running: ByKind) -> f64 {
        let (light_ms, heavy_ms) =
            (self.light.or(INITIAL_RESIDENCE_MS), self.heavy.or(INITIAL_RESIDENCE_MS));
        let all = running.light + running.heavy;
        if all <= 0.0 {
            return heavy_ms;
        }
        (running.light * light_ms + running.heavy * heavy_ms) / all
    }

    /// Returns the expected wait of one more request at an engine with `slots`, in milliseconds.
    ///
    /// What really runs there is taken to be spread around the known number like arrivals at random, by its
    /// square root. Each request in excess of the slots waits for one of them to become free.
    pub(crate) fn wait_ms(&self, running: ByKind, slots: u32) -> f64 {
        let all = running.light + running.heavy;
        let free_below = f64::from(slots) - 1.0;
        let excess = expected_excess(all, all.sqrt(), free_below);
        excess * self.mean_ms(running) / f64::from(slots.max(1))
    }
}

/// Returns the mean of what a normally distributed number exceeds `limit` by.
fn expected_excess(mean: f64, deviation: f64, limit: f64) -> f64 {
    if deviation <= 0.0 {
        return (mean - limit).max(0.0);
    }
    let z = (mean - limit) / deviation;
    // The logistic approximation of the normal distribution; its integral is the softplus function.
    const LOGISTIC_SCALE: f64 = 1.702;
    let softplus = if LOGISTIC_SCALE * z > 30.0 {
        LOGISTIC_SCALE * z
    } else {
        (LOGISTIC_SCALE * z).exp().ln_1p()
    };
    deviation * softplus / LOGISTIC_SCALE
}
