//! Who decides where requests go.

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
    board::{Ask, Board, End, Place, Refusal},
    lanes, patience,
    share::{Share, Untold},
};
use wasabi_standin::batch::Engine;

use super::scenario::{Request, Scenario};

/// What a policy decides for a request.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// The engine that runs it, and how urgent the engine takes it for.
    Place(usize, u8),
    /// It is refused and may come back after this many milliseconds.
    Refuse(f64),
}

/// A policy; times are milliseconds since the start of the play.
pub trait Policy {
    /// Decides on a request whose caller still waits `left_ms`.
    fn place(
        &mut self,
        now: f64,
        number: usize,
        request: &Request,
        left_ms: f64,
        engines: &[Engine],
    ) -> Verdict;
    /// Takes in that the first event of a request has come.
    fn started(&mut self, now: f64, number: usize, request: &Request);
    /// Takes in that a request has ended, whole or not.
    fn ended(&mut self, now: f64, number: usize, request: &Request, whole: bool);
    /// Lets the hosts tell each other what is due.
    fn tick(&mut self, now: f64);
}

/// First come, first served, where the fewest requests run; all see all.
pub struct LeastInFlight {
    running: InFlight,
}

/// Requests that run on each engine.
struct InFlight {
    count: Vec<u32>,
    /// The engine of each request that is counted, by its number.
    at: Vec<Option<usize>>,
}

impl InFlight {
    fn new(scenario: &Scenario, requests: usize) -> Self {
        Self { count: vec![0; scenario.engines * scenario.domains], at: vec![None; requests] }
    }

    fn begin(&mut self, number: usize, engine: usize) {
        self.count[engine] += 1;
        self.at[number] = Some(engine);
    }

    fn end(&mut self, number: usize) {
        if let Some(engine) = self.at[number].take() {
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
    fn place(&mut self, _: f64, number: usize, _: &Request, _: f64, _: &[Engine]) -> Verdict {
        let count = &self.running.count;
        let engine = (0..count.len()).min_by_key(|engine| count[*engine]).unwrap_or(0);
        self.running.begin(number, engine);
        Verdict::Place(engine, 0)
    }

    fn started(&mut self, _: f64, _: usize, _: &Request) {}

    fn ended(&mut self, _: f64, number: usize, _: &Request, _: bool) {
        self.running.end(number);
    }

    fn tick(&mut self, _: f64) {}
}

/// Knows at once what every engine does and keeps, takes the soonest, and refuses what would come
/// too late. With `lanes` it keeps the same engines for short streams as the boards do.
pub struct AllKnowing {
    scenario: Scenario,
    names: Vec<ServerId>,
    domains: Vec<Domain>,
    lanes: bool,
    /// Short streams only.
    light: InFlight,
}

/// As the boards count it.
const LANE_MS: f64 = 400.0;

impl AllKnowing {
    pub fn new(scenario: &Scenario, requests: usize, lanes: bool) -> anyhow::Result<Self> {
        let engines = scenario.engines * scenario.domains;
        let names = (0..engines).map(|number| Ok(format!("e{number}").parse()?));
        Ok(Self {
            names: names.collect::<anyhow::Result<_>>()?,
            domains: (0..engines).map(|n| domain(scenario, n)).collect::<anyhow::Result<_>>()?,
            scenario: scenario.clone(),
            lanes,
            light: InFlight::new(scenario, requests),
        })
    }

    fn kept(&self) -> BTreeSet<ServerId> {
        let engines = self.names.iter().zip(&self.domains).zip(&self.light.count);
        let engines = engines.map(|((id, domain), light)| lanes::Engine {
            id,
            domain,
            order: lanes::order(id),
            light: *light,
        });
        let kept = lanes::kept(engines, self.scenario.shape.slots as u32);
        kept.into_iter().cloned().collect()
    }
}

impl Policy for AllKnowing {
    fn place(
        &mut self,
        _: f64,
        number: usize,
        request: &Request,
        left_ms: f64,
        engines: &[Engine],
    ) -> Verdict {
        let class = self.scenario.classes[request.class];
        let urgency = patience::urgency(None, class.rank);
        let is_light = class.rank == 0;
        let kept = if self.lanes { self.kept() } else { BTreeSet::new() };
        let cost = |(number, engine): (usize, &Engine)| {
            let wait_ms = engine.ahead_ms(&request.prompt, urgency);
            let apart = self.lanes && kept.contains(&self.names[number]) != is_light;
            (number, wait_ms, wait_ms + if apart { LANE_MS } else { 0.0 })
        };
        let costs = engines.iter().enumerate().map(cost);
        let least = costs.min_by(|(_, _, a), (_, _, b)| a.total_cmp(b));
        match least {
            Some((engine, wait_ms, _)) if wait_ms <= left_ms => {
                if is_light {
                    self.light.begin(number, engine);
                }
                Verdict::Place(engine, urgency)
            }
            _ => Verdict::Refuse(f64::INFINITY),
        }
    }

    fn started(&mut self, _: f64, _: usize, _: &Request) {}

    fn ended(&mut self, _: f64, number: usize, _: &Request, _: bool) {
        self.light.end(number);
    }

    fn tick(&mut self, _: f64) {}
}

/// The router's own boards, one a host, which tell each other of their requests as hosts do.
pub struct Boards {
    start: Instant,
    scenario: Scenario,
    boards: Vec<Board>,
    names: Vec<HostId>,
    places: Vec<Option<(Place, End)>>,
    /// What peers of other domains have not been told yet, by host.
    untold: Vec<Untold>,
    next_ms: Vec<f64>,
    rounds: Vec<u32>,
    random: StdRng,
}

/// Hosts hear each other about so often at this size; see `gossip`.
const PERIOD_MS: f64 = 100.0;
const SMALL_FLEET: f64 = 10.0;
const LARGE_FLEET: usize = 30;
const FAR_ROUNDS: u32 = 4;
/// The part of the announcements that get lost.
const LOSS: f64 = 0.03;

impl Boards {
    pub fn new(scenario: &Scenario, requests: usize, seed: u64) -> anyhow::Result<Self> {
        let start = Instant::now();
        let service: PoolId = "llm".parse()?;
        let mut members = Vec::new();
        for number in 0..scenario.engines * scenario.domains {
            members.push(Member {
                id: format!("e{number}").parse()?,
                born_ms: 1,
                service: service.clone(),
                address: "127.0.0.1:1".parse()?,
                domain: domain(scenario, number)?,
                slots: scenario.shape.slots as u32,
                phase: Phase::Ready,
                cheap: true,
            });
        }
        let engine = catalog::Engine {
            slots: scenario.shape.slots as u32,
            memory: Tokens(scenario.shape.memory),
            event_tokens: scenario.shape.event_tokens,
        };
        let mut boards = Vec::new();
        let mut names = Vec::new();
        for number in 0..scenario.hosts {
            let mut board = Board::new(domain(scenario, number)?);
            board.set(start, Some(engine), &members);
            board.set_hosts(scenario.hosts);
            boards.push(board);
            names.push(format!("h{number}").parse()?);
        }
        let mut random = StdRng::seed_from_u64(seed);
        let next_ms = (0..scenario.hosts).map(|_| random.random_range(0.0..PERIOD_MS)).collect();
        Ok(Self {
            start,
            scenario: scenario.clone(),
            boards,
            names,
            places: vec![None; requests],
            untold: (0..scenario.hosts).map(|_| Untold::default()).collect(),
            next_ms,
            rounds: vec![0; scenario.hosts],
            random,
        })
    }

    fn time(&self, now: f64) -> Instant {
        self.start + Duration::from_secs_f64(now / 1e3)
    }

    fn tell(&mut self, now: f64, from: usize, near: bool, shares: &[(ServerId, Share)]) {
        let time = self.time(now);
        let domains = self.scenario.domains;
        for to in 0..self.boards.len() {
            let wanted = to != from && (to % domains == from % domains) == near;
            if wanted && self.random.random::<f64>() >= LOSS {
                self.boards[to].merge(time, &self.names[from], shares);
            }
        }
    }

    /// Lets one host tell the others what it runs.
    fn announce(&mut self, now: f64, host: usize) {
        let shares = self.boards[host].announce();
        self.tell(now, host, true, &shares);
        if self.boards.len() < LARGE_FLEET {
            return self.tell(now, host, false, &shares);
        }
        self.untold[host].absorb(&shares);
        self.rounds[host] += 1;
        if self.rounds[host].is_multiple_of(FAR_ROUNDS) {
            let untold = self.untold[host].take();
            self.tell(now, host, false, &untold);
        }
    }
}

impl Policy for Boards {
    fn place(
        &mut self,
        now: f64,
        number: usize,
        request: &Request,
        left_ms: f64,
        _: &[Engine],
    ) -> Verdict {
        let class = self.scenario.classes[request.class];
        let left = Duration::from_secs_f64(left_ms / 1e3);
        let timeout = Duration::from_secs_f64(class.timeout_ms / 1e3);
        // As `patience::limit` does for routes.
        let beside = self.scenario.classes.iter().filter(|other| other.rank >= class.rank);
        let target_ms = beside.map(|other| other.target_ms).fold(class.target_ms, f64::max);
        let target = Duration::from_secs_f64(target_ms / 1e3);
        let returning = patience::is_returning(left, timeout);
        let limit = patience::first_event(target, left, returning);
        let ask = Ask {
            prompt: Some(&request.prompt),
            patience: limit,
            urgency: patience::urgency(None, class.rank),
            avoid: &[],
        };
        let draw = self.random.random();
        let time = self.time(now);
        match self.boards[request.host].place(time, &ask) {
            Ok(place) => {
                let id = place.member.id.as_str().trim_start_matches('e').parse().unwrap_or(0);
                let urgency = place.urgency;
                self.places[number] = Some((place, End::Dropped));
                Verdict::Place(id, urgency)
            }
            Err(Refusal::TooLate(wait)) => {
                let pause = patience::come_back(wait, limit, left, draw);
                Verdict::Refuse(pause.as_secs_f64() * 1e3)
            }
            Err(Refusal::NoServer) => Verdict::Refuse(f64::INFINITY),
        }
    }

    fn started(&mut self, now: f64, number: usize, request: &Request) {
        let time = self.time(now);
        if let Some((place, _)) = &self.places[number] {
            self.boards[request.host].started(time, place);
        }
    }

    fn ended(&mut self, now: f64, number: usize, request: &Request, whole: bool) {
        let time = self.time(now);
        if let Some((place, _)) = self.places[number].take() {
            let end = if whole { End::Served } else { End::Dropped };
            self.boards[request.host].end(time, &place, end);
        }
    }

    fn tick(&mut self, now: f64) {
        let heard = match self.boards.len() < LARGE_FLEET {
            true => self.boards.len(),
            false => self.boards.len() / self.scenario.domains,
        };
        let period = PERIOD_MS * (heard as f64 / SMALL_FLEET).max(1.0);
        for host in 0..self.boards.len() {
            if self.next_ms[host] <= now {
                self.next_ms[host] = now + period;
                self.announce(now, host);
            }
        }
    }
}

fn domain(scenario: &Scenario, number: usize) -> anyhow::Result<Domain> {
    Ok(format!("d{}", number % scenario.domains).parse()?)
}
