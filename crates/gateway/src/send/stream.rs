//! Streamed responses: complete events are forwarded as they arrive. A stream that breaks off is
//! resumed at another server if the route allows it; otherwise the caller's connection is broken
//! off, so that the response cannot be taken for complete.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::{Response, StatusCode};
use log::info;
use wasabi_answer::{
    body::{self, Producer},
    evidence,
};
use wasabi_belief::{
    link::Connection,
    origins::{self, Origin},
};
use wasabi_core::{
    call::{Content, Framing},
    errors::Code,
    member::Member,
};
use wasabi_policy::{
    balancer::End,
    quarantine::SOUND_AFTER,
    stuck::{self, Due},
};

use crate::{
    guard::{CountGuard, PlacementGuard},
    receive::{
        buffers::Reservation,
        request::AdmittedRequest,
        request_log::{self, Received},
        response::ResponseBody,
    },
    send::{
        attempt::{self, BackendResponse, Outcome},
        cause, closed_end,
        connection_pool::{Identity, Opened, PooledConnection},
        continuation,
        event_gaps::EventGaps,
        events::Sequence,
        history::SendHistory,
        identity, link_watch, placement, sending,
    },
    state::State,
};

mod from_peer;
mod queue;

pub use from_peer::start_at_peer;

/// Parts that are queued for a slow caller.
const MAX_QUEUED_PARTS: usize = 4;

/// Starts a task that forwards a stream, and returns the response that it feeds.
pub fn start(
    state: &Rc<State>,
    inbound: Rc<AdmittedRequest>,
    history: SendHistory,
    guard: PlacementGuard,
    backend_response: BackendResponse,
) -> Response<ResponseBody> {
    let (stream, response) = StreamRelay::new(state, inbound, history, &backend_response.http);
    let running = CountGuard::request(state);
    tokio::task::spawn_local(async move {
        let _running = running;
        stream.run(guard, backend_response).await;
    });
    response
}

/// Forwards one stream to a caller, from one backend server after another.
struct StreamRelay {
    state: Rc<State>,
    inbound: Rc<AdmittedRequest>,
    history: SendHistory,
    /// Passes the stream on; the caller gets a broken response unless it is finished.
    producer: Producer,
    events: Sequence,
    /// Whether any event has been received.
    first_event_seen: bool,
    /// The memory of events that are received or queued and not taken by the caller.
    reservation: Reservation,
    /// The size of the events that were queued last.
    queued_bytes: usize,
    /// Whether the caller did not read for [`queue::UNREAD_TIME`] during the current server's part.
    part_is_unread: bool,
    gaps: EventGaps,
    /// How the end of the current server's part is marked.
    framing: Framing,
    /// Bytes received of the current server's part.
    received_bytes: u64,
    /// When the first event of the current server's part was received.
    part_began_at: Option<Instant>,
    /// Whether the current server has generated for [`SOUND_AFTER`].
    part_is_sound: bool,
    /// The connection of the current server's part.
    part_opened: Option<Opened>,
    /// The server that began the stream, while its version is not proven.
    unproven: Option<(Member, Opened)>,
}

/// How one server's part of a stream ended.
enum PartEnd {
    Complete,
    Broken(&'static str),
    /// The server shows no progress; the placement to move to.
    Stuck(Box<PlacementGuard>),
    CallerLeft,
    OutOfTime,
}

impl StreamRelay {
    /// Creates the stream that begins with `first`, and the response to the caller.
    fn new<B>(
        state: &Rc<State>,
        inbound: Rc<AdmittedRequest>,
        history: SendHistory,
        first: &Response<B>,
    ) -> (Self, Response<ResponseBody>) {
        let (producer, body) = body::channel(MAX_QUEUED_PARTS, |_| {});
        let mut response = Response::new(ResponseBody::Stream(body));
        *response.status_mut() = first.status();
        *response.headers_mut() = attempt::stream_headers(first.headers());
        let events = Sequence::after(inbound.head.last_event);
        let stream = Self {
            reservation: state.response_memory.reserve(),
            queued_bytes: 0,
            part_is_unread: false,
            state: state.clone(),
            inbound,
            history,
            producer,
            events,
            first_event_seen: false,
            gaps: EventGaps::default(),
            framing: Framing::default(),
            received_bytes: 0,
            part_began_at: None,
            part_is_sound: false,
            part_opened: None,
            unproven: None,
        };
        (stream, response)
    }

    async fn run(mut self, mut guard: PlacementGuard, mut backend_response: BackendResponse) {
        loop {
            match self.forward(&mut guard, backend_response).await {
                PartEnd::Complete => {
                    self.producer.finish();
                    guard.end = End::Served;
                    self.state.record_sound_run(&self.inbound);
                    self.log_completed(&guard, "streamed");
                    return;
                }
                PartEnd::CallerLeft => {
                    self.log_completed(&guard, "caller left");
                    return;
                }
                PartEnd::OutOfTime => {
                    self.log_completed(&guard, "cut at the deadline");
                    return;
                }
                ended @ (PartEnd::Broken(_) | PartEnd::Stuck(_)) => {
                    match self.switch_server(guard, ended).await {
                        Some((next, next_response)) => {
                            guard = next;
                            backend_response = next_response;
                        }
                        None => return,
                    }
                }
            }
        }
    }

    /// Leaves a server whose part of the stream broke off or is stuck; returns the placement and
    /// response with which the stream continues.
    async fn switch_server(
        &mut self,
        mut guard: PlacementGuard,
        ended: PartEnd,
    ) -> Option<(PlacementGuard, BackendResponse)> {
        let (cause, next) = match ended {
            PartEnd::Stuck(next) => (cause::STUCK, Some(*next)),
            PartEnd::Broken(cause::STREAM_BROKE_OFF) if self.part_is_unread => {
                self.history.last_cause = cause::UNREAD;
                (cause::UNREAD, None)
            }
            PartEnd::Broken(cause) => {
                guard.end = End::Failed;
                self.history.avoid.push(guard.placement.member.id.clone());
                self.history.last_cause = cause;
                self.record_link_failure(&guard, cause);
                if !self.part_is_sound {
                    let features = &self.inbound.features;
                    self.state.record_failed_run(&guard, features, cause, self.framing);
                }
                (cause, None)
            }
            PartEnd::Complete | PartEnd::CallerLeft | PartEnd::OutOfTime => return None,
        };
        let received = self.received();
        request_log::log_failed_send(
            &self.state,
            &self.inbound,
            &guard,
            "ran",
            cause,
            Some(&received),
        );
        drop(guard);
        self.resume(next).await
    }

    /// Records a broken connection, which may be the fault of this host's link.
    fn record_link_failure(&self, guard: &PlacementGuard, cause: &str) {
        if cause == cause::STREAM_BROKE_OFF {
            let server = &guard.placement.member.id;
            link_watch::record_failure(&self.state, server, Connection::Established);
        }
    }

    /// Forwards one server's part of the stream.
    async fn forward(
        &mut self,
        guard: &mut PlacementGuard,
        backend_response: BackendResponse,
    ) -> PartEnd {
        let BackendResponse { http, reply, connection } = backend_response;
        let mut body = http.into_body();
        (self.framing, self.received_bytes) = (reply.framing, 0);
        (self.part_began_at, self.part_is_sound, self.part_is_unread) = (None, false, false);
        self.part_opened = Some(connection.opened);
        self.events.start_part();
        self.gaps.start_part();
        let (now, deadline) = (self.state.now(), self.inbound.deadline);
        let mut watch = stuck::Watch::new(now, deadline, guard.time_until_stuck());
        loop {
            let now = self.state.now();
            while let Some(due) = watch.due(now) {
                match due {
                    Due::Deadline => return PartEnd::OutOfTime,
                    Due::Stuck => sending::record_stuck(&self.state, &self.inbound, guard),
                    Due::Leave => {
                        if let Some(next) = self.find_alternative(guard) {
                            return PartEnd::Stuck(Box::new(next));
                        }
                    }
                }
            }
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = self.producer.caller_gone().cancelled() => return PartEnd::CallerLeft,
                () = tokio::time::sleep(watch.remaining(now)) => continue,
            };
            let bytes = match frame {
                None => break,
                Some(Err(_)) => return PartEnd::Broken(cause::STREAM_BROKE_OFF),
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            self.received_bytes += bytes.len() as u64;
            let events = self.events.push(&bytes);
            if !self
                .reserve(events.as_ref().map_or(0, |events| events.as_ref().map_or(0, Bytes::len)))
            {
                return PartEnd::Broken(cause::TOO_LARGE);
            }
            let events = match events {
                Ok(Some(events)) => events,
                Ok(None) => continue,
                Err(broken) => return PartEnd::Broken(broken.cause()),
            };
            if let Some(ended) = self.pass_on(guard, events).await {
                return ended;
            }
            if let Some(broken) = self.events.broken() {
                return PartEnd::Broken(broken.cause());
            }
            watch.record_event(self.state.now());
        }
        match self.events.finish(reply.framing) {
            Ok(None) => {}
            Ok(Some(last_event)) => {
                if let Some(ended) = self.pass_on(guard, last_event).await {
                    return ended;
                }
            }
            Err(broken) => return PartEnd::Broken(broken.cause()),
        }
        if !evidence::is_needed(reply.framing, Content::Events, &[]) {
            connection.release(self.state.now(), reply.keep_alive);
            return PartEnd::Complete;
        }
        self.confirm_end(guard, connection, reply.keep_alive).await
    }

    /// Decides whether the current server has sent all of its part, the end of which its connection has
    /// marked.
    async fn confirm_end(
        &self,
        guard: &PlacementGuard,
        connection: PooledConnection,
        keep_alive: Option<Duration>,
    ) -> PartEnd {
        let remaining = self.inbound.deadline.saturating_duration_since(self.state.now());
        let id = &self.inbound.head.id;
        tokio::select! {
            confirmed = closed_end::confirm(&self.state, guard, id, connection, keep_alive) => {
                confirmed.map_or_else(PartEnd::Broken, |()| PartEnd::Complete)
            }
            () = self.producer.caller_gone().cancelled() => PartEnd::CallerLeft,
            () = tokio::time::sleep(remaining) => PartEnd::OutOfTime,
        }
    }

    /// Returns a placement on another server if the stream may be resumed there.
    fn find_alternative(&mut self, guard: &PlacementGuard) -> Option<PlacementGuard> {
        if !self.events.is_placed() {
            return None;
        }
        let last_id = self.events.last_id();
        placement::place_elsewhere(&self.state, &self.inbound, &mut self.history, guard, last_id)
    }

    /// Records the first event of the stream; later calls do nothing.
    fn record_first_event(&mut self, guard: &PlacementGuard) {
        if self.first_event_seen {
            return;
        }
        self.first_event_seen = true;
        self.record_origin(guard);
        let now: Instant = self.state.now();
        guard.with_balancer(|balancer, placement| balancer.record_first_output(now, placement));
        self.history.count_usage(&self.state, &self.inbound);
        let since_arrival = now.saturating_duration_since(self.inbound.arrived);
        let rank = self.inbound.admission.rank.to_string();
        metrics::histogram!("wasabi_gateway_first_event_seconds", "rank" => rank)
            .record(since_arrival.as_secs_f64());
        let since_placed = now.saturating_duration_since(guard.placement.since);
        info!(target: wasabi_logs::REQUEST_TARGET, request = self.inbound.head.id.as_str(),
            server = guard.placement.member.id.as_str(),
            first_ms = since_arrival.as_millis() as u64,
            placed_ms = since_placed.as_millis() as u64,
            expected_ms = guard.placement.expected_wait.as_millis() as u64; "first event");
    }

    /// Records where the stream has begun, or that it goes on. From now on it may only go on there.
    fn record_origin(&mut self, guard: &PlacementGuard) {
        let admission = &self.inbound.admission;
        if !admission.route.kind.is_repeatable() {
            return;
        }
        let build = guard.placement.member.build.clone();
        let begun = self.inbound.stream_id().unwrap_or_else(|| {
            origins::stream_id(admission.workspace.as_ref(), &self.inbound.head.id)
        });
        let origin = Origin { service: admission.service.clone(), build: build.clone() };
        self.history.build = Some(build);
        let opened = self.part_opened.filter(|opened| opened.identity != Identity::Listed);
        let Some(opened) = opened else { return self.state.record_origin(begun, origin) };
        let (state, member) = (self.state.clone(), guard.placement.member.clone());
        self.unproven = Some((member.clone(), opened));
        self.state.origins.borrow_mut().record_unproven(self.state.now(), begun);
        tokio::task::spawn_local(async move {
            if identity::is_listed(&state, &member, opened).await {
                state.record_origin(begun, origin);
            }
        });
    }

    /// Records once that the current server has generated for long enough.
    fn record_sound_part(&mut self) {
        let now = self.state.now();
        let began = *self.part_began_at.get_or_insert(now);
        if !self.part_is_sound && now.saturating_duration_since(began) >= SOUND_AFTER {
            self.part_is_sound = true;
            self.state.record_sound_run(&self.inbound);
        }
    }

    /// Resumes the stream at another server after the last event that was forwarded, first at
    /// `reserved` if that is given.
    async fn resume(
        &mut self,
        mut reserved: Option<PlacementGuard>,
    ) -> Option<(PlacementGuard, BackendResponse)> {
        if !self.inbound.admission.route.kind.is_repeatable() {
            return None;
        }
        if !self.events.is_placed() {
            info!(target: wasabi_logs::REQUEST_TARGET, request = self.inbound.head.id.as_str(),
                events = self.events.count(); "events without ids cannot go on elsewhere");
            return None;
        }
        if let Some((member, opened)) = self.unproven.take()
            && !identity::is_listed(&self.state, &member, opened).await
        {
            return None;
        }
        loop {
            let last_id = self.events.last_id();
            if self.state.is_cut_off() && self.continue_at_peer(last_id).await {
                return None;
            }
            let next = match reserved.take() {
                Some(guard) => Ok(guard),
                None => placement::place(&self.state, &self.inbound, &mut self.history, last_id),
            };
            let guard = match next {
                Ok(guard) => guard,
                Err(error) => {
                    if error.code == Code::ServerUnavailable && self.continue_at_peer(last_id).await
                    {
                        return None;
                    }
                    let admission = Some(&self.inbound.admission);
                    let id = &self.inbound.head.id;
                    request_log::log_gateway_error(
                        &self.state,
                        id,
                        admission,
                        self.inbound.arrived,
                        &error,
                    );
                    return None;
                }
            };
            let sending = sending::send_until_finished(
                &self.state,
                &self.inbound,
                &mut self.history,
                guard,
                last_id,
            );
            let (mut guard, outcome) = tokio::select! {
                sent = sending => sent,
                () = self.producer.caller_gone().cancelled() => return None,
            };
            let is_misdirected = matches!(outcome, Outcome::Misdirected);
            let (cause, ran) = match outcome {
                Outcome::Responded(response) => {
                    let (status, id) = (response.http.status(), &self.inbound.head.id);
                    match continuation::check(status, &response.reply, id) {
                        Ok(()) => {
                            self.history.possible_runs += 1;
                            return Some((guard, *response));
                        }
                        Err(cause) => (cause, "unknown"),
                    }
                }
                Outcome::TurnedAway | Outcome::Misdirected => {
                    self.history.misdirected += usize::from(is_misdirected);
                    self.history.refused.push(guard.placement.member.id.clone());
                    (cause::TURNED_AWAY, "not run")
                }
                Outcome::NotRun(cause) => {
                    self.history.unsent += 1;
                    (cause, "not run")
                }
                Outcome::Unknown(cause) => (cause, "unknown"),
                Outcome::TimedOut => return None,
            };
            guard.end = End::Failed;
            let features = &self.inbound.features;
            self.state.record_failed_run(&guard, features, cause, Framing::Close);
            request_log::log_failed_send(&self.state, &self.inbound, &guard, ran, cause, None);
            self.history.possible_runs += u32::from(ran != "not run");
            self.history.avoid.push(guard.placement.member.id.clone());
            self.history.last_cause = cause;
        }
    }

    fn log_completed(&self, guard: &PlacementGuard, outcome: &'static str) {
        let (status, received) = (StatusCode::OK, self.received());
        request_log::log_completed(&self.state, &self.inbound, guard, outcome, status, &received);
    }

    fn received(&self) -> Received {
        Received {
            framing: self.framing,
            bytes: self.received_bytes,
            events: self.events.count(),
            last_event: self.events.last_id().unwrap_or(0),
            partial_bytes: self.events.partial_bytes(),
        }
    }
}
