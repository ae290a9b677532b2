//! Hands requests to a peer that reaches backend servers, while this host does not.
//!
//! The peer handles a request like one of its own callers: it checks the key, places and counts it. A
//! request is handed over once; the peer does not hand it on.

use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, header::HeaderValue};
use log::{info, warn};
use rand::Rng as _;
use wasabi_answer::response_head;
use wasabi_belief::{origins::Origin, peers::Peer};
use wasabi_core::{
    call::ResponseHead,
    errors::{Code, Error, Ran, Result},
    format,
    units::{HostId, Region},
};
use wasabi_platform::{
    head,
    http::{self, ConnectOptions, Connection},
    reply,
};

use crate::{
    receive::{
        buffers::RESPONSE_GRACE, peer_body::PeerBody, request::AdmittedRequest,
        response::ResponseBody,
    },
    send::{
        handover::{self, Handover},
        history::SendHistory,
        link_watch,
    },
    state::State,
};

/// The most peers to which a request is handed, one after the other.
const MAX_PEERS: usize = 2;
/// Timeout of connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a stream that broke off waits until it is known whether the link is cut.
const MAX_VERDICT_WAIT: Duration = Duration::from_millis(900);
/// How often that is checked.
const VERDICT_POLL: Duration = Duration::from_millis(40);

/// The answer of a peer, passed on from a backend server or its own.
pub struct Answer {
    /// The head as the peer sent it.
    pub head: ResponseHead,
    /// The answer without hop-by-hop headers.
    pub response: Response<ResponseBody>,
}

/// Hands a request to a peer that reaches servers, and returns its answer. A stream goes on after
/// `last_event`.
///
/// `None` if the request was not handed over: no peer is known to reach servers that this host does not
/// reach, or the request may have run and must not run again, or it comes from a peer itself.
pub async fn hand_over(
    state: &Rc<State>,
    inbound: &AdmittedRequest,
    history: &mut SendHistory,
    last_event: Option<u64>,
) -> Option<Result<Answer>> {
    if inbound.handover.is_some() {
        return None;
    }
    let route = &inbound.admission.route;
    if last_event.is_some() {
        await_verdict(state).await;
    }
    let mut tried = Vec::new();
    while tried.len() < MAX_PEERS {
        let repeatable = history.possible_runs == 0
            || (route.kind.is_repeatable() && history.possible_runs < route.max_attempts);
        if !repeatable {
            return None;
        }
        let (host, address) = choose_peer(state, inbound.admission.homes.as_ref(), &tried)?;
        tried.push(address);
        let connecting = http::connect(address, ConnectOptions::default());
        let connection = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(connection)) => connection,
            _ => {
                metrics::counter!("wasabi_peer_failures_total").increment(1);
                continue;
            }
        };
        let request = build_request(state, inbound, history, last_event)?;
        log_handed_over(state, inbound, history, &host, last_event);
        match send(state, inbound, connection, request).await {
            Sent::Answered(answer) => return Some(Ok(*answer)),
            Sent::Unsent => {}
            Sent::Broken => {
                history.possible_runs += 1;
                history.last_cause = "peer broke off";
                if !route.kind.is_repeatable() {
                    let error = Error::new(Code::AnswerBroken, history.last_cause);
                    return Some(Err(error.ran(Ran::Unknown)));
                }
            }
            Sent::TimedOut => {
                return Some(Err(Error::new(Code::AnswerTimeout, "peer").ran(Ran::Unknown)));
            }
        }
    }
    None
}

/// Waits while servers fail and no peer is known to reach them. A caller that has a part of its
/// stream would have to take it up again if it broke off at once.
async fn await_verdict(state: &State) {
    let since = state.now();
    loop {
        let failing = state.link.borrow_mut().await_verdict();
        let waited = state.now().saturating_duration_since(since);
        if !failing || waited >= MAX_VERDICT_WAIT || choose_peer(state, None, &[]).is_some() {
            return;
        }
        tokio::time::sleep(VERDICT_POLL).await;
    }
}

/// How a send to a peer ended.
enum Sent {
    /// The head of its answer has arrived.
    Answered(Box<Answer>),
    /// Nothing was sent.
    Unsent,
    /// The connection ended before an answer; a server may have run the request.
    Broken,
    /// The deadline passed.
    TimedOut,
}

async fn send(
    state: &State,
    inbound: &AdmittedRequest,
    mut connection: Connection,
    request: Request<Full<Bytes>>,
) -> Sent {
    let remaining = inbound.deadline.saturating_duration_since(state.now()) + RESPONSE_GRACE;
    let deadline = Box::pin(tokio::time::sleep(remaining));
    match tokio::time::timeout(remaining, connection.send(request)).await {
        Err(_) => Sent::TimedOut,
        Ok(Err(mut e)) => match e.take_message() {
            Some(_) => Sent::Unsent,
            None => Sent::Broken,
        },
        Ok(Ok(answer)) => {
            let head = reply::read(&inbound.parts.method, &answer);
            if let Err(broken) = response_head::check(&answer) {
                log_broken(&inbound.head.id, broken.cause());
                return Sent::Broken;
            }
            let (parts, body) = answer.into_parts();
            let is_others = head.id.as_ref().is_some_and(|id| *id != inbound.head.id);
            if is_others || (parts.status.is_success() && !head.signed) {
                log_broken(&inbound.head.id, "the answer is not to this request");
                return Sent::Broken;
            }
            let body = PeerBody::new(body, deadline, connection);
            let mut response = Response::new(ResponseBody::Peer(Box::new(body)));
            *response.status_mut() = parts.status;
            *response.headers_mut() = reply::forwarded_headers(&parts.headers);
            Sent::Answered(Box::new(Answer { head, response }))
        }
    }
}

/// Returns a peer that reaches servers, at random, one of the own failure domain if there is any.
///
/// Until this host is known to be cut off, only a peer will do that has been answered since servers began
/// to fail here.
///
/// A request that keeps to `homes` is handed only to peers there, or in this host's own region.
fn choose_peer(
    state: &State,
    homes: Option<&BTreeSet<Region>>,
    tried: &[SocketAddr],
) -> Option<(HostId, SocketAddr)> {
    let servers = link_watch::known_servers(state);
    let domain = state.settings.borrow().domain.clone();
    let settings = state.settings.borrow();
    let own_region = settings.regions.get(&domain);
    let may_have = |peer: &Peer| {
        let region = peer.domain.as_ref().and_then(|domain| settings.regions.get(domain));
        homes.is_none_or(|homes| {
            region.is_some_and(|region| homes.contains(region) || Some(region) == own_region)
        })
    };
    let (link, peers) = (state.link.borrow(), state.peers.borrow());
    let outdoes = |peer: &Peer| peer.answered_at.is_some_and(|at| link.is_outdone_by(at, servers));
    let candidates = peers.serving(state.now()).filter(|(_, peer)| {
        !tried.contains(&peer.address)
            && may_have(peer)
            && peer.answered_at.is_some()
            && (link.is_cut() || outdoes(peer))
    });
    let rank = |peer: &Peer| {
        let is_far = peer.domain.as_ref() != Some(&domain);
        (!outdoes(peer), is_far, rand::rng().random::<u32>())
    };
    let best = candidates.min_by_key(|(_, peer)| rank(peer));
    best.map(|(host, peer)| (host.clone(), peer.address))
}

fn build_request(
    state: &State,
    inbound: &AdmittedRequest,
    history: &SendHistory,
    last_event: Option<u64>,
) -> Option<Request<Full<Bytes>>> {
    let service = inbound.admission.service.clone();
    let origin = history.build.clone().map(|build| Origin { service, build });
    let from = state.settings.borrow().host.clone();
    let (possible_runs, refused) = (history.possible_runs, history.refused.clone());
    let handover = Handover { format: format::HANDOVER, from, possible_runs, origin, refused };
    let value = HeaderValue::try_from(serde_json::to_string(&handover).ok()?).ok()?;
    let remaining = inbound.deadline.saturating_duration_since(state.now());
    let mut headers = head::encode_for_peer(&inbound.parts.headers, remaining, last_event);
    headers.insert(handover::HEADER, value);
    let mut request = Request::new(Full::new(inbound.body.clone()));
    *request.method_mut() = inbound.parts.method.clone();
    *request.uri_mut() = inbound.parts.uri.path_and_query()?.as_str().parse().ok()?;
    *request.headers_mut() = headers;
    Some(request)
}

fn log_handed_over(
    state: &State,
    inbound: &AdmittedRequest,
    history: &SendHistory,
    peer: &HostId,
    last_event: Option<u64>,
) {
    metrics::counter!("wasabi_gateway_handed_over_total").increment(1);
    let request = inbound.head.id.as_str();
    info!(target: wasabi_logs::REQUEST_TARGET, request = request, peer = peer.as_str(),
        cut = state.is_cut_off(), possible_runs = history.possible_runs,
        after = history.last_cause, resumed_after = last_event.unwrap_or(0); "handed to a peer");
}

/// Logs that a request was taken over from a peer.
pub fn log_taken_over(id: &str, handover: &Handover) {
    info!(target: wasabi_logs::REQUEST_TARGET, request = id, peer = handover.from.as_str(),
        possible_runs = handover.possible_runs; "taken from a peer");
}

/// Logs and counts that a peer's part of a stream has ended before it was complete, or cannot be passed on.
pub fn log_broken(id: &str, cause: &'static str) {
    metrics::counter!("wasabi_peer_broken_streams_total", "cause" => cause).increment(1);
    warn!(target: wasabi_logs::REQUEST_TARGET, request = id, cause = cause;
        "stream of a peer broke off");
}
