//! The life cycle of one request: admission, placement, sending, response.
//!
//! A request that has not run is refused with the time after which to retry. One that may have run
//! is sent again only if its route is repeatable, and is never reported as not run.

use std::{rc::Rc, time::Instant};

use hyper::{Request, Response, StatusCode, body::Incoming, header::HOST, http::request::Parts};
use wasabi_answer::{broken::Broken, evidence, whole};
use wasabi_core::{
    call::{Framing, RequestHead, ResponseHead},
    errors::{Code, Error, Ran, Result},
    units::Build,
};
use wasabi_platform::{head, reply};
use wasabi_policy::{balancer::End, wait_limit};

use crate::{
    guard::{CountGuard, PlacementGuard},
    receive::{
        admit::{self},
        buffers,
        request::AdmittedRequest,
        request_body,
        request_log::{Received, log_completed, log_failed_send, log_gateway_error},
        response::{self, ResponseBody},
    },
    send::{
        attempt::{self, BackendResponse, Outcome},
        cause, closed_end,
        handover::Handover,
        history::SendHistory,
        origin, peer_relay, placement, quarantine, sending, stream,
    },
    state::State,
};

/// Handles a request of a caller, or one that a peer hands over; errors become error responses.
pub async fn serve(
    state: Rc<State>,
    request: Request<Incoming>,
    handover: Option<Handover>,
) -> Response<ResponseBody> {
    let arrived = state.now();
    let (parts, body) = request.into_parts();
    let head = head::decode(&parts.headers);
    let id = head.id.clone();
    let _running = CountGuard::request(&state);
    if let Some(handover) = &handover {
        peer_relay::log_taken_over(&head.id, handover);
    }
    let may_have_run = handover.as_ref().is_some_and(|handover| handover.possible_runs > 0);
    let response = match receive(&state, arrived, parts, head, body).await {
        Ok(inbound) => {
            let inbound = AdmittedRequest { handover, ..inbound };
            tokio::select! {
                response = find_origin_and_send(&state, inbound) => response,
                () = state.stop_over.notified() => Err(cut_by_stop(&state, &id, arrived)),
            }
        }
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

/// Gives up a request that has no answer at the end of this host's stop. A server may have run it.
fn cut_by_stop(state: &State, id: &str, arrived: Instant) -> Error {
    let error = Error::new(Code::AnswerBroken, "the host stops").ran(Ran::Unknown);
    log_gateway_error(state, id, None, arrived, &error);
    error
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
    let read = request_body::read(&state.body_memory, body, max_body, time_limit).await;
    let (body, body_memory) = read.map_err(|e| (id, e))?;
    // A stream that goes on may wait as long as a request that comes back after a refusal.
    let is_return = head.resumes.is_some()
        || head.caller_timeout.is_some_and(|limit| wait_limit::looks_like_retry(limit, timeout));
    let [first_wait, max_wait] = [false, is_return].map(|is_return| {
        wait_limit::max_wait(&admission.catalog, &admission.route, time_limit, is_return)
    });
    let content = quarantine::content(&admission, &parts, &body);
    Ok(AdmittedRequest {
        parts,
        head,
        body,
        body_memory,
        arrived,
        admission,
        deadline,
        max_wait,
        first_wait,
        is_return,
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
        let guard = match placement::place(state, &inbound, &mut history, None) {
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
            sending::send_until_finished(state, &inbound, &mut history, guard, None).await;
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

/// Handles the outcome of a send; returns `None` if the request should be placed again.
async fn handle_outcome(
    state: &Rc<State>,
    inbound: &Rc<AdmittedRequest>,
    history: &mut SendHistory,
    mut guard: PlacementGuard,
    outcome: Outcome,
) -> Option<Result<Response<ResponseBody>>> {
    let admission = &inbound.admission;
    let is_misdirected = matches!(outcome, Outcome::Misdirected);
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
        Outcome::TurnedAway | Outcome::Misdirected => {
            guard.end = End::Rejected;
            history.misdirected += usize::from(is_misdirected);
            history.refused.push(guard.placement.member.id.clone());
            record_unrun_send(state, inbound, history, &guard, cause::TURNED_AWAY);
            None
        }
        Outcome::NotRun(cause) => {
            history.unsent += 1;
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
    let remaining =
        inbound.deadline.saturating_duration_since(state.now()) + buffers::RESPONSE_GRACE;
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
