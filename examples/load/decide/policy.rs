//! Placement policies of the simulation.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use wasabi_core::{
    catalog,
    member::{Member, Phase},
    units::{Domain, HostId, PoolId, ServerId, Tokens},
};
use wasabi_policy::{
    balancer::{Balancer, End, Placement, PlacementRequest, Refusal},
    engine_speed::EventGap,
    load_report::{LoadReport, PendingReport},
    reservation, wait_limit,
};
use wasabi_standin::batch::SimulatedEngine;

use super::scenario::{Request, Scenario};

/// The decision on a request.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// It is sent to this engine, with this urgency.
    Place(usize, u8),
    /// It is refused, and the caller may retry after this many milliseconds.
    Refuse(f64),
}

/// A placement policy; `now` is in milliseconds since the start of the simulation.
pub trait Policy {
    /// Decides on a request whose caller waits for `left_ms` more milliseconds.
    fn place(
        &mut self,
        now: f64,
        number: usize,
        request: &Request,
        left_ms: f64,
        engines: &[SimulatedEngine],
    ) -> Verdict;
    /// Called when the first event of a request has reached its caller.
    fn first_event(&mut self, now: f64, number: usize, request: &Request);
    /// Called with the time between two events of a request once another one has followed, so that the
    /// last event, which may have fewer tokens, is left out; so is the first one.
    fn event_gap(&mut self, now: f64, number: usize, request: &Request, gap_ms: f64);
    /// Called when a request has ended; `whole` tells whether its answer was complete.
    fn ended(&mut self, now: f64, number: usize, request: &Request, whole: bool);
    /// Called at a fixed interval; hosts may exchange announcements.
    fn tick(&mut self, now: f64);
}

/// Places each request on the engine with the fewest requests in flight, in order of arrival and
/// with exact counts.
pub struct LeastInFlight {
    running: InFlight,
}

/// Requests in flight, counted by engine.
struct InFlight {
    count: Vec<u32>,
    /// The engine of each counted request, by the number of the request.
    engine_of: Vec<Option<usize>>,
}

impl InFlight {
    fn new(scenario: &Scenario, requests: usize) -> Self {
        Self {
            count: vec![0; scenario.engines_per_domain * scenario.domains],
            engine_of: vec![None; requests],
        }
    }

    fn begin(&mut self, number: usize, engine: usize) {
        self.count[engine] += 1;
        self.engine_of[number] = Some(engine);
    }

    fn end(&mut self, number: usize) {
        if let Some(engine) = self.engine_of[number].take() {
            self.count[engine] -= 1;
        }
    }
}

impl LeastInFlight {
    pub fn new(scenario: &Scenario, requests: usize) -> Self {
        Self { running: InFlight::new(scenario, requests) }
    }
}

impl Policy for LeastInFlight {
    fn place(
        &mut self,
        _: f64,
        number: usize,
        _: &Request,
        _: f64,
        _: &[SimulatedEngine],
    ) -> Verdict {
        let count = &self.running.count;
        let engine = (0..count.len()).min_by_key(|engine| count[*engine]).unwrap_or(0);
        self.running.begin(number, engine);
        Verdict::Place(engine, 0)
    }

    fn first_event(&mut self, _: f64, _: usize, _: &Request) {}

    fn event_gap(&mut self, _: f64, _: usize, _: &Request, _: f64) {}

    fn ended(&mut self, _: f64, number: usize, _: &Request, _: bool) {
        self.running.end(number);
    }

    fn tick(&mut self, _: f64) {}
}

/// Oracle with the exact state and cache of all engines: chooses the engine with the shortest wait,
/// and refuses requests that would be too late. With `has_reservation` it reserves engines for
/// short streams by the same rule as the router.
pub struct Oracle {
    scenario: Scenario,
    names: Vec<ServerId>,
    domains: Vec<Domain>,
    has_reservation: bool,
    /// Counts short streams only.
    short_streams: InFlight,
}

/// Added to the wait of a short stream on an engine that is not reserved for them, and of any other
/// request on one that is; the router uses the same value.
const RESERVATION_PENALTY_MS: f64 = 400.0;

impl Oracle {
    pub fn new(
        scenario: &Scenario,
        requests: usize,
        has_reservation: bool,
    ) -> anyhow::Result<Self> {
        let engines = scenario.engines_per_domain * scenario.domains;
        let names = (0..engines).map(|number| Ok(format!("e{number}").parse()?));
        Ok(Self {
            names: names.collect::<anyhow::Result<_>>()?,
            domains: (0..engines).map(|n| domain(scenario, n)).collect::<anyhow::Result<_>>()?,
            scenario: scenario.clone(),
            has_reservation,
            short_streams: InFlight::new(scenario, requests),
        })
    }

    /// Returns the engines that are reserved for short streams.
    fn reserved_engines(&self) -> BTreeSet<ServerId> {
        let engines = self.names.iter().zip(&self.domains).zip(&self.short_streams.count);
        let engines = engines.map(|((id, domain), light)| reservation::Candidate {
            id,
            domain,
            order: reservation::reservation_order(id),
            light: *light,
        });
        let slots = self.scenario.engine_parameters.slots as u32;
        let reserved = reservation::reserved_engines(engines, slots);
        reserved.into_iter().cloned().collect()
    }
}

impl Policy for Oracle {
    fn place(
        &mut self,
        _: f64,
        number: usize,
        request: &Request,
        left_ms: f64,
        engines: &[SimulatedEngine],
    ) -> Verdict {
        let class = self.scenario.classes[request.class];
        let urgency = wait_limit::urgency(None, class.rank);
        let is_short_stream = class.rank == 0;
        let reserved = if self.has_reservation { self.reserved_engines() } else { BTreeSet::new() };
        let cost = |(number, engine): (usize, &SimulatedEngine)| {
            let wait_ms = engine.time_until_prefilled_ms(&request.prompt, urgency);
            let is_mismatched =
                self.has_reservation && reserved.contains(&self.names[number]) != is_short_stream;
            (number, wait_ms, wait_ms + if is_mismatched { RESERVATION_PENALTY_MS } else { 0.0 })
        };
        let costs = engines.iter().enumerate().map(cost);
        let least = costs.min_by(|(_, _, a), (_, _, b)| a.total_cmp(b));
        match least {
            Some((engine, wait_ms, _)) if wait_ms <= left_ms => {
                if is_short_stream {
                    self.short_streams.begin(number, engine);
                }
                Verdict::Place(engine, urgency)
            }
            _ => Verdict::Refuse(f64::INFINITY),
        }
    }

    fn first_event(&mut self, _: f64, _: usize, _: &Request) {}

    fn event_gap(&mut self, _: f64, _: usize, _: &Request, _: f64) {}

    fn ended(&mut self, _: f64, number: usize, _: &Request, _: bool) {
        self.short_streams.end(number);
    }

    fn tick(&mut self, _: f64) {}
}

/// The placement of the router: a [`Balancer`] per host, and announcements between the hosts, some
/// of which are lost.
pub struct Balancers {
    start: Instant,
    scenario: Scenario,
    balancers: Vec<Balancer>,
    names: Vec<HostId>,
    /// The placement of each request in flight, and how it ends unless it is completed, by number.
    placements: Vec<Option<(Placement, End)>>,
    /// What is not yet announced to hosts of other failure domains, by host.
    pending: Vec<PendingReport>,
    /// The time of the next announcement, by host.
    next_announcement_ms: Vec<f64>,
    /// The number of announcements so far, by host; counted in large fleets only.
    rounds: Vec<u32>,
    random: StdRng,
}

/// Interval between the announcements of a host, for up to [`MAX_HOSTS_AT_BASE_INTERVAL`] receiving
/// hosts. Above, the interval grows in proportion, so that a host receives a constant number per
/// second; see `gossip` in the gateway crate.
const ANNOUNCEMENT_INTERVAL_MS: f64 = 100.0;
const MAX_HOSTS_AT_BASE_INTERVAL: f64 = 10.0;
/// From this many hosts on, other failure domains get announcements less often.
const LARGE_FLEET_HOSTS: usize = 30;
/// In a large fleet, other failure domains get one announcement in this many, which combines them.
const ROUNDS_PER_REMOTE_ANNOUNCEMENT: u32 = 4;
/// Share of announcements that are lost.
const LOSS_RATE: f64 = 0.03;

impl Balancers {
    pub fn new(scenario: &Scenario, requests: usize, seed: u64) -> anyhow::Result<Self> {
        let start = Instant::now();
        let service: PoolId = "llm".parse()?;
        let mut members = Vec::new();
        for number in 0..scenario.engines_per_domain * scenario.domains {
            members.push(Member {
                id: format!("e{number}").parse()?,
                born_ms: 1,
                service: service.clone(),
                address: "127.0.0.1:1".parse()?,
                domain: domain(scenario, number)?,
                slots: scenario.engine_parameters.slots as u32,
                build: Default::default(),
                phase: Phase::Ready,
                reclaimable: true,
            });
        }
        let engine = catalog::Engine {
            slots: scenario.engine_parameters.slots as u32,
            memory: Tokens(scenario.engine_parameters.memory_tokens),
            event_tokens: scenario.engine_parameters.event_tokens,
        };
        let mut balancers = Vec::new();
        let mut names = Vec::new();
        for number in 0..scenario.hosts {
            let mut balancer = Balancer::new(domain(scenario, number)?);
            balancer.set_learns_speed(true);
            balancer.set_servers(start, Some(engine), &members);
            balancer.set_host_count(scenario.hosts);
            balancers.push(balancer);
            names.push(format!("h{number}").parse()?);
        }
        let mut random = StdRng::seed_from_u64(seed);
        let next_announcement_ms = (0..scenario.hosts)
            .map(|_| random.random_range(0.0..ANNOUNCEMENT_INTERVAL_MS))
            .collect();
        Ok(Self {
            start,
            scenario: scenario.clone(),
            balancers,
            names,
            placements: vec![None; requests],
            pending: (0..scenario.hosts).map(|_| PendingReport::default()).collect(),
            next_announcement_ms,
            rounds: vec![0; scenario.hosts],
            random,
        })
    }

    fn instant_at(&self, now: f64) -> Instant {
        self.start + Duration::from_secs_f64(now / 1e3)
    }

    /// Delivers an announcement to the other hosts of the same failure domain, if `near`, or to
    /// those of other domains; some are lost.
    fn deliver(&mut self, now: f64, from: usize, near: bool, reports: &[(ServerId, LoadReport)]) {
        let instant = self.instant_at(now);
        let domains = self.scenario.domains;
        for to in 0..self.balancers.len() {
            let wanted = to != from && (to % domains == from % domains) == near;
            if wanted && self.random.random::<f64>() >= LOSS_RATE {
                self.balancers[to].apply_announcement(instant, &self.names[from], reports);
            }
        }
    }

    /// Announces the requests of a host to the other hosts.
    fn announce(&mut self, now: f64, host: usize) {
        let reports = self.balancers[host].announce();
        self.deliver(now, host, true, &reports);
        if self.balancers.len() < LARGE_FLEET_HOSTS {
            return self.deliver(now, host, false, &reports);
        }
        self.pending[host].absorb(&reports);
        self.rounds[host] += 1;
        if self.rounds[host].is_multiple_of(ROUNDS_PER_REMOTE_ANNOUNCEMENT) {
            let pending = self.pending[host].take();
            self.deliver(now, host, false, &pending);
        }
    }
}

impl Policy for Balancers {
    fn place(
        &mut self,
        now: f64,
        number: usize,
        request: &Request,
        left_ms: f64,
        _: &[SimulatedEngine],
    ) -> Verdict {
        let class = self.scenario.classes[request.class];
        let left = Duration::from_secs_f64(left_ms / 1e3);
        let timeout = Duration::from_secs_f64(class.timeout_ms / 1e3);
        // As in `wait_limit::max_wait`, a request may wait as long as the longest target of classes
        // that are equally or less urgent.
        let no_more_urgent = self.scenario.classes.iter().filter(|other| other.rank >= class.rank);
        let target_ms = no_more_urgent.map(|other| other.target_ms).fold(class.target_ms, f64::max);
        let target = Duration::from_secs_f64(target_ms / 1e3);
        let is_retry = wait_limit::looks_like_retry(left, timeout);
        let limit = wait_limit::max_first_event_wait(target, left, is_retry);
        let ask = PlacementRequest {
            prompt: Some(&request.prompt),
            max_wait: limit,
            target_gap: Some(Duration::from_secs_f64(class.max_gap_ms / 1e3)),
            urgency: wait_limit::urgency(None, class.rank),
            build: None,
            excluded: &[],
            avoid: &[],
            refused: &[],
        };
        let draw = self.random.random();
        let instant = self.instant_at(now);
        match self.balancers[request.host].place(instant, &ask) {
            Ok(place) => {
                let id = place.member.id.as_str().trim_start_matches('e').parse().unwrap_or(0);
                let urgency = place.urgency;
                self.placements[number] = Some((place, End::Abandoned));
                Verdict::Place(id, urgency)
            }
            Err(Refusal::NoServerInTime(wait)) => {
                let retry_delay = wait_limit::late_retry_delay(wait, limit, left, draw);
                Verdict::Refuse(retry_delay.as_secs_f64() * 1e3)
            }
            Err(Refusal::Paused(wait)) => Verdict::Refuse(wait.as_secs_f64() * 1e3),
            Err(Refusal::NoServer) => Verdict::Refuse(f64::INFINITY),
        }
    }

    fn first_event(&mut self, now: f64, number: usize, request: &Request) {
        let instant = self.instant_at(now);
        if let Some((place, _)) = &self.placements[number] {
            self.balancers[request.host].record_first_output(instant, place);
        }
    }

    fn event_gap(&mut self, now: f64, number: usize, request: &Request, gap_ms: f64) {
        let (from, to) = (self.instant_at(now - gap_ms), self.instant_at(now));
        if let Some((place, _)) = &self.placements[number] {
            self.balancers[request.host].record_gaps(to, place, &[EventGap { from, to }]);
        }
    }

    fn ended(&mut self, now: f64, number: usize, request: &Request, whole: bool) {
        let instant = self.instant_at(now);
        if let Some((place, _)) = self.placements[number].take() {
            let end = if whole { End::Served } else { End::Abandoned };
            self.balancers[request.host].end(instant, &place, end);
        }
    }

    fn tick(&mut self, now: f64) {
        let heard_hosts = match self.balancers.len() < LARGE_FLEET_HOSTS {
            true => self.balancers.len(),
            false => self.balancers.len() / self.scenario.domains,
        };
        let interval =
            ANNOUNCEMENT_INTERVAL_MS * (heard_hosts as f64 / MAX_HOSTS_AT_BASE_INTERVAL).max(1.0);
        for host in 0..self.balancers.len() {
            if self.next_announcement_ms[host] <= now {
                self.next_announcement_ms[host] = now + interval;
                self.announce(now, host);
            }
        }
    }
}

fn domain(scenario: &Scenario, number: usize) -> anyhow::Result<Domain> {
    Ok(format!("d{}", number % scenario.domains).parse()?)
}
