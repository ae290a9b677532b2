//! Model tests of leases, the release log, claims and usage windows: generated schedules with fixed
//! seeds over a store that loses, delays and refuses calls.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use parking_lot::Mutex;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use serde_json::json;
use wasabi_config::{log, log_key, parse, state::State};
use wasabi_core::{
    errors::{Code, Ran, Result},
    io::{Billing, Report, Store, UsageTotals},
    time::{Clock, Manual},
    units::{Epoch, Incarnation, Tokens, WorkspaceId},
};
use wasabi_lease::{
    failure_detector::{FailureDetector, NeverDetects, Process},
    holder::{Lease, Options},
};
use wasabi_once::{
    claims::{Claim, ClaimResult, Claims},
    record::StoredResponse,
};
use wasabi_standin::faulty_store::{CallResult, FaultyStore};
use wasabi_usage::{counter::Counter, flush::Flusher, window::Reporter};

const ACTORS: usize = 3;
const TESTS_PER_PROPERTY: u64 = 400;

/// One step of one actor.
#[derive(Clone, Debug)]
struct Step {
    actor: usize,
    /// Which action is taken; each property maps the numbers to its own actions.
    action: u8,
    /// The argument of the action, if it takes one.
    number: u8,
    /// How the next store calls end.
    results: [CallResult; 3],
}

impl Arbitrary for Step {
    fn arbitrary(source: &mut Gen) -> Self {
        let result = |source: &mut Gen| match u8::arbitrary(source) % 12 {
            0 => CallResult::ResponseLost,
            1 => CallResult::RequestLost,
            2 => CallResult::Busy,
            3 => CallResult::Delayed,
            _ => CallResult::Success,
        };
        Self {
            actor: usize::arbitrary(source) % ACTORS,
            action: u8::arbitrary(source) % 8,
            number: u8::arbitrary(source),
            results: [result(source), result(source), result(source)],
        }
    }
}

fn run_property(seed: u64, property: fn(Vec<Step>) -> TestResult) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(150, seed))
        .tests(TESTS_PER_PROPERTY)
        .quickcheck(property);
}

fn test_result(violation: Option<String>) -> TestResult {
    violation.map_or_else(TestResult::passed, TestResult::error)
}

fn process(actor: usize) -> Process {
    let incarnation: Incarnation = format!("host-{actor}:1").parse().expect("a name");
    Process { incarnation, peer: "127.0.0.1:1".parse().expect("an address") }
}

/// A failure detector for which the processes in `gone` are gone.
#[derive(Default)]
struct FakeFailureDetector {
    gone: Mutex<BTreeSet<Incarnation>>,
}

impl FailureDetector for FakeFailureDetector {
    fn has_ended(&self, process: &Process) -> bool {
        self.gone.lock().contains(&process.incarnation)
    }
}

/// Returns by how much an actor's clock advances in `ms`; their rates are 95 to 105 percent.
fn local_advance(actor: usize, ms: u64) -> Duration {
    Duration::from_millis(ms * [100, 95, 105][actor] / 100)
}

fn lease_property(steps: Vec<Step>) -> TestResult {
    let store = Arc::new(FaultyStore::default());
    let clocks: Vec<Arc<Manual>> = (0..ACTORS).map(|_| Arc::default()).collect();
    let lease = |actor: usize| {
        let role = "role".parse().expect("a name");
        let clock: Arc<dyn Clock> = clocks[actor].clone();
        let store: Arc<dyn Store> = store.clone();
        Lease::new(store, clock, Arc::new(NeverDetects), role, process(actor), Options::default())
    };
    let leases: Vec<Lease> = (0..ACTORS).map(lease).collect();
    let mut epochs: BTreeMap<Epoch, usize> = BTreeMap::new();
    for step in steps {
        match step.action {
            0..5 => {
                store.prescribe(step.results);
                let _ = leases[step.actor].step();
                store.prescribe([]);
            }
            5 => store.apply_delayed_writes(),
            _ => {
                let ms = u64::from(step.number) * 20;
                clocks
                    .iter()
                    .enumerate()
                    .for_each(|(i, clock)| clock.advance(local_advance(i, ms)));
            }
        }
        let holders: Vec<usize> = (0..ACTORS).filter(|i| leases[*i].epoch().is_some()).collect();
        if holders.len() > 1 {
            return test_result(Some(format!("{holders:?} hold the lease at once")));
        }
        for holder in holders {
            let epoch = leases[holder].epoch().unwrap_or_default();
            if *epochs.entry(epoch).or_insert(holder) != holder {
                return test_result(Some(format!("epoch {epoch} has two holders")));
            }
        }
    }
    test_result(None)
}

#[test]
fn a_lease_has_one_holder_whatever_is_lost() {
    run_property(21, lease_property);
}

/// Operators apply a few notes again and again; each note is in the log at most once, and each one
/// reported as accepted is there under its revision.
fn note_property(steps: Vec<Step>) -> TestResult {
    let store = FaultyStore::default();
    let mut states: Vec<State> = vec![State::default(); ACTORS];
    for (i, step) in steps.iter().enumerate() {
        let id = step.number % 12;
        let note = json!({"id": format!("n{id}"), "base": 0,
            "added": {"workspaces": [{"name": format!("w{}", id / 2)}]}});
        let note = parse::note(&note.to_string()).expect("the note is valid");
        store.prescribe(step.results);
        let state = &mut states[step.actor];
        let accepted = log::accept_from(&store, state, &note, &format!("t{i}"), 0);
        store.prescribe([]);
        if step.action == 0 {
            store.apply_delayed_writes();
        }
        let Ok(receipt) = accepted else { continue };
        let entry = store.objects.get(&log_key::key(receipt.revision));
        let found = entry.and_then(|object| log::entry(&object).ok());
        if found.is_none_or(|entry| entry.note != note) {
            return test_result(Some(format!("{} is not revision {}", note.id, receipt.revision)));
        }
    }
    store.apply_delayed_writes();
    let history = store.objects.history(log_key::PREFIX);
    let entries = history.iter().filter_map(|object| log::entry(object).ok());
    let mut ids = BTreeSet::new();
    let mut names = BTreeSet::new();
    for entry in entries {
        if !ids.insert(entry.note.id.clone()) {
            return test_result(Some(format!("{} is in the log twice", entry.note.id)));
        }
        if !names.insert(entry.note.added.workspaces[0].name.clone()) {
            return test_result(Some(format!("{} was added twice", entry.note.id)));
        }
    }
    match log::load(&store) {
        Ok(state) if state.revision.0 as usize == history.len() => test_result(None),
        other => test_result(Some(format!("the log does not load: {:?}", other.err()))),
    }
}

#[test]
fn a_note_is_accepted_once_whatever_is_lost() {
    run_property(22, note_property);
}

/// Hosts attempt one call again and again; it is executed at most once, and what callers are told
/// about it is true.
fn claim_property(steps: Vec<Step>) -> TestResult {
    let store = Arc::new(FaultyStore::default());
    let failure_detector = Arc::new(FakeFailureDetector::default());
    let clock: Arc<dyn Clock> = Arc::new(Manual::default());
    let claims_of = |actor: usize| {
        let store: Arc<dyn Store> = store.clone();
        Claims::new(store, clock.clone(), failure_detector.clone(), process(actor))
    };
    let hosts: Vec<Claims> = (0..ACTORS).map(claims_of).collect();
    let mut held: Vec<Option<Claim>> = (0..ACTORS).map(|_| None).collect();
    let mut dead = [false; ACTORS];
    let workspace: WorkspaceId = "lab".parse().expect("a name");
    let mut executions = 0;
    for step in steps {
        let actor = step.actor;
        if dead[actor] {
            continue;
        }
        store.prescribe(step.results);
        match (step.action, held[actor].take()) {
            (0 | 1, Some(claim)) => {
                executions += 1;
                hosts[actor].record_ran(claim, StoredResponse::new(200, None, b"done"));
            }
            (2, Some(claim)) => hosts[actor].record_not_run(claim),
            (3, Some(claim)) => {
                executions += 1;
                hosts[actor].record_unknown(claim);
            }
            (4, _) if step.number < 40 && dead.iter().filter(|dead| **dead).count() < 2 => {
                dead[actor] = true;
                failure_detector.gone.lock().insert(process(actor).incarnation);
            }
            (5, claim) => {
                held[actor] = claim;
                let _ = hosts[actor].step();
                store.apply_delayed_writes();
            }
            (_, Some(claim)) => held[actor] = Some(claim),
            (_, None) => match hosts[actor].claim(&workspace, "key", b"request") {
                Ok(ClaimResult::Run(claim)) => held[actor] = Some(claim),
                Ok(ClaimResult::Stored(_)) if executions == 0 => {
                    return test_result(Some(
                        "an answer was stored for a call that never ran".to_string(),
                    ));
                }
                Err(e) if e.ran == Ran::Yes && executions == 0 => {
                    return test_result(Some(format!(
                        "{e} was returned for a call that never ran"
                    )));
                }
                Err(e) if e.ran == Ran::No && e.code == Code::OnceRunning => {
                    return test_result(Some(format!(
                        "{e} was returned as not run while the call may have run"
                    )));
                }
                _ => {}
            },
        }
        store.prescribe([]);
        if executions > 1 {
            return test_result(Some(format!("the call ran {executions} times")));
        }
        let claims = held.iter().zip(dead).filter(|(claim, dead)| claim.is_some() && !dead).count();
        if claims > 1 {
            return test_result(Some("two hosts hold a claim".to_string()));
        }
    }
    test_result(None)
}

#[test]
fn a_call_runs_at_most_once_whatever_is_lost() {
    run_property(23, claim_property);
}

/// A usage interface that accepts all reports and loses answers while `lose` is set.
#[derive(Default)]
struct FakeBilling {
    reports: Mutex<Vec<Report>>,
    lose: Mutex<bool>,
}

impl Billing for FakeBilling {
    fn report(&self, report: &Report) -> Result<()> {
        self.reports.lock().push(report.clone());
        match *self.lose.lock() {
            true => Err(wasabi_core::errors::unavailable("the answer is lost")),
            false => Ok(()),
        }
    }
}

fn usage_property(steps: Vec<Step>) -> TestResult {
    let store = Arc::new(FaultyStore::default());
    let clock: Arc<Manual> = Arc::default();
    let billing = Arc::new(FakeBilling::default());
    let length = Duration::from_secs(1);
    clock.advance(Duration::from_secs(100));
    let counters: Vec<Arc<Counter>> = (0..ACTORS).map(|_| Arc::default()).collect();
    let flusher = |actor: usize| {
        let counter = counters[actor].clone();
        Flusher::new(store.clone(), clock.clone(), counter, process(actor).incarnation)
    };
    let reporter = |actor: usize| {
        let failure_detector = Arc::new(NeverDetects);
        Reporter::new(
            store.clone(),
            clock.clone(),
            billing.clone(),
            failure_detector,
            process(actor),
            length,
        )
    };
    let flushers: Vec<Flusher> = (0..ACTORS).map(flusher).collect();
    let reporters: Vec<Reporter> = (0..ACTORS).map(reporter).collect();
    let workspace: WorkspaceId = "lab".parse().expect("a name");
    let mut counted_tokens = 0;
    for step in steps {
        let actor = step.actor;
        store.prescribe(step.results);
        *billing.lose.lock() = step.number % 5 == 0;
        match step.action {
            0 | 1 => {
                counted_tokens += u64::from(step.number);
                let completion = Tokens(u64::from(step.number));
                counters[actor]
                    .add(&workspace, &UsageTotals { completion, ..UsageTotals::default() });
            }
            2 | 3 => drop(flushers[actor].flush()),
            4 => drop(reporters[actor].seal()),
            5 => drop(reporters[actor].send()),
            6 => store.apply_delayed_writes(),
            _ => clock.advance(Duration::from_millis(u64::from(step.number) * 10)),
        }
        store.prescribe([]);
    }
    *billing.lose.lock() = false;
    store.apply_delayed_writes();
    for _ in 0..2 {
        clock.advance(2 * length);
        flushers.iter().for_each(|flusher| flusher.flush().expect("the store has no faults"));
        reporters[0].seal().expect("the store has no faults");
        reporters.iter().for_each(|reporter| reporter.send().expect("the store has no faults"));
    }
    test_result(usage_violation(&billing.reports.lock(), counted_tokens))
}

fn usage_violation(reports: &[Report], counted_tokens: u64) -> Option<String> {
    let mut windows: BTreeMap<u64, &Report> = BTreeMap::new();
    for report in reports {
        let first = windows.entry(report.window.0).or_insert(report);
        if first.lines != report.lines || first.reporter != report.reporter {
            return Some(format!(
                "window {} was reported with different lines or by two hosts",
                report.window
            ));
        }
    }
    let lines = windows.values().flat_map(|report| &report.lines);
    let sum: u64 = lines.map(|line| line.figures.completion.0).sum();
    (sum != counted_tokens).then(|| format!("{sum} tokens were reported of {counted_tokens}"))
}

#[test]
fn usage_adds_up_whatever_is_lost() {
    run_property(24, usage_property);
}
