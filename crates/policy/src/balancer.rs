//! Placement of requests on the backend servers of one service, and refusal of those that no server
//! is expected to serve in time.
//!
//! Several hosts place requests on the same engines at the same time, and bursts of long prompts
//! come beside interactive streams with short prompts. Each host therefore models the prefill queue
//! of every engine: it adds its own placements at once and those of its peers when they are
//! announced.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};

use wasabi_core::{
    catalog::Engine,
    digest::digest,
    member::Member,
    units::{Domain, HostId, RequestRate, ServerId},
};

pub use crate::placement::{End, Placement, PlacementRequest, Refusal};
use crate::{
    brittle::Brittleness,
    engine_speed::{ServiceSpeed, Speed, StepTime},
    failures::FailureHistory,
    load_report::LoadReport,
    pace::Fleet,
    reservation,
    server_state::{CostEstimate, Counts, EngineModel, ServerState, URGENCY_LEVELS, is_light},
    stuck::{self, AverageResponseTime},
};

mod observations;

/// Cost in milliseconds of a server with an avoidance of 1 (see `FailureHistory::avoidance`);
/// smaller values cost in proportion.
const MAX_FAILURE_PENALTY_MS: f64 = 2_000.0;
/// Cost of a server in another failure domain, in milliseconds.
const CROSS_DOMAIN_PENALTY_MS: f64 = 3.0;
/// Cost of a server other than the affinity server of the request's session, in milliseconds.
const AFFINITY_PENALTY_MS: f64 = 40.0;
/// Cost in milliseconds of a light request on an engine that is not reserved for them, and of any
/// other request on one that is. It is about the target of a first event, so that light and other
/// requests share engines only in an overload.
const RESERVATION_PENALTY_MS: f64 = 400.0;
/// From this number of hosts on, announcements from other failure domains are about a second old.
/// The prefix of a session is then assumed to be cached on its affinity server, and the servers of
/// the host's own domain are preferred, whose load is known sooner.
const STALE_ANNOUNCEMENTS_MIN_HOSTS: usize = 30;
/// Replaces `CROSS_DOMAIN_PENALTY_MS` while announcements are that old.
const STALE_CROSS_DOMAIN_PENALTY_MS: f64 = 40.0;
/// The counts that a peer announced are dropped after this time without an announcement from it.
const PEER_COUNTS_TTL: Duration = Duration::from_millis(2_500);

/// The servers of one service and their expected load.
#[derive(Debug)]
pub struct Balancer {
    domain: Domain,
    /// The capacity of each of the service's engines, which are servers that run a language model;
    /// `None` for plain servers, which send whole responses.
    engine: Option<Engine>,
    /// Whether announcements of peers are too old to tell which prompts engines have cached.
    stale_announcements: bool,
    /// Moving average of the ratio of observed to expected time of first events, and when it was
    /// updated.
    latency_ratio: (f64, Option<Instant>),
    /// The average response time of plain servers.
    response_time: AverageResponseTime,
    /// Whether the speed of servers is learned.
    learns_speed: bool,
    /// What the engines have shown in common.
    engine_speed: ServiceSpeed,
    servers: BTreeMap<ServerId, ServerState>,
    /// Whether the servers fall over if they turn away too many requests.
    brittleness: Brittleness,
    /// The number of hosts that place requests, this one included.
    hosts: usize,
    /// The hosts that share the limits of servers, as last set.
    fleet: Option<Fleet>,
    peers: HashMap<HostId, PeerAnnouncement>,
}

/// The last announcement of a peer.
#[derive(Debug)]
struct PeerAnnouncement {
    received_at: Instant,
    /// Its requests on each server; only servers that are in `Balancer::servers`.
    counts: Vec<(ServerId, Counts)>,
}

impl Balancer {
    /// Creates a balancer without servers for a host in the failure domain `domain`.
    pub fn new(domain: Domain) -> Self {
        Self {
            domain,
            engine: None,
            stale_announcements: false,
            latency_ratio: (1.0, None),
            response_time: AverageResponseTime::default(),
            learns_speed: false,
            engine_speed: ServiceSpeed::default(),
            servers: BTreeMap::new(),
            brittleness: Brittleness::default(),
            hosts: 1,
            fleet: None,
            peers: HashMap::new(),
        }
    }

    /// Replaces the engine capacity and the list of servers. Servers that are left out are dropped;
    /// the state of a server is kept if its id and start time are the same.
    pub fn set_servers(&mut self, now: Instant, engine: Option<Engine>, members: &[Member]) {
        self.engine = engine;
        self.servers.retain(|id, server| {
            let same = members.iter().find(|member| member.id == *id);
            same.is_some_and(|member| member.born_ms == server.member.born_ms)
        });
        let mut fresh = BTreeSet::new();
        for member in members {
            match self.servers.get_mut(&member.id) {
                Some(server) => server.member = member.clone(),
                None => {
                    let memory = engine.map_or(0, |engine| engine.memory.0);
                    let server = ServerState::new(now, member.clone(), memory, &self.engine_speed);
                    self.servers.insert(member.id.clone(), server);
                    fresh.insert(&member.id);
                }
            }
        }
        // Counts that peers announced for an earlier run of a server do not apply to the new one.
        let servers = &self.servers;
        for announcement in self.peers.values_mut() {
            announcement.counts.retain(|(id, _)| servers.contains_key(id) && !fresh.contains(id));
        }
    }

    /// Sets whether the speed of each server is learned. Otherwise engines are taken for typical ones, with one factor
    /// on first events, and plain servers for alike.
    pub fn set_learns_speed(&mut self, learns_speed: bool) {
        self.learns_speed = learns_speed;
    }

    /// Sets the failure domain of the host.
    pub fn set_domain(&mut self, domain: Domain) {
        self.domain = domain;
    }

    /// Sets how many hosts place requests; the more there are, the older their announcements.
    pub fn set_host_count(&mut self, hosts: usize) {
        self.hosts = hosts;
        self.stale_announcements = hosts >= STALE_ANNOUNCEMENTS_MIN_HOSTS;
    }

    /// Records that the placement's server wants no request for `wait`; see [`Pause::begin`] for
    /// `spread`. It is no failure of the server.
    ///
    /// [`Pause::begin`]: crate::pause::Pause::begin
    pub fn pause(&mut self, now: Instant, place: &Placement, wait: Duration, spread: f64) {
        if let Some(server) = self.server_of(place) {
            server.pause.begin(now, wait, spread);
        }
    }

    /// Records that another server answers at the address of the placement's server. It gets no request for a
    /// while, which gets longer each time; see [`Pause::begin`] for `spread`.
    ///
    /// [`Pause::begin`]: crate::pause::Pause::begin
    pub fn record_misdirected(&mut self, now: Instant, place: &Placement, spread: f64) {
        if let Some(server) = self.server_of(place) {
            server.pause.misdirect(now, spread);
        }
    }

    /// Records how many requests in a second servers say that they can turn away before they fall over, in
    /// an answer to a request sent at `sent`; `None` if they say nothing of it.
    pub fn record_brittle(&mut self, now: Instant, sent: Instant, rejections: Option<u32>) {
        self.brittleness.record(now, sent, rejections);
    }

    /// Sets the hosts that share the limits of servers, and the limit of each server by `limit_of`.
    pub fn share_limits(
        &mut self,
        now: Instant,
        fleet: &Fleet,
        limit_of: impl Fn(&Member) -> Option<RequestRate>,
    ) {
        let same_fleet = self.fleet.as_ref() == Some(fleet);
        for server in self.servers.values_mut() {
            let rate = limit_of(&server.member);
            if !same_fleet || rate != server.pace.rate() {
                server.pace.set(now, &server.member.id, rate, fleet);
            }
        }
        if !same_fleet {
            self.fleet = Some(fleet.clone());
        }
    }

    /// Returns the servers that take new work, paused ones included.
    pub fn ready(&self) -> impl Iterator<Item = &Member> {
        self.servers.values().filter(|server| server.is_ready()).map(|server| &server.member)
    }

    /// Places the request on the server with the least cost: the expected wait, the estimate's
    /// `extra_cost` and `gap_cost`, and the penalties for failures, distance, affinity and reservation.
    ///
    /// Only servers with room that have not refused it and are expected to serve it within its max wait are considered;
    /// while announcements are stale, the expected wait is multiplied by the latency ratio for this
    /// check.
    pub fn place(&mut self, now: Instant, ask: &PlacementRequest) -> Result<Placement, Refusal> {
        self.place_within(now, ask, Duration::MAX)
    }

    /// Places the request as [`Self::place`] does, but only where the queued work of its urgency and
    /// more urgent levels takes at most `max_queue`; its own prefill and less urgent work do not
    /// count. Plain servers have no modelled queue.
    pub fn place_within(
        &mut self,
        now: Instant,
        ask: &PlacementRequest,
        max_queue: Duration,
    ) -> Result<Placement, Refusal> {
        self.expire_peers(now);
        let max_queue_ms = max_queue.as_secs_f64() * 1e3;
        self.refresh_speeds(now);
        let mut best: Option<(f64, CostEstimate, &ServerId)> = None;
        let mut least_ms = f64::INFINITY;
        let has_alternative = self
            .servers
            .iter()
            .filter(|(_, server)| ask.accepts(&server.member))
            .any(|(id, server)| server.takes_work(now) && !ask.avoid.contains(id));
        let reserved = match self.engine {
            Some(engine) => self.reserved(engine.slots),
            None => BTreeSet::new(),
        };
        let affinity = self.affinity_server(now, ask, &reserved);
        let stale = self.stale_announcements;
        let latency_ratio = if self.stale_announcements { self.latency_ratio(now) } else { 1.0 };
        let distance_ms = if self.stale_announcements {
            STALE_CROSS_DOMAIN_PENALTY_MS
        } else {
            CROSS_DOMAIN_PENALTY_MS
        };
        for (id, server) in self.servers.iter().filter(|(_, server)| ask.accepts(&server.member)) {
            let avoided = ask.avoid.contains(id);
            if !server.takes_work(now) || (avoided && has_alternative) {
                continue;
            }
            let estimate = match self.engine {
                Some(engine) => {
                    let slots = self.brittleness.room(engine.slots, engine.slots);
                    let engine = Engine { slots, ..engine };
                    let assume_cached = stale && affinity.as_ref() == Some(id);
                    let model = EngineModel {
                        engine,
                        speed: &self.engine_speed,
                        learns: self.learns_speed,
                    };
                    server.engine_cost(now, ask, &model, assume_cached)
                }
                None => server.plain_server_cost(now, self.brittleness, self.hosts),
            };
            let failure_penalty_ms = server.failures.avoidance(now) * MAX_FAILURE_PENALTY_MS;
            least_ms = least_ms.min(estimate.first_ms * latency_ratio + failure_penalty_ms);
            let distance_penalty_ms =
                if server.member.domain == self.domain { 0.0 } else { distance_ms };
            let affinity_penalty_ms = if affinity.as_ref().is_none_or(|affinity| affinity == id) {
                0.0
            } else {
                AFFINITY_PENALTY_MS
            };
            let reservation_penalty_ms =
                if estimate.light != reserved.contains(id) { RESERVATION_PENALTY_MS } else { 0.0 };
            let cost = estimate.first_ms
                + estimate.extra_cost
                + estimate.gap_cost
                + failure_penalty_ms
                + distance_penalty_ms
                + affinity_penalty_ms
                + reservation_penalty_ms;
            let fits = estimate.has_room
                && !ask.refused.contains(id)
                && estimate.first_ms * latency_ratio <= ask.max_wait.as_secs_f64() * 1e3
                && server.queue_ms(now, usize::from(ask.urgency)) * latency_ratio <= max_queue_ms;
            if fits && best.is_none_or(|(least, _, _)| cost < least) {
                best = Some((cost, estimate, id));
            }
        }
        let Some((estimate, id)) = best.map(|(_, estimate, id)| (estimate, id.clone())) else {
            if least_ms.is_finite() {
                return Err(Refusal::NoServerInTime(Duration::from_secs_f64(least_ms / 1e3)));
            }
            let ready = self
                .servers
                .values()
                .filter(|server| server.is_ready() && ask.accepts(&server.member));
            let first_back = ready.map(|server| server.wait(now)).min();
            return Err(first_back.map_or(Refusal::NoServer, Refusal::Paused));
        };
        let server = self.servers.get_mut(&id).expect("the server was just found");
        if let (true, Some(target)) = (estimate.light, ask.target_gap) {
            self.engine_speed.record_stream(now, target);
        }
        Ok(server.assign(now, ask, estimate))
    }

    /// Returns the shortest queue that a request of this urgency would find, by the queued work that
    /// goes before it.
    pub fn least_queue(&self, now: Instant, urgency: u8) -> Duration {
        let ready = self.servers.values().filter(|server| server.takes_work(now));
        let least = ready.map(|server| server.queue_ms(now, usize::from(urgency)));
        let ratio = if self.stale_announcements { self.latency_ratio(now) } else { 1.0 };
        Duration::from_secs_f64(least.reduce(f64::min).unwrap_or(0.0) * ratio / 1e3)
    }

    /// Returns the running requests and the slots, summed over the servers that take new work.
    pub fn occupancy(&self) -> (u32, u32) {
        let ready = self.servers.values().filter(|server| server.is_ready());
        ready.fold((0, 0), |(taken, all), server| {
            (taken + server.total_counts().running, all + server.member.slots)
        })
    }

    /// Returns the time after placement from which a request without any output counts as stuck.
    pub fn stuck_timeout(&self, now: Instant, place: &Placement) -> Duration {
        match self.engine {
            Some(_) => stuck::first_event_timeout(place.expected_wait, self.latency_ratio(now)),
            None => self.response_time.timeout(),
        }
    }

    /// Forgets all failures of servers: it was not the servers that failed.
    pub fn forget_failures(&mut self) {
        self.servers.values_mut().for_each(|server| server.failures = FailureHistory::default());
    }

    /// Releases a slot and records how the request ended.
    pub fn end(&mut self, now: Instant, place: &Placement, end: End) {
        let rest = self.brittleness.rest(self.hosts);
        let learns_response = self.engine.is_none() && self.learns_speed;
        let Some(server) = self.server_of(place) else { return };
        server.own.running = server.own.running.saturating_sub(1);
        server.own.light = server.own.light.saturating_sub(u32::from(place.light));
        server.own.tokens = server.own.tokens.saturating_sub(place.tokens);
        match end {
            End::Served => {
                server.failures.record_success();
                if learns_response {
                    let took = now.saturating_duration_since(place.since);
                    let slots = server.member.slots;
                    server.response_speed.record(now, place.running, took, slots);
                }
            }
            End::Rejected => {
                server.failures.record_rejection(now);
                if let Some(rest) = rest {
                    server.pause.begin(now, rest, 0.0);
                }
            }
            End::Failed => server.failures.record_failure(now),
            End::Abandoned => {}
        }
    }

    /// Returns this host's announcement to its peers. The placements that it lists are those since
    /// the last call.
    pub fn announce(&mut self) -> Vec<(ServerId, LoadReport)> {
        let mut reports = Vec::new();
        for (id, server) in &mut self.servers {
            if server.own != LoadReport::default() {
                reports.push((id.clone(), server.own.clone()));
            }
            server.own.added_ms.clear();
            server.own.parts.clear();
        }
        reports
    }

    /// Applies the announcement of a peer: replaces its counts, and adds its placements to the
    /// modelled prefill queues and caches. The peer runs nothing on servers that `reports` leaves
    /// out.
    pub fn apply_announcement(
        &mut self,
        now: Instant,
        peer: &HostId,
        reports: &[(ServerId, LoadReport)],
    ) {
        self.forget_peer(peer);
        let mut counts = Vec::with_capacity(reports.len());
        for (id, report) in reports {
            let Some(server) = self.servers.get_mut(id) else { continue };
            let count =
                Counts { running: report.running, light: report.light, tokens: report.tokens };
            server.peer_counts.add(count);
            counts.push((id.clone(), count));
            for (urgency, ms) in &report.added_ms {
                server.add_placed_prefill(now, *urgency, *ms);
            }
            for (part, tokens) in &report.parts {
                server.cache.touch(now, *part, *tokens);
            }
        }
        self.peers.insert(peer.clone(), PeerAnnouncement { received_at: now, counts });
    }

    /// Returns for each server, for diagnostics: its id, running requests, tokens that they hold,
    /// milliseconds of prefill queued, and avoidance (0 to 1).
    pub fn view(&self, now: Instant) -> Vec<(ServerId, u32, u64, f64, f64)> {
        let view_row = |(id, server): (&ServerId, &ServerState)| {
            let all = server.total_counts();
            (
                id.clone(),
                all.running,
                all.tokens,
                server.queue_ms(now, URGENCY_LEVELS - 1),
                server.failures.avoidance(now),
            )
        };
        self.servers.iter().map(view_row).collect()
    }

    /// Returns for each server the factors on the usual times that hold now.
    pub fn speeds(&self, now: Instant) -> Vec<(ServerId, Speed)> {
        let speed = |server: &ServerState| match self.engine {
            Some(_) => server.speed.speed(now),
            None => server.plain_speed(now),
        };
        self.servers.iter().map(|(id, server)| (id.clone(), speed(server))).collect()
    }

    /// Returns the learned step time of the service's engines; `None` for plain servers.
    pub fn step_time(&self) -> Option<StepTime> {
        self.engine.map(|_| self.engine_speed.step)
    }

    /// Returns the mean share of time that engines spend on prefill; above 1 if work piles up.
    pub fn prefill_share(&self, now: Instant) -> f64 {
        let ready = self.servers.values().filter(|server| server.is_ready());
        let (sum, count) = ready.fold((0.0, 0), |(sum, n), s| (sum + s.prefill_share(now), n + 1));
        if count == 0 { 0.0 } else { sum / f64::from(count) }
    }

    /// Returns the affinity server of the request's session, which is the last shared part of its
    /// prompt: the server that should hold the prefix up to there, by rendezvous hashing.
    ///
    /// Hosts that know the same servers choose the same one without any exchange, so that few
    /// engines read the prefix even while announcements are old.
    ///
    /// While announcements are old it is one of the engines for requests of its kind, light or not: on
    /// the others it would seldom be placed, and its prefix be read wherever it goes instead, which
    /// the other hosts do not know.
    fn affinity_server(
        &self,
        now: Instant,
        ask: &PlacementRequest,
        reserved: &BTreeSet<&ServerId>,
    ) -> Option<ServerId> {
        let prompt = ask.prompt?;
        let [.., session, _] = prompt.parts.as_slice() else { return None };
        let light = is_light(f64::from(prompt.tokens));
        let score = |id: &ServerId| digest(&(session.id, id));
        let working = self.servers.iter().filter(|(_, server)| server.takes_work(now));
        let working = working.filter(|(_, server)| ask.accepts(&server.member));
        let ids = working.map(|(id, _)| id);
        let fits = |id: &ServerId| self.stale_announcements && reserved.contains(id) == light;
        ids.max_by_key(|id| (fits(id), score(id))).cloned()
    }

    /// Drops the counts of peers that have not announced anything for `PEER_COUNTS_TTL`.
    fn expire_peers(&mut self, now: Instant) {
        let expired = |(_, announcement): &(&HostId, &PeerAnnouncement)| {
            now.saturating_duration_since(announcement.received_at) >= PEER_COUNTS_TTL
        };
        let expired: Vec<HostId> =
            self.peers.iter().filter(expired).map(|(peer, _)| peer.clone()).collect();
        expired.iter().for_each(|peer| self.forget_peer(peer));
    }

    fn forget_peer(&mut self, peer: &HostId) {
        let Some(announcement) = self.peers.remove(peer) else { return };
        for (id, count) in announcement.counts {
            if let Some(server) = self.servers.get_mut(&id) {
                server.peer_counts.remove(count);
            }
        }
    }

    /// Returns the engines that are reserved for light requests.
    fn reserved(&self, slots: u32) -> BTreeSet<&ServerId> {
        let ready = self.servers.iter().filter(|(_, server)| server.is_ready());
        let engines = ready.map(|(id, server)| reservation::Candidate {
            id,
            domain: &server.member.domain,
            order: server.reservation_order,
            light: server.total_counts().light,
        });
        reservation::reserved_engines(engines, slots)
    }

    fn server_of(&mut self, place: &Placement) -> Option<&mut ServerState> {
        let server = self.servers.get_mut(&place.member.id)?;
        (server.member.born_ms == place.member.born_ms).then_some(server)
    }
}
