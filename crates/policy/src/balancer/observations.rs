//! What a [`Balancer`] learns from the responses to the requests that it placed.

use std::time::{Duration, Instant};

use wasabi_core::call::Load;

use super::Balancer;
use crate::{
    engine_speed::EventGap,
    placement::Placement,
    server_speed,
    server_state::{FIRST_EVENT_OVERHEAD_MS, URGENCY_LEVELS},
};

/// The part of a first event's lateness that is added to the modelled prefill queue.
const DELAY_CORRECTION_SHARE: f64 = 0.5;
/// The most that one late first event adds to the modelled prefill queue, in milliseconds.
const MAX_DELAY_CORRECTION_MS: f64 = 200.0;
/// Weight of one first event in the latency ratio.
const LATENCY_RATIO_GAIN: f64 = 0.12;
/// Without first events, the excess of the latency ratio over 1 halves in this time. The ratio
/// scales the time-outs of stuck requests and, while announcements are stale, the expected waits at
/// placement. A service that refuses everything because of a high ratio thus accepts requests
/// again.
const LATENCY_RATIO_HALF_LIFE: Duration = Duration::from_millis(1_500);
/// The slowness of an engine stays between this factor and its inverse.
const MAX_SLOWNESS: f64 = 4.0;
/// Weight of a new observation in the slowness.
const SLOWNESS_GAIN: f64 = 0.1;
/// The upper bound of the latency ratio.
const MAX_LATENCY_RATIO: f64 = 8.0;

impl Balancer {
    /// Records that a request is stuck, which counts as a failure of its server.
    pub fn record_stuck(&mut self, now: Instant, place: &Placement) {
        if let Some(server) = self.server_of(place) {
            server.failures.record_failure(now);
        }
    }

    /// Records the arrival of the first event, or of the whole response of a plain server, as a
    /// success of the server.
    ///
    /// The ratio of observed to expected time enters the latency ratio, also for plain servers,
    /// whose expected time is zero. For engines, the difference also corrects the modelled prefill
    /// queue and enters the learned speed; for plain servers, the time taken enters the average response time.
    pub fn record_first_output(&mut self, now: Instant, place: &Placement) {
        let plain = self.engine.is_none();
        let took = now.saturating_duration_since(place.since);
        if plain {
            self.response_time.observe(took);
        }
        let took = took.as_secs_f64();
        let observed_ratio =
            (took / place.expected_wait.as_secs_f64().max(1e-3)).clamp(1.0, MAX_LATENCY_RATIO);
        let latency_ratio = self.latency_ratio(now);
        self.latency_ratio =
            (latency_ratio + LATENCY_RATIO_GAIN * (observed_ratio - latency_ratio), Some(now));
        let learns = self.learns_speed;
        let Some(server) = self.server_of(place) else { return };
        server.failures.record_success();
        if plain {
            return;
        }
        let observed = now.saturating_duration_since(place.since).as_secs_f64() * 1e3;
        let expected = place.expected_wait.as_secs_f64() * 1e3;
        let late_ms = observed - expected;
        if late_ms > 0.0 {
            server.extend_queue(
                now,
                place.urgency,
                (late_ms * DELAY_CORRECTION_SHARE).min(MAX_DELAY_CORRECTION_MS),
            );
        }
        if !learns {
            let slowdown = (observed / expected.max(1.0)).clamp(0.5, 2.0);
            server.slowness = (server.slowness * (1.0 + SLOWNESS_GAIN * (slowdown - 1.0)))
                .clamp(1.0 / MAX_SLOWNESS, MAX_SLOWNESS);
            return;
        }
        let queued_ms = expected - place.prefill_ms - FIRST_EVENT_OVERHEAD_MS;
        server.speed.record_prefill(
            now,
            observed - FIRST_EVENT_OVERHEAD_MS,
            queued_ms,
            place.prefill_ms,
            place.speed,
        );
    }

    /// Takes in the load that the placement's server reported: if requests wait there, the modelled
    /// prefill queue is lengthened, and the time that work takes there scales what is expected of it.
    pub fn observe(&mut self, now: Instant, place: &Placement, load: Load) {
        let (rest, learns) = (self.brittleness.rest_at(load), self.learns_speed);
        let Some(server) = self.server_of(place) else { return };
        if let Some(percent) = load.work_percent.filter(|_| learns) {
            server.speed.record_work_percent(now, percent);
        }
        // Waiting requests mean that the modelled queue is too short: it is made at least as long
        // as the prefill of this request.
        let known = server.queue_ms(now, URGENCY_LEVELS - 1);
        if let Some(rest) = rest {
            server.pause.begin(now, rest, 0.0);
        }
        if load.waiting > 0 && known < place.prefill_ms {
            server.extend_queue(now, place.urgency, place.prefill_ms - known);
        }
    }

    /// Records gaps between consecutive events of a stream, from which the step time is learned. Gaps in
    /// which the engine is known to have read prompts are left out.
    pub fn record_gaps(&mut self, now: Instant, place: &Placement, gaps: &[EventGap]) {
        let Some(engine) = self.engine.filter(|_| self.learns_speed) else { return };
        let step = self.engine_speed.step;
        let Some(server) = self.server_of(place) else { return };
        let running = server.total_counts().running;
        for gap in gaps {
            if !server.had_empty_queue(gap.from) {
                continue;
            }
            let gap_ms = gap.to.saturating_duration_since(gap.from).as_secs_f64() * 1e3;
            let step_ms = gap_ms / f64::from(engine.event_tokens.max(1));
            server.speed.record_step(now, running, step_ms, step);
        }
    }

    /// Computes the learned speeds anew if they are due.
    pub(super) fn refresh_speeds(&mut self, now: Instant) {
        if !self.learns_speed || !self.engine_speed.is_due(now) {
            return;
        }
        let servers = self.servers.values_mut();
        match self.engine {
            Some(_) => self.engine_speed.refresh(now, servers.map(|server| &mut server.speed)),
            None => {
                self.engine_speed.refresh(now, std::iter::empty());
                server_speed::refresh(now, servers.map(|server| &mut server.response_speed));
            }
        }
    }

    /// Returns the ratio of observed to expected time of first events, at least 1; it decays
    /// towards 1 without first events.
    pub(super) fn latency_ratio(&self, now: Instant) -> f64 {
        let (latency_ratio, at) = self.latency_ratio;
        let age = at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        1.0 + (latency_ratio - 1.0)
            * 0.5_f64.powf(age.as_secs_f64() / LATENCY_RATIO_HALF_LIFE.as_secs_f64())
    }
}
