//! Plays load on simulated engines, several hosts that place it, and callers that return when they
//! are asked to.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use wasabi_core::{
    call::{Part, Prompt},
    catalog::Engine,
    member::{Member, Phase},
    units::{HostId, Tokens, WorkspaceId},
};
use wasabi_policy::{
    balancer::{Balancer, End, Placement, PlacementRequest, Refusal},
    overload::{Control, Limit, Request},
    wait_limit,
};

const ENGINE: Engine = Engine { slots: 64, memory: Tokens(600_000), event_tokens: 6 };
const TICK: Duration = Duration::from_millis(2);
const TARGET: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_secs(10);
/// The ticks between a host's announcements, as the gateway has them: 120 ms with up to 12 hosts, and
/// 270 ms with 80 in three domains.
fn announce_ticks(hosts: usize) -> u64 {
    if hosts <= 12 { 60 } else { 135 }
}
/// The time from the end of prefill to the first event at the host, and from there to the last.
const FIRST_EVENT_DELAY: Duration = Duration::from_millis(18);
const ANSWER: Duration = Duration::from_millis(360);
/// Callers with less time left give up.
const MIN_TIME_LEFT: Duration = Duration::from_millis(1_500);

/// The traffic of one workspace.
#[derive(Clone)]
pub struct Source {
    pub name: &'static str,
    /// First attempts a second, and the factor on them in each second of the play.
    pub usual: f64,
    pub factor: fn(f64) -> f64,
    pub urgency: u8,
    /// Whether its callers wait as long as they are asked to; others return after 100 ms.
    pub waits: bool,
}

/// What became of one caller.
#[derive(Clone, Debug)]
pub struct Caller {
    pub source: usize,
    pub urgency: u8,
    /// The second of its first attempt.
    pub second: f64,
    /// Whether its prompt is among the largest tenth.
    pub large: bool,
    /// How often it was refused.
    pub refusals: u32,
    /// Promised times at which it returned, and how many of these promises were kept.
    pub promises: u32,
    pub kept: u32,
    is_promised: bool,
    /// The time from its last attempt to its first event, once it has one.
    pub first_event: Option<Duration>,
    prompt: Prompt,
    deadline: Instant,
}

impl Caller {
    pub fn on_target(&self) -> bool {
        self.first_event.is_some_and(|took| took <= TARGET)
    }
}

pub struct Setup {
    pub sources: Vec<Source>,
    pub hosts: usize,
    pub engines: usize,
    pub seconds: u64,
    pub seed: u64,
    /// Whether hosts share and promise; otherwise they only refuse what would be late.
    pub controlled: bool,
    /// Whether hosts announce the work of workspaces and return times, beside their load.
    pub announces: bool,
}

struct Host {
    id: HostId,
    balancer: Balancer,
    control: Control,
}

#[derive(Default)]
struct SimulatedEngine {
    /// Caller and its prefill left in milliseconds, by urgency.
    queue: BTreeMap<u8, VecDeque<(usize, f64)>>,
}

/// A request that runs: its caller, host, place, and when it ends.
type Run = (usize, Placement, Instant);

pub struct Play {
    setup: Setup,
    pub callers: Vec<Caller>,
    start: Instant,
    now: Instant,
    random: StdRng,
    hosts: Vec<Host>,
    engines: BTreeMap<String, SimulatedEngine>,
    /// By caller: its host and place until its first event.
    waiting: BTreeMap<usize, (usize, Placement)>,
    /// Callers whose prompt has been read, and when their first event arrives.
    read: VecDeque<(Instant, usize)>,
    running: Vec<Run>,
    /// When callers return.
    returns: BTreeSet<(Instant, usize)>,
}

/// Plays a setup and returns what became of all callers.
pub fn play(setup: Setup) -> Play {
    let start = Instant::now();
    let domain: wasabi_core::units::Domain = "d1".parse().expect("a name");
    let members: Vec<Member> = (0..setup.engines)
        .map(|i| Member {
            id: format!("s{i}").parse().expect("a name"),
            born_ms: 1,
            service: "llm".parse().expect("a name"),
            address: "127.0.0.1:1".parse().expect("an address"),
            domain: domain.clone(),
            slots: 64,
            build: Default::default(),
            phase: Phase::Ready,
            reclaimable: false,
        })
        .collect();
    let hosts = (0..setup.hosts).map(|i| {
        let mut balancer = Balancer::new(domain.clone());
        balancer.set_servers(start, Some(ENGINE), &members);
        balancer.set_host_count(setup.hosts);
        let id = format!("h{i}").parse().expect("a name");
        Host { id, balancer, control: Control::new(start) }
    });
    let engines = members.iter().map(|m| (m.id.to_string(), SimulatedEngine::default()));
    let mut play = Play {
        callers: Vec::new(),
        start,
        now: start,
        random: StdRng::seed_from_u64(setup.seed),
        hosts: hosts.collect(),
        engines: engines.collect(),
        waiting: BTreeMap::new(),
        read: VecDeque::new(),
        running: Vec::new(),
        returns: BTreeSet::new(),
        setup,
    };
    let ticks = play.setup.seconds * 500;
    // Callers that came last may still return.
    for tick in 0..ticks + 6_000 {
        play.now += TICK;
        if tick < ticks {
            play.arrive();
        }
        while let Some((at, caller)) = play.returns.first().copied()
            && at <= play.now
        {
            play.returns.pop_first();
            play.attempt(caller);
        }
        play.announce(tick);
        play.run_engines();
    }
    play
}

impl Play {
    /// Returns the share of the callers that match that were served.
    pub fn served(&self, matches: impl Fn(&Caller) -> bool) -> f64 {
        self.share(matches, |caller| caller.first_event.is_some())
    }

    /// Returns the share of the callers that match that were on target.
    pub fn on_target(&self, matches: impl Fn(&Caller) -> bool) -> f64 {
        self.share(matches, Caller::on_target)
    }

    /// Returns the share of promises that were kept.
    pub fn kept(&self) -> f64 {
        let of = |count: fn(&Caller) -> u32| self.callers.iter().map(count).sum::<u32>();
        f64::from(of(|c| c.kept)) / f64::from(of(|c| c.promises).max(1))
    }

    /// Returns the longest time from a caller's last attempt to its first event.
    pub fn longest_wait(&self) -> Duration {
        self.callers.iter().filter_map(|caller| caller.first_event).max().unwrap_or_default()
    }

    fn share(&self, of: impl Fn(&Caller) -> bool, has: impl Fn(&Caller) -> bool) -> f64 {
        let callers: Vec<&Caller> = self.callers.iter().filter(|caller| of(caller)).collect();
        let having = callers.iter().filter(|caller| has(caller)).count();
        having as f64 / callers.len().max(1) as f64
    }

    fn second(&self) -> f64 {
        (self.now - self.start).as_secs_f64()
    }

    fn arrive(&mut self) {
        for source in 0..self.setup.sources.len() {
            let Source { usual, factor, urgency, .. } = self.setup.sources[source];
            let rate = usual * factor(self.second());
            if self.random.random::<f64>() >= rate * TICK.as_secs_f64() {
                continue;
            }
            let large = self.random.random_bool(0.1);
            let tokens = self.random.random_range(if large { 6_000..12_000 } else { 1_000..4_000 });
            let number = self.callers.len();
            let parts = vec![Part { id: number as u64, tokens }];
            let time_left = TIMEOUT.mul_f64(1.0 - self.random.random::<f64>() / 6.0);
            self.callers.push(Caller {
                source,
                urgency,
                second: self.second(),
                large,
                refusals: 0,
                promises: 0,
                kept: 0,
                is_promised: false,
                first_event: None,
                prompt: Prompt { tokens, output: 60, parts },
                deadline: self.now + time_left,
            });
            self.attempt(number);
        }
    }

    fn attempt(&mut self, number: usize) {
        let now = self.now;
        let host_number = self.random.random_range(0..self.hosts.len());
        let draw = self.random.random();
        let caller = &mut self.callers[number];
        let time_left = caller.deadline.saturating_duration_since(now);
        let source = &self.setup.sources[caller.source];
        let workspace: WorkspaceId = source.name.parse().expect("a name");
        let is_return = wait_limit::looks_like_retry(time_left, TIMEOUT);
        let max_wait = wait_limit::max_first_event_wait(TARGET, time_left, is_return);
        let request = Request {
            workspace: Some(&workspace),
            prompt: Some(&caller.prompt),
            urgency: caller.urgency,
            is_return,
            first_wait: wait_limit::max_first_event_wait(TARGET, time_left, false),
            max_wait,
        };
        let ask = PlacementRequest {
            target_gap: None,
            prompt: Some(&caller.prompt),
            max_wait,
            urgency: caller.urgency,
            build: None,
            excluded: &[],
            avoid: &[],
            refused: &[],
        };
        let Host { balancer, control, .. } = &mut self.hosts[host_number];
        let limit = match self.setup.controlled {
            true => control.limit(now, &request),
            false => Limit::NONE,
        };
        let is_promised = std::mem::replace(&mut caller.is_promised, false);
        caller.promises += u32::from(is_promised);
        match balancer.place_within(now, &ask, limit.max_queue) {
            Ok(placement) => {
                caller.kept += u32::from(is_promised);
                control.record_placed(now, &request, &placement, balancer);
                let running = self.running.iter().filter(|run| run.1.member == placement.member);
                let step_ms = 3.09 + 0.102 * running.count() as f64;
                let tokens = f64::from(caller.prompt.tokens);
                let prefill_ms = tokens / 56.9 + (tokens / 2_048.0).ceil() * step_ms;
                let engine = self.engines.get_mut(placement.member.id.as_str()).expect("known");
                engine.queue.entry(caller.urgency).or_default().push_back((number, prefill_ms));
                self.waiting.insert(number, (host_number, placement));
            }
            Err(Refusal::NoServerInTime(expected)) => {
                caller.refusals += 1;
                let wait = if self.setup.controlled {
                    let times = (time_left, TIMEOUT);
                    let offer = control.refuse(now, &request, &limit, expected, times, draw);
                    caller.is_promised = offer.promised && source.waits;
                    offer.wait
                } else {
                    wait_limit::late_retry_delay(expected, max_wait, time_left, draw)
                };
                assert!(wait <= time_left.mul_f64(0.34), "{wait:?} of {time_left:?}");
                let wait = if source.waits { wait } else { Duration::from_millis(100) };
                if time_left > wait + MIN_TIME_LEFT {
                    self.returns.insert((now + wait, number));
                }
            }
            Err(refusal) => panic!("{refusal:?}"),
        }
    }

    fn announce(&mut self, tick: u64) {
        for from in 0..self.hosts.len() {
            if !(tick + 7 * from as u64).is_multiple_of(announce_ticks(self.hosts.len())) {
                continue;
            }
            let shares = self.hosts[from].balancer.announce();
            let report = self.hosts[from].control.report(self.now);
            let report = report.filter(|_| self.setup.announces);
            let id = self.hosts[from].id.clone();
            for (_, peer) in self.hosts.iter_mut().enumerate().filter(|(to, _)| *to != from) {
                peer.balancer.apply_announcement(self.now, &id, &shares);
                if let Some(report) = &report {
                    peer.control.apply(self.now, Some(self.now), &id, report.clone());
                }
            }
        }
    }

    fn run_engines(&mut self) {
        for engine in self.engines.values_mut() {
            let mut left = TICK.as_secs_f64() * 1e3;
            while left > 0.0 {
                let Some(queue) = engine.queue.values_mut().find(|queue| !queue.is_empty()) else {
                    break;
                };
                let Some((caller, prefill_ms)) = queue.front_mut() else { break };
                let spent = prefill_ms.min(left);
                left -= spent;
                *prefill_ms -= spent;
                if *prefill_ms <= 0.0 {
                    self.read.push_back((self.now + FIRST_EVENT_DELAY, *caller));
                    queue.pop_front();
                }
            }
        }
        while let Some((_, caller)) = self.read.pop_front_if(|(at, _)| *at <= self.now) {
            let (host, place) = self.waiting.remove(&caller).expect("it waits");
            self.hosts[host].balancer.record_first_output(self.now, &place);
            self.callers[caller].first_event = Some(self.now - place.since);
            self.running.push((host, place, self.now + ANSWER));
        }
        let (now, hosts) = (self.now, &mut self.hosts);
        self.running.retain(|(host, place, end)| {
            if *end <= now {
                hosts[*host].balancer.end(now, place, End::Served);
            }
            *end > now
        });
    }
}
