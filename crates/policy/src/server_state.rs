//! The state that a [`Balancer`](crate::balancer::Balancer) keeps of one server: the requests that
//! all hosts run there, the modelled prefill queue, and the cost estimate of a new request.

use std::time::{Duration, Instant};

use wasabi_core::{
    catalog::Engine,
    member::{Member, Phase},
};

use crate::{
    brittle::Brittleness,
    engine_speed::{
        self, EngineSpeed, PREFILL_CHUNK_TOKENS, PREFILL_TOKENS_PER_MS, ServiceSpeed, Speed,
    },
    failures::FailureHistory,
    load_report::LoadReport,
    pace::Pace,
    pause::Pause,
    placement::{Placement, PlacementRequest},
    prefix_cache::Cache,
    reservation,
    server_speed::ServerSpeed,
};

/// The time from sending a request to its first event on an idle engine, without prefill, in
/// milliseconds: 13 ms in the engine, the rest for the network both ways.
pub(crate) const FIRST_EVENT_OVERHEAD_MS: f64 = 18.0;
/// Time constant of the moving average of the share of time that an engine spends on prefill.
const PREFILL_SHARE_WINDOW: Duration = Duration::from_millis(1_000);
/// A request is light if its whole prompt, cached parts included, takes less than this at
/// `PREFILL_TOKENS_PER_MS`, in milliseconds.
const MAX_LIGHT_PREFILL_MS: f64 = 40.0;
/// The expected wait already contains the prefill time; the cost counts it once more with this
/// weight, since work saved by a cached prefix leaves room for other requests.
const PREFILL_COST_WEIGHT: f64 = 1.0;
/// Cost in milliseconds of a server at which the gaps of the request's stream would exceed its target:
/// more than any other penalty but that for failures, so that it is chosen only if no other one is left.
const LATE_GAP_PENALTY_MS: f64 = 1_000.0;
/// Cost in milliseconds, for a request that is not light, of each light stream at an engine whose gaps
/// its prompt would make too long.
const LATE_STREAM_PENALTY_MS: f64 = 100.0;
/// The most that this costs: as much as the target of a first event, from where on the request itself
/// would be late.
const MAX_LATE_STREAMS_PENALTY_MS: f64 = 400.0;
/// An expected gap up to this share of its target costs nothing; the rest covers errors of the
/// expectation. From there the penalty rises steadily, so that small errors have small effects.
const CERTAIN_GAP_SHARE: f64 = 0.85;
/// A higher share of time spent on prefill counts as this in the expected gap.
const MAX_PREFILL_SHARE: f64 = 0.95;
/// The share of its memory that an engine fills before it has to preempt requests.
const USABLE_MEMORY_SHARE: f64 = 0.92;
/// How many requests may wait at a plain server for each of its slots.
const WAITING_PER_SLOT: u32 = 3;
/// Number of urgency levels: 0 is the most urgent.
pub(crate) const URGENCY_LEVELS: usize = 10;
/// The longest that a more urgent request waits for the prompt that is being read, in milliseconds:
/// about two chunks, which take about 80 to 90 ms by the constants above, and the steps in between
/// that generate tokens of other requests.
const MAX_PREFILL_IN_PROGRESS_MS: f64 = 130.0;

/// Returns whether a request with a prompt of so many tokens is light, see [`MAX_LIGHT_PREFILL_MS`].
pub(crate) fn is_light(prompt_tokens: f64) -> bool {
    prompt_tokens / PREFILL_TOKENS_PER_MS < MAX_LIGHT_PREFILL_MS
}

/// The state of one server.
#[derive(Debug)]
pub(crate) struct ServerState {
    pub(crate) member: Member,
    /// Its sort key among the engines that may be reserved for light requests, see
    /// `reservation::reservation_order`.
    pub(crate) reservation_order: u64,
    pub(crate) speed: EngineSpeed,
    /// While speeds are not learned: how many times longer than typical first events take, queues included.
    pub(crate) slowness: f64,
    /// For plain servers.
    pub(crate) response_speed: ServerSpeed,
    /// By urgency: when the modelled prefill queue has no work left that goes before such a
    /// request. Never later for a more urgent level than for a less urgent one.
    prefill_done_at: [Instant; URGENCY_LEVELS],
    /// Milliseconds of prefill that were placed, decayed with `PREFILL_SHARE_WINDOW` up to
    /// `prefill_updated_at`.
    recent_prefill_ms: f64,
    prefill_updated_at: Instant,
    /// This host's requests, and its placements since its last announcement.
    pub(crate) own: LoadReport,
    /// The sum of the counts in `Balancer::peers` for this server.
    pub(crate) peer_counts: Counts,
    pub(crate) cache: Cache,
    pub(crate) failures: FailureHistory,
    pub(crate) pause: Pause,
    pub(crate) pace: Pace,
}

/// Requests that run on a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Counts {
    pub(crate) running: u32,
    pub(crate) light: u32,
    pub(crate) tokens: u64,
}

/// What is known of the engines of a service, for the estimate of a cost on one of them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineModel<'a> {
    pub(crate) engine: Engine,
    pub(crate) speed: &'a ServiceSpeed,
    /// Whether the speed of each engine is learned by itself.
    pub(crate) learns: bool,
}

/// What a request is expected to cost on a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CostEstimate {
    /// Time to the first event; 0 for plain servers.
    pub(crate) first_ms: f64,
    /// Added to the wait in the choice of a server only: the weighted prefill time on engines, 100
    /// times the running requests per slot on plain servers.
    pub(crate) extra_cost: f64,
    /// Prefill time; 0 for plain servers.
    pub(crate) prefill_ms: f64,
    /// The time between the events of its stream; zero for plain servers.
    pub(crate) gap_ms: f64,
    /// Added to the wait in the choice of a server only: the penalties for a stream, of the request or
    /// running there, whose gaps would exceed what it tolerates.
    pub(crate) gap_cost: f64,
    /// The factors that the estimate is based on.
    pub(crate) speed: Speed,
    pub(crate) has_room: bool,
    pub(crate) light: bool,
}

impl ServerState {
    pub(crate) fn new(now: Instant, member: Member, memory: u64, service: &ServiceSpeed) -> Self {
        Self {
            reservation_order: reservation::reservation_order(&member.id),
            member,
            speed: EngineSpeed::new(service),
            slowness: 1.0,
            response_speed: ServerSpeed::default(),
            prefill_done_at: [now; URGENCY_LEVELS],
            recent_prefill_ms: 0.0,
            prefill_updated_at: now,
            own: LoadReport::default(),
            peer_counts: Counts::default(),
            cache: Cache::new(memory),
            failures: FailureHistory::default(),
            pause: Pause::default(),
            pace: Pace::default(),
        }
    }

    /// Returns whether the server takes new work now: it is ready, not paused and not at its limit.
    pub(crate) fn takes_work(&self, now: Instant) -> bool {
        self.is_ready() && self.wait(now).is_zero()
    }

    /// Returns the time until a server that is ready takes new work.
    pub(crate) fn wait(&self, now: Instant) -> Duration {
        self.pause.remaining(now).max(self.pace.wait(now))
    }

    /// Returns whether the server takes new work, at the latest when its pause is over and its limit
    /// allows it.
    pub(crate) fn is_ready(&self) -> bool {
        self.member.phase == Phase::Ready
    }

    /// Estimates the cost on an engine; `assume_cached` takes the shared parts of the prompt to be
    /// in its cache, whatever `cache` holds.
    pub(crate) fn engine_cost(
        &self,
        now: Instant,
        ask: &PlacementRequest,
        model: &EngineModel<'_>,
        assume_cached: bool,
    ) -> CostEstimate {
        let EngineModel { engine, speed: service, learns } = model;
        let speed = match learns {
            true => self.speed.speed(now),
            false => Speed { step: self.slowness, prefill: self.slowness, ..Speed::TYPICAL },
        };
        let all = self.total_counts();
        let (prompt_tokens, output) =
            ask.prompt.map_or((0.0, 0), |p| (f64::from(p.tokens), u64::from(p.output)));
        let cached =
            ask.prompt.map_or(0, |prompt| match (assume_cached, prompt.parts.split_last()) {
                (true, Some((_, shared))) => shared.iter().map(|part| part.tokens).sum(),
                _ => self.cache.cached_tokens(prompt),
            });
        let uncached = (prompt_tokens - f64::from(cached)).max(1.0);
        let step_ms = service.step.ms(f64::from(all.running)) * speed.step;
        let prefill_ms = engine_speed::reading_ms(f64::from(cached), uncached) * speed.prefill
            + (uncached / PREFILL_CHUNK_TOKENS).ceil() * step_ms;
        let queued_ms = self.queue_ms(now, usize::from(ask.urgency));
        let wait_ms =
            queued_ms.max(self.queue_ms(now, URGENCY_LEVELS - 1).min(MAX_PREFILL_IN_PROGRESS_MS));
        let light = is_light(prompt_tokens);
        let tokens = all.tokens + prompt_tokens as u64 + output;
        let memory = engine.memory.0 as f64 * USABLE_MEMORY_SHARE;
        let gaps = self.gaps(now, ask, engine, step_ms, prefill_ms, speed);
        let gap_cost = if *learns {
            gaps.penalty(ask, light, all.light, service.stream_gap(now))
        } else {
            0.0
        };
        CostEstimate {
            first_ms: wait_ms + prefill_ms + FIRST_EVENT_OVERHEAD_MS,
            extra_cost: prefill_ms * PREFILL_COST_WEIGHT,
            prefill_ms,
            gap_ms: gaps.own_ms,
            gap_cost,
            speed,
            has_room: all.running < engine.slots && tokens as f64 <= memory,
            light,
        }
    }

    /// Estimates the gaps between events at an engine once it runs the request, whose prompt takes
    /// `prefill_ms`; a step takes `step_ms`.
    fn gaps(
        &self,
        now: Instant,
        ask: &PlacementRequest,
        engine: &Engine,
        step_ms: f64,
        prefill_ms: f64,
        speed: Speed,
    ) -> Gaps {
        let steps = f64::from(engine.event_tokens.max(1));
        let decode_ms = steps * step_ms;
        // Each step reads a chunk at most.
        let most_read_ms = steps * PREFILL_CHUNK_TOKENS / PREFILL_TOKENS_PER_MS * speed.prefill;
        let queued_ms = self.queue_ms(now, URGENCY_LEVELS - 1);
        // What is queued behind the request is read between its events, and so are the prompts to come.
        let behind_ms = queued_ms - self.queue_ms(now, usize::from(ask.urgency));
        let share = self.prefill_share(now).min(MAX_PREFILL_SHARE);
        let to_come_ms = decode_ms * share / (1.0 - share);
        Gaps {
            own_ms: decode_ms + behind_ms.max(to_come_ms).min(most_read_ms),
            others_ms: decode_ms + (queued_ms + prefill_ms).min(most_read_ms),
        }
    }

    /// Estimates the cost on a plain server, which is no engine and sends whole responses: the wait
    /// is not estimated, and the server with the shortest expected delay costs least, which is the
    /// least loaded one if servers are alike. See `server_speed`. What was learned only orders the servers:
    /// a request is not refused for it, since requests of one service may differ in length.
    /// A brittle server is shared out among `hosts`.
    pub(crate) fn plain_server_cost(
        &self,
        now: Instant,
        brittleness: Brittleness,
        hosts: usize,
    ) -> CostEstimate {
        let running = self.total_counts().running;
        let slots = self.member.slots.max(1);
        let speed = self.plain_speed(now);
        let concurrency = self.response_speed.concurrency(slots);
        let delay = f64::from(running + 1) * speed.step / concurrency - 1.0 / f64::from(slots);
        CostEstimate {
            first_ms: 0.0,
            extra_cost: delay * 100.0,
            prefill_ms: 0.0,
            gap_ms: 0.0,
            gap_cost: 0.0,
            speed,
            has_room: running < brittleness.room(slots, slots * (1 + WAITING_PER_SLOT))
                && brittleness.own_room(slots, hosts).is_none_or(|own| self.own.running < own),
            light: false,
        }
    }

    /// Returns the factors on the response time of a plain server.
    pub(crate) fn plain_speed(&self, now: Instant) -> Speed {
        let work = self.speed.speed(now).work;
        let factor = self.response_speed.factor() * work;
        Speed { step: factor, prefill: factor, work }
    }

    pub(crate) fn assign(
        &mut self,
        now: Instant,
        ask: &PlacementRequest,
        estimate: CostEstimate,
    ) -> Placement {
        let tokens = ask.prompt.map_or(0, |p| u64::from(p.tokens) + u64::from(p.output));
        self.pace.record_send(now);
        self.own.running += 1;
        self.own.light += u32::from(estimate.light);
        self.own.tokens += tokens;
        *self.own.added_ms.entry(ask.urgency).or_default() += estimate.prefill_ms;
        self.add_placed_prefill(now, ask.urgency, estimate.prefill_ms);
        if let Some(prompt) = ask.prompt {
            for part in &prompt.parts[..prompt.parts.len().saturating_sub(1)] {
                // Peers already know of the parts that are in the cache.
                if !self.cache.contains(part.id) {
                    self.own.parts.push((part.id, part.tokens));
                }
                self.cache.touch(now, part.id, part.tokens);
            }
        }
        Placement {
            member: self.member.clone(),
            since: now,
            expected_wait: Duration::from_secs_f64(estimate.first_ms / 1e3),
            expected_gap: Duration::from_secs_f64(estimate.gap_ms / 1e3),
            running: self.total_counts().running,
            prefill_ms: estimate.prefill_ms,
            speed: estimate.speed,
            urgency: ask.urgency,
            light: estimate.light,
            tokens,
        }
    }

    /// Adds the prefill of a placed request to the modelled queue and to the prefill share.
    /// To correct the queue without counting prefill, call `extend_queue`.
    pub(crate) fn add_placed_prefill(&mut self, now: Instant, urgency: u8, ms: f64) {
        self.extend_queue(now, urgency, ms.max(0.0));
        self.recent_prefill_ms =
            self.prefill_share(now) * PREFILL_SHARE_WINDOW.as_secs_f64() * 1e3 + ms;
        self.prefill_updated_at = now;
    }

    /// Lengthens the modelled prefill queue for requests of this urgency and less urgent ones.
    pub(crate) fn extend_queue(&mut self, now: Instant, urgency: u8, ms: f64) {
        for done_at in &mut self.prefill_done_at[usize::from(urgency).min(URGENCY_LEVELS - 1)..] {
            *done_at = (*done_at).max(now) + Duration::from_secs_f64(ms / 1e3);
        }
    }

    /// Returns how long the queued work takes that goes before a request of this urgency.
    pub(crate) fn queue_ms(&self, now: Instant, urgency: usize) -> f64 {
        let done_at = self.prefill_done_at[urgency.min(URGENCY_LEVELS - 1)];
        done_at.saturating_duration_since(now).as_secs_f64() * 1e3
    }

    /// Returns whether the modelled prefill queue had been read by `at`, and nothing was placed since.
    pub(crate) fn had_empty_queue(&self, at: Instant) -> bool {
        self.prefill_done_at[URGENCY_LEVELS - 1] <= at
    }

    /// Returns the recent share of time spent on prefill; above 1 if work piles up.
    pub(crate) fn prefill_share(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.prefill_updated_at).as_secs_f64();
        let window = PREFILL_SHARE_WINDOW.as_secs_f64();
        self.recent_prefill_ms * (-age / window).exp() / (window * 1e3)
    }

    /// Returns the requests of this host and its peers that run on the server.
    pub(crate) fn total_counts(&self) -> Counts {
        let mut all = self.peer_counts;
        all.add(Counts {
            running: self.own.running,
            light: self.own.light,
            tokens: self.own.tokens,
        });
        all
    }
}

/// The expected time between events at an engine that runs a new request.
#[derive(Clone, Copy, Debug)]
struct Gaps {
    /// Of the request's own stream.
    own_ms: f64,
    /// Of the streams that run there, while its prompt is read.
    others_ms: f64,
}

impl Gaps {
    /// Returns the penalty in milliseconds for gaps that are too long: the request's own, and, unless it is
    /// light, those of the light streams there, which tolerate a gap of `stream_gap`.
    fn penalty(
        self,
        ask: &PlacementRequest,
        light: bool,
        streams: u32,
        stream_gap: Option<Duration>,
    ) -> f64 {
        let own = ask.target_gap.map_or(0.0, |target| excess(self.own_ms, target));
        let others = match stream_gap {
            Some(target) if !light => excess(self.others_ms, target),
            _ => 0.0,
        };
        let late_streams_ms = f64::from(streams) * LATE_STREAM_PENALTY_MS;
        own * LATE_GAP_PENALTY_MS + others * late_streams_ms.min(MAX_LATE_STREAMS_PENALTY_MS)
    }
}

/// Returns 0 for an expected gap that is certainly within the target, 1 for one beyond it.
fn excess(gap_ms: f64, target: Duration) -> f64 {
    let share = gap_ms / (target.as_secs_f64() * 1e3).max(1.0);
    ((share - CERTAIN_GAP_SHARE) / (1.0 - CERTAIN_GAP_SHARE)).clamp(0.0, 1.0)
}

impl Counts {
    pub(crate) fn add(&mut self, other: Self) {
        self.running += other.running;
        self.light += other.light;
        self.tokens += other.tokens;
    }

    pub(crate) fn remove(&mut self, other: Self) {
        self.running -= other.running;
        self.light -= other.light;
        self.tokens -= other.tokens;
    }
}
