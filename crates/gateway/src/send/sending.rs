//! Sends of a request that move to another server while they show no progress.

use std::{pin::pin, rc::Rc};

use log::info;
use wasabi_belief::link::Connection;
use wasabi_policy::stuck::MOVE_DELAY;

use crate::{
    guard::PlacementGuard,
    receive::{request::AdmittedRequest, request_log::log_failed_send},
    send::{
        attempt::{self, Outcome},
        cause,
        history::SendHistory,
        link_watch, placement,
    },
    state::State,
};

/// Sends a request to the server of `guard`. While it is stuck, moves it to another server if
/// it may run twice. Returns the outcome and the placement that it belongs to.
pub async fn send_until_finished(
    state: &Rc<State>,
    inbound: &AdmittedRequest,
    history: &mut SendHistory,
    mut guard: PlacementGuard,
    last_event: Option<u64>,
) -> (PlacementGuard, Outcome) {
    loop {
        match send_once(state, inbound, history, &guard, last_event).await {
            SendProgress::Finished(outcome) => return (guard, outcome),
            SendProgress::Stuck(other) => {
                log_failed_send(state, inbound, &guard, "unknown", cause::STUCK, None);
                guard = *other;
            }
        }
    }
}

/// The result of [`send_once`].
enum SendProgress {
    /// The send has ended.
    Finished(Outcome),
    /// The send shows no progress; the placement to move to.
    Stuck(Box<PlacementGuard>),
}

/// Sends a request to the server of `guard`, until it ends or is stuck and has another
/// placement.
async fn send_once(
    state: &Rc<State>,
    inbound: &AdmittedRequest,
    history: &mut SendHistory,
    guard: &PlacementGuard,
    last_event: Option<u64>,
) -> SendProgress {
    let outgoing = inbound.outgoing(last_event);
    let mut sending = pin!(attempt::send(state, guard, &outgoing));
    if let Ok(outcome) = tokio::time::timeout(guard.time_until_stuck(), sending.as_mut()).await {
        return SendProgress::Finished(outcome);
    }
    record_stuck(state, inbound, guard);
    if inbound.admission.route.kind.is_stream()
        && let Ok(outcome) = tokio::time::timeout(MOVE_DELAY, sending.as_mut()).await
    {
        return SendProgress::Finished(outcome);
    }
    // The next placement must see that the stuck send may have run.
    history.possible_runs += 1;
    if let Some(other) = placement::place_elsewhere(state, inbound, history, guard, last_event) {
        return SendProgress::Stuck(Box::new(other));
    }
    history.possible_runs -= 1;
    SendProgress::Finished(sending.await)
}

/// Records in the balancer, metrics and log that a request shows no progress at its server.
pub fn record_stuck(state: &State, inbound: &AdmittedRequest, guard: &PlacementGuard) {
    let now = state.now();
    let server = &guard.placement.member.id;
    link_watch::record_failure(state, server, Connection::Established);
    guard.with_balancer(|balancer, placement| balancer.record_stuck(now, placement));
    metrics::counter!("wasabi_gateway_stuck_total",
        "service" => inbound.admission.service.to_string())
    .increment(1);
    let since_placed = now.saturating_duration_since(guard.placement.since);
    info!(target: wasabi_logs::REQUEST_TARGET, request = inbound.head.id.as_str(),
        server = guard.placement.member.id.as_str(), placed_ms = since_placed.as_millis() as u64,
        expected_ms = guard.placement.expected_wait.as_millis() as u64; "no progress");
}
