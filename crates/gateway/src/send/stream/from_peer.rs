//! Streams, or the rest of them, that a peer passes on.

use std::rc::Rc;

use http_body_util::BodyExt as _;
use hyper::Response;
use wasabi_answer::broken::Broken;

use super::StreamRelay;
use crate::{
    guard::CountGuard,
    receive::{request::AdmittedRequest, response::ResponseBody},
    send::{continuation, history::SendHistory, peer_relay},
    state::State,
};

/// Starts a task that forwards a stream from a peer, and returns the response that it feeds.
pub fn start_at_peer(
    state: &Rc<State>,
    inbound: Rc<AdmittedRequest>,
    history: SendHistory,
    answer: peer_relay::Answer,
) -> Response<ResponseBody> {
    let (mut stream, response) = StreamRelay::new(state, inbound, history, &answer.response);
    let running = CountGuard::request(state);
    tokio::task::spawn_local(async move {
        let _running = running;
        stream.forward_from_peer(answer).await;
    });
    response
}

impl StreamRelay {
    /// Passes the rest of the stream on from a peer, if one takes it over; returns whether one did.
    pub(super) async fn continue_at_peer(&mut self, last_id: Option<u64>) -> bool {
        let (state, inbound) = (self.state.clone(), self.inbound.clone());
        let caller_gone = self.producer.caller_gone().clone();
        let handing_over = peer_relay::hand_over(&state, &inbound, &mut self.history, last_id);
        let handed_over = tokio::select! {
            handed_over = handing_over => handed_over,
            () = caller_gone.cancelled() => return true,
        };
        let Some(Ok(answer)) = handed_over else { return false };
        match continuation::check(answer.response.status(), &answer.head, &inbound.head.id) {
            Ok(()) => {
                self.forward_from_peer(answer).await;
                true
            }
            Err(cause) => {
                peer_relay::log_broken(&inbound.head.id, cause);
                false
            }
        }
    }

    /// Forwards a peer's part of the stream. One that breaks off does not go on elsewhere: how often the peer
    /// has sent the request is not known.
    async fn forward_from_peer(&mut self, answer: peer_relay::Answer) {
        let mut body = answer.response.into_body();
        let caller_gone = self.producer.caller_gone().clone();
        self.events.start_part();
        let ended = loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = caller_gone.cancelled() => return,
            };
            let received = match frame {
                None => break self.events.finish(answer.head.framing),
                Some(Ok(frame)) => self.events.push(&frame.into_data().unwrap_or_default()),
                Some(Err(_)) => break Err(Broken::ConnectionLost),
            };
            match received {
                Ok(Some(events)) if self.queue(events.clone()).await.is_some() => return,
                Ok(_) => {}
                Err(broken) => break Err(broken),
            }
            if let Some(broken) = self.events.broken() {
                break Err(broken);
            }
        };
        match ended {
            Ok(Some(rest)) if self.queue(rest.clone()).await.is_some() => {}
            Ok(_) => self.producer.finish(),
            Err(broken) => peer_relay::log_broken(&self.inbound.head.id, broken.cause()),
        }
    }
}
