//! What a request is held to while a service is short of capacity: by its workspace's share, and by
//! refusals of more urgent requests.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use wasabi_core::{
    call::Prompt,
    units::{HostId, WorkspaceId},
};

use crate::{
    balancer::Balancer,
    fair_share::{self, Report},
    placement::Placement,
};

/// The service counts as short of capacity if the shortest queue takes this part of a request's longest
/// wait: refusals are then imminent.
const IMMINENT_QUEUE_SHARE: f64 = 0.6;
/// While the service is short of capacity, returning callers accept a queue of this part of the longest
/// wait of a first attempt. Without a limit, they were accepted behind queues of seconds, and most of
/// them and of the first attempts after them were late.
const RETURN_QUEUE_SHARE: f64 = 0.8;
/// For this long after a refusal, less urgent requests accept no longer queue than the refused one
/// did.
const RANK_MEMORY: Duration = Duration::from_millis(500);

/// What the decisions on one request depend on.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The workspace that it runs for.
    pub workspace: Option<&'a WorkspaceId>,
    /// The prompt, for requests to engines.
    pub prompt: Option<&'a Prompt>,
    /// 0 is the most urgent.
    pub urgency: u8,
    /// Whether the caller seems to return after a refusal.
    pub is_return: bool,
    /// The longest acceptable wait of a first attempt of its kind.
    pub first_wait: Duration,
    /// The longest acceptable wait of this request.
    pub max_wait: Duration,
}

/// The longest queue that a request accepts, and why.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// The longest queue of requests that go before it; `Duration::MAX` if only its longest wait
    /// counts.
    pub max_queue: Duration,
    /// Its workspace's recent work as a multiple of its share; 0 while the service is not short of
    /// capacity.
    pub excess: f64,
}

/// Sharing and promises at one service.
#[derive(Debug)]
pub struct Control {
    shares: fair_share::View,
    /// By urgency: when a request was last refused, and the longest queue that it accepted.
    refused: BTreeMap<u8, (Instant, Duration)>,
}

impl Limit {
    /// The limit of a request that is held to its longest wait only.
    pub const NONE: Self = Self { max_queue: Duration::MAX, excess: 0.0 };

    /// Returns whether the request's workspace is over its share.
    pub fn is_over_share(&self) -> bool {
        self.excess > 1.0
    }
}

impl Control {
    /// Creates a control that knows of no requests.
    pub fn new(now: Instant) -> Self {
        Self { shares: fair_share::View::new(now), refused: BTreeMap::new() }
    }

    /// Returns the longest queue that a request accepts.
    pub fn limit(&mut self, now: Instant, request: &Request) -> Limit {
        let mut limit = Limit::NONE;
        if self.shares.is_short(now, request.urgency) {
            let standing = self.shares.standing(now, request.workspace, request.prompt);
            limit.excess = standing.excess;
            if standing.queue_share < 1.0 {
                limit.max_queue = request.first_wait.mul_f64(standing.queue_share);
            }
            if request.is_return {
                let queue = request.first_wait.mul_f64(RETURN_QUEUE_SHARE);
                limit.max_queue = limit.max_queue.min(queue);
            }
        }
        let more_urgent = self.refused.range(..request.urgency).map(|(_, refused)| refused);
        let recent = more_urgent.filter(|(at, _)| now.saturating_duration_since(*at) < RANK_MEMORY);
        recent.fold(limit, |limit, (_, queue)| Limit {
            max_queue: limit.max_queue.min(*queue),
            ..limit
        })
    }

    /// Records that `balancer` placed a request.
    pub fn record_placed(
        &mut self,
        now: Instant,
        request: &Request,
        placement: &Placement,
        balancer: &Balancer,
    ) {
        let Request { workspace, prompt, urgency, is_return, .. } = *request;
        self.shares.record_accepted(now, workspace, prompt, placement.prefill_ms, is_return);
        let long = request.first_wait.mul_f64(IMMINENT_QUEUE_SHARE);
        // A single engine may have a long queue while others are idle.
        if placement.expected_wait > long && balancer.least_queue(now, urgency) > long {
            self.shares.mark_short(now, urgency);
        }
    }

    /// Records that no server takes a request in time; `expected` is the least expected wait.
    pub fn record_refused(
        &mut self,
        now: Instant,
        request: &Request,
        limit: &Limit,
        expected: Duration,
    ) {
        let Request { workspace, prompt, urgency, is_return, .. } = *request;
        let work_ms = self.shares.work_ms(prompt, None);
        self.shares.record_refused(now, workspace, prompt, is_return);
        // A long prompt may be refused by an idle engine, which is no lack of capacity.
        let own_wait = Duration::from_secs_f64(if prompt.is_some() { work_ms / 1e3 } else { 0.0 });
        let queue = expected.saturating_sub(own_wait);
        if expected <= request.max_wait || queue > request.first_wait.mul_f64(IMMINENT_QUEUE_SHARE)
        {
            self.shares.mark_short(now, urgency);
        }
        self.refused.insert(urgency, (now, limit.max_queue.min(request.first_wait)));
    }

    /// Returns what this host announces now; `None` if there is nothing to tell.
    pub fn report(&mut self, now: Instant) -> Option<Report> {
        self.shares.report(now)
    }

    /// Applies a peer's announcement.
    pub fn apply(&mut self, now: Instant, peer: &HostId, report: Report) {
        self.shares.apply(now, peer, report);
    }
}
