//! Ends of answers that only the end of the connection marks.

use std::time::Duration;

use log::info;
use wasabi_answer::evidence::{Evidence, SETTLING_TIME};
use wasabi_belief::link::Connection;

use crate::{
    guard::PlacementGuard,
    send::{connection_pool::PooledConnection, link_watch},
    state::State,
};

/// Decides whether the server of `guard` has sent all of an answer whose end `connection` has marked by
/// its own; returns the cause if not. `request` is the id of the request.
pub async fn confirm(
    state: &State,
    guard: &PlacementGuard,
    request: &str,
    connection: PooledConnection,
    keep_alive: Option<Duration>,
) -> Result<(), &'static str> {
    let began = state.now();
    let evidence = find_evidence(state, guard, connection, keep_alive).await;
    let waited = state.now().saturating_duration_since(began);
    let server = &guard.placement.member.id;
    metrics::counter!("wasabi_gateway_closed_ends_total", "evidence" => evidence.name())
        .increment(1);
    info!(target: wasabi_logs::REQUEST_TARGET, request = request, server = server.as_str(),
        evidence = evidence.name(), waited_ms = waited.as_millis() as u64;
        "answer ended with its connection");
    if matches!(evidence, Evidence::Refused | Evidence::Unanswered) {
        link_watch::record_failure(state, server, Connection::New);
    }
    evidence.check().map_err(|broken| broken.cause())
}

async fn find_evidence(
    state: &State,
    guard: &PlacementGuard,
    connection: PooledConnection,
    keep_alive: Option<Duration>,
) -> Evidence {
    let member = &guard.placement.member;
    tokio::time::sleep(SETTLING_TIME).await;
    let source = state.settings.borrow().source;
    // A server that gets no more requests needs no idle connection.
    let takes_work = state.servers.borrow().takes_work(member);
    let keep_alive = if takes_work { keep_alive } else { Some(Duration::ZERO) };
    let evidence = connection.find_evidence(state.now(), member, keep_alive, source).await;
    match evidence {
        // An entry proves less than what the process says of itself.
        Evidence::Unidentified if state.servers.borrow().is_replaced(member) => Evidence::Replaced,
        evidence => evidence,
    }
}
