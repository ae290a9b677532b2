//! Workloads drawn from a seed, modelled on the users' two deployments: `budjet` with 18 engines,
//! and `pelindung` with nine, some of which fail.
//!
//! All times are a third of those in the deployments: engines take 10 ms per token in place of
//! 30 ms, and the targets are shortened accordingly.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use wasabi_standin::engine::Profile;

/// Factor by which all times are shorter than in a deployment.
pub const SPEEDUP: u32 = 3;
pub const HOSTS: usize = 7;
const WORKSPACES: usize = 10;
const SLOTS_PER_ENGINE: u32 = 3;
const TOKEN_INTERVAL: Duration = Duration::from_millis(10);
const RUN_LENGTH: Duration = Duration::from_secs(20);
/// Targets of the class `check`; those of `costing` are multiples.
const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(1_800 / SPEEDUP as u64);
const INTER_TOKEN_TARGET: Duration = Duration::from_micros(38_000 / SPEEDUP as u64);
const CHECK_TOKENS: u64 = 20;
/// Tokens per answer of a costing: exponentially distributed, from 5 to the maximum.
const MEAN_COSTING_TOKENS: f64 = 120.0;
const MAX_COSTING_TOKENS: u64 = 600;
/// Length of a burst, and of the pause before each.
const BURST_PERIOD: Duration = Duration::from_secs(4);

/// A request class with its targets.
#[derive(Clone, Debug)]
pub struct Class {
    pub name: &'static str,
    pub tier: u8,
    pub first_token_target: Duration,
    pub inter_token_target: Duration,
}

/// A request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it is sent, since the start of the run.
    pub at: Duration,
    /// Index into [`Workload::classes`].
    pub class: usize,
    pub workspace: usize,
    /// Length of the requested answer.
    pub tokens: u64,
}

/// A change of the engines during a run.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// A release note removes the reclaimable engines.
    AnnounceReclaim,
    /// The reclaimable engines crash.
    Reclaim,
    /// An engine takes four times as long per token.
    SlowDown(usize),
    /// An engine breaks off all streams and refuses new requests.
    Crash(usize),
}

/// A workload.
#[derive(Clone, Debug)]
pub struct Workload {
    pub name: String,
    pub classes: Vec<Class>,
    pub engines: usize,
    /// The indices of the reclaimable engines, all in the first failure domain.
    pub reclaimable: Vec<usize>,
    pub profile: Profile,
    pub arrivals: Vec<Arrival>,
    /// Ordered by their times since the start of the run.
    pub events: Vec<(Duration, Event)>,
    pub workspaces: usize,
    /// Time during which requests are sent.
    pub length: Duration,
}

impl Workload {
    /// Returns the tokens per second that all engines together can generate.
    pub fn capacity(&self) -> f64 {
        self.engines as f64 * f64::from(self.profile.slots) / TOKEN_INTERVAL.as_secs_f64()
    }
}

/// Draws the workload with this name; `None` if there is none.
pub fn by_name(name: &str, seed: u64) -> Option<Workload> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut workload = match name {
        "budjet-deadline" => base_workload(18),
        "bad-tenant" => base_workload(18),
        "pelindung-bad-quarter" => pelindung(),
        _ => return None,
    };
    workload.name = name.to_string();
    match name {
        "budjet-deadline" => {
            add_costings(&mut workload, &mut rng, 1.2);
            add_check_bursts(&mut workload, &mut rng, 0.8);
        }
        "bad-tenant" => {
            add_costings(&mut workload, &mut rng, 0.4);
            add_flood(&mut workload, &mut rng);
        }
        _ => {
            add_costings(&mut workload, &mut rng, 0.5);
            add_checks(&mut workload, &mut rng, 0.25);
        }
    }
    workload.arrivals.sort_by_key(|arrival| arrival.at);
    Some(workload)
}

fn classes() -> Vec<Class> {
    let check = Class {
        name: "check",
        tier: 0,
        first_token_target: FIRST_TOKEN_TARGET,
        inter_token_target: INTER_TOKEN_TARGET,
    };
    let costing = Class {
        name: "costing",
        tier: 2,
        first_token_target: FIRST_TOKEN_TARGET * 5,
        inter_token_target: INTER_TOKEN_TARGET * 4,
    };
    vec![check, costing]
}

/// Returns the deployment with two classes on which all workloads build, without arrivals and
/// events.
fn base_workload(engines: usize) -> Workload {
    let first_token_delay = Duration::from_millis(20);
    Workload {
        name: String::new(),
        classes: classes(),
        engines,
        reclaimable: Vec::new(),
        profile: Profile {
            slots: SLOTS_PER_ENGINE,
            first_token_delay,
            token_interval: TOKEN_INTERVAL,
        },
        arrivals: Vec::new(),
        events: Vec::new(),
        workspaces: WORKSPACES,
        length: RUN_LENGTH,
    }
}

/// Nine engines, of which three reclaimable ones in one failure domain are announced as reclaimed
/// after a third of the run and lost 5 s (before the speed-up) later; two slow down and one
/// crashes.
///
/// The capacity of three and a half engines remains after all events; the checks need that of two
/// and a quarter.
fn pelindung() -> Workload {
    let warning = Duration::from_secs(5) / SPEEDUP;
    let announce = RUN_LENGTH / 3;
    let events = vec![
        (RUN_LENGTH / 8, Event::SlowDown(4)),
        (RUN_LENGTH / 8, Event::SlowDown(5)),
        (announce, Event::AnnounceReclaim),
        (announce + warning, Event::Reclaim),
        (RUN_LENGTH / 2, Event::Crash(8)),
    ];
    Workload { reclaimable: vec![0, 1, 2], events, ..base_workload(9) }
}

/// Draws the time to the next arrival of a Poisson process with `rate` arrivals per second.
fn interarrival_time(rng: &mut StdRng, rate: f64) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate)
}

/// Draws a workspace; low indices are more likely, so that a few workspaces are large.
fn draw_workspace(rng: &mut StdRng) -> usize {
    let skewed: f64 = rng.random::<f64>().powi(2);
    (skewed * WORKSPACES as f64) as usize
}

/// Adds costings at `load` times the capacity.
fn add_costings(workload: &mut Workload, rng: &mut StdRng, load: f64) {
    let rate = workload.capacity() * load / MEAN_COSTING_TOKENS;
    let mut at = Duration::ZERO;
    loop {
        at += interarrival_time(rng, rate);
        if at > workload.length {
            return;
        }
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        let tokens = (-uniform.ln() * MEAN_COSTING_TOKENS) as u64;
        let tokens = tokens.clamp(5, MAX_COSTING_TOKENS);
        let workspace = draw_workspace(rng);
        workload.arrivals.push(Arrival { at, class: 1, workspace, tokens });
    }
}

/// Adds a check at a time.
fn add_check(workload: &mut Workload, rng: &mut StdRng, at: Duration) {
    let workspace = draw_workspace(rng);
    workload.arrivals.push(Arrival { at, class: 0, workspace, tokens: CHECK_TOKENS });
}

/// Adds checks at `load` times the capacity.
fn add_checks(workload: &mut Workload, rng: &mut StdRng, load: f64) {
    let rate = workload.capacity() * load / CHECK_TOKENS as f64;
    let mut at = interarrival_time(rng, rate);
    while at < workload.length {
        add_check(workload, rng, at);
        at += interarrival_time(rng, rate);
    }
}

/// Adds checks in every second burst period, at `load` times the capacity.
///
/// During a burst, checks and costings together need twice the capacity; the checks alone fit into
/// it.
fn add_check_bursts(workload: &mut Workload, rng: &mut StdRng, load: f64) {
    let rate = workload.capacity() * load / CHECK_TOKENS as f64;
    let mut at = interarrival_time(rng, rate);
    while at < workload.length {
        let period = (at.as_secs_f64() / BURST_PERIOD.as_secs_f64()) as u64;
        if period % 2 == 1 {
            add_check(workload, rng, at);
        }
        at += interarrival_time(rng, rate);
    }
}

/// Adds costings of workspace 0 at twice the capacity.
fn add_flood(workload: &mut Workload, rng: &mut StdRng) {
    let rate = workload.capacity() * 2.0 / MEAN_COSTING_TOKENS;
    let mut at = interarrival_time(rng, rate);
    while at < workload.length {
        let tokens = MEAN_COSTING_TOKENS as u64;
        workload.arrivals.push(Arrival { at, class: 1, workspace: 0, tokens });
        at += interarrival_time(rng, rate);
    }
}
