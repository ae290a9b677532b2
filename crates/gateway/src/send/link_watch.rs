//! Watches this host's own link to the backend servers: probes servers while the link is suspected or
//! cut, see [`wasabi_belief::link`].

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, header::HOST};
use log::{info, warn};
use rand::seq::IteratorRandom as _;
use tokio::task::JoinSet;
use wasabi_belief::link::Connection;
use wasabi_core::{
    member::{Member, Phase},
    units::ServerId,
};
use wasabi_platform::{
    http::{self, ConnectOptions},
    reply,
};

use crate::{send::connection_pool::CONNECT_TIMEOUT, state::State};

/// How often it is checked, after a failure, whether servers have to be probed.
const TICK: Duration = Duration::from_millis(50);
/// The pause after a round of probes that no server answered.
const PROBE_PERIOD: Duration = Duration::from_millis(400);
/// Servers that are probed in one round; some of them may have failed themselves.
const PROBED_SERVERS: usize = 3;

/// Probes servers whenever the link needs it, until the process ends.
pub async fn run(state: Rc<State>) {
    loop {
        if state.link.borrow().is_in_doubt() {
            tokio::time::sleep(TICK).await;
        } else {
            state.server_failed.notified().await;
        }
        let servers = known_servers(&state);
        if !state.link.borrow().needs_probe(state.now(), servers) {
            continue;
        }
        if probe_some(&state).await {
            record_answer(&state, Connection::New);
            continue;
        }
        record_unanswered_probes(&state, servers);
        tokio::time::sleep(PROBE_PERIOD).await;
    }
}

/// Records that a server has failed this host.
pub fn record_failure(state: &State, server: &ServerId, connection: Connection) {
    state.link.borrow_mut().record_failure(state.now(), server, connection);
    state.server_failed.notify_one();
    // It may be starting again, which a list shows only later.
    let member = state.servers.borrow().find(server).cloned();
    if let Some(member) = member {
        state.mark_maybe_cold(&member, "failure");
    }
}

/// Records that no probed server has answered.
fn record_unanswered_probes(state: &State, servers: usize) {
    let now = state.now();
    let peers = state.peers.borrow();
    let answered = peers.serving(now).filter_map(|(_, peer)| peer.answered_at);
    if state.link.borrow_mut().record_unanswered_probes(now, answered, servers) {
        warn!(servers = servers; "cut off from all backend servers");
        metrics::counter!("wasabi_gateway_link_cuts_total").increment(1);
        state.judge_runs_on_suspected_link(true);
        forget_failures(state);
    }
}

/// Records that a server has answered this host.
pub fn record_answer(state: &State, connection: Connection) {
    let ended = state.link.borrow_mut().record_answer(state.now(), connection);
    if let Some(cut_for) = ended {
        info!(cut_ms = cut_for.as_millis() as u64; "backend servers reached again");
        forget_failures(state);
    }
    if state.suspected_runs.await_link()
        && state.link.borrow().suspected_since(known_servers(state)).is_none()
    {
        state.judge_runs_on_suspected_link(ended.is_some());
    }
}

/// Returns how many servers take work, as far as this host knows.
pub fn known_servers(state: &State) -> usize {
    let members = state.servers.borrow().get();
    members.iter().filter(|member| member.phase == Phase::Ready).count()
}

/// The failures were the link's, so servers must not be avoided for them.
fn forget_failures(state: &State) {
    state.balancers.borrow_mut().values_mut().for_each(|balancer| balancer.forget_failures());
}

/// Asks a few servers for their health, each over a new connection; returns whether one answers,
/// whatever it says.
async fn probe_some(state: &Rc<State>) -> bool {
    let members = state.servers.borrow().get();
    let ready = members.iter().filter(|member| member.phase == Phase::Ready);
    let chosen = ready.cloned().choose_multiple(&mut rand::rng(), PROBED_SERVERS);
    let mut probes = JoinSet::new();
    for member in chosen {
        let state = state.clone();
        probes.spawn_local(async move {
            let probing = probe(&state, &member);
            let probed = tokio::time::timeout(CONNECT_TIMEOUT, probing).await;
            (member.id.clone(), probed.unwrap_or(None).is_some())
        });
    }
    let mut failed = Vec::new();
    while let Some(probed) = probes.join_next().await {
        match probed {
            Ok((_, true)) => return true,
            Ok((server, false)) => failed.push(server),
            Err(_) => {}
        }
    }
    let now = state.now();
    let mut link = state.link.borrow_mut();
    failed.iter().for_each(|server| link.record_failed_probe(now, server));
    false
}

/// Returns `None` if the server does not answer.
async fn probe(state: &State, member: &Member) -> Option<()> {
    metrics::counter!("wasabi_gateway_probes_total").increment(1);
    let (catalog, _) = state.config()?;
    let service = catalog.services.get(member.service.as_str())?;
    let mut request = Request::new(Full::<Bytes>::default());
    *request.uri_mut() = service.health_path.parse().ok()?;
    request.headers_mut().insert(HOST, member.address.to_string().parse().ok()?);
    let source = state.settings.borrow().source;
    let options = ConnectOptions { source, ..ConnectOptions::default() };
    let mut connection = http::connect(member.address, options).await.ok()?;
    let response = connection.send(request).await.ok()?;
    if reply::says_cold(response.headers()) {
        state.mark_maybe_cold(member, "health check");
    }
    Some(())
}
