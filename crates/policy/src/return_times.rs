//! The times at which refused callers are asked to return, as promises of capacity.
//!
//! Each host spreads the times that it gives out over the capacity that it expects: the rate at
//! which it has lately accepted work. Until then, its first attempts leave room for the returns. A
//! caller may return at any host; all hosts together expect what all hosts together have promised.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Promised work is kept by spans of this length; times are spread within a span.
const SPAN: Duration = Duration::from_millis(50);
/// The part of the expected capacity that is promised; the rest is for first attempts, which are
/// otherwise all refused and become returns themselves.
const PROMISED_SHARE: f64 = 0.8;
/// Times further ahead than this are not promised: the capacity by then is not known.
const MAX_AHEAD: Duration = Duration::from_secs(30);
/// Times without a promise are spread over this last part of the range.
const UNPROMISED_SPREAD: f64 = 1.0 / 3.0;
/// Levels of urgency: 0 is the most urgent.
const LEVELS: usize = 10;

/// The work promised to callers that return to one service.
#[derive(Debug)]
pub struct Book {
    /// When the first span begins.
    start: Instant,
    /// Promised work by span and urgency, in milliseconds.
    spans: VecDeque<[f64; LEVELS]>,
}

/// A time at which a caller is asked to return.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Offer {
    /// The time from now.
    pub wait: Duration,
    /// Whether capacity is expected and kept for it then. Otherwise all of it within the caller's
    /// time was promised already, and the time is only spread.
    pub promised: bool,
}

impl Offer {
    /// A time in the last part of the range from `earliest` to `latest`, without a promise: such
    /// callers should not compete with those that were promised the time before.
    pub fn unpromised((earliest, latest): (Duration, Duration), draw: f64) -> Self {
        let spread = latest.saturating_sub(earliest).mul_f64(UNPROMISED_SPREAD * draw);
        Self { wait: latest.saturating_sub(spread), promised: false }
    }
}

impl Book {
    /// Creates a book without promises.
    pub fn new(now: Instant) -> Self {
        Self { start: now, spans: VecDeque::new() }
    }

    /// Offers the first time from `earliest` to `latest` from now at which there is room for
    /// `work_ms`, if work is accepted at `rate_ms` a second. What less urgent callers were promised
    /// does not count. `draw` is uniform in 0 to 1 and spreads the times.
    pub fn offer(
        &mut self,
        now: Instant,
        urgency: u8,
        work_ms: f64,
        rate_ms: f64,
        (earliest, latest): (Duration, Duration),
        draw: f64,
    ) -> Offer {
        self.advance(now);
        let level = usize::from(urgency).min(LEVELS - 1);
        let room = rate_ms * SPAN.as_secs_f64() * PROMISED_SHARE;
        let latest = latest.min(MAX_AHEAD);
        let offset = now.saturating_duration_since(self.start);
        let first = span_of(offset + earliest);
        let last = span_of(offset + latest);
        while self.spans.len() <= last {
            self.spans.push_back([0.0; LEVELS]);
        }
        let is_free = |span: &[f64; LEVELS]| span[..=level].iter().sum::<f64>() < room;
        let found = (first..=last).find(|index| is_free(&self.spans[*index]));
        let Some(index) = found else {
            return Offer::unpromised((earliest, latest), draw);
        };
        // A request may need the capacity of several spans.
        let mut left = work_ms;
        for span in self.spans.range_mut(index..) {
            let taken = (room - span[..=level].iter().sum::<f64>()).clamp(0.0, left);
            span[level] += taken;
            left -= taken;
        }
        let at = SPAN.mul_f64(index as f64 + draw);
        Offer {
            wait: at.saturating_sub(offset).clamp(earliest.min(latest), latest),
            promised: true,
        }
    }

    /// Returns the work promised to callers of this urgency and more urgent ones that return
    /// within `ahead`, in milliseconds.
    pub fn due_ms(&mut self, now: Instant, urgency: u8, ahead: Duration) -> f64 {
        self.advance(now);
        let level = usize::from(urgency).min(LEVELS - 1);
        let spans = span_of(now.saturating_duration_since(self.start) + ahead) + 1;
        self.spans.iter().take(spans).flat_map(|span| &span[..=level]).sum()
    }

    /// Drops the spans that are over.
    fn advance(&mut self, now: Instant) {
        let over = span_of(now.saturating_duration_since(self.start));
        if over >= self.spans.len() {
            self.spans.clear();
            self.start = now;
            return;
        }
        self.spans.drain(..over);
        self.start += SPAN * over as u32;
    }
}

fn span_of(offset: Duration) -> usize {
    (offset.as_nanos() / SPAN.as_nanos()) as usize
}
