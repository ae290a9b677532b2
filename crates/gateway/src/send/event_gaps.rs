//! The gaps between the events of a stream: a metric, and observations of the engine's step time.

use std::time::{Duration, Instant};

use wasabi_policy::engine_speed::EventGap;

use crate::{guard::PlacementGuard, receive::request::AdmittedRequest};

/// Gaps that are handed to the balancer at once, so that few events of a stream look it up.
const BATCH: usize = 4;
/// If passing events on took longer, the caller reads slowly, and the next events may have arrived long
/// before they are read.
const MAX_SEND_TIME: Duration = Duration::from_millis(2);

/// Measures the gaps between the events of one stream.
#[derive(Debug, Default)]
pub struct EventGaps {
    /// When the last events were received, from whichever server.
    last_at: Option<Instant>,
    /// The number of events received up to then.
    count: u64,
    /// From when the next gap is measured; `None` if the last events do not mark a time in the engine.
    measured_from: Option<Instant>,
    /// Whether the current server has sent its first event.
    has_begun: bool,
    /// Held back until another event follows, since the last event of a stream may have fewer tokens.
    latest: Option<EventGap>,
    batch: Vec<EventGap>,
}

impl EventGaps {
    /// Starts the part of another server.
    pub fn start_part(&mut self) {
        (self.measured_from, self.has_begun, self.latest) = (None, false, None);
        self.batch.clear();
    }

    /// Records events received at `now`, up to the `count`th of the stream.
    pub fn record(
        &mut self,
        now: Instant,
        count: u64,
        inbound: &AdmittedRequest,
        guard: &PlacementGuard,
    ) {
        if let Some(last) = self.last_at.replace(now) {
            let gap = now.saturating_duration_since(last);
            let rank = inbound.admission.rank.to_string();
            metrics::histogram!("wasabi_gateway_event_gap_seconds", "rank" => rank)
                .record(gap.as_secs_f64());
        }
        let received = count - std::mem::replace(&mut self.count, count);
        // The first event takes part of its time outside the engine's steps, and of several events
        // received at once the arrival of the earlier ones is not known.
        let is_measurable = std::mem::replace(&mut self.has_begun, true) && received == 1;
        let from = std::mem::replace(&mut self.measured_from, is_measurable.then_some(now));
        self.batch.extend(self.latest.take());
        if is_measurable {
            self.latest = from.map(|from| EventGap { from, to: now });
        }
        if self.batch.len() >= BATCH {
            guard.with_balancer(|balancer, place| balancer.record_gaps(now, place, &self.batch));
            self.batch.clear();
        }
    }

    /// Records that the events received last were passed on by `now`.
    pub fn record_sent(&mut self, now: Instant) {
        let took = self.last_at.map(|at| now.saturating_duration_since(at));
        if took.is_some_and(|took| took > MAX_SEND_TIME) {
            self.measured_from = None;
        }
    }
}
