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
pub async fn serve(state: Rc<Site>, request: Request<Incoming>) -> Response<Out> {
    let arrived = state.now();
    let (parts, body) = request.into_parts();
    let head = head::decode(&parts.headers);
    let _open = Open::request(&state);
    let answer = match receive(&state, arrived, parts, head, body).await {
        Ok(inbound) => run(&state, Rc::new(inbound)).await,
        Err((id, error)) => {
            log_refusal(&state, &id, None, arrived, &error);
            Err(error)
        }
    };
    answer.unwrap_or_else(|error| answer::error(&error))
}

/// Admits a request and reads its body.
async fn receive(
    state: &Rc<Site>,
    arrived: Instant,
    parts: Parts,
    head: Head,
    body: Incoming,
) -> std::result::Result<Inbound, (String, Error)> {
    let id = head.id.clone();
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let permit = admit::admit(state, host, parts.uri.path(), &head);
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
async fn run(state: &Rc<Site>, inbound: Rc<Inbound>) -> Result<Response<Out>> {
    let permit = &inbound.permit;
    let mut history = Tries::default();
    state.with_retry_budget(&permit.service, |budget| budget.first(state.now()));
    loop {
        let placement = match next(state, &inbound, &mut history, None) {
            Ok(placement) => placement,
            Err(error) => {
                if let Some(kept) = history.fallback.take() {
                    return Ok(kept);
                }
                log_refusal(state, &inbound.head.id, Some(permit), inbound.arrived, &error);
                return Err(error);
            }
        };
        let (placement, outcome) = send(state, &inbound, &mut history, placement, None).await;
        if let Some(done) = settle(state, &inbound, &mut history, placement, outcome).await {
            return done;
        }
    }
}

/// Sends a request to the server of `seat`, and to others while it is stuck there and may run twice;
/// returns what became of it and where.
pub async fn send(
    state: &Rc<Site>,
    inbound: &Inbound,
    history: &mut Tries,
    mut placement: Seat,
    last_event: Option<u64>,
) -> (Seat, Outcome) {
    loop {
        match send_once(state, inbound, history, &placement, last_event).await {
            Sent::Settled(outcome) => return (placement, outcome),
            Sent::Stuck(other) => {
                log_try(state, inbound, &placement, "unknown", STUCK);
                placement = other;
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
    state: &Rc<Site>,
    inbound: &Inbound,
    history: &mut Tries,
    placement: &Seat,
    last_event: Option<u64>,
) -> Sent {
    let outgoing = inbound.outgoing(last_event);
    let mut sending = pin!(attempt::send(state, placement, &outgoing));
    if let Ok(outcome) = tokio::time::timeout(placement.time_until_stuck(), sending.as_mut()).await
    {
        return Sent::Settled(outcome);
    }
    note_stuck(state, inbound, placement);
    // It counts as run there if it moves.
    history.may_have_run += 1;
    if let Some(other) = elsewhere(state, inbound, history, placement, last_event) {
        return Sent::Stuck(other);
    }
    history.may_have_run -= 1;
    Sent::Settled(sending.await)
}

/// Returns another place for a request that is stuck at `seat`; none if it has to stay there.
pub fn elsewhere(
    state: &Rc<Site>,
    inbound: &Inbound,
    history: &mut Tries,
    placement: &Seat,
    last_event: Option<u64>,
) -> Option<Seat> {
    let cause = std::mem::replace(&mut history.last_cause, STUCK);
    history.avoid.push(placement.place.member.id.clone());
    let other = next(state, inbound, history, last_event).ok();
    let other = other.filter(|other| other.place.member.id != placement.place.member.id);
    if other.is_none() {
        history.last_cause = cause;
        history.avoid.pop();
    }
    other
}

/// Notes that a request shows no progress at its server.
pub fn note_stuck(state: &Site, inbound: &Inbound, placement: &Seat) {
    let now = state.now();
    placement.with_board(|board, place| board.stuck(now, place));
    metrics::counter!("wasabi_gateway_stuck_total", "service" => inbound.permit.service.to_string())
        .increment(1);
    let since = now.saturating_duration_since(placement.place.since);
    info!(target: wasabi_logs::REQUEST, request = inbound.head.id.as_str(),
        server = placement.place.member.id.as_str(), placed_ms = since.as_millis() as u64,
        expected_ms = placement.place.expected.as_millis() as u64; "no progress");
}

/// What a request has been through.
#[derive(Default)]
pub struct Tries {
    /// Sends that may have run.
    pub may_have_run: u32,
    /// Sends in all.
    pub sends: usize,
    /// Servers that failed it.
    pub avoid: Vec<ServerId>,
    /// Why the last send failed.
    pub last_cause: &'static str,
    /// A server's own failure, passed on if nothing better comes.
    fallback: Option<Response<Out>>,
}

/// Gives a request its next place, or says why it gets none.
pub fn next(
    state: &Rc<Site>,
    inbound: &Inbound,
    history: &mut Tries,
    last_event: Option<u64>,
) -> Result<Seat> {
    let permit = &inbound.permit;
    let now = state.now();
    let ran = if history.may_have_run > 0 { Ran::Unknown } else { Ran::No };
    let left = inbound.deadline.saturating_duration_since(now);
    let refuse = |code: Code, detail: &str| {
        let wait = patience::pause(rand::rng().random(), left);
        answer::come_back(code, detail, wait).ran(ran)
    };
    let unavailable = |detail: &str| refuse(Code::ServerUnavailable, detail);
    if left < attempt::LEAST_TIME {
        return Err(Error::new(Code::AnswerTimeout, history.last_cause).ran(Ran::Unknown));
    }
    if history.sends > 0 {
        let spent = history.may_have_run >= permit.route.max_attempts
            || history.sends >= permit.route.max_attempts as usize + TURNED_AWAY;
        let repeatable = history.may_have_run == 0 || permit.route.kind.is_repeatable();
        if spent || !repeatable {
            return Err(unavailable(history.last_cause));
        }
        let hosts = state.live_hosts();
        if !state.with_retry_budget(&permit.service, |budget| budget.repeat(now, hosts)) {
            return Err(unavailable("no budget to repeat"));
        }
    }
    if history.sends == 0 && outlasts_host(state, inbound, now) {
        return Err(refuse(Code::Stopping, "it would be cut off here"));
    }
    admit::recheck(state, permit).map_err(|e| e.ran(ran))?;
    let patience = match history.sends {
        0 => inbound.patience,
        _ => left,
    };
    let ask = Ask {
        prompt: inbound.head.prompt.as_ref(),
        patience,
        urgency: permit.urgency,
        avoid: &history.avoid,
    };
    let mut boards = state.boards.borrow_mut();
    let Some(board) = boards.get_mut(&permit.service) else {
        return Err(unavailable("no servers are known"));
    };
    match board.place(now, &ask) {
        Ok(place) => {
            drop(boards);
            history.sends += 1;
            let request = inbound.head.id.as_str();
            info!(target: wasabi_logs::REQUEST, request = request,
                server = place.member.id.as_str(), sent = history.sends,
                expected_ms = place.expected.as_millis() as u64,
                work_ms = place.work_ms as u64,
                patience_ms = patience.as_millis() as u64,
                rank = permit.rank, urgency = permit.urgency,
                version = permit.catalog.version.0,
                after = history.last_cause, resumed_after = last_event.unwrap_or(0); "placed");
            Ok(Seat::new(state.clone(), permit.service.clone(), place))
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
fn outlasts_host(state: &Site, inbound: &Inbound, now: Instant) -> bool {
    let (Some(end), Some(prompt)) = (state.stop_end(), &inbound.head.prompt) else { return false };
    inbound.permit.route.kind.is_stream() && now + patience::longest(prompt) > end
}

/// Handles what became of a send; none if the request may be sent again.
async fn settle(
    state: &Rc<Site>,
    inbound: &Rc<Inbound>,
    history: &mut Tries,
    mut placement: Seat,
    outcome: Outcome,
) -> Option<Result<Response<Out>>> {
    let permit = &inbound.permit;
    match outcome {
        Outcome::Answer(answer) => {
            let status = answer.response.status();
            if let Some(load) = answer.reply.load {
                let now = state.now();
                placement.with_board(|board, place| board.report(now, place, load));
            }
            history.may_have_run += 1;
            if permit.route.kind.is_stream() && status.is_success() {
                return Some(Ok(stream::start(
                    state,
                    inbound.clone(),
                    std::mem::take(history),
                    placement,
                    *answer,
                )));
            }
            match whole(state, inbound, &mut placement, *answer).await {
                Ok(done) if attempt::is_worth_repeating(permit.route.kind, done.status()) => {
                    history.avoid.push(placement.place.member.id.clone());
                    history.last_cause = "server error";
                    history.fallback = Some(done);
                    None
                }
                Ok(done) => Some(Ok(done)),
                Err(cause) => {
                    lost(state, inbound, history, &mut placement, cause);
                    None
                }
            }
        }
        Outcome::NotRun(cause) => {
            placement.end = if cause == "turned away" { End::Rejected } else { End::Failed };
            history.avoid.push(placement.place.member.id.clone());
            history.last_cause = cause;
            log_try(state, inbound, &placement, "not run", cause);
            None
        }
        Outcome::Unknown(cause) => {
            history.may_have_run += 1;
            lost(state, inbound, history, &mut placement, cause);
            None
        }
        Outcome::TimedOut => {
            history.may_have_run += 1;
            placement.end = End::Dropped;
            let error = Error::new(Code::AnswerTimeout, "").ran(Ran::Unknown);
            log_refusal(state, &inbound.head.id, Some(permit), inbound.arrived, &error);
            Some(Err(error))
        }
    }
}

fn lost(
    state: &Site,
    inbound: &Inbound,
    history: &mut Tries,
    placement: &mut Seat,
    cause: &'static str,
) {
    placement.end = End::Failed;
    history.avoid.push(placement.place.member.id.clone());
    history.last_cause = cause;
    log_try(state, inbound, placement, "unknown", cause);
}

/// Reads an answer whole, so that one that breaks off is not begun.
async fn whole(
    state: &Rc<Site>,
    inbound: &Inbound,
    placement: &mut Seat,
    answer: Answer,
) -> std::result::Result<Response<Out>, &'static str> {
    let Answer { response, reply, lease } = answer;
    let (parts, body) = response.into_parts();
    let left = inbound.deadline.saturating_duration_since(state.now()) + LAST_WORD;
    let body = tokio::time::timeout(left, Limited::new(body, MAX_WHOLE_BYTES).collect()).await;
    let body = match body {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(_)) => return Err("answer broke off"),
        Err(_) => return Err("answer did not end in time"),
    };
    let now = state.now();
    lease.give_back(now, reply.keep);
    state.count_usage(inbound.permit.workspace.as_ref());
    placement.with_board(|board, place| board.started(now, place));
    placement.end = if parts.status.is_server_error() { End::Failed } else { End::Served };
    let mut done = Response::new(Out::Whole(body));
    *done.status_mut() = parts.status;
    *done.headers_mut() = reply::encode(&parts.headers);
    log_end(state, inbound, placement, "answered", parts.status, "");
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
    state: &Site,
    inbound: &Inbound,
    placement: &Seat,
    outcome: &'static str,
    status: StatusCode,
    cause: &str,
) {
    let permit = &inbound.permit;
    let took = state.now().saturating_duration_since(inbound.arrived);
    let rank = permit.rank.to_string();
    metrics::counter!("wasabi_gateway_requests_total", "rank" => rank.clone(), "outcome" => outcome)
        .increment(1);
    metrics::histogram!("wasabi_gateway_request_seconds", "rank" => rank)
        .record(took.as_secs_f64());
    info!(target: wasabi_logs::REQUEST, request = inbound.head.id.as_str(),
        route = permit.route.name.as_str(), server = placement.place.member.id.as_str(),
        rank = permit.rank, status = status.as_u16(), took_ms = took.as_millis() as u64,
        cause = cause; "{outcome}");
}

/// Logs a send that failed.
pub fn log_try(
    state: &Site,
    inbound: &Inbound,
    placement: &Seat,
    ran: &'static str,
    cause: &'static str,
) {
    let since = state.now().saturating_duration_since(placement.place.since);
    metrics::counter!("wasabi_gateway_failed_sends_total", "ran" => ran, "cause" => cause)
        .increment(1);
    info!(target: wasabi_logs::REQUEST, request = inbound.head.id.as_str(),
        server = placement.place.member.id.as_str(), ran = ran, cause = cause,
        after_ms = since.as_millis() as u64; "send failed");
}

/// Logs an answer of the router's own.
pub fn log_refusal(
    state: &Site,
    id: &str,
    permit: Option<&Permit>,
    arrived: Instant,
    error: &Error,
) {
    let took = state.now().saturating_duration_since(arrived);
    let proof = state.config().map_or(0, |(_, age)| age.as_millis() as u64);
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
