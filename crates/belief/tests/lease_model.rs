//! Model check of the lease: all interleavings of two hosts' store calls with lost calls, lost and late
//! answers, crashes and a restore of the store, up to a number of steps.
//!
//! A host that holds the lease is taken to act at every moment at which it may, and its peers to hear of
//! its fencing token before it can end: what a holder does in less than an announcement period is not
//! covered.
//!
//! A second check has calls of the holder that are on their way for as long as they are permitted, and
//! planned stops with a start after them. It begins under a lease that is held, and nobody checks the
//! tokens: no call may arrive with a lower token than one before it.

use std::{
    collections::{BTreeMap, HashSet},
    hash::{DefaultHasher, Hash as _, Hasher as _},
    rc::Rc,
    time::{Duration, Instant},
};

use wasabi_belief::lease::{Lease, Permit, Record, StoreCall, Times};
use wasabi_core::units::{HostId, Incarnation, Version};

const HOSTS: usize = 2;
/// The unit of time; every duration of the lease is a multiple of it.
const UNIT: Duration = Duration::from_millis(1_000);
const TIMES: Times = Times {
    length: Duration::from_millis(2_000),
    margin: UNIT,
    renew_interval: UNIT,
    cooldown: Duration::from_millis(4_000),
};
/// The number of steps of the longest interleavings.
const STEPS: usize = 7;
/// Faults of calls, crashes and restores in one interleaving.
const MAX_FAULTS: u32 = 2;

/// What the store holds.
#[derive(Clone, Debug, Default)]
struct Contents {
    record: Option<(Version, Record)>,
    revision: u64,
}

/// How a call ends.
#[derive(Clone, Copy, Debug)]
enum Outcome {
    Answered,
    /// It has no effect, and the host gets no answer.
    CallLost,
    /// It takes effect, and the host gets no answer.
    AnswerLost,
    /// The host gets no answer, and the call takes effect at a later step.
    Late,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// That many units of time pass.
    Wait(u32),
    Call(usize, Outcome),
    /// The late call of a host takes effect.
    Land(usize),
    Crash(usize),
    Backup,
    Restore,
    /// A host hears of the era that the other one knows.
    Hear(usize),
    /// The holder begins a call.
    Begin(usize),
    /// A call that has begun arrives and is answered.
    Arrive(usize),
    /// The host begins to give the duties back.
    Release(usize),
    /// It has given them back; it ends and starts again.
    StartAgain(usize),
}

#[derive(Clone, Debug)]
struct Host {
    lease: Lease,
    /// The era that it knows.
    era: u64,
    /// Its late call, which has not taken effect.
    late: Option<StoreCall>,
    runs: u32,
    /// Its call as holder of the duties that has not arrived.
    call: Option<Permit>,
    /// Whether it is giving the duties back.
    releasing: bool,
}

#[derive(Clone, Debug)]
struct World {
    now: Instant,
    hosts: Vec<Host>,
    store: Contents,
    backup: Option<Contents>,
    era: u64,
    faults: u32,
    /// The host that acted under each fencing token.
    holders: BTreeMap<u64, usize>,
    /// The last acts: host and time, one entry for a run of acts of the same host with its last time.
    acts: Vec<(usize, Instant)>,
    /// Which faults and calls the check has.
    scope: Scope,
}

/// What a check covers besides the calls on the lease and their faults.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Scope {
    /// Restores of the store.
    Restores,
    /// Calls of the holder that are on their way, and planned stops.
    Calls,
}

fn lease(host: usize, run: u32, started_at: Instant) -> Lease {
    let name: HostId = format!("h{host}").parse().expect("a name");
    let incarnation: Incarnation = format!("h{host}:{run}").parse().expect("a name");
    Lease::new(name, incarnation, TIMES, started_at)
}

/// The steps that led to a world, the last one first.
type Path = Option<Rc<Link>>;

/// A step and those before it.
#[derive(Debug)]
struct Link {
    step: Step,
    before: Path,
}

fn in_order(mut path: Path) -> Vec<Step> {
    let mut steps = Vec::new();
    while let Some(link) = path {
        steps.push(link.step);
        path = link.before.clone();
    }
    steps.reverse();
    steps
}

impl Contents {
    /// Carries out a write; returns the new version, or the present record if the condition fails. A write that
    /// changes nothing makes no version.
    fn write(
        &mut self,
        expected: Option<Version>,
        record: &Record,
    ) -> Result<Version, Option<(Version, Record)>> {
        if self.record.as_ref().map(|(version, _)| *version) != expected {
            return Err(self.record.clone());
        }
        if let Some((version, same)) = &self.record
            && same == record
        {
            return Ok(*version);
        }
        self.revision += 1;
        let version = Version(self.revision);
        self.record = Some((version, record.clone()));
        Ok(version)
    }

    fn carry_out(
        &mut self,
        call: &StoreCall,
    ) -> Option<Result<Version, Option<(Version, Record)>>> {
        match call {
            StoreCall::Create(record) => Some(self.write(None, record)),
            StoreCall::Replace(version, record) => Some(self.write(Some(*version), record)),
            StoreCall::Read | StoreCall::Wait => None,
        }
    }
}

impl World {
    fn new(start: Instant, scope: Scope) -> Self {
        let host = |number| {
            let mut lease = lease(number, 0, start);
            lease.on_read(start, None);
            Host { lease, era: 0, late: None, runs: 0, call: None, releasing: false }
        };
        Self {
            scope,
            now: start,
            hosts: (0..HOSTS).map(host).collect(),
            store: Contents::default(),
            backup: None,
            era: 0,
            faults: 0,
            holders: BTreeMap::new(),
            acts: Vec::new(),
        }
    }

    /// Returns the world in which the first host has held the lease for some time.
    fn with_holder(start: Instant) -> Self {
        let mut world = Self::new(start, Scope::Calls);
        for _ in 0..3 {
            world.call(0, Outcome::Answered);
            world.call(1, Outcome::Answered);
            world.now += UNIT;
        }
        world.call(0, Outcome::Answered);
        world.check();
        world
    }

    /// The steps that are possible now.
    fn steps(&self) -> Vec<Step> {
        let mut steps = vec![Step::Wait(1), Step::Wait(3)];
        let may_fail = self.faults < MAX_FAULTS;
        for (number, host) in self.hosts.iter().enumerate() {
            if host.call.is_some() {
                steps.push(Step::Arrive(number));
            }
            if self.scope == Scope::Calls
                && host.call.is_none()
                && host.lease.fence(self.now).is_some()
            {
                steps.push(Step::Begin(number));
            }
            if host.releasing {
                steps.push(Step::StartAgain(number));
                continue;
            }
            if self.scope == Scope::Calls {
                steps.push(Step::Release(number));
            }
            if host.lease.next_call(self.now, false) != StoreCall::Wait {
                steps.push(Step::Call(number, Outcome::Answered));
                if may_fail {
                    let failed = [Outcome::CallLost, Outcome::AnswerLost, Outcome::Late];
                    steps.extend(failed.map(|outcome| Step::Call(number, outcome)));
                }
            }
            if host.late.is_some() {
                steps.push(Step::Land(number));
            }
            if may_fail {
                steps.push(Step::Crash(number));
            }
            if self.hosts.iter().any(|other| other.era > host.era) {
                steps.push(Step::Hear(number));
            }
        }
        if self.scope == Scope::Calls {
            return steps;
        }
        if self.backup.is_none() && may_fail {
            steps.push(Step::Backup);
        }
        if self.backup.is_some() && self.era == 0 && may_fail {
            steps.push(Step::Restore);
        }
        steps
    }

    /// Takes a step; returns what is wrong after it.
    fn take(&mut self, step: Step) -> Option<String> {
        match step {
            Step::Wait(units) => {
                self.now += UNIT * units;
                for host in &mut self.hosts {
                    // It is abandoned so that it cannot arrive any more.
                    if host.call.is_some_and(|permit| permit.until <= self.now) {
                        host.call = None;
                        host.lease.end_call();
                    }
                }
            }
            Step::Begin(number) => {
                let host = &mut self.hosts[number];
                host.call = host.lease.begin_call(self.now);
            }
            Step::Arrive(number) => {
                let host = &mut self.hosts[number];
                if let Some(permit) = host.call.take() {
                    host.lease.end_call();
                    let highest = self.holders.keys().next_back().copied().unwrap_or_default();
                    if permit.fence.0 < highest {
                        return Some(format!("{permit:?} arrived after token {highest}"));
                    }
                }
            }
            Step::Release(number) => {
                let host = &mut self.hosts[number];
                host.lease.begin_release();
                host.releasing = true;
            }
            Step::StartAgain(number) => {
                let (now, released) = (self.now, self.hosts[number].lease.release_write(self.now));
                if let Some((version, record)) = released {
                    self.store.carry_out(&StoreCall::Replace(version, record));
                }
                self.start_again(number, now);
            }
            Step::Call(number, outcome) => self.call(number, outcome),
            Step::Land(number) => {
                if let Some(call) = self.hosts[number].late.take() {
                    self.store.carry_out(&call);
                }
            }
            Step::Crash(number) => {
                self.faults += 1;
                self.start_again(number, self.now);
            }
            Step::Backup => self.backup = Some(self.store.clone()),
            Step::Restore => {
                self.faults += 1;
                self.era += 1;
                self.store = self.backup.clone().unwrap_or_default();
            }
            Step::Hear(number) => {
                let era = self.hosts.iter().map(|host| host.era).max().unwrap_or_default();
                self.learn_era(number, era);
            }
        }
        self.check()
    }

    /// A new incarnation of a host starts. A call of the former one may still arrive until the end of
    /// its permit.
    fn start_again(&mut self, number: usize, now: Instant) {
        let highest = self.hosts.iter().map(|host| host.lease.highest_fence()).max();
        let era = self.hosts.iter().map(|host| host.era).max().unwrap_or_default();
        let host = &mut self.hosts[number];
        host.runs += 1;
        host.lease = lease(number, host.runs, now);
        host.releasing = false;
        // A host hears its peers before it takes the duties.
        host.lease.note_fence(highest.unwrap_or_default());
        if era > 0 {
            host.lease.on_restored(now);
        }
        host.era = era;
    }

    fn call(&mut self, number: usize, outcome: Outcome) {
        let (now, era) = (self.now, self.era);
        let host = &mut self.hosts[number];
        let call = host.lease.next_call(now, false);
        match outcome {
            Outcome::Answered => {}
            Outcome::Late => host.late = Some(call.clone()),
            Outcome::CallLost | Outcome::AnswerLost => {}
        }
        if !matches!(outcome, Outcome::Answered) {
            self.faults += 1;
            host.lease.on_unanswered(now);
            if matches!(outcome, Outcome::AnswerLost) {
                self.store.carry_out(&call);
            }
            return;
        }
        match (self.store.carry_out(&call), call) {
            (Some(Ok(version)), StoreCall::Create(record) | StoreCall::Replace(_, record)) => {
                host.lease.on_written(now, now, version, record);
            }
            (Some(Err(found)), _) => host.lease.on_conflict(now, found),
            (None, _) => host.lease.on_read(now, self.store.record.clone()),
            (Some(Ok(_)), _) => {}
        }
        self.learn_era(number, era);
    }

    /// A host notices a newer era with an answer, before it acts again.
    fn learn_era(&mut self, number: usize, era: u64) {
        let now = self.now;
        let host = &mut self.hosts[number];
        if era > host.era {
            host.era = era;
            host.lease.on_restored(now);
        }
    }

    fn check(&mut self) -> Option<String> {
        let now = self.now;
        let acting: Vec<(usize, u64)> = (0..HOSTS)
            .filter_map(|number| Some((number, self.hosts[number].lease.fence(now)?.0)))
            .collect();
        for (number, fence) in &acting {
            let first = *self.holders.entry(*fence).or_insert(*number);
            if first != *number {
                return Some(format!("token {fence} was used by hosts {first} and {number}"));
            }
            self.record_act(*number);
        }
        if let [.., (a, begun), (b, _), (c, ended)] = self.acts[..]
            && a == c
            && a != b
            && ended.saturating_duration_since(begun) < TIMES.length
        {
            return Some(format!("hosts {a}, {b}, {c} acted within a lease length"));
        }
        let highest = acting.iter().map(|(_, fence)| *fence).max()?;
        for host in &mut self.hosts {
            host.lease.note_fence(wasabi_core::units::Epoch(highest));
        }
        None
    }

    fn record_act(&mut self, number: usize) {
        match self.acts.last_mut() {
            Some((last, at)) if *last == number => *at = self.now,
            _ => self.acts.push((number, self.now)),
        }
        let surplus = self.acts.len().saturating_sub(3);
        self.acts.drain(..surplus);
    }

    /// A digest of all that the future depends on.
    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{self:?}").hash(&mut hasher);
        hasher.finish()
    }
}

/// Takes all interleavings from `world` on, of up to [`STEPS`] steps.
fn explore(world: World) {
    let mut seen: HashSet<u64> = HashSet::new();
    let mut level: Vec<(World, Path)> = vec![(world, None)];
    for _ in 0..STEPS {
        let mut next_level = Vec::new();
        for (world, path) in &level {
            for step in world.steps() {
                let mut next = world.clone();
                let path = Some(Rc::new(Link { step, before: path.clone() }));
                if let Some(problem) = next.take(step) {
                    panic!("{problem} after {:?}", in_order(path));
                }
                if seen.insert(next.digest()) {
                    next_level.push((next, path));
                }
            }
        }
        level = next_level;
        println!("{} states, {} of them new", seen.len(), level.len());
    }
    assert!(seen.len() > 10_000, "only {} states", seen.len());
}

#[test]
fn no_interleaving_gives_two_hosts_a_token_or_makes_them_alternate() {
    explore(World::new(Instant::now(), Scope::Restores));
}

#[test]
fn no_call_of_a_former_holder_arrives_after_one_of_the_next() {
    explore(World::with_holder(Instant::now()));
}
