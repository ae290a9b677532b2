//! Requests that crash backend servers: what this host and its peers have seen of them, and whether a request
//! may be sent.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Instant};

use hyper::http::request::Parts;
use log::{info, warn};
use tokio::sync::Notify;
use wasabi_answer::{broken::Broken, evidence::SETTLING_TIME};
use wasabi_belief::members;
use wasabi_core::{call::Framing, member::Member};
use wasabi_policy::quarantine::{BrokenRun, Evidence, Feature, Refusal};

use crate::{
    guard::PlacementGuard,
    receive::{admit::Admission, request::AdmittedRequest},
    send::{
        cause,
        identity::{self, Process},
    },
    state::State,
};

/// The most runs that are kept while servers fail, and the most whose servers are asked.
const MAX_UNDECIDED_RUNS: usize = 64;

/// A run that its server broke off, as long as it is not known whether the server has crashed.
#[derive(Debug)]
pub struct SuspectedRun {
    run: BrokenRun,
    member: Member,
}

/// The runs that this host has yet to decide on.
#[derive(Default)]
pub struct SuspectedRuns {
    /// Those that broke off while this host's link is suspected.
    on_suspected_link: RefCell<Vec<SuspectedRun>>,
    /// Those whose servers are to be asked whether they have crashed.
    to_verify: RefCell<Vec<SuspectedRun>>,
    /// Notified when there are more to verify.
    added: Notify,
}

impl SuspectedRuns {
    /// Whether any wait for the verdict on the link.
    pub fn await_link(&self) -> bool {
        !self.on_suspected_link.borrow().is_empty()
    }
}

/// Asks the servers of broken runs whether they have crashed, until the process ends.
pub async fn run(state: Rc<State>) {
    loop {
        state.suspected_runs.added.notified().await;
        tokio::time::sleep(SETTLING_TIME).await;
        let mut by_server: BTreeMap<members::Instance, Vec<SuspectedRun>> = BTreeMap::new();
        for run in std::mem::take(&mut *state.suspected_runs.to_verify.borrow_mut()) {
            by_server.entry(members::instance(&run.member)).or_default().push(run);
        }
        for runs in by_server.into_values() {
            tokio::task::spawn_local(verify(state.clone(), runs));
        }
    }
}

/// Records broken runs of one server as evidence, unless its process has gone on.
async fn verify(state: Rc<State>, runs: Vec<SuspectedRun>) {
    let Some(member) = runs.first().map(|run| run.member.clone()) else { return };
    if identity::ask_process(&state, &member).await == Process::Listed {
        metrics::counter!("wasabi_gateway_survived_breaks_total").increment(runs.len() as u64);
        info!(server = member.id.as_str(), runs = runs.len(); "server that broke off has not crashed");
        return;
    }
    runs.into_iter().for_each(|run| state.quarantine.borrow_mut().record_broken(run.run));
    state.refresh_quarantine();
}

/// Returns what a request has in common with others: the parts of its prompt that others may share, and what
/// stays the same when its caller sends it again. A caller may send prompts in heads whose bodies are
/// all alike, so a request with a prompt is told apart with and without it.
pub fn features(request: &AdmittedRequest) -> Vec<Feature> {
    let service = &request.admission.service;
    let prompt = request.head.prompt.as_ref();
    let shared = prompt.map_or(&[][..], |prompt| prompt.shared_parts());
    let parts = shared.iter().map(|part| Feature::part(service, part.id));
    let exact = prompt.map(|prompt| {
        let ids: Vec<u64> = prompt.parts.iter().map(|part| part.id).collect();
        Feature::request(service, (request.content, ids))
    });
    parts.chain([request.content]).chain(exact).collect()
}

/// Returns what tells a request apart from others and stays the same when its caller sends it again.
pub fn content(admission: &Admission, parts: &Parts, body: &[u8]) -> Feature {
    let target = parts.uri.path_and_query().map(|target| target.as_str());
    let content = (&admission.workspace, parts.method.as_str(), target, body);
    Feature::request(&admission.service, content)
}

/// Whether a send failed with this cause because the server broke off, so that it may have crashed.
fn may_be_crash(cause: &str, framing: Framing) -> bool {
    cause::BROKEN_OFF.contains(&cause) || Broken::is_abrupt(cause, framing)
}

impl State {
    /// Records that the send of a request failed for `cause`, if the server broke it off; `framing` is how
    /// the end of the response was marked, if one came.
    pub fn record_failed_run(
        &self,
        guard: &PlacementGuard,
        features: &[Feature],
        cause: &str,
        framing: Framing,
    ) {
        if !may_be_crash(cause, framing) {
            return;
        }
        let run = BrokenRun {
            id: rand::random(),
            service: guard.placement.member.service.clone(),
            server: guard.placement.member.id.clone(),
            sent: guard.placement.since,
            ended: self.now(),
            features: features.to_vec(),
            controlled: false,
        };
        let run = SuspectedRun { run, member: guard.placement.member.clone() };
        // The run itself may be the first sign of a cut; a second server need not fail for that.
        if self.link.borrow_mut().await_verdict() {
            push_bounded(&self.suspected_runs.on_suspected_link, run);
        } else {
            self.verify_run(run);
        }
    }

    /// Lets a run count as evidence unless its server has not crashed.
    fn verify_run(&self, run: SuspectedRun) {
        push_bounded(&self.suspected_runs.to_verify, run);
        self.suspected_runs.added.notify_one();
    }

    /// Decides on the runs that broke off while servers failed: they are evidence only if it was
    /// not the link.
    pub fn judge_runs_on_suspected_link(&self, link_was_cut: bool) {
        let runs = std::mem::take(&mut *self.suspected_runs.on_suspected_link.borrow_mut());
        if !link_was_cut {
            runs.into_iter().for_each(|run| self.verify_run(run));
        }
    }

    /// Records that a run of a request has ended well, or has generated for long enough.
    pub fn record_sound_run(&self, request: &AdmittedRequest) {
        let service = &request.admission.service;
        self.quarantine.borrow_mut().record_sound(self.now(), service, &request.features);
        self.refresh_quarantine();
    }

    /// Merges what a peer has seen; `earliest_send` bounds the age of its message.
    pub fn merge_evidence(&self, evidence: Evidence, earliest_send: Option<Instant>) {
        self.quarantine.borrow_mut().merge(self.now(), evidence, earliest_send);
        self.refresh_quarantine();
    }

    /// Returns why a request with these features may not be sent, if it may not.
    pub fn check_quarantine(&self, features: &[Feature]) -> Option<Refusal> {
        self.refresh_quarantine();
        self.quarantine.borrow().check(self.now(), features)
    }

    /// Puts new crashes down to features, and logs what is quarantined from now on.
    fn refresh_quarantine(&self) {
        let now = self.now();
        for change in self.quarantine.borrow_mut().refresh(now) {
            let features = change.features.to_string();
            let features = features.as_str();
            match change.quarantine {
                Some(quarantine) => {
                    warn!(features = features, crashes = quarantine.crashes,
                        last_ms = quarantine.age(now).as_millis() as u64;
                        "requests that crash servers quarantined");
                    metrics::counter!("wasabi_gateway_quarantines_total").increment(1);
                }
                None => info!(features = features; "quarantine ended"),
            }
        }
    }
}

/// Drops a run above the limit: there are enough others then.
fn push_bounded(runs: &RefCell<Vec<SuspectedRun>>, run: SuspectedRun) {
    let mut runs = runs.borrow_mut();
    if runs.len() < MAX_UNDECIDED_RUNS {
        runs.push(run);
    }
}
