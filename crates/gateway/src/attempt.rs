//! One send of a request to one backend server.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, Uri, body::Incoming, header::HeaderMap, http::request::Parts};
use wasabi_core::{
    call::{Head, Reply, Sending},
    catalog::Kind,
};
use wasabi_platform::{head, reply};

use crate::{
    admit::Permit,
    pool,
    site::{Seat, Site},
};

/// A server gets no request that has less time left.
pub const LEAST_TIME: Duration = Duration::from_millis(15);
/// The least number of connections to one server that a host may hold.
const LEAST_CONNECTIONS: u32 = 4;

/// A request as it is sent on.
pub struct Outgoing<'a> {
    /// The caller's request without its body.
    pub parts: &'a Parts,
    /// What was read of it.
    pub head: &'a Head,
    /// Its whole body.
    pub body: &'a Bytes,
    /// Why it may run.
    pub permit: &'a Permit,
    /// When the caller or the route gives up.
    pub deadline: Instant,
    /// The last event that the caller has, for a stream that goes on.
    pub last_event: Option<u64>,
}

/// What became of a send.
pub enum Outcome {
    /// The server answers; the body is still to come.
    Answer(Box<Answer>),
    /// The request did not run there.
    NotRun(&'static str),
    /// Nobody knows whether the request ran.
    Unknown(&'static str),
    /// The time was up; the request may have run.
    TimedOut,
}

/// An answer whose body is still to come.
pub struct Answer {
    /// The head, and the body to read.
    pub response: Response<Incoming>,
    /// What was read of the head.
    pub reply: Reply,
    /// The connection; to be given back after a whole body.
    pub lease: pool::Lease,
}

/// Sends a request to the server of `seat` and waits for the head of the answer.
pub async fn send(state: &Rc<Site>, placement: &Seat, outgoing: &Outgoing<'_>) -> Outcome {
    let member = &placement.place.member;
    let most = connections(state, outgoing.permit);
    let mut lease = match state.connection_pool.take(state.now(), member, most).await {
        Ok(lease) => lease,
        Err(e) if e.kind() == std::io::ErrorKind::Other => {
            return Outcome::NotRun("connection limit");
        }
        Err(_) => return Outcome::NotRun("no connection"),
    };
    loop {
        // The process may have been suspended while it connected.
        if crate::admit::recheck(state, outgoing.permit).is_err() {
            return Outcome::NotRun("key proof too old");
        }
        let left = outgoing.deadline.saturating_duration_since(state.now());
        if left < LEAST_TIME {
            return Outcome::NotRun("no time left");
        }
        let Some(request) = request(outgoing, placement, left) else {
            return Outcome::NotRun("the request cannot be sent on");
        };
        let sending = lease.connection().sender.try_send_request(request);
        match tokio::time::timeout(left, sending).await {
            Err(_) => return Outcome::TimedOut,
            Ok(Ok(response)) => return judge(outgoing, response, lease),
            Ok(Err(mut e)) => {
                if e.take_message().is_none() {
                    return Outcome::Unknown("connection broke");
                }
                // The server closed the kept connection before anything was sent on it.
                if !lease.reused {
                    return Outcome::NotRun("connection closed");
                }
                drop(lease);
                lease = match state.connection_pool.take(state.now(), member, most).await {
                    Ok(lease) => lease,
                    Err(_) => return Outcome::NotRun("no connection"),
                };
            }
        }
    }
}

/// Returns how many connections to one server this host may hold: its part of what the server
/// takes from all hosts.
fn connections(state: &Site, permit: &Permit) -> u32 {
    let service = permit.catalog.services.get(permit.service.as_str());
    let all = service.map_or(u32::MAX, |service| service.max_connections);
    (all / state.live_hosts().max(1) as u32).max(LEAST_CONNECTIONS)
}

fn request(
    outgoing: &Outgoing<'_>,
    placement: &Seat,
    left: Duration,
) -> Option<Request<Full<Bytes>>> {
    let permit = outgoing.permit;
    let sending = Sending {
        server: placement.place.member.id.clone(),
        time_left: left,
        workspace: permit.workspace.clone(),
        urgency: permit.urgency,
        last_event: outgoing.last_event,
    };
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.parts.method.clone();
    *request.uri_mut() = origin(&outgoing.parts.uri)?;
    *request.headers_mut() = head::encode(&outgoing.parts.headers, &sending);
    Some(request)
}

/// Returns path and query as the caller sent them.
fn origin(uri: &Uri) -> Option<Uri> {
    match uri.path_and_query() {
        Some(path) => Uri::builder().path_and_query(path.clone()).build().ok(),
        None => None,
    }
}

fn judge(outgoing: &Outgoing<'_>, response: Response<Incoming>, lease: pool::Lease) -> Outcome {
    let status = response.status();
    let reply = reply::decode(status, response.headers());
    if reply.id.as_ref().is_some_and(|id| *id != outgoing.head.id) {
        return Outcome::Unknown("answer to another request");
    }
    if reply.not_run {
        return Outcome::NotRun("turned away");
    }
    if status.is_success() && (!reply.signed || reply.encoded) {
        return Outcome::Unknown("answer is not the server's own");
    }
    if status.is_informational() || (!status.is_success() && !reply.signed) {
        return Outcome::Unknown("answer without a signature");
    }
    Outcome::Answer(Box::new(Answer { response, reply, lease }))
}

/// Returns the headers of a stream's answer: its length is not known, since it may go on elsewhere.
pub fn stream_headers(server: &HeaderMap) -> HeaderMap {
    let mut headers = reply::encode(server);
    headers.remove(hyper::header::CONTENT_LENGTH);
    headers
}

/// Returns whether an answer with this status may be tried again elsewhere.
pub fn is_worth_repeating(kind: Kind, status: hyper::StatusCode) -> bool {
    kind.is_repeatable() && status.is_server_error()
}
