//! Applies `policy::overload` to the first placement of streams.

use std::time::{Duration, Instant};

use log::info;
use rand::Rng as _;
use wasabi_policy::{
    balancer::{Balancer, Placement},
    overload::{Control, Limit, Request},
};

use crate::{receive::request::AdmittedRequest, send::history::SendHistory, state::State};

/// Returns the longest queue that a request accepts. Repeated sends are held to none, nor are streams
/// that callers take up: engines have already worked for them.
pub fn limit(
    state: &State,
    now: Instant,
    inbound: &AdmittedRequest,
    history: &SendHistory,
) -> Limit {
    let request = request(state, inbound, history).filter(|_| !inbound.continues());
    let Some(request) = request else { return Limit::NONE };
    with_control(state, now, inbound, |control| control.limit(now, &request))
}

/// Records that `balancer` placed a request.
pub fn record_placed(
    state: &State,
    now: Instant,
    inbound: &AdmittedRequest,
    history: &SendHistory,
    placement: &Placement,
    balancer: &Balancer,
) {
    let Some(request) = request(state, inbound, history) else { return };
    with_control(state, now, inbound, |control| {
        control.record_placed(now, &request, placement, balancer);
    });
}

/// Records and logs that no server takes a request in time, and returns when its caller should return;
/// `None` if it is not subject to sharing. `expected` is the least expected wait, `time_left` the
/// caller's remaining time.
pub fn refuse(
    state: &State,
    now: Instant,
    inbound: &AdmittedRequest,
    history: &SendHistory,
    limit: &Limit,
    (expected, time_left): (Duration, Duration),
) -> Option<Duration> {
    let request = request(state, inbound, history)?;
    let admission = &inbound.admission;
    let times = (time_left, admission.route.timeout);
    let offer = with_control(state, now, inbound, |control| {
        control.refuse(now, &request, limit, expected, times, rand::rng().random())
    });
    let service = admission.service.as_str();
    let reason = match limit {
        limit if limit.due.is_some() => "early",
        limit if limit.is_over_share() => "share",
        _ => "time",
    };
    metrics::counter!("wasabi_gateway_return_times_total", "service" => service.to_string(),
        "reason" => reason, "promised" => offer.promised.to_string())
    .increment(1);
    let early_ms = limit.due.map(|due| due.saturating_duration_since(now).as_millis() as u64);
    info!(target: wasabi_logs::REQUEST_TARGET, request = inbound.head.id.as_str(),
        service = service, reason = reason, urgency = request.urgency, returns = request.is_return,
        expected_ms = expected.as_millis() as u64, patience_ms = request.max_wait.as_millis() as u64,
        max_queue_ms = max_queue_ms(limit), excess = limit.excess, yields = limit.promised,
        early_ms = early_ms, left_ms = time_left.as_millis() as u64,
        return_ms = offer.wait.as_millis() as u64, promised = offer.promised; "no room in time");
    Some(offer.wait)
}

/// Returns the longest queue for logs, in milliseconds; `None` if there is no limit.
pub fn max_queue_ms(limit: &Limit) -> Option<u64> {
    (limit.max_queue < Duration::MAX).then_some(limit.max_queue.as_millis() as u64)
}

/// Returns what decisions on the first placement of a stream depend on; `None` for other requests
/// and placements, and unless the settings ask for it.
fn request<'a>(
    state: &State,
    inbound: &'a AdmittedRequest,
    history: &SendHistory,
) -> Option<Request<'a>> {
    if !state.settings.borrow().share_capacity {
        return None;
    }
    let admission = &inbound.admission;
    let is_first = history.placements == 0 && history.possible_runs == 0;
    let prompt = inbound.head.prompt.as_ref();
    let prompt = prompt.filter(|_| is_first && admission.route.kind.is_stream())?;
    Some(Request {
        workspace: admission.workspace.as_ref(),
        prompt: Some(prompt),
        urgency: admission.urgency,
        is_return: inbound.is_return,
        first_wait: inbound.first_wait,
        max_wait: inbound.max_wait,
    })
}

fn with_control<T>(
    state: &State,
    now: Instant,
    inbound: &AdmittedRequest,
    action: impl FnOnce(&mut Control) -> T,
) -> T {
    let mut controls = state.overload.borrow_mut();
    let service = inbound.admission.service.clone();
    action(controls.entry(service).or_insert_with(|| Control::new(now)))
}
