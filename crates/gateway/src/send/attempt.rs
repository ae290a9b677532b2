//! One send of a request to one backend server.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode, Uri, body::Incoming, header::HeaderMap, http::request::Parts,
};
use log::{info, warn};
use rand::Rng as _;
use wasabi_answer::response_head;
use wasabi_belief::{link::Connection, members};
use wasabi_core::{
    call::{ForwardedHead, RequestHead, ResponseHead},
    catalog::Kind,
    member::Member,
};
use wasabi_platform::{head, reply};

use crate::{
    guard::PlacementGuard,
    receive::admit::Admission,
    send::{
        cause, connection_pool, identity,
        link_watch::{record_answer, record_failure},
    },
    state::State,
};

/// A request with less time left is not sent.
pub const MIN_REMAINING_TIME: Duration = Duration::from_millis(15);
/// Each host may open this many connections to a server, however many hosts share its limit.
const MIN_CONNECTIONS: u32 = 4;

/// A request to send to a backend server.
pub struct Outgoing<'a> {
    /// The HTTP head of the caller's request.
    pub parts: &'a Parts,
    /// The caller's id, key, timeout and prompt, decoded from the HTTP head.
    pub head: &'a RequestHead,
    /// The complete body.
    pub body: &'a Bytes,
    /// The result of admission.
    pub admission: &'a Admission,
    /// The earlier of the caller's deadline and the route's timeout.
    pub deadline: Instant,
    /// The id of the last event that the caller has, to resume a stream after it.
    pub last_event: Option<u64>,
}

impl Outgoing<'_> {
    /// Whether the caller has a part of the stream.
    fn goes_on(&self) -> bool {
        self.head.resumes.is_some() || self.last_event.is_some_and(|event| event > 0)
    }
}

/// The outcome of a send.
pub enum Outcome {
    /// The head of the response has arrived; its body has not been read.
    Responded(Box<BackendResponse>),
    /// The server states that it did not run the request and never will.
    TurnedAway,
    /// The same, because another server answers at the address.
    Misdirected,
    /// The request was not sent; the cause.
    NotRun(&'static str),
    /// The server may have run the request; the cause.
    Unknown(&'static str),
    /// The deadline passed before a response; the server may have run the request.
    TimedOut,
}

/// A backend server's response whose body has not been read.
pub struct BackendResponse {
    /// The HTTP response; its body is read from `connection`.
    pub http: Response<Incoming>,
    /// The backend server's own fields, decoded from the HTTP head.
    pub reply: ResponseHead,
    /// To be released to the pool once the body is complete.
    pub connection: connection_pool::PooledConnection,
}

/// Sends a request to the server of `guard` and waits for the head of the response.
pub async fn send(state: &Rc<State>, guard: &PlacementGuard, outgoing: &Outgoing<'_>) -> Outcome {
    let member = &guard.placement.member;
    let limit = connection_limit(state, outgoing.admission);
    let source = state.settings.borrow().source;
    let acquire = || state.connection_pool.acquire(state.now(), member, limit, source);
    let mut connection = match acquire().await {
        Ok(connection) => connection,
        Err(e) if e.kind() == std::io::ErrorKind::Other => {
            return Outcome::NotRun("connection limit");
        }
        Err(_) => {
            record_failure(state, &member.id, Connection::New);
            return Outcome::NotRun("no connection");
        }
    };
    let kind = outgoing.admission.route.kind;
    let keeps_to_version = kind.is_stream() && kind.is_repeatable();
    loop {
        if keeps_to_version {
            while let Err(cause) = identity::check(state, member, &mut connection).await {
                let reused = connection.reused;
                drop(connection);
                let again = if reused { acquire().await.ok() } else { None };
                let Some(again) = again else {
                    if cause == cause::UNANSWERED {
                        record_failure(state, &member.id, Connection::New);
                    }
                    return Outcome::NotRun(cause);
                };
                connection = again;
            }
            if outgoing.goes_on() && !identity::is_listed(state, member, connection.opened).await {
                return Outcome::NotRun("the version of the server is not proven");
            }
        }
        // The process may have been suspended while it connected.
        if crate::receive::admit::check_key(state, outgoing.admission).is_err() {
            // This cause is also given if the key was withdrawn.
            return Outcome::NotRun("key proof too old");
        }
        if state.has_outdated_servers() {
            return Outcome::NotRun("server list too old");
        }
        if !state.servers.borrow().takes_work(member) {
            return Outcome::NotRun("the server has left");
        }
        let remaining = outgoing.deadline.saturating_duration_since(state.now());
        if remaining < MIN_REMAINING_TIME {
            return Outcome::NotRun("no time left");
        }
        let Some(request) = build_request(outgoing, guard, remaining) else {
            return Outcome::NotRun("the request cannot be sent on");
        };
        let sent = state.now();
        let sending = connection.inner().send(request);
        match tokio::time::timeout(remaining, sending).await {
            Err(_) => return Outcome::TimedOut,
            Ok(Ok(http)) => {
                record_answer(state, kind_of(&connection));
                let reply = reply::read(&outgoing.parts.method, &http);
                for header in &reply.malformed {
                    state.log_malformed_header(&member.id, header);
                }
                if is_own(outgoing, &reply) {
                    record_server_state(state, guard, http.status(), &reply, sent);
                }
                return classify_response(outgoing, http, reply, connection);
            }
            Ok(Err(mut e)) => {
                if e.take_message().is_none() {
                    record_failure(state, &member.id, kind_of(&connection));
                    return Outcome::Unknown(cause::CONNECTION_BROKE);
                }
                // Nothing was sent: the server closed the connection. That is expected of a reused
                // one, so another is tried.
                if !connection.reused {
                    record_failure(state, &member.id, Connection::New);
                    return Outcome::NotRun("connection closed");
                }
                drop(connection);
                connection = match acquire().await {
                    Ok(connection) => connection,
                    Err(_) => {
                        record_failure(state, &member.id, Connection::New);
                        return Outcome::NotRun("no connection");
                    }
                };
            }
        }
    }
}

fn kind_of(connection: &connection_pool::PooledConnection) -> Connection {
    if connection.reused { Connection::Established } else { Connection::New }
}

/// Returns whether a response is the answer to the request: servers return its id. Any other says nothing
/// of the request, nor of the server that was asked.
fn is_own(outgoing: &Outgoing<'_>, reply: &ResponseHead) -> bool {
    reply.id.as_deref().unwrap_or_default() == outgoing.head.id
}

/// Records what the answer to a request sent at `sent` says of its server.
fn record_server_state(
    state: &Rc<State>,
    guard: &PlacementGuard,
    status: StatusCode,
    reply: &ResponseHead,
    sent: Instant,
) {
    let member = &guard.placement.member;
    record_limit(state, member, status, reply, sent);
    record_brittle(state, guard, reply, sent);
    if reply.leaving {
        state.mark_leaving(members::instance(member), "answer");
    }
    if let Some(wait) = reply.pause {
        pause(state, guard, wait);
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        record_misdirected(state, guard);
    }
}

/// Takes an entry at whose address another server answers out of placement: for a while, or for good if the process
/// there started at another time or no longer listens.
fn record_misdirected(state: &Rc<State>, guard: &PlacementGuard) {
    let (now, spread) = (state.now(), rand::rng().random());
    guard.with_balancer(|balancer, placement| balancer.record_misdirected(now, placement, spread));
    let member = guard.placement.member.clone();
    metrics::counter!("wasabi_gateway_misdirected_total", "service" => member.service.to_string())
        .increment(1);
    warn!(server = member.id.as_str(), address = member.address.to_string().as_str(),
        born_ms = member.born_ms; "another backend server answers at the address of this one");
    let state = state.clone();
    tokio::task::spawn_local(async move {
        if identity::ask_process(&state, &member).await == identity::Process::Other {
            state.mark_ended(members::instance(&member));
        }
    });
}

/// Records the server's limit. Answers of another server at its address, or of an intermediary, say nothing
/// of it.
fn record_limit(
    state: &State,
    member: &Member,
    status: StatusCode,
    reply: &ResponseHead,
    sent: Instant,
) {
    let is_server = reply.signed || reply.not_run;
    if status != StatusCode::MISDIRECTED_REQUEST && (is_server || reply.limit.is_some()) {
        state.record_limit(members::instance(member), reply.limit, sent);
    }
}

/// Records whether the servers of a service say that they are brittle; see [`record_limit`] for whose answers
/// count.
fn record_brittle(state: &State, guard: &PlacementGuard, reply: &ResponseHead, sent: Instant) {
    let is_server = reply.signed || reply.not_run;
    if is_server || reply.brittle.is_some() {
        let now = state.now();
        guard.with_balancer(|balancer, _| balancer.record_brittle(now, sent, reply.brittle));
    }
}

/// Takes the server out of placement for the time for which it wants no request.
fn pause(state: &State, guard: &PlacementGuard, wait: Duration) {
    let now = state.now();
    let spread = rand::rng().random();
    guard.with_balancer(|balancer, placement| balancer.pause(now, placement, wait, spread));
    let member = &guard.placement.member;
    metrics::counter!("wasabi_gateway_pauses_total", "service" => member.service.to_string())
        .increment(1);
    info!(server = member.id.as_str(), wait_ms = wait.as_millis() as u64; "backend server pauses");
}

/// Returns how many connections this host may open to one server: an equal share of the server's
/// limit among the live hosts, at least [`MIN_CONNECTIONS`].
fn connection_limit(state: &State, admission: &Admission) -> u32 {
    let service = admission.catalog.services.get(admission.service.as_str());
    let max_connections = service.map_or(u32::MAX, |service| service.max_connections);
    (max_connections / state.live_hosts().max(1) as u32).max(MIN_CONNECTIONS)
}

fn build_request(
    outgoing: &Outgoing<'_>,
    guard: &PlacementGuard,
    remaining: Duration,
) -> Option<Request<Full<Bytes>>> {
    let admission = outgoing.admission;
    let sending = ForwardedHead {
        server: guard.placement.member.id.clone(),
        time_left: remaining,
        workspace: admission.workspace.clone(),
        urgency: admission.urgency,
        last_event: outgoing.last_event,
    };
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.parts.method.clone();
    *request.uri_mut() = origin_form(&outgoing.parts.uri)?;
    *request.headers_mut() = head::encode(&outgoing.parts.headers, &sending);
    Some(request)
}

/// Returns the request target in origin form, path and query unchanged.
fn origin_form(uri: &Uri) -> Option<Uri> {
    match uri.path_and_query() {
        Some(path) => Uri::builder().path_and_query(path.clone()).build().ok(),
        None => None,
    }
}

/// Decides from the head of a response whether it can be passed on, and if not, whether the request
/// may have run.
fn classify_response(
    outgoing: &Outgoing<'_>,
    http: Response<Incoming>,
    reply: ResponseHead,
    connection: connection_pool::PooledConnection,
) -> Outcome {
    let status = http.status();
    if let Err(broken) = response_head::check(&http) {
        return Outcome::Unknown(broken.cause());
    }
    if !is_own(outgoing, &reply) {
        return Outcome::Unknown(match reply.id {
            Some(_) => "answer to another request",
            None => "answer without the request's id",
        });
    }
    if reply.not_run {
        return match status {
            StatusCode::MISDIRECTED_REQUEST => Outcome::Misdirected,
            _ => Outcome::TurnedAway,
        };
    }
    if status.is_success() && (!reply.signed || reply.encoded) {
        // An intermediary answered, or changed the body.
        return Outcome::Unknown("answer is not the server's own");
    }
    if !status.is_success() && !reply.signed {
        return Outcome::Unknown("answer without a signature");
    }
    Outcome::Responded(Box::new(BackendResponse { http, reply, connection }))
}

/// Returns the headers of a streamed response, without its length: the stream may be resumed at
/// another server.
pub fn stream_headers(server: &HeaderMap) -> HeaderMap {
    let mut headers = reply::forwarded_headers(server);
    headers.remove(hyper::header::CONTENT_LENGTH);
    headers
}

/// Returns whether a request that got a response with this status may be sent to another server.
pub fn is_retryable(kind: Kind, status: hyper::StatusCode) -> bool {
    kind.is_repeatable() && status.is_server_error()
}
