//! Model check of claims: all interleavings of two hosts that are sent the same call, with lost and late
//! calls of the store, lost answers and crashes, up to a number of steps.
//!
//! The product's own store has no restores, so the check has none.

use std::{collections::BTreeSet, sync::Arc};

use parking_lot::Mutex;
use wasabi_core::{
    errors::{Code, Ran},
    io::Store,
    time::{Clock, Manual},
    units::{Incarnation, WorkspaceId},
};
use wasabi_lease::failure_detector::{FailureDetector, Process};
use wasabi_once::{
    claims::{Claim, ClaimResult, Claims},
    record::StoredResponse,
};
use wasabi_standin::faulty_store::{CallResult, FaultyStore};

const HOSTS: usize = 2;
/// The number of steps of the longest interleavings.
const STEPS: usize = 5;
/// Faulty steps and crashes in one interleaving.
const MAX_FAULTS: usize = 2;
const MIN_INTERLEAVINGS: usize = 50_000;

/// How the first calls of the store in a step end; the others succeed.
const RESULTS: [&[CallResult]; 5] = [
    &[CallResult::ResponseLost],
    &[CallResult::ResponseLost, CallResult::RequestLost],
    &[CallResult::RequestLost],
    &[CallResult::Delayed],
    &[CallResult::Delayed, CallResult::RequestLost],
];

#[derive(Clone, Copy, Debug)]
enum Step {
    Claim(usize, &'static [CallResult]),
    /// The call is sent to a backend server, which runs it.
    Send(usize),
    RecordRan(usize, &'static [CallResult]),
    RecordNotRun(usize, &'static [CallResult]),
    RecordUnknown(usize, &'static [CallResult]),
    /// The host writes what it could not write before.
    Repeat(usize),
    Crash(usize),
    /// The other host learns that a host has crashed.
    Detect(usize),
    /// Late writes take effect.
    Land,
}

/// A failure detector for which the processes in it are gone.
#[derive(Default)]
struct Gone(Mutex<BTreeSet<Incarnation>>);

impl FailureDetector for Gone {
    fn has_ended(&self, process: &Process) -> bool {
        self.0.lock().contains(&process.incarnation)
    }
}

struct Host {
    claims: Claims,
    held: Option<Claim>,
    has_sent: bool,
    is_dead: bool,
}

struct World {
    store: Arc<FaultyStore>,
    gone: Arc<Gone>,
    hosts: Vec<Host>,
    runs: usize,
    has_late_writes: bool,
    /// Whether a host has something to write again.
    repeats: bool,
}

fn process(host: usize) -> Process {
    let incarnation: Incarnation = format!("host-{host}:1").parse().expect("a name");
    Process { incarnation, peer: "127.0.0.1:1".parse().expect("an address") }
}

impl World {
    fn new() -> Self {
        let (store, gone) = (Arc::new(FaultyStore::default()), Arc::new(Gone::default()));
        let clock: Arc<dyn Clock> = Arc::new(Manual::default());
        let host = |number| {
            let store: Arc<dyn Store> = store.clone();
            let claims = Claims::new(store, clock.clone(), gone.clone(), process(number));
            Host { claims, held: None, has_sent: false, is_dead: false }
        };
        let hosts = (0..HOSTS).map(host).collect();
        Self { store, gone, hosts, runs: 0, has_late_writes: false, repeats: false }
    }

    /// The steps that are possible now, of which those with faults only if `may_fail`.
    fn steps(&self, may_fail: bool) -> Vec<Step> {
        let results = || {
            let faulty = RESULTS.into_iter().filter(move |_| may_fail);
            std::iter::once(&[][..]).chain(faulty)
        };
        let mut steps = Vec::new();
        for (number, host) in self.hosts.iter().enumerate() {
            if host.is_dead {
                let is_gone = self.gone.has_ended(&process(number));
                steps.extend((!is_gone).then_some(Step::Detect(number)));
                continue;
            }
            // Another caller may be at the same host.
            steps.push(Step::Claim(number, &[]));
            match (&host.held, host.has_sent) {
                (None, _) => steps.extend(results().skip(1).map(|r| Step::Claim(number, r))),
                (Some(_), false) => {
                    steps.push(Step::Send(number));
                    steps.extend(results().map(|r| Step::RecordNotRun(number, r)));
                }
                (Some(_), true) => {
                    steps.extend(results().map(|r| Step::RecordRan(number, r)));
                    steps.extend(results().map(|r| Step::RecordUnknown(number, r)));
                }
            }
            if self.repeats {
                steps.push(Step::Repeat(number));
            }
            if may_fail {
                steps.push(Step::Crash(number));
            }
        }
        if self.has_late_writes {
            steps.push(Step::Land);
        }
        steps
    }

    /// Takes a step; returns what is wrong after it.
    fn take(&mut self, step: Step) -> Option<String> {
        if let Step::Claim(_, results)
        | Step::RecordRan(_, results)
        | Step::RecordNotRun(_, results)
        | Step::RecordUnknown(_, results) = step
        {
            self.store.prescribe(results.iter().copied());
            self.has_late_writes |= results.contains(&CallResult::Delayed);
            self.repeats |= !results.is_empty();
        }
        let problem = match step {
            Step::Claim(host, _) => self.claim(host),
            Step::Send(host) => {
                self.hosts[host].has_sent = true;
                self.runs += 1;
                None
            }
            Step::RecordRan(host, _) => {
                let (claims, claim) = self.end(host)?;
                claims.record_ran(claim, StoredResponse::new(200, None, b"done"));
                None
            }
            Step::RecordNotRun(host, _) => {
                let (claims, claim) = self.end(host)?;
                claims.record_not_run(claim);
                None
            }
            Step::RecordUnknown(host, _) => {
                let (claims, claim) = self.end(host)?;
                claims.record_unknown(claim);
                None
            }
            Step::Repeat(host) => {
                // What it cannot write now it keeps.
                let _ = self.hosts[host].claims.step();
                None
            }
            Step::Crash(host) => {
                self.hosts[host].is_dead = true;
                None
            }
            Step::Detect(host) => {
                self.gone.0.lock().insert(process(host).incarnation);
                None
            }
            Step::Land => {
                self.store.apply_delayed_writes();
                self.has_late_writes = false;
                None
            }
        };
        self.store.prescribe([]);
        let holders = self.hosts.iter().filter(|host| host.held.is_some() && !host.is_dead).count();
        match (self.runs, holders) {
            (2.., _) => Some(format!("the call ran {} times", self.runs)),
            (_, 2..) => Some("two hosts hold a claim".to_string()),
            _ => problem,
        }
    }

    fn claim(&mut self, number: usize) -> Option<String> {
        let workspace: WorkspaceId = "lab".parse().expect("a name");
        let host = &mut self.hosts[number];
        match host.claims.claim(&workspace, "key", b"request") {
            Ok(ClaimResult::Run(_)) if self.runs > 0 || host.held.is_some() => {
                Some("a call that runs, or may have run, was claimed again".to_string())
            }
            Ok(ClaimResult::Run(claim)) => {
                (host.held, host.has_sent) = (Some(claim), false);
                None
            }
            Ok(ClaimResult::Stored(_)) if self.runs == 0 => {
                Some("an answer was stored for a call that never ran".to_string())
            }
            Err(e) if e.ran == Ran::Yes && self.runs == 0 => {
                Some(format!("{e} was returned for a call that never ran"))
            }
            Err(e) if e.ran == Ran::No && e.code != Code::OnceUnavailable => {
                Some(format!("{e} was returned as not run"))
            }
            _ => None,
        }
    }

    /// Takes the claim that a host holds.
    fn end(&mut self, host: usize) -> Option<(&Claims, Claim)> {
        let host = &mut self.hosts[host];
        host.has_sent = false;
        Some((&host.claims, host.held.take()?))
    }
}

/// Whether a step is a fault.
fn is_fault(step: &Step) -> bool {
    match step {
        Step::Claim(_, results)
        | Step::RecordRan(_, results)
        | Step::RecordNotRun(_, results)
        | Step::RecordUnknown(_, results) => !results.is_empty(),
        Step::Crash(_) => true,
        _ => false,
    }
}

/// Takes all interleavings that begin with `path`; returns how many there are.
fn explore(path: &mut Vec<Step>) -> usize {
    let mut world = World::new();
    for (number, step) in path.iter().enumerate() {
        if let Some(problem) = world.take(*step) {
            panic!("{problem} after {:?}", &path[..=number]);
        }
    }
    if path.len() == STEPS {
        return 1;
    }
    let faults = path.iter().filter(|step| is_fault(step)).count();
    let mut interleavings = 1;
    for step in world.steps(faults < MAX_FAULTS) {
        path.push(step);
        interleavings += explore(path);
        path.pop();
    }
    interleavings
}

#[test]
fn no_interleaving_runs_a_call_twice_or_tells_an_untruth() {
    // The hosts are alike, so the first one begins.
    let first = World::new().steps(true).into_iter();
    let first = first.filter(|step| matches!(step, Step::Claim(0, _)));
    let explored = first.map(|step| explore(&mut vec![step])).sum::<usize>();
    println!("{explored} interleavings");
    assert!(explored > MIN_INTERLEAVINGS, "only {explored} interleavings");
}
