//! What a request is held to while a service is short of capacity: by its workspace's share, by
//! what returning callers were promised, and by refusals of more urgent requests.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use wasabi_core::{
    call::Prompt,
    data,
    digest::digest,
    units::{HostId, WorkspaceId},
};

use crate::{
    balancer::Balancer,
    fair_share,
    placement::Placement,
    return_times::{Book, Offer},
    wait_limit,
};

/// The service counts as short of capacity if the shortest queue takes this part of a request's longest
/// wait: refusals are then imminent.
const IMMINENT_QUEUE_SHARE: f64 = 0.6;
/// While the service is short of capacity, returning callers accept a queue of this part of the longest
/// wait of a first attempt. Without a limit, they were accepted behind queues of seconds, and most of
/// them and of the first attempts after them were late.
const RETURN_QUEUE_SHARE: f64 = 0.8;
/// First attempts yield up to this part of their longest queue to callers that were asked to
/// return.
const MAX_YIELD: f64 = 0.8;
/// A caller that returns by this much before the time that it was given still counts as waiting.
const EARLY_TOLERANCE: Duration = Duration::from_millis(100);
/// For this long after the time that it was given, a request with the same workspace and prompt counts
/// as the return: callers wait for the time and come at once.
const RETURN_GRACE: Duration = Duration::from_secs(2);
/// The most return times that are remembered; beyond, those that are over are forgotten, then all.
const MAX_RETURN_TIMES: usize = 20_000;
/// The most return times in one announcement, the latest ones.
pub const MAX_ANNOUNCED_RETURNS: usize = 32;
/// Return times travel in units of this length.
const ANNOUNCED_UNIT: Duration = Duration::from_millis(10);
/// Later return times that a peer announces count as this many units: 30 s.
const MAX_ANNOUNCED_UNITS: u32 = 3_000;
/// For this long after a refusal, less urgent requests accept no longer queue than the refused one
/// did.
const RANK_MEMORY: Duration = Duration::from_millis(500);

data! {
    /// What one host announces of one service.
    ///
    /// It travels in a positional encoding: the order of the fields is part of the format.
    #[derive(Default)]
    pub struct Report {
        /// The work of workspaces; `None` if there is nothing new.
        pub shares: Option<fair_share::Report>,
        /// Refused requests by digest; from now the time at which they should return, in units of
        /// 10 ms; and whether capacity is kept for them.
        pub returns: Vec<(u32, u32, bool)>,
    }
}

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
    /// The part of the expected capacity that was promised to callers that return next; 0 for
    /// callers that do.
    pub promised: f64,
    /// When the caller was asked to return, if that is still to come: it has not waited.
    pub due: Option<Instant>,
}

/// Sharing and promises at one service.
#[derive(Debug)]
pub struct Control {
    shares: fair_share::View,
    book: Book,
    /// By urgency: when a request was last refused, and the longest queue that it accepted.
    refused: BTreeMap<u8, (Instant, Duration)>,
    /// By digest of the request: when its caller was asked to return, by this host or a peer, and
    /// whether capacity is kept for it.
    return_times: HashMap<u32, (Instant, bool)>,
    /// Those that were given here since the last announcement.
    unannounced: Vec<(u32, Instant, bool)>,
}

impl Report {
    /// Adds a later announcement of the same host, made `elapsed` after this one.
    pub fn absorb(&mut self, elapsed: Duration, later: &Self) {
        self.age(elapsed);
        if later.shares.is_some() {
            self.shares.clone_from(&later.shares);
        }
        self.returns.extend_from_slice(&later.returns);
        let excess = self.returns.len().saturating_sub(MAX_ANNOUNCED_RETURNS);
        self.returns.drain(..excess);
    }

    /// Adapts the return times to an announcement that is sent later by `elapsed`.
    pub fn age(&mut self, elapsed: Duration) {
        // Rounded up: a time must not move away.
        let units = elapsed.as_nanos().div_ceil(ANNOUNCED_UNIT.as_nanos()) as u32;
        for (_, until, _) in &mut self.returns {
            *until = until.saturating_sub(units);
        }
    }
}

impl Request<'_> {
    /// Identifies the request when its caller returns: the same workspace sends the same prompt.
    fn digest(&self) -> u32 {
        let prompt = self.prompt.map(|prompt| {
            let parts = prompt.parts.iter().map(|part| (part.id, part.tokens));
            (prompt.tokens, prompt.output, parts.collect::<Vec<(u64, u32)>>())
        });
        digest(&(self.workspace, prompt)) as u32
    }
}

impl Limit {
    /// The limit of a request that is held to its longest wait only.
    pub const NONE: Self = Self { max_queue: Duration::MAX, excess: 0.0, promised: 0.0, due: None };

    /// Returns whether the request's workspace is over its share.
    pub fn is_over_share(&self) -> bool {
        self.excess > 1.0
    }
}

impl Control {
    /// Creates a control that knows of no requests.
    pub fn new(now: Instant) -> Self {
        Self {
            shares: fair_share::View::new(now),
            book: Book::new(now),
            refused: BTreeMap::new(),
            return_times: HashMap::new(),
            unannounced: Vec::new(),
        }
    }

    /// Returns the longest queue that a request accepts.
    pub fn limit(&mut self, now: Instant, request: &Request) -> Limit {
        let given = self.return_time(now, request);
        let due = given.map(|(due, _)| due).filter(|due| *due > now + EARLY_TOLERANCE);
        let mut limit = Limit { due, ..Limit::NONE };
        if self.shares.is_short(now, request.urgency) {
            let standing = self.shares.standing(now, request.workspace, request.prompt);
            limit.excess = standing.excess;
            if standing.queue_share < 1.0 {
                limit.max_queue = request.first_wait.mul_f64(standing.queue_share);
            }
            if limit.due.is_some() {
                // It is served where it takes nothing from callers that wait.
                limit.max_queue = Duration::ZERO;
            }
            if request.is_return {
                let queue = request.first_wait.mul_f64(RETURN_QUEUE_SHARE);
                limit.max_queue = limit.max_queue.min(queue);
            }
        }
        // A return counts as promised unless it is known that it is not.
        if !request.is_return || given.is_some_and(|(_, promised)| !promised) {
            let ahead = request.first_wait;
            let due = self.book.due_ms(now, request.urgency, ahead);
            let expected = self.shares.own_rate(now) * ahead.as_secs_f64();
            if due > 0.0 && expected > 0.0 {
                limit.promised = (due / expected).min(1.0);
                let queue = ahead.mul_f64(1.0 - MAX_YIELD * limit.promised);
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
        // A caller that returned early has asked already.
        let is_return = self.return_time(now, request).is_some() || is_return;
        self.return_times.remove(&request.digest());
        self.shares.record_accepted(now, workspace, prompt, placement.prefill_ms, is_return);
        let long = request.first_wait.mul_f64(IMMINENT_QUEUE_SHARE);
        // A single engine may have a long queue while others are idle.
        if placement.expected_wait > long && balancer.least_queue(now, urgency) > long {
            self.shares.mark_short(now, urgency);
        }
    }

    /// Records that no server takes a request in time, and returns when its caller should return.
    ///
    /// `expected` is the least expected wait, `time_left` what the caller still has of the route's
    /// `timeout`. `draw` is uniform in 0 to 1.
    pub fn refuse(
        &mut self,
        now: Instant,
        request: &Request,
        limit: &Limit,
        expected: Duration,
        (time_left, timeout): (Duration, Duration),
        draw: f64,
    ) -> Offer {
        let Request { workspace, prompt, urgency, is_return, .. } = *request;
        let work_ms = self.shares.work_ms(prompt, None);
        let is_return = is_return || self.return_time(now, request).is_some();
        self.shares.record_refused(now, workspace, prompt, is_return);
        if let Some(due) = limit.due {
            // It says nothing of the capacity, and must not hold back less urgent requests.
            let latest = wait_limit::return_range(Duration::ZERO, time_left, None).1;
            let wait = due.saturating_duration_since(now).min(latest);
            return Offer { wait, promised: false };
        }
        // A long prompt may be refused by an idle engine, which is no lack of capacity.
        let own_wait = Duration::from_secs_f64(if prompt.is_some() { work_ms / 1e3 } else { 0.0 });
        let queue = expected.saturating_sub(own_wait);
        if expected <= request.max_wait || queue > request.first_wait.mul_f64(IMMINENT_QUEUE_SHARE)
        {
            self.shares.mark_short(now, urgency);
        }
        self.refused.insert(urgency, (now, limit.max_queue.min(request.first_wait)));
        let excess_wait = expected.saturating_sub(request.max_wait);
        let recognized = self.shares.is_short(now, urgency).then_some(timeout);
        let range = wait_limit::return_range(excess_wait, time_left, recognized);
        let offer = if limit.is_over_share() {
            // The promised capacity is for workspaces within their share.
            Offer::unpromised(range, draw)
        } else {
            let rate = self.shares.own_rate(now);
            self.book.offer(now, urgency, work_ms, rate, range, draw)
        };
        let (digest, due) = (request.digest(), now + offer.wait);
        self.remember(now, digest, due, offer.promised);
        self.unannounced.push((digest, due, offer.promised));
        offer
    }

    /// Returns what this host announces now; `None` if there is nothing to tell.
    pub fn report(&mut self, now: Instant) -> Option<Report> {
        let shares = self.shares.report(now);
        let first = self.unannounced.len().saturating_sub(MAX_ANNOUNCED_RETURNS);
        let units = |due: Instant| {
            due.saturating_duration_since(now).as_millis() / ANNOUNCED_UNIT.as_millis()
        };
        let latest = self.unannounced.drain(..).skip(first);
        let returns: Vec<(u32, u32, bool)> =
            latest.map(|(digest, due, promised)| (digest, units(due) as u32, promised)).collect();
        (shares.is_some() || !returns.is_empty()).then_some(Report { shares, returns })
    }

    /// Applies a peer's announcement that was sent no earlier than `sent`. Without that bound its
    /// return times are ignored: a delayed one would make callers that waited look early.
    pub fn apply(&mut self, now: Instant, sent: Option<Instant>, peer: &HostId, report: Report) {
        if let Some(shares) = report.shares {
            self.shares.apply(now, peer, shares);
        }
        let Some(sent) = sent else { return };
        for (digest, units, promised) in report.returns.into_iter().take(MAX_ANNOUNCED_RETURNS) {
            let wait = ANNOUNCED_UNIT * units.min(MAX_ANNOUNCED_UNITS);
            self.remember(now, digest, sent + wait, promised);
        }
    }

    /// Returns when the caller was asked to return and whether capacity is kept for it. Long after that
    /// time, a request with the same prompt is a new one.
    fn return_time(&self, now: Instant, request: &Request) -> Option<(Instant, bool)> {
        let given = self.return_times.get(&request.digest()).copied();
        given.filter(|(due, _)| now.saturating_duration_since(*due) < RETURN_GRACE)
    }

    fn remember(&mut self, now: Instant, digest: u32, due: Instant, promised: bool) {
        if self.return_times.len() >= MAX_RETURN_TIMES {
            self.return_times.retain(|_, (due, _)| *due + RETURN_GRACE > now);
        }
        if self.return_times.len() >= MAX_RETURN_TIMES {
            self.return_times.clear();
        }
        self.return_times.insert(digest, (due, promised));
    }
}
