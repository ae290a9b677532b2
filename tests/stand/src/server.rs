//! A backend server: an engine that streams events, or a plain service.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::{
    Response,
    body::{Body, Frame},
    header::{HeaderMap, HeaderValue},
};
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::{runtime::Handle, sync::mpsc};

use crate::net::{self, Answer, Asked, Served, Service};

/// What a server does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    /// Runs it and answers.
    Serve,
    /// Turns it away without running it.
    TurnAway,
    /// Runs it and closes the connection without an answer.
    LoseAnswer,
    /// Runs it and answers with the identity of another request.
    Cross,
    /// Runs it and answers without a signature.
    Unsigned,
    /// Runs it and fails it, as the application's own error.
    Fail,
    /// Streams this many events and half of the next, then breaks off.
    BreakAfter(u64),
    /// Begins and never answers.
    Hang,
    /// Streams this many events and then nothing more.
    StallAfter(u64),
}

/// A request that reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The caller's id of it.
    pub id: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// When it came.
    pub at: Instant,
    /// Whether the server ran it.
    pub ran: bool,
    /// When the server noticed that nobody waits any more, if it did.
    pub left: Option<Instant>,
}

/// A server.
pub struct Server {
    /// Its name.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Whether it streams.
    pub streams: bool,
    /// The events of a stream.
    pub events: u64,
    /// The time between events, or for a whole answer.
    pub pace: Duration,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    /// What it does with the next requests; `Serve` when it is empty.
    acts: VecDeque<Act>,
    /// What it does with all requests while `acts` is empty.
    always: Option<Act>,
    arrivals: Vec<Arrival>,
}

impl Server {
    /// Starts a server.
    pub fn start(
        runtime: &Handle,
        id: &str,
        service: &str,
        streams: bool,
        events: u64,
        pace: Duration,
    ) -> anyhow::Result<(Arc<Self>, SocketAddr)> {
        let server = Arc::new(Self {
            id: id.to_string(),
            service: service.to_string(),
            streams,
            events,
            pace,
            inner: Mutex::default(),
        });
        let address = net::listen(runtime, server.clone())?;
        Ok((server, address))
    }

    /// Returns the server's entry in the store.
    pub fn entry(&self, address: SocketAddr, state: &str) -> Value {
        entry(&self.service, address, state)
    }

    /// Plans what is done with the next request.
    pub fn plan(&self, act: Act) {
        self.inner.lock().acts.push_back(act);
    }

    /// Sets what is done with every request.
    pub fn always(&self, act: Option<Act>) {
        self.inner.lock().always = act;
    }

    /// Returns the requests that reached it.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.inner.lock().arrivals.clone()
    }

    fn arrive(&self, request: &Asked) -> (usize, Act) {
        let mut inner = self.inner.lock();
        let always = inner.always.unwrap_or(Act::Serve);
        let expected = request.headers().get("expect-instance").and_then(|id| id.to_str().ok());
        let act = match expected == Some(self.id.as_str()) {
            true => inner.acts.pop_front().unwrap_or(always),
            false => Act::TurnAway,
        };
        let id = request.headers().get("request-id").and_then(|id| id.to_str().ok());
        inner.arrivals.push(Arrival {
            id: id.unwrap_or_default().to_string(),
            headers: request.headers().clone(),
            at: Instant::now(),
            ran: act != Act::TurnAway,
            left: None,
        });
        (inner.arrivals.len() - 1, act)
    }

    fn sign(&self, answer: &mut Answer, id: &str, act: Act) {
        let id = if act == Act::Cross { "another" } else { id };
        let headers = answer.headers_mut();
        if let Ok(id) = HeaderValue::from_str(id) {
            headers.insert("request-id", id);
        }
        if act != Act::Unsigned {
            let signature = format!("sig.{}", self.id);
            headers.insert("response-signature", signature.parse().expect("a header value"));
        }
        headers.insert("server-load", HeaderValue::from_static("1,0,8"));
    }

    /// Streams events after `after`, and notes when nobody takes them any more.
    fn stream(self: Arc<Self>, arrival: usize, after: u64, act: Act) -> Answer {
        let (feed, parts) = mpsc::channel::<Result<Frame<Bytes>, std::io::Error>>(1);
        tokio::spawn(async move {
            for event in after + 1..=self.events {
                tokio::select! {
                    () = tokio::time::sleep(self.pace) => {}
                    () = feed.closed() => return self.note_left(arrival),
                }
                if matches!(act, Act::StallAfter(whole) if event > whole) {
                    feed.closed().await;
                    return self.note_left(arrival);
                }
                let text = format!("id: {event}\ndata: event {event}\n\n");
                let broken = matches!(act, Act::BreakAfter(whole) if event > whole);
                let bytes = if broken { Bytes::from_static(b"id: ") } else { Bytes::from(text) };
                if feed.send(Ok(Frame::data(bytes))).await.is_err() {
                    return self.note_left(arrival);
                }
                if broken {
                    let cut = std::io::Error::other("cut");
                    // Nobody may be left to notice.
                    let _ = feed.send(Err(cut)).await;
                    return;
                }
            }
        });
        let mut answer = Response::new(Parts(parts).boxed());
        let kind = HeaderValue::from_static("text/event-stream");
        answer.headers_mut().insert("content-type", kind);
        answer
    }

    fn note_left(&self, arrival: usize) {
        self.inner.lock().arrivals[arrival].left = Some(Instant::now());
    }
}

/// Returns the entry in the store of a server of `service` at `address`.
pub fn entry(service: &str, address: SocketAddr, state: &str) -> Value {
    json!({"service": service, "address": address.to_string(), "zone": "d1", "version": "v1",
        "slots": 8, "state": state, "cold_remaining_ms": 0, "sequence": 1, "born": 1_000})
}

/// Notes that nobody waits any more when it is dropped before it is told otherwise.
struct Waiting {
    server: Arc<Server>,
    arrival: usize,
    done: bool,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if !self.done {
            self.server.note_left(self.arrival);
        }
    }
}

/// The parts of a stream as they come.
struct Parts(mpsc::Receiver<Result<Frame<Bytes>, std::io::Error>>);

impl Body for Parts {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        self.0.poll_recv(cx)
    }
}

impl Service for Server {
    fn serve(self: Arc<Self>, request: Asked) -> Served {
        Box::pin(async move {
            let (arrival, act) = self.arrive(&request);
            let id = request.headers().get("request-id").and_then(|id| id.to_str().ok());
            let id = id.unwrap_or_default().to_string();
            let mut waiting = Waiting { server: self.clone(), arrival, done: false };
            let after = request.headers().get("last-event-id").and_then(|id| id.to_str().ok());
            let after = after.and_then(|id| id.parse().ok()).unwrap_or(0);
            let mut answer = match act {
                Act::TurnAway => {
                    waiting.done = true;
                    let mut answer = net::whole(503, "");
                    answer.headers_mut().insert("not-executed", HeaderValue::from_static("1"));
                    return Some(answer);
                }
                Act::Hang => std::future::pending().await,
                Act::LoseAnswer => {
                    waiting.done = true;
                    return None;
                }
                Act::Fail => net::whole(500, "the application failed"),
                _ if self.streams => self.clone().stream(arrival, after, act),
                _ => {
                    tokio::time::sleep(self.pace).await;
                    net::whole(200, format!("answer of {} to {id}", self.id))
                }
            };
            waiting.done = true;
            self.sign(&mut answer, &id, act);
            Some(answer)
        })
    }
}
