//! Log lines and metrics of the ends of requests and sends.

use std::time::Instant;

use hyper::StatusCode;
use log::info;
use wasabi_core::{
    call::Framing,
    errors::{Error, Ran},
};
use wasabi_policy::quarantine::Feature;

use crate::{
    guard::PlacementGuard,
    receive::{admit::Admission, request::AdmittedRequest},
    state::State,
};

/// What was received of a response body by the time it ended.
#[derive(Default)]
pub struct Received {
    /// How its end was marked.
    pub framing: Framing,
    /// Bytes of the body; of a stream, those of this server's part.
    pub bytes: u64,
    /// Events of the whole stream that were passed on.
    pub events: u64,
    /// The id of the last event that the caller has; 0 if none had one.
    pub last_event: u64,
    /// Bytes after the last complete event.
    pub partial_bytes: usize,
}

/// Logs and counts the end of a send that got a response; the request may be sent again after a
/// 5xx.
pub fn log_completed(
    state: &State,
    inbound: &AdmittedRequest,
    guard: &PlacementGuard,
    outcome: &'static str,
    status: StatusCode,
    received: &Received,
) {
    let admission = &inbound.admission;
    let took = state.now().saturating_duration_since(inbound.arrived);
    let rank = admission.rank.to_string();
    metrics::counter!("wasabi_gateway_requests_total", "rank" => rank.clone(), "outcome" => outcome)
        .increment(1);
    metrics::histogram!("wasabi_gateway_request_seconds", "rank" => rank)
        .record(took.as_secs_f64());
    metrics::counter!("wasabi_gateway_response_ends_total", "outcome" => outcome,
        "framing" => received.framing.name())
    .increment(1);
    info!(target: wasabi_logs::REQUEST_TARGET, request = inbound.head.id.as_str(),
        route = admission.route.name.as_str(), server = guard.placement.member.id.as_str(),
        rank = admission.rank, status = status.as_u16(), took_ms = took.as_millis() as u64,
        framing = received.framing.name(), bytes = received.bytes, events = received.events,
        last_event = received.last_event, partial_bytes = received.partial_bytes; "{outcome}");
}

/// Logs and counts a failed send; `ran` says whether the server ran the request, `received` what
/// arrived of a stream that broke off. The line names the parts of the prompt that other requests may
/// share, so that it shows what requests that failed together have in common, the features by which
/// quarantine tells requests apart, and what shows that two requests are the same one.
pub fn log_failed_send(
    state: &State,
    inbound: &AdmittedRequest,
    guard: &PlacementGuard,
    ran: &'static str,
    cause: &'static str,
    received: Option<&Received>,
) {
    let since_placed = state.now().saturating_duration_since(guard.placement.since);
    metrics::counter!("wasabi_gateway_failed_sends_total", "ran" => ran, "cause" => cause,
        "service" => inbound.admission.service.to_string())
    .increment(1);
    let parts = inbound.head.prompt.as_ref().map(|prompt| prompt.shared_parts());
    let parts: Vec<String> =
        parts.into_iter().flatten().map(|part| format!("{:x}", part.id)).collect();
    let features: Vec<String> = inbound.features.iter().map(Feature::to_string).collect();
    info!(target: wasabi_logs::REQUEST_TARGET, request = inbound.head.id.as_str(),
        server = guard.placement.member.id.as_str(), ran = ran, cause = cause,
        after_ms = since_placed.as_millis() as u64,
        framing = received.map_or("", |received| received.framing.name()),
        events = received.map_or(0, |received| received.events),
        partial_bytes = received.map_or(0, |received| received.partial_bytes),
        parts = parts.join(",").as_str(), features = features.join(",").as_str(),
        content = inbound.content.to_string().as_str(); "send failed");
}

/// Logs and counts a request that the gateway ends with an error, or a stream that it cannot
/// resume.
///
/// The message "refused" is also that of requests that were sent and timed out.
pub fn log_gateway_error(
    state: &State,
    id: &str,
    admission: Option<&Admission>,
    arrived: Instant,
    error: &Error,
) {
    let took = state.now().saturating_duration_since(arrived);
    let proof_age_ms = state.config().map_or(0, |(_, age)| age.as_millis() as u64);
    let number = error.code.number();
    let rank = admission.map_or_else(|| "none".to_string(), |admission| admission.rank.to_string());
    metrics::counter!("wasabi_gateway_refusals_total", "rank" => rank, "code" => number.to_string())
        .increment(1);
    let ran = match error.ran {
        Ran::No => "not run",
        Ran::Yes => "ran",
        Ran::Unknown => "unknown",
    };
    info!(target: wasabi_logs::REQUEST_TARGET, request = id,
        route = admission.map_or("", |admission| admission.route.name.as_str()),
        code = number, ran = ran, cause = error.detail.as_str(),
        proof_age_ms = proof_age_ms, took_ms = took.as_millis() as u64,
        retry_after_ms = error.retry_after.map_or(0, |wait| wait.as_millis() as u64); "refused");
}
