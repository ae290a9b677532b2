//! Streams: whole events are passed on as they come; a stream that breaks off goes on at another
//! server where the route allows it, and is otherwise visibly broken off.

use std::{rc::Rc, time::Instant};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::{Response, StatusCode};
use log::info;
use wasabi_policy::{board::End, stall};

use crate::{
    answer::{Abort, Feed, Out},
    attempt::{self, Answer, Outcome},
    events::Splitter,
    relay::{self, Inbound, Tries},
    site::{Open, Seat, Site},
};

/// Begins to pass a stream on and returns its answer.
pub fn start(
    state: &Rc<Site>,
    inbound: Rc<Inbound>,
    history: Tries,
    placement: Seat,
    answer: Answer,
) -> Response<Out> {
    let (feed, out) = Out::stream();
    let mut response = Response::new(out);
    *response.status_mut() = answer.response.status();
    *response.headers_mut() = attempt::stream_headers(answer.response.headers());
    let open = Open::request(state);
    let pump = Pump {
        state: state.clone(),
        inbound,
        history,
        feed,
        events: Splitter::default(),
        began: false,
        last_event: None,
    };
    tokio::task::spawn_local(async move {
        let _open = open;
        pump.run(placement, answer).await;
    });
    response
}

struct Pump {
    state: Rc<Site>,
    inbound: Rc<Inbound>,
    history: Tries,
    feed: Feed,
    events: Splitter,
    /// Whether the first event has come.
    began: bool,
    /// When the last events came.
    last_event: Option<Instant>,
}

/// How one server's part of a stream ended.
enum Ended {
    Complete,
    Broken(&'static str),
    /// It shows no progress; there is a place elsewhere.
    Stuck(Seat),
    CallerLeft,
    OutOfTime,
}

impl Pump {
    async fn run(mut self, mut placement: Seat, mut answer: Answer) {
        loop {
            match self.pass(&mut placement, answer).await {
                Ended::Complete => {
                    placement.end = End::Served;
                    self.log(&placement, "streamed", "");
                    return;
                }
                Ended::CallerLeft => {
                    self.log(&placement, "caller left", "");
                    return;
                }
                Ended::OutOfTime => {
                    self.log(&placement, "cut at the deadline", "");
                    return self.abort().await;
                }
                ended @ (Ended::Broken(_) | Ended::Stuck(_)) => {
                    match self.leave(placement, ended).await {
                        Some((next, going)) => {
                            placement = next;
                            answer = going;
                        }
                        None => return self.abort().await,
                    }
                }
            }
        }
    }

    /// Leaves a server whose part of the stream has ended early; returns where the stream goes on.
    async fn leave(&mut self, mut placement: Seat, ended: Ended) -> Option<(Seat, Answer)> {
        let (cause, next) = match ended {
            Ended::Stuck(next) => (relay::STUCK, Some(next)),
            Ended::Broken(cause) => {
                placement.end = End::Failed;
                self.history.avoid.push(placement.place.member.id.clone());
                self.history.last_cause = cause;
                (cause, None)
            }
            Ended::Complete | Ended::CallerLeft | Ended::OutOfTime => return None,
        };
        relay::log_try(&self.state, &self.inbound, &placement, "ran", cause);
        self.events.drop_rest();
        drop(placement);
        self.resume(next).await
    }

    /// Passes on one server's part of the stream.
    async fn pass(&mut self, placement: &mut Seat, answer: Answer) -> Ended {
        let Answer { response, reply, lease } = answer;
        let mut body = response.into_body();
        let mut quiet = placement.time_until_stuck();
        let mut watched = true;
        loop {
            let left = self.inbound.deadline.saturating_duration_since(self.state.now());
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = self.feed.closed() => return Ended::CallerLeft,
                () = tokio::time::sleep(left) => return Ended::OutOfTime,
                () = tokio::time::sleep(quiet), if watched => {
                    watched = false;
                    match self.elsewhere(placement) {
                        Some(next) => return Ended::Stuck(next),
                        None => continue,
                    }
                }
            };
            let bytes = match frame {
                None => break,
                Some(Err(_)) => return Ended::Broken("stream broke off"),
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            let Some(events) = self.events.push(&bytes) else { continue };
            self.note_start(placement);
            self.note_gap();
            (quiet, watched) = (stall::BETWEEN_EVENTS, true);
            if !self.give(events).await {
                return Ended::CallerLeft;
            }
        }
        let rest = self.events.finish();
        if !rest.is_empty() && !self.give(rest).await {
            return Ended::CallerLeft;
        }
        lease.give_back(self.state.now(), reply.keep);
        Ended::Complete
    }

    /// Notes that the stream shows no progress; returns a place elsewhere, if it may go on there.
    fn elsewhere(&mut self, placement: &Seat) -> Option<Seat> {
        relay::note_stuck(&self.state, &self.inbound, placement);
        let last = self.events.last();
        relay::elsewhere(&self.state, &self.inbound, &mut self.history, placement, last)
    }

    /// Notes the first event of a server's part.
    fn note_start(&mut self, placement: &Seat) {
        if self.began {
            return;
        }
        self.began = true;
        let now: Instant = self.state.now();
        placement.with_board(|board, place| board.started(now, place));
        self.state.count_usage(self.inbound.permit.workspace.as_ref());
        let first = now.saturating_duration_since(self.inbound.arrived);
        let rank = self.inbound.permit.rank.to_string();
        metrics::histogram!("wasabi_gateway_first_event_seconds", "rank" => rank)
            .record(first.as_secs_f64());
        let placed = now.saturating_duration_since(placement.place.since);
        info!(target: wasabi_logs::REQUEST, request = self.inbound.head.id.as_str(),
            server = placement.place.member.id.as_str(), first_ms = first.as_millis() as u64,
            placed_ms = placed.as_millis() as u64,
            expected_ms = placement.place.expected.as_millis() as u64; "first event");
    }

    /// Notes the pause before the events that have just come.
    fn note_gap(&mut self) {
        let now = self.state.now();
        if let Some(last) = self.last_event.replace(now) {
            let gap = now.saturating_duration_since(last);
            let rank = self.inbound.permit.rank.to_string();
            metrics::histogram!("wasabi_gateway_event_gap_seconds", "rank" => rank)
                .record(gap.as_secs_f64());
        }
    }

    async fn give(&self, bytes: Bytes) -> bool {
        self.feed.send(Ok(bytes)).await.is_ok()
    }

    /// Continues the stream at another server, at `place` if there is one already, after the last
    /// event that was passed on.
    async fn resume(&mut self, mut place: Option<Seat>) -> Option<(Seat, Answer)> {
        if !self.inbound.permit.route.kind.is_repeatable() {
            return None;
        }
        loop {
            let last = self.events.last();
            let found = match place.take() {
                Some(placement) => Ok(placement),
                None => relay::next(&self.state, &self.inbound, &mut self.history, last),
            };
            let placement = match found {
                Ok(placement) => placement,
                Err(error) => {
                    let permit = Some(&self.inbound.permit);
                    let id = &self.inbound.head.id;
                    relay::log_refusal(&self.state, id, permit, self.inbound.arrived, &error);
                    return None;
                }
            };
            let sending =
                relay::send(&self.state, &self.inbound, &mut self.history, placement, last);
            let (mut placement, outcome) = tokio::select! {
                sent = sending => sent,
                () = self.feed.closed() => return None,
            };
            let cause = match outcome {
                Outcome::Answer(answer) if answer.response.status() == StatusCode::OK => {
                    self.history.may_have_run += 1;
                    return Some((placement, *answer));
                }
                Outcome::NotRun(cause) => cause,
                Outcome::Answer(_) => "failed to resume",
                Outcome::Unknown(cause) => cause,
                Outcome::TimedOut => return None,
            };
            placement.end = End::Failed;
            relay::log_try(&self.state, &self.inbound, &placement, "unknown", cause);
            self.history.may_have_run += u32::from(cause != "turned away");
            self.history.avoid.push(placement.place.member.id.clone());
            self.history.last_cause = cause;
        }
    }

    async fn abort(self) {
        // The caller may have left already; then nothing is to be broken off.
        let _ = self.feed.send(Err(Abort)).await;
    }

    fn log(&self, placement: &Seat, outcome: &'static str, cause: &str) {
        relay::log_end(&self.state, &self.inbound, placement, outcome, StatusCode::OK, cause);
    }
}
