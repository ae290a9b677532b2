//! The way of one request: admitted, placed, sent, answered.
//!
//! A request that has not run is refused with the time to come back; one that may have run is
//! never sent again unless that is harmless, and is never called «not run».

use std::{
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Limited};
use hyper::{Request, Response, StatusCode, body::Incoming, header::HOST, http::request::Parts};
use log::info;
use rand::Rng as _;
use wasabi_core::{
    call::Head,
    errors::{Code, Error, Ran, Result},
    units::ServerId,
};
use wasabi_platform::{head, reply};
use wasabi_policy::{
    board::{Ask, End, Refusal},
    patience,
};

use crate::{
    admit::{self, Permit},
    answer::{self, Out},
    attempt::{self, Answer, Outcome, Outgoing},
    site::{Open, Seat, Site},
    stream,
};

/// How long past the deadline an answer that is on its way is waited for.
const LAST_WORD: Duration = Duration::from_millis(40);
/// Sends beyond the route's attempts that servers turned away without running.
const TURNED_AWAY: usize = 2;
/// The largest answer that is read whole before it is passed on.
const MAX_WHOLE_BYTES: usize = 8 * 1024 * 1024;
/// The cause of a send that showed no progress.
pub const STUCK: &str = "stuck";

/// A caller's request, read whole.
pub struct Inbound {
    /// Its head as it came.
    pub parts: Parts,
    /// What was read of the head.
    pub head: Head,
    /// Its body.
    pub body: Bytes,
    /// When its head had come.
    pub arrived: Instant,
    /// Why it may run.
    pub permit: Permit,
    /// When the caller or the route gives up.
    pub deadline: Instant,
    /// The longest wait for a first event or an answer that is worth taking.
    pub patience: Duration,
}

/// Answers a request.
pub async fn serve(site: Rc<Site>, request: Request<Incoming>) -> Response<Out> {
    let arrived = site.now();
    let (parts, body) = request.into_parts();
    let head = head::decode(&parts.headers);
    let _open = Open::request(&site);
    let answer = match receive(&site, arrived, parts, head, body).await {
        Ok(inbound) => run(&site, Rc::new(inbound)).await,
        Err((id, error)) => {
            log_refusal(&site, &id, None, arrived, &error);
            Err(error)
        }
    };
    answer.unwrap_or_else(|error| answer::error(&error))
}

/// Admits a request and reads its body.
async fn receive(
    site: &Rc<Site>,
    arrived: Instant,
    parts: Parts,
    head: Head,
    body: Incoming,
) -> std::result::Result<Inbound, (String, Error)> {
    let id = head.id.clone();
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let permit = admit::admit(site, host, parts.uri.path(), &head);
    let permit = permit.map_err(|e| (id.clone(), e))?;
    let timeout = permit.route.timeout;
    let time = head.patience.map_or(timeout, |patience| patience.min(timeout));
    let deadline = arrived + time;
    let max_body = permit.catalog.limits.max_body.0 as usize;
    let body = tokio::time::timeout(time, Limited::new(body, max_body).collect()).await;
    let body = match body {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
            return Err((id, Error::new(Code::BodyTooLarge, "")));
        }
        Ok(Err(e)) => return Err((id, Error::new(Code::HeadInvalid, format!("body: {e}")))),
        Err(_) => return Err((id, Error::new(Code::ReceiveTimeout, ""))),
    };
    let returning = head.patience.is_some_and(|patience| patience::is_returning(patience, timeout));
    let patience = patience::limit(&permit.catalog, &permit.route, time, returning);
    Ok(Inbound { parts, head, body, arrived, permit, deadline, patience })
}

/// Places and sends a request until it is answered or given up.
async fn run(site: &Rc<Site>, inbound: Rc<Inbound>) -> Result<Response<Out>> {
    let permit = &inbound.permit;
    let mut tries = Tries::default();
    site.ration(&permit.service, |ration| ration.first(site.now()));
    loop {
        let seat = match next(site, &inbound, &mut tries, None) {
            Ok(seat) => seat,
            Err(error) => {
                if let Some(kept) = tries.kept.take() {
                    return Ok(kept);
                }
                log_refusal(site, &inbound.head.id, Some(permit), inbound.arrived, &error);
                return Err(error);
            }
        };
        let (seat, outcome) = send(site, &inbound, &mut tries, seat, None).await;
        if let Some(done) = settle(site, &inbound, &mut tries, seat, outcome).await {
            return done;
        }
    }
}

/// Sends a request to the server of `seat`, and to others while it is stuck there and may run twice;
/// returns what became of it and where.
pub async fn send(
    site: &Rc<Site>,
    inbound: &Inbound,
    tries: &mut Tries,
    mut seat: Seat,
    last_event: Option<u64>,
) -> (Seat, Outcome) {
    loop {
        match send_once(site, inbound, tries, &seat, last_event).await {
            Sent::Settled(outcome) => return (seat, outcome),
            Sent::Stuck(other) => {
                log_try(site, inbound, &seat, "unknown", STUCK);
                seat = other;
            }
        }
    }
}

/// What became of one send.
enum Sent {
    /// It came to an end.
    Settled(Outcome),
    /// It shows no progress; there is a place elsewhere.
    Stuck(Seat),
}

/// Sends a request to the server of `seat`, until it is stuck there and has a place elsewhere.
async fn send_once(
    site: &Rc<Site>,
    inbound: &Inbound,
    tries: &mut Tries,
    seat: &Seat,
    last_event: Option<u64>,
) -> Sent {
    let outgoing = inbound.outgoing(last_event);
    let mut sending = pin!(attempt::send(site, seat, &outgoing));
    if let Ok(outcome) = tokio::time::timeout(seat.stuck_after(), sending.as_mut()).await {
        return Sent::Settled(outcome);
    }
    note_stuck(site, inbound, seat);
    // It counts as run there if it moves.
    tries.ran += 1;
    if let Some(other) = elsewhere(site, inbound, tries, seat, last_event) {
        return Sent::Stuck(other);
    }
    tries.ran -= 1;
    Sent::Settled(sending.await)
}

/// Returns another place for a request that is stuck at `seat`; none if it has to stay there.
pub fn elsewhere(
    site: &Rc<Site>,
    inbound: &Inbound,
    tries: &mut Tries,
    seat: &Seat,
    last_event: Option<u64>,
) -> Option<Seat> {
    let cause = std::mem::replace(&mut tries.cause, STUCK);
    tries.avoid.push(seat.place.member.id.clone());
    let other = next(site, inbound, tries, last_event).ok();
    let other = other.filter(|other| other.place.member.id != seat.place.member.id);
    if other.is_none() {
        tries.cause = cause;
        tries.avoid.pop();
    }
    other
}

/// Notes that a request shows no progress at its server.
pub fn note_stuck(site: &Site, inbound: &Inbound, seat: &Seat) {
    let now = site.now();
    seat.board(|board, place| board.stuck(now, place));
    metrics::counter!("wasabi_gateway_stuck_total", "service" => inbound.permit.service.to_string())
        .increment(1);
    let since = now.saturating_duration_since(seat.place.since);
    info!(target: wasabi_logs::REQUEST, request = inbound.head.id.as_str(),
        server = seat.place.member.id.as_str(), placed_ms = since.as_millis() as u64,
        expected_ms = seat.place.expected.as_millis() as u64; "no progress");
}

/// What a request has been through.
#[derive(Default)]
pub struct Tries {
    /// Sends that may have run.
    pub ran: u32,
    /// Sends in all.
    pub sent: usize,
    /// Servers that failed it.
    pub avoid: Vec<ServerId>,
    /// Why the last send failed.
    pub cause: &'static str,
    /// A server's own failure, passed on if nothing better comes.
    kept: Option<Response<Out>>,
}

/// Gives a request its next place, or says why it gets none.
pub fn next(
    site: &Rc<Site>,
    inbound: &Inbound,
    tries: &mut Tries,
    last_event: Option<u64>,
) -> Result<Seat> {
    let permit = &inbound.permit;
    let now = site.now();
    let ran = if tries.ran > 0 { Ran::Unknown } else { Ran::No };
    let left = inbound.deadline.saturating_duration_since(now);
    let refuse = |code: Code, detail: &str| {
        let wait = patience::pause(rand::rng().random(), left);
        answer::come_back(code, detail, wait).ran(ran)
    };
    let unavailable = |detail: &str| refuse(Code::ServerUnavailable, detail);
    if left < attempt::LEAST_TIME {
        return Err(Error::new(Code::AnswerTimeout, tries.cause).ran(Ran::Unknown));
    }
    if tries.sent > 0 {
        let spent = tries.ran >= permit.route.max_attempts
            || tries.sent >= permit.route.max_attempts as usize + TURNED_AWAY;
        let repeatable = tries.ran == 0 || permit.route.kind.is_repeatable();
        if spent || !repeatable {
            return Err(unavailable(tries.cause));
        }
        let hosts = site.hosts();
        if !site.ration(&permit.service, |ration| ration.repeat(now, hosts)) {
            return Err(unavailable("no budget to repeat"));
        }
    }
    if tries.sent == 0 && outlasts_host(site, inbound, now) {
        return Err(refuse(Code::Stopping, "it would be cut off here"));
    }
    admit::recheck(site, permit).map_err(|e| e.ran(ran))?;
    let patience = match tries.sent {
        0 => inbound.patience,
        _ => left,
    };
    let ask = Ask {
        prompt: inbound.head.prompt.as_ref(),
        patience,
        urgency: permit.urgency,
        avoid: &tries.avoid,
    };
    let mut boards = site.boards.borrow_mut();
    let Some(board) = boards.get_mut(&permit.service) else {
        return Err(unavailable("no servers are known"));
    };
    match board.place(now, &ask) {
        Ok(place) => {
            drop(boards);
            tries.sent += 1;
            let request = inbound.head.id.as_str();
            info!(target: wasabi_logs::REQUEST, request = request,
                server = place.member.id.as_str(), sent = tries.sent,
                expected_ms = place.expected.as_millis() as u64,
                work_ms = place.work_ms as u64,
                patience_ms = patience.as_millis() as u64,
                rank = permit.rank, urgency = permit.urgency,
                version = permit.catalog.version.0,
                after = tries.cause, resumed_after = last_event.unwrap_or(0); "placed");
            Ok(Seat::new(site.clone(), permit.service.clone(), place))
        }
        Err(Refusal::NoServer) => Err(unavailable("no server takes work")),
        Err(Refusal::TooLate(wait)) => {
            let pause = patience::come_back(wait, inbound.patience, left, rand::rng().random());
            let detail = format!("expected {} ms", wait.as_millis());
            Err(answer::come_back(Code::Overloaded, detail, pause).ran(ran))
        }
    }
}

/// Returns whether a stream may last longer than this host, which is stopping. Callers may still come
/// for some seconds; it is better for them to go elsewhere at once than to be cut off.
fn outlasts_host(site: &Site, inbound: &Inbound, now: Instant) -> bool {
    let (Some(end), Some(prompt)) = (site.stop_end(), &inbound.head.prompt) else { return false };
    inbound.permit.route.kind.is_stream() && now + patience::longest(prompt) > end
}

/// Handles what became of a send; none if the request may be sent again.
async fn settle(
    site: &Rc<Site>,
    inbound: &Rc<Inbound>,
    tries: &mut Tries,
    mut seat: Seat,
    outcome: Outcome,
) -> Option<Result<Response<Out>>> {
    let permit = &inbound.permit;
    match outcome {
        Outcome::Answer(answer) => {
            let status = answer.response.status();
            if let Some(load) = answer.reply.load {
                let now = site.now();
                seat.board(|board, place| board.report(now, place, load));
            }
            tries.ran += 1;
            if permit.route.kind.is_stream() && status.is_success() {
                return Some(Ok(stream::start(
                    site,
                    inbound.clone(),
                    std::mem::take(tries),
                    seat,
                    *answer,
                )));
            }
            match whole(site, inbound, &mut seat, *answer).await {
                Ok(done) if attempt::is_worth_repeating(permit.route.kind, done.status()) => {
                    tries.avoid.push(seat.place.member.id.clone());
                    tries.cause = "server error";
                    tries.kept = Some(done);
                    None
                }
                Ok(done) => Some(Ok(done)),
                Err(cause) => {
                    lost(site, inbound, tries, &mut seat, cause);
                    None
                }
            }
        }
        Outcome::NotRun(cause) => {
            seat.end = if cause == "turned away" { End::Rejected } else { End::Failed };
            tries.avoid.push(seat.place.member.id.clone());
            tries.cause = cause;
            log_try(site, inbound, &seat, "not run", cause);
            None
        }
        Outcome::Unknown(cause) => {
            tries.ran += 1;
            lost(site, inbound, tries, &mut seat, cause);
            None
        }
        Outcome::TimedOut => {
            tries.ran += 1;
            seat.end = End::Dropped;
            let error = Error::new(Code::AnswerTimeout, "").ran(Ran::Unknown);
            log_refusal(site, &inbound.head.id, Some(permit), inbound.arrived, &error);
            Some(Err(error))
        }
    }
}

fn lost(site: &Site, inbound: &Inbound, tries: &mut Tries, seat: &mut Seat, cause: &'static str) {
    seat.end = End::Failed;
    tries.avoid.push(seat.place.member.id.clone());
    tries.cause = cause;
    log_try(site, inbound, seat, "unknown", cause);
}

/// Reads an answer whole, so that one that breaks off is not begun.
async fn whole(
    site: &Rc<Site>,
    inbound: &Inbound,
    seat: &mut Seat,
    answer: Answer,
) -> std::result::Result<Response<Out>, &'static str> {
    let Answer { response, reply, lease } = answer;
    let (parts, body) = response.into_parts();
    let left = inbound.deadline.saturating_duration_since(site.now()) + LAST_WORD;
    let body = tokio::time::timeout(left, Limited::new(body, MAX_WHOLE_BYTES).collect()).await;
    let body = match body {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(_)) => return Err("answer broke off"),
        Err(_) => return Err("answer did not end in time"),
    };
    let now = site.now();
    lease.give_back(now, reply.keep);
    site.count_usage(inbound.permit.workspace.as_ref());
    seat.board(|board, place| board.started(now, place));
    seat.end = if parts.status.is_server_error() { End::Failed } else { End::Served };
    let mut done = Response::new(Out::Whole(body));
    *done.status_mut() = parts.status;
    *done.headers_mut() = reply::encode(&parts.headers);
    log_end(site, inbound, seat, "answered", parts.status, "");
    Ok(done)
}

impl Inbound {
    /// Returns the request as it is sent on, after `last_event` if a stream goes on.
    pub fn outgoing(&self, last_event: Option<u64>) -> Outgoing<'_> {
        Outgoing {
            parts: &self.parts,
            head: &self.head,
            body: &self.body,
            permit: &self.permit,
            deadline: self.deadline,
            last_event: last_event.or(self.head.last_event),
        }
    }
}

/// Logs how a request ended at a server that answered it.
pub fn log_end(
    site: &Site,
    inbound: &Inbound,
    seat: &Seat,
    outcome: &'static str,
    status: StatusCode,
    cause: &str,
) {
    let permit = &inbound.permit;
    let took = site.now().saturating_duration_since(inbound.arrived);
    let rank = permit.rank.to_string();
    metrics::counter!("wasabi_gateway_requests_total", "rank" => rank.clone(), "outcome" => outcome)
        .increment(1);
    metrics::histogram!("wasabi_gateway_request_seconds", "rank" => rank)
        .record(took.as_secs_f64());
    info!(target: wasabi_logs::REQUEST, request = inbound.head.id.as_str(),
        route = permit.route.name.as_str(), server = seat.place.member.id.as_str(),
        rank = permit.rank, status = status.as_u16(), took_ms = took.as_millis() as u64,
        cause = cause; "{outcome}");
}

/// Logs a send that failed.
pub fn log_try(
    site: &Site,
    inbound: &Inbound,
    seat: &Seat,
    ran: &'static str,
    cause: &'static str,
) {
    let since = site.now().saturating_duration_since(seat.place.since);
    metrics::counter!("wasabi_gateway_failed_sends_total", "ran" => ran, "cause" => cause)
        .increment(1);
    info!(target: wasabi_logs::REQUEST, request = inbound.head.id.as_str(),
        server = seat.place.member.id.as_str(), ran = ran, cause = cause,
        after_ms = since.as_millis() as u64; "send failed");
}

/// Logs an answer of the router's own.
pub fn log_refusal(
    site: &Site,
    id: &str,
    permit: Option<&Permit>,
    arrived: Instant,
    error: &Error,
) {
    let took = site.now().saturating_duration_since(arrived);
    let proof = site.config().map_or(0, |(_, age)| age.as_millis() as u64);
    let number = error.code.number();
    let rank = permit.map_or_else(|| "none".to_string(), |permit| permit.rank.to_string());
    metrics::counter!("wasabi_gateway_refusals_total", "rank" => rank, "code" => number.to_string())
        .increment(1);
    let ran = match error.ran {
        Ran::No => "not run",
        Ran::Yes => "ran",
        Ran::Unknown => "unknown",
    };
    info!(target: wasabi_logs::REQUEST, request = id,
        route = permit.map_or("", |permit| permit.route.name.as_str()),
        code = number, ran = ran, cause = error.detail.as_str(),
        proof_age_ms = proof, took_ms = took.as_millis() as u64,
        retry_after_ms = error.retry_after.map_or(0, |wait| wait.as_millis() as u64); "refused");
}
