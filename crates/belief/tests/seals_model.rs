//! Model check of the seals of usage windows: all interleavings of two hosts' steps with changes of the
//! holder, lost calls, lost and late answers, crashes and a restore of the store, up to a number of steps.
//!
//! The lease is taken as given (see `lease_model`): one host at a time holds the duties. A seal that got no
//! answer takes effect, if at all, before another host reads the record.

use std::{
    collections::{BTreeMap, HashSet},
    hash::{DefaultHasher, Hash as _, Hasher as _},
    rc::Rc,
};

use wasabi_belief::{
    counts::Counts,
    seals::{Record, Seals, Step as Next},
};
use wasabi_core::units::{Epoch, Version, Window};

const HOSTS: usize = 2;
const WINDOWS: u64 = 2;
/// The number of steps of the longest interleavings, after the first ones.
const STEPS: usize = 10;
/// Faults of calls, crashes and restores in one interleaving.
const MAX_FAULTS: u32 = 2;
const MIN_STATES: usize = 10_000;

/// How a call ends.
#[derive(Clone, Copy, Debug)]
enum Outcome {
    Answered,
    /// It has no effect, and the host gets no answer.
    CallLost,
    /// It takes effect, and the host gets no answer.
    AnswerLost,
    /// The host gets no answer, and a write takes effect at a later step.
    Late,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// The counts of the next window are settled.
    Settle,
    /// A host takes the duties over.
    TakeOver(usize),
    /// The holder does what comes next.
    Act(Outcome),
    /// The late seal takes effect.
    Land,
    Crash(usize),
    Backup,
    Restore,
    /// A host hears of the era that the other one knows.
    Hear(usize),
}

/// What a host knows of an era: its number, and how many windows were settled when the first host that it
/// has heard of saw it.
type Era = (u64, u64);

#[derive(Clone, Debug, Default)]
struct Host {
    runs: u64,
    seals: Seals,
    era: Option<Era>,
    /// The era of the last answer of the store, which the host takes in before it acts again.
    answered: u64,
}

#[derive(Clone, Debug, Default)]
struct Contents {
    record: Option<(Version, Record)>,
    revision: u64,
}

#[derive(Clone, Debug, Default)]
struct World {
    hosts: [Host; HOSTS],
    holder: Option<usize>,
    fence: u64,
    settled: u64,
    store: Contents,
    backup: Option<Contents>,
    era: u64,
    late: Option<(Option<Version>, Record)>,
    faults: u32,
    /// What the platform was told of each window first.
    reported: BTreeMap<Window, Counts>,
}

/// The steps that led to a world, the last one first.
type Path = Option<Rc<Link>>;

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
    /// Writes the record if it has the expected version; returns the new one.
    fn write(&mut self, expected: Option<Version>, record: &Record) -> Option<Version> {
        if self.record.as_ref().map(|(version, _)| *version) != expected {
            return None;
        }
        self.revision += 1;
        self.record = Some((Version(self.revision), record.clone()));
        Some(Version(self.revision))
    }
}

impl World {
    fn steps(&self) -> Vec<Step> {
        let may_fail = self.faults < MAX_FAULTS;
        let mut steps = Vec::new();
        if self.settled < WINDOWS {
            steps.push(Step::Settle);
        }
        if self.holder.is_some() {
            steps.push(Step::Act(Outcome::Answered));
            if may_fail {
                let failed = [Outcome::CallLost, Outcome::AnswerLost, Outcome::Late];
                steps.extend(failed.map(Step::Act));
            }
        }
        if self.late.is_some() {
            steps.push(Step::Land);
        }
        for host in 0..HOSTS {
            if self.holder != Some(host) {
                steps.push(Step::TakeOver(host));
            }
            if may_fail {
                steps.push(Step::Crash(host));
            }
            if self.hosts[1 - host].era > self.hosts[host].era {
                steps.push(Step::Hear(host));
            }
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
            Step::Settle => self.settled += 1,
            Step::TakeOver(host) => {
                // The former holder may have them again before it notices.
                self.fence += 1;
                self.hosts[host].answered = self.era;
                self.observe(host, (self.era, self.settled));
                // The restore that it notices with the answer does not end the lease that it brings.
                self.holder = Some(host);
            }
            Step::Act(outcome) => return self.act(outcome),
            Step::Land => {
                if let Some((expected, record)) = self.late.take() {
                    self.store.write(expected, &record);
                }
            }
            Step::Crash(host) => {
                self.faults += 1;
                let runs = self.hosts[host].runs + 1;
                // A host hears its peers before it takes the duties.
                let era = self.hosts[1 - host].era;
                let answered = era.map_or(0, |(era, _)| era);
                self.hosts[host] = Host { runs, era, answered, ..Host::default() };
                self.holder = self.holder.filter(|holder| *holder != host);
            }
            Step::Backup => self.backup = Some(self.store.clone()),
            Step::Restore => {
                self.faults += 1;
                self.era += 1;
                self.store = self.backup.clone().unwrap_or_default();
            }
            Step::Hear(host) => {
                if let Some(era) = self.hosts[1 - host].era {
                    self.observe(host, era);
                }
            }
        }
        None
    }

    /// A host takes in an era; the lease of an older one is given up.
    fn observe(&mut self, host: usize, seen: Era) {
        let known = &mut self.hosts[host].era;
        match known {
            None => *known = Some(seen),
            Some((era, since)) if *era == seen.0 => *since = seen.1.min(*since),
            Some((era, _)) if *era < seen.0 => {
                *known = Some(seen);
                self.holder = self.holder.filter(|holder| *holder != host);
            }
            Some(_) => {}
        }
    }

    fn act(&mut self, outcome: Outcome) -> Option<String> {
        let host = self.holder?;
        let answered = self.hosts[host].answered;
        self.observe(host, (answered, self.settled));
        if self.holder != Some(host) {
            self.hosts[host].seals.lose_duties();
            return None;
        }
        let (fence, newest) = (Epoch(self.fence), self.settled.checked_sub(1).map(Window));
        let era = self.hosts[host].era;
        let is_covered = |window: Window| era.is_none_or(|(_, since)| since <= window.0);
        let next = self.hosts[host].seals.next(fence, newest, is_covered);
        let is_answered = matches!(outcome, Outcome::Answered);
        self.faults += u32::from(!is_answered);
        match next {
            Next::Wait => {}
            Next::Skip(window) => self.hosts[host].seals.on_reported(window),
            Next::Read if is_answered => {
                self.late = None;
                self.hosts[host].answered = self.era;
                self.hosts[host].seals.on_read(fence, self.store.record.clone());
            }
            Next::Read => {}
            Next::Seal(window) => {
                let counts = self.counts(host);
                let (expected, record) = self.hosts[host].seals.begin_seal(window, counts);
                match outcome {
                    Outcome::CallLost => {}
                    Outcome::Late => self.late = Some((expected, record)),
                    Outcome::AnswerLost => drop(self.store.write(expected, &record)),
                    Outcome::Answered => {
                        let written = self.store.write(expected, &record);
                        self.hosts[host].answered = self.era;
                        self.observe(host, (self.era, self.settled));
                        if let (Some(version), true) = (written, self.holder == Some(host)) {
                            self.hosts[host].seals.on_sealed(fence, version, record);
                        }
                    }
                }
            }
            Next::Report(window) => {
                let counts = self.hosts[host].seals.counts(window).cloned().unwrap_or_default();
                if !matches!(outcome, Outcome::CallLost | Outcome::Late) {
                    let first = self.reported.entry(window).or_insert_with(|| counts.clone());
                    if *first != counts {
                        return Some(format!("{window:?} reported as {first:?} and {counts:?}"));
                    }
                }
                if is_answered {
                    self.hosts[host].seals.on_reported(window);
                }
            }
        }
        None
    }

    /// The counts that a host has: no other run of a host has the same, nor has this one later.
    fn counts(&self, host: usize) -> Counts {
        let count = host as u64 + 10 * self.hosts[host].runs + 100 * self.settled;
        Counts::from([("w1".parse().expect("a name"), count)])
    }

    /// A digest of all that the future depends on.
    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{self:?}").hash(&mut hasher);
        hasher.finish()
    }
}

#[test]
fn no_interleaving_reports_a_window_with_two_counts() {
    let mut seen: HashSet<u64> = HashSet::new();
    let mut begun = World::default();
    begun.hosts.iter_mut().for_each(|host| host.era = Some((0, 0)));
    for step in [Step::TakeOver(0), Step::Settle, Step::Act(Outcome::Answered)] {
        begun.take(step);
    }
    let mut level: Vec<(World, Path)> = vec![(begun, None)];
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
    assert!(seen.len() > MIN_STATES, "only {} states", seen.len());
}
