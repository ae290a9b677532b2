//! The guarantees, checked by what callers, servers and the platform saw.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{NEW_ENGINES, Run, calls::SentRequest};
use crate::caller::Response;

/// A request must not run if it was sent longer than this after the withdrawal of its key.
const KEY_WITHDRAWAL_LIMIT: Duration = Duration::from_secs(5);

impl Run {
    /// Checks the guarantees and records what violates them.
    pub(super) fn check_guarantees(&mut self, sent_requests: &[SentRequest]) {
        let arrivals: Vec<_> =
            self.rig.servers.iter().flat_map(|(server, _)| server.arrivals()).collect();
        let mut run_counts: BTreeMap<&str, usize> = BTreeMap::new();
        for arrival in arrivals.iter().filter(|arrival| arrival.ran) {
            *run_counts.entry(arrival.id.as_str()).or_default() += 1;
        }
        let mut violations = Vec::new();
        let health_checks = self.rig.servers.iter().flat_map(|(server, _)| server.health_checks());
        if health_checks.into_iter().any(|headers| headers.contains_key("authorization")) {
            violations.push("a health check carried an API key".to_string());
        }
        for arrival in &arrivals {
            let workspace = arrival.headers.get("tenant").map(|value| value.as_bytes());
            if workspace != Some(b"w1") || arrival.headers.contains_key("authorization") {
                violations.push(format!(
                    "request {} reached a server for another workspace or with an API key",
                    arrival.id
                ));
            }
        }
        let mut served = 0;
        for request in sent_requests {
            let runs = run_counts.get(request.id.as_str()).copied().unwrap_or(0);
            let at_most_once = matches!(request.path, "/write/x" | "/long/x");
            if at_most_once && runs > 1 {
                violations.push(format!("request {} ran {runs} times", request.id));
            }
            let withdrawn = self.withdrawn.get(&request.key);
            if runs > 0 && withdrawn.is_some_and(|at| request.sent > *at + KEY_WITHDRAWAL_LIMIT) {
                violations
                    .push(format!("request {} ran with withdrawn key {}", request.id, request.key));
            }
            let Some(response) = &request.response else { continue };
            if at_most_once && matches!(response.status, 408 | 421 | 429 | 503) && runs > 0 {
                violations.push(format!(
                    "request {} ran, but its response says that it did not",
                    request.id
                ));
            }
            if response.status == 200 {
                served += usize::from(response.complete);
                violations.extend(response_problem(request, response));
                violations.extend(version_problem(request, response));
            }
        }
        for (window, bodies) in self.rig.duties.reports() {
            if bodies.windows(2).any(|pair| pair[0] != pair[1]) {
                violations
                    .push(format!("usage window {window} was reported with different counts"));
            }
        }
        let calls = self.rig.duties.calls();
        for call in &calls {
            if calls.iter().any(|other| other.token == call.token && other.holder != call.holder) {
                violations.push(format!("fencing token {} was used by two hosts", call.token));
            }
            if self.unfenced && call.overtaken {
                violations.push(format!("a call with token {} arrived late", call.token));
            }
        }
        self.outcome.requests = (sent_requests.len(), served);
        self.outcome.violations.extend(violations);
    }
}

/// Returns what is wrong if a stream has events of engines of two versions, within its answer or with
/// that of the request that took it up.
fn version_problem(request: &SentRequest, response: &Response) -> Option<String> {
    let taken_up = request.taken_up.as_ref().filter(|response| response.status == 200);
    let bodies = [Some(response), taken_up].into_iter().flatten().map(|response| &response.body);
    let engines: BTreeSet<&str> = bodies
        .flat_map(|body| body.lines())
        .filter_map(|line| Some(line.strip_prefix("data: ")?.rsplit_once(" of ")?.1))
        .collect();
    let is_new = |engine: &&str| NEW_ENGINES.iter().any(|(id, _)| id == engine);
    let new = engines.iter().filter(|engine| is_new(engine)).count();
    (new > 0 && new < engines.len())
        .then(|| format!("stream {} has events of both versions: {engines:?}", request.id))
}

/// Returns what is wrong with a response of status 200, if anything.
fn response_problem(request: &SentRequest, response: &Response) -> Option<String> {
    let id = &request.id;
    if !response.headers.contains_key("response-signature") {
        return Some(format!("request {id} got status 200 without a signature"));
    }
    if matches!(request.path, "/read/x" | "/write/x") {
        let own = !response.complete || response.body.ends_with(&format!(" to {id}"));
        return (!own).then(|| format!("request {id} got an unexpected body: {:?}", response.body));
    }
    let events = response.event_ids();
    let in_order = events.iter().copied().eq(1..=events.len() as u64);
    let whole = !response.complete || events.len() == 10;
    (!in_order || !whole)
        .then(|| format!("request {id} got events {events:?}, complete: {}", response.complete))
}
