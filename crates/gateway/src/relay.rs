//! The life cycle of one request: admission, placement, sending, response.
//!
//! A request that has not run is refused with the time after which to retry. One that may have run
//! is sent again only if its route is repeatable, and is never reported as not run.

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
use wasabi_answer::{broken::Broken, evidence, whole};
use wasabi_belief::{link::Connection, members};
use wasabi_core::{
    call::{Framing, RequestHead, ResponseHead},
    errors::{Code, Error, Ran, Result},
    units::{Build, RequestRate, ServerId},
};
use wasabi_platform::{head, reply};
use wasabi_policy::{
    balancer::{End, PlacementRequest, Refusal},
    quarantine::Feature,
    wait_limit,
};

use crate::{
    admit::{self, Admission},
    attempt::{self, BackendResponse, Outcome, Outgoing},
    buffers, closed_end, link_watch, origin,
    peer_relay::{self, Handover},
    quarantine,
    request_log::{Received, log_completed, log_failed_send, log_gateway_error},
    response::{self, ResponseBody},
    state::{CountGuard, PlacementGuard, State},
    stream,
};

/// How long past the deadline the rest of a buffered response that has begun is awaited.
pub const RESPONSE_GRACE: Duration = Duration::from_millis(40);
/// Placements allowed beyond the route's `max_attempts`, for sends that servers did not run.
const MAX_EXTRA_PLACEMENTS: usize = 2;
/// The `cause` in logs and metrics of a send that showed no progress.
pub const STUCK: &str = "stuck";

/// A caller's request with its complete body, admitted and ready to be placed.
pub struct AdmittedRequest {
    /// The HTTP head as received.
    pub parts: Parts,
    /// The caller's id, key, timeout and prompt, decoded from the HTTP head.
    pub head: RequestHead,
    /// The complete body.
    pub body: Bytes,
    /// When the HTTP head had been received.
    pub arrived: Instant,
    /// The result of admission.
    pub admission: Admission,
    /// The earlier of the caller's deadline and the route's timeout.
    pub deadline: Instant,
    /// The first placement is refused if a longer wait is expected, for the first event of a stream
    /// or for a plain response.
    pub max_wait: Duration,
    /// What the request has in common with others; known once the service is.
    pub features: Vec<Feature>,
    /// The same for requests of one caller with the same method, path and body.
    pub content: Feature,
    /// What the peer said that handed it over, if one did.
    pub handover: Option<Handover>,
}

/// Handles a request of a caller, or one that a peer hands over; errors become error responses.
pub async fn serve(
    state: Rc<State>,
    request: Request<Incoming>,
    handover: Option<Handover>,
) -> Response<ResponseBody> {
    let arrived = state.now();
    let (parts, body) = request.into_parts();
    let head = head::decode(&parts.headers);
    let _running = CountGuard::request(&state);
    if let Some(handover) = &handover {
        peer_relay::log_taken_over(&head.id, handover);
    }
    let may_have_run = handover.as_ref().is_some_and(|handover| handover.possible_runs > 0);
    let response = match receive(&state, arrived, parts, head, body).await {
        Ok(inbound) => find_origin_and_send(&state, AdmittedRequest { handover, ..inbound }).await,
        Err((id, error)) => {
            log_gateway_error(&state, &id, None, arrived, &error);
            Err(error)
        }
    };
    response.unwrap_or_else(|error| {
        // An error before the first send here does not count the sends of the peer.
        let ran = if may_have_run && error.ran == Ran::No { Ran::Unknown } else { error.ran };
        response::error_response(&error.ran(ran))
    })
}

/// Admits a request and reads its body.
async fn receive(
    state: &Rc<State>,
    arrived: Instant,
    parts: Parts,
    head: RequestHead,
    body: Incoming,
) -> std::result::Result<AdmittedRequest, (String, Error)> {
    let id = head.id.clone();
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let admission = admit::admit(state, host, parts.uri.path(), &head);
    let admission = admission.map_err(|e| (id.clone(), e))?;
    let timeout = admission.route.timeout;
    let time_limit = head.caller_timeout.map_or(timeout, |limit| limit.min(timeout));
    let deadline = arrived + time_limit;
    let max_body = admission.catalog.limits.max_body.0 as usize;
    let body = tokio::time::timeout(time_limit, Limited::new(body, max_body).collect()).await;
    let body = match body {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
            return Err((id, Error::new(Code::BodyTooLarge, "")));
        }
        Ok(Err(e)) => return Err((id, Error::new(Code::HeadInvalid, format!("body: {e}")))),
        Err(_) => return Err((id, Error::new(Code::ReceiveTimeout, ""))),
    };
    // A stream that goes on may wait as long as a request that comes back after a refusal.
    let is_retry = head.resumes.is_some()
        || head.caller_timeout.is_some_and(|limit| wait_limit::looks_like_retry(limit, timeout));
    let max_wait = wait_limit::max_wait(&admission.catalog, &admission.route, time_limit, is_retry);
    let content = quarantine::content(&admission, &parts, &body);
    Ok(AdmittedRequest {
        parts,
        head,
        body,
        arrived,
        admission,
        deadline,
        max_wait,
        features: Vec::new(),
        content,
        handover: None,
    })
}

/// Sends a request; a stream that the caller takes up goes to the service and the software version at
/// which it began.
async fn find_origin_and_send(
    state: &Rc<State>,
    mut inbound: AdmittedRequest,
) -> Result<Response<ResponseBody>> {
    let known = inbound.handover.as_ref().and_then(|handover| handover.origin.clone());
    let found = match known {
        Some(origin) => Ok(Some(origin)),
        None => origin::find(state, &inbound).await,
    };
    let origin = found.and_then(|origin| {
        if let Some(origin) = &origin {
            admit::choose_service(&mut inbound.admission, &origin.service)?;
            let AdmittedRequest { admission, parts, body, .. } = &inbound;
            inbound.content = quarantine::content(admission, parts, body);
        }
        Ok(origin)
    });
    inbound.features = quarantine::features(&inbound);
    match origin {
        Ok(origin) => {
            let build = origin.map(|origin| origin.build);
            place_and_send(state, Rc::new(inbound), build).await
        }
        Err(error) => {
            let (id, arrived) = (&inbound.head.id, inbound.arrived);
            log_gateway_error(state, id, Some(&inbound.admission), arrived, &error);
            Err(error)
        }
    }
}

/// Places and sends a request until it has a response or may not be sent again; `build` is the only
/// software version that may run it, if it goes on with a stream.
async fn place_and_send(
    state: &Rc<State>,
    inbound: Rc<AdmittedRequest>,
    build: Option<Build>,
) -> Result<Response<ResponseBody>> {
    let admission = &inbound.admission;
    let possible_runs = inbound.handover.as_ref().map_or(0, |handover| handover.possible_runs);
    let refused = inbound.handover.as_ref().map(|handover| handover.refused.clone());
    let refused = refused.unwrap_or_default();
    let mut history = SendHistory { build, possible_runs, refused, ..SendHistory::default() };
    let mut counted_by_budget = possible_runs > 0;
    loop {
        if state.is_cut_off()
            && let Some(response) = hand_over(state, &inbound, &mut history).await
        {
            return response;
        }
        if !std::mem::replace(&mut counted_by_budget, true) {
            let now = state.now();
            state.with_repeat_budget(&admission.service, |budget| budget.record_first_send(now));
        }
        let guard = match place(state, &inbound, &mut history, None) {
            Ok(guard) => guard,
            Err(error) => {
                if let Some(response) = history.fallback.take() {
                    return Ok(response);
                }
                if error.code == Code::ServerUnavailable
                    && let Some(response) = hand_over(state, &inbound, &mut history).await
                {
                    return response;
                }
                log_gateway_error(
                    state,
                    &inbound.head.id,
                    Some(admission),
                    inbound.arrived,
                    &error,
                );
                return Err(error);
            }
        };
        let (guard, outcome) =
            send_until_finished(state, &inbound, &mut history, guard, None).await;
        if let Some(response) = handle_outcome(state, &inbound, &mut history, guard, outcome).await
        {
            return response;
        }
    }
}

/// Hands a request to a peer if this host does not reach servers; see [`peer_relay::hand_over`]. An error
/// is logged.
async fn hand_over(
    state: &Rc<State>,
    inbound: &Rc<AdmittedRequest>,
    history: &mut SendHistory,
) -> Option<Result<Response<ResponseBody>>> {
    match peer_relay::hand_over(state, inbound, history, None).await? {
        Ok(answer) if is_stream(inbound, answer.response.status(), &answer.head) => {
            let history = std::mem::take(history);
            Some(Ok(stream::start_at_peer(state, inbound.clone(), history, answer)))
        }
        Ok(answer) => Some(Ok(answer.response)),
        Err(error) => {
            let (id, admission) = (&inbound.head.id, Some(&inbound.admission));
            log_gateway_error(state, id, admission, inbound.arrived, &error);
            Some(Err(error))
        }
    }
}

/// Whether an answer is passed on event by event; others are passed on whole.
fn is_stream(inbound: &AdmittedRequest, status: StatusCode, head: &ResponseHead) -> bool {
    let may_be_events = head.content.may_be_events();
    inbound.admission.route.kind.is_stream() && status == StatusCode::OK && may_be_events
}

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
                log_failed_send(state, inbound, &guard, "unknown", STUCK, None);
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
    // The next placement must see that the stuck send may have run.
    history.possible_runs += 1;
    if let Some(other) = place_elsewhere(state, inbound, history, guard, last_event) {
        return SendProgress::Stuck(Box::new(other));
    }
    history.possible_runs -= 1;
    SendProgress::Finished(sending.await)
}

/// Returns a placement on another server for a request that is stuck; `None` if it has to stay.
pub fn place_elsewhere(
    state: &Rc<State>,
    inbound: &AdmittedRequest,
    history: &mut SendHistory,
    guard: &PlacementGuard,
    last_event: Option<u64>,
) -> Option<PlacementGuard> {
    let previous_cause = std::mem::replace(&mut history.last_cause, STUCK);
    history.avoid.push(guard.placement.member.id.clone());
    let other = place(state, inbound, history, last_event).ok();
    let other = other.filter(|other| other.placement.member.id != guard.placement.member.id);
    if other.is_none() {
        history.last_cause = previous_cause;
        history.avoid.pop();
    }
    other
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

/// The sends of one request so far.
#[derive(Default)]
pub struct SendHistory {
    /// Sends that a server may have run. For resumed streams all failed sends count, except those
    /// that a server rejected.
    pub possible_runs: u32,
    /// Placements so far, also those that were dropped again or not sent.
    pub placements: usize,
    /// Servers that failed the request or where it was stuck.
    pub avoid: Vec<ServerId>,
    /// Servers that refused the request. It is not sent to them again: a refusal that is written once more
    /// could not be told from the answer.
    pub refused: Vec<ServerId>,
    /// Whether the request has been counted as usage.
    pub counted: bool,
    /// The software version that began the stream, once the caller has an event of it.
    pub build: Option<Build>,
    /// Why the last send failed; empty before the first failure.
    pub last_cause: &'static str,
    /// A server's 5xx response, passed on if no later send gets a response.
    fallback: Option<Response<ResponseBody>>,
}

impl SendHistory {
    /// Counts the request as usage, once however many servers run it.
    pub fn count_usage(&mut self, state: &State, inbound: &AdmittedRequest) {
        if !std::mem::replace(&mut self.counted, true) {
            state.count_usage(inbound.admission.workspace.as_ref());
        }
    }
}

/// Places a request for its first or next send.
///
/// Fails if the time, the attempts or the repeat budget are used up, if the request may not run
/// twice, if it might be cut off by this host's stop, if its key is no longer proven to be in
/// force, if requests like it crash servers, or if no server can take it in time.
pub fn place(
    state: &Rc<State>,
    inbound: &AdmittedRequest,
    history: &mut SendHistory,
    last_event: Option<u64>,
) -> Result<PlacementGuard> {
    let admission = &inbound.admission;
    let now = state.now();
    let ran = if history.possible_runs > 0 { Ran::Unknown } else { Ran::No };
    let remaining = inbound.deadline.saturating_duration_since(now);
    let refuse = |code: Code, detail: &str| {
        let wait = wait_limit::unplaced_retry_delay(rand::rng().random(), remaining);
        response::retry_later(code, detail, wait).ran(ran)
    };
    let unavailable = |detail: &str| refuse(Code::ServerUnavailable, detail);
    if remaining < attempt::MIN_REMAINING_TIME {
        return Err(Error::new(Code::AnswerTimeout, history.last_cause).ran(Ran::Unknown));
    }
    if history.placements > 0 || history.possible_runs > 0 {
        let exhausted = history.possible_runs >= admission.route.max_attempts
            || history.placements >= admission.route.max_attempts as usize + MAX_EXTRA_PLACEMENTS;
        let repeatable = history.possible_runs == 0 || admission.route.kind.is_repeatable();
        if exhausted || !repeatable {
            return Err(unavailable(history.last_cause));
        }
        let hosts = state.live_hosts();
        if !state.with_repeat_budget(&admission.service, |budget| budget.try_repeat(now, hosts)) {
            return Err(unavailable("no budget to repeat"));
        }
    }
    if history.placements == 0 && may_outlast_host(state, inbound, now) {
        return Err(refuse(Code::Stopping, "it would be cut off here"));
    }
    admit::check_key(state, admission).map_err(|e| e.ran(ran))?;
    if state.has_outdated_servers() {
        return Err(refuse(Code::Isolated, "other hosts have a younger list of servers"));
    }
    if let Some(refusal) = state.check_quarantine(&inbound.features) {
        return Err(refusal.error().ran(ran));
    }
    let max_wait = match history.placements {
        0 => inbound.max_wait,
        _ => remaining,
    };
    let placement_request = PlacementRequest {
        prompt: inbound.head.prompt.as_ref(),
        max_wait,
        urgency: admission.urgency,
        build: history.build.as_ref(),
        avoid: &history.avoid,
        refused: &history.refused,
    };
    let mut balancers = state.balancers.borrow_mut();
    let Some(balancer) = balancers.get_mut(&admission.service) else {
        return Err(unavailable("no servers are known"));
    };
    match balancer.place(now, &placement_request) {
        Ok(placement) => {
            drop(balancers);
            history.placements += 1;
            state.quarantine.borrow_mut().record_sent(now, &inbound.features);
            let instance = members::instance(&placement.member);
            let limit = state.limits.borrow().limit(&instance).map(RequestRate::per_second);
            if limit.is_some() {
                metrics::counter!("wasabi_gateway_limited_placements_total",
                    "service" => placement.member.service.to_string())
                .increment(1);
            }
            let continued_by = match (last_event, inbound.continues()) {
                (Some(_), _) => Some("host"),
                (None, true) => Some("caller"),
                (None, false) => None,
            };
            if let Some(by) = continued_by {
                metrics::counter!("wasabi_gateway_continued_streams_total", "by" => by)
                    .increment(1);
            }
            let request = inbound.head.id.as_str();
            info!(target: wasabi_logs::REQUEST_TARGET, request = request,
                server = placement.member.id.as_str(), domain = placement.member.domain.as_str(),
                sent = history.placements,
                expected_ms = placement.expected_wait.as_millis() as u64,
                work_ms = placement.prefill_ms as u64,
                patience_ms = max_wait.as_millis() as u64,
                rank = admission.rank, urgency = admission.urgency,
                version = admission.catalog.version.0, limit = limit,
                build = placement.member.build.as_str(),
                content = inbound.content.to_string().as_str(),
                resumes = inbound.head.resumes.as_deref().unwrap_or_default(),
                after = history.last_cause, resumed_after = last_event.or(inbound.head.last_event).unwrap_or(0); "placed");
            Ok(PlacementGuard::new(state.clone(), admission.service.clone(), placement))
        }
        Err(Refusal::NoServer) if history.build.is_some() => {
            Err(unavailable("no server of the version that began the stream"))
        }
        Err(Refusal::NoServer) => Err(unavailable("no server takes work")),
        Err(Refusal::Paused(wait)) => {
            let wait = wait_limit::after_pause(wait, rand::rng().random());
            Err(response::retry_later(
                Code::Overloaded,
                "all servers pause or are at their limits",
                wait,
            )
            .ran(ran))
        }
        Err(Refusal::NoServerInTime(wait)) => {
            let pause = wait_limit::late_retry_delay(
                wait,
                inbound.max_wait,
                remaining,
                rand::rng().random(),
            );
            let detail = match history.refused.is_empty() {
                true => format!("expected {} ms", wait.as_millis()),
                false => attempt::TURNED_AWAY.to_string(),
            };
            Err(response::retry_later(Code::Overloaded, detail, pause).ran(ran))
        }
    }
}

/// Returns whether this host is stopping and a stream may last longer than the time that is left.
///
/// A stopping host still gets requests for some seconds; a caller that is refused at once can try
/// another host, while one that is served might be cut off.
fn may_outlast_host(state: &State, inbound: &AdmittedRequest, now: Instant) -> bool {
    let (Some(end), Some(prompt)) = (state.drain_end(), &inbound.head.prompt) else { return false };
    inbound.admission.route.kind.is_stream() && now + wait_limit::max_stream_duration(prompt) > end
}

/// Handles the outcome of a send; returns `None` if the request should be placed again.
async fn handle_outcome(
    state: &Rc<State>,
    inbound: &Rc<AdmittedRequest>,
    history: &mut SendHistory,
    mut guard: PlacementGuard,
    outcome: Outcome,
) -> Option<Result<Response<ResponseBody>>> {
    let admission = &inbound.admission;
    match outcome {
        Outcome::Responded(backend_response) => {
            let status = backend_response.http.status();
            if let Some(load) = backend_response.reply.load {
                let now = state.now();
                guard.with_balancer(|balancer, placement| balancer.observe(now, placement, load));
            }
            history.possible_runs += 1;
            if is_stream(inbound, status, &backend_response.reply) {
                return Some(Ok(stream::start(
                    state,
                    inbound.clone(),
                    std::mem::take(history),
                    guard,
                    *backend_response,
                )));
            }
            match buffer_response(state, inbound, history, &mut guard, *backend_response).await {
                Ok(response) if attempt::is_retryable(admission.route.kind, response.status()) => {
                    history.avoid.push(guard.placement.member.id.clone());
                    history.last_cause = "server error";
                    history.fallback = Some(response);
                    None
                }
                Ok(response) => Some(Ok(response)),
                Err(cause) => {
                    record_failed_send(state, inbound, history, &mut guard, cause);
                    None
                }
            }
        }
        Outcome::TurnedAway => {
            guard.end = End::Rejected;
            history.refused.push(guard.placement.member.id.clone());
            record_unrun_send(state, inbound, history, &guard, attempt::TURNED_AWAY);
            None
        }
        Outcome::NotRun(cause) => {
            guard.end = End::Failed;
            record_unrun_send(state, inbound, history, &guard, cause);
            None
        }
        Outcome::Unknown(cause) => {
            history.possible_runs += 1;
            record_failed_send(state, inbound, history, &mut guard, cause);
            None
        }
        Outcome::TimedOut => {
            history.possible_runs += 1;
            guard.end = End::Abandoned;
            let error = Error::new(Code::AnswerTimeout, "").ran(Ran::Unknown);
            log_gateway_error(state, &inbound.head.id, Some(admission), inbound.arrived, &error);
            Some(Err(error))
        }
    }
}

/// Records a send that failed and has not run.
fn record_unrun_send(
    state: &State,
    inbound: &AdmittedRequest,
    history: &mut SendHistory,
    guard: &PlacementGuard,
    cause: &'static str,
) {
    history.avoid.push(guard.placement.member.id.clone());
    history.last_cause = cause;
    log_failed_send(state, inbound, guard, "not run", cause, None);
}

/// Records a send that failed and may have run.
fn record_failed_send(
    state: &State,
    inbound: &AdmittedRequest,
    history: &mut SendHistory,
    guard: &mut PlacementGuard,
    cause: &'static str,
) {
    guard.end = End::Failed;
    history.avoid.push(guard.placement.member.id.clone());
    history.last_cause = cause;
    // How the end was marked is not known here; that matters only for event streams, which are rarely buffered.
    state.record_failed_run(guard, &inbound.features, cause, Framing::Close);
    log_failed_send(state, inbound, guard, "unknown", cause, None);
}

/// Buffers a response, so that the caller gets no part of one that breaks off. Once it is complete,
/// releases the connection, counts usage, and records the end in the balancer and the log.
async fn buffer_response(
    state: &Rc<State>,
    inbound: &AdmittedRequest,
    history: &mut SendHistory,
    guard: &mut PlacementGuard,
    backend_response: BackendResponse,
) -> std::result::Result<Response<ResponseBody>, &'static str> {
    let BackendResponse { http, reply, connection } = backend_response;
    let (parts, body) = http.into_parts();
    let remaining = inbound.deadline.saturating_duration_since(state.now()) + RESPONSE_GRACE;
    let collecting = async {
        let (body, reservation) = buffers::collect(&state.response_memory, body).await?;
        whole::check(reply.framing, reply.content, &body).map_err(Broken::cause)?;
        if evidence::is_needed(reply.framing, reply.content, &body) {
            let id = &inbound.head.id;
            closed_end::confirm(state, guard, id, connection, reply.keep_alive).await?;
        } else {
            connection.release(state.now(), reply.keep_alive);
        }
        Ok((body, reservation))
    };
    let (body, reservation) = tokio::time::timeout(remaining, collecting)
        .await
        .unwrap_or(Err("answer did not end in time"))?;
    let now = state.now();
    history.count_usage(state, inbound);
    state.record_sound_run(inbound);
    guard.with_balancer(|balancer, placement| balancer.record_first_output(now, placement));
    guard.end = if parts.status.is_server_error() { End::Failed } else { End::Served };
    let bytes = body.len() as u64;
    let mut response = Response::new(ResponseBody::Full(body, reservation));
    *response.status_mut() = parts.status;
    *response.headers_mut() = reply::forwarded_headers(&parts.headers);
    let received = Received { framing: reply.framing, bytes, ..Received::default() };
    log_completed(state, inbound, guard, "answered", parts.status, &received);
    Ok(response)
}

impl AdmittedRequest {
    /// Whether the caller takes up a stream of which it has some events.
    pub fn continues(&self) -> bool {
        self.head.resumes.is_some() || self.head.last_event.is_some_and(|event| event > 0)
    }

    /// Returns the request to send; a stream resumes after `last_event`.
    pub fn outgoing(&self, last_event: Option<u64>) -> Outgoing<'_> {
        Outgoing {
            parts: &self.parts,
            head: &self.head,
            body: &self.body,
            admission: &self.admission,
            deadline: self.deadline,
            last_event: last_event.or(self.head.last_event),
        }
    }
}
