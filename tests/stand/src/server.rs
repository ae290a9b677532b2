//! Test double of a backend server: an engine that streams events, or a plain service.

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
use tokio::{
    runtime::Handle,
    sync::{mpsc, watch},
};

use crate::{
    net::{self, BoxResponse, ReceivedRequest, ResponseFuture, Service},
    scripted::{self, BORN, REPORT_PATH},
};

/// How a server handles a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behavior {
    /// Runs it and responds.
    Serve,
    /// Responds 503 with the header `not-executed`, without running it.
    TurnAway,
    /// Runs it and closes the connection without a response.
    LoseAnswer,
    /// Runs it and responds with the id of another request.
    Cross,
    /// Runs it and responds without the header `response-signature`.
    Unsigned,
    /// Runs it and responds 500, as the application does on its own errors.
    Fail,
    /// Streams the events up to this number and a part of the next, then aborts the connection; as
    /// `Serve` on a plain service.
    BreakAfter(u64),
    /// As `BreakAfter` for streams that begin, as `Serve` for those that go on.
    BreakNew(u64),
    /// Streams the events up to this number and a part of the next, and then ends the response as if
    /// it were complete; as `Serve` on a plain service.
    EndInside(u64),
    /// Runs it and never responds.
    Hang,
    /// Streams the events up to this number and then nothing more, with the connection kept open;
    /// as `Serve` on a plain service.
    StallAfter(u64),
}

/// The path of health checks, as the rig's configuration names it.
const HEALTH_PATH: &str = "/health";
/// A server that has crashed does not answer for its process for so long.
const RESTART_DURATION: Duration = Duration::from_millis(300);
/// How long a brittle server is down after it has fallen over.
const FALL_DURATION: Duration = Duration::from_millis(1_500);

/// A request that a server has received.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The `request-id` header; empty if absent.
    pub id: String,
    /// Path and query.
    pub target: String,
    /// All headers as received.
    pub headers: HeaderMap,
    /// When it was received.
    pub at: Instant,
    /// Whether the server ran it.
    pub ran: bool,
    /// When the server noticed that its client was gone, if it did.
    pub client_gone_at: Option<Instant>,
    /// When the server had sent the last event of a stream, if it has.
    pub ended_at: Option<Instant>,
}

/// Selects requests.
pub type Predicate = Box<dyn Fn(&Arrival) -> bool + Send + Sync>;

/// A backend server.
pub struct Server {
    /// The instance name, as in the store.
    pub id: String,
    /// The name of the service that it is an instance of.
    pub service: String,
    /// Whether it responds with event streams.
    pub streams: bool,
    /// The number of events of a stream.
    pub events: u64,
    /// The delay before each event, or before a plain response.
    pub event_interval: Duration,
    inner: Mutex<Inner>,
    /// Counts the crashes; running requests break off when it changes.
    crashes: watch::Sender<u64>,
}

#[derive(Default)]
struct Inner {
    /// How the next requests are handled, one entry a request; `default` applies when empty.
    planned: VecDeque<Behavior>,
    /// How requests are handled while `planned` is empty; `Serve` if unset.
    default: Option<Behavior>,
    /// Whether all responses say that it leaves.
    leaving: bool,
    /// The version of its software in its entry; `v1` if unset.
    version: Option<String>,
    /// When it says that it was born; [`BORN`] if unset.
    born: Option<u64>,
    /// The `server-limit` header of all responses.
    limit: Option<String>,
    /// The `retry-after` header of responses that turn a request away.
    retry_after: Option<String>,
    arrivals: Vec<Arrival>,
    /// The headers of the health checks received.
    health_checks: Vec<HeaderMap>,
    /// How many requests run at the same time; more are turned away. No limit if unset.
    capacity: Option<usize>,
    /// Requests that run now.
    running: usize,
    /// While set, the `server-brittle` header of all responses: if the server turns away more requests
    /// within a second for want of room, it falls over.
    brittle: Option<usize>,
    /// When requests were turned away for want of room, within the last second.
    turned_away: VecDeque<Instant>,
    /// How often the server has fallen over.
    falls: usize,
    /// Until when the server is down after a fall.
    down_until: Option<Instant>,
    /// The requests that crash the server once they have begun to run.
    fatal: Option<Predicate>,
    /// When it crashed.
    crashed_at: Vec<Instant>,
    /// Until when it neither sends nor sees what its clients do.
    silent_until: Option<Instant>,
}

impl Arrival {
    /// Returns when the server stopped to work on a stream; `None` if it still does.
    pub fn worked_until(&self) -> Option<Instant> {
        self.client_gone_at.or(self.ended_at)
    }

    /// Returns the value of a header; `None` if it is absent or no text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

impl Server {
    /// Starts a server and returns it with its address.
    pub fn start(
        runtime: &Handle,
        id: &str,
        service: &str,
        streams: bool,
        events: u64,
        event_interval: Duration,
    ) -> anyhow::Result<(Arc<Self>, SocketAddr)> {
        let server = Arc::new(Self {
            id: id.to_string(),
            service: service.to_string(),
            streams,
            events,
            event_interval,
            inner: Mutex::default(),
            crashes: watch::Sender::default(),
        });
        let address = net::listen(runtime, server.clone())?;
        Ok((server, address))
    }

    /// Returns the server's object of kind `servers`.
    pub fn store_object(&self, address: SocketAddr, state: &str) -> Value {
        let mut entry = store_object(&self.service, address, state);
        let inner = self.inner.lock();
        if let Some(version) = &inner.version {
            entry["version"] = json!(version);
        }
        if let Some(born) = inner.born {
            entry["born"] = json!(born);
        }
        drop(inner);
        entry
    }

    /// Sets the version of its software in entries that are made from now on.
    pub fn set_version(&self, version: &str) {
        self.inner.lock().version = Some(version.to_string());
    }

    /// Sets when it says that it was born, in its report and in entries that are made from now on.
    pub fn set_born(&self, born: u64) {
        self.inner.lock().born = Some(born);
    }

    /// Sets how the next request is handled; repeated calls queue up.
    pub fn plan_next(&self, behavior: Behavior) {
        self.inner.lock().planned.push_back(behavior);
    }

    /// Sets how requests without a planned behavior are handled; `None` is `Serve`.
    pub fn set_behavior(&self, behavior: Option<Behavior>) {
        self.inner.lock().default = behavior;
    }

    /// Sets whether all responses from now on say that the server leaves.
    pub fn set_leaving(&self, leaving: bool) {
        self.inner.lock().leaving = leaving;
    }

    /// Sets the `retry-after` header of responses that turn a request away.
    pub fn set_retry_after(&self, value: Option<&str>) {
        self.inner.lock().retry_after = value.map(str::to_string);
    }

    /// Sets the limit that all responses from now on name; `None` for none.
    pub fn set_limit(&self, value: Option<&str>) {
        self.inner.lock().limit = value.map(str::to_string);
    }

    /// Sets which requests crash the server once they have begun to run.
    pub fn set_fatal(&self, fatal: impl Fn(&Arrival) -> bool + Send + Sync + 'static) {
        self.inner.lock().fatal = Some(Box::new(fatal));
    }

    /// Sets how many requests run at the same time, and the header that says that the server is brittle.
    pub fn set_brittle(&self, capacity: usize, brittle: Option<usize>) {
        let mut inner = self.inner.lock();
        (inner.capacity, inner.brittle) = (Some(capacity), brittle);
    }

    /// Returns how often the server has fallen over.
    pub fn falls(&self) -> usize {
        self.inner.lock().falls
    }

    /// Takes a place for a request; returns how it is handled if there is none.
    fn take_place(&self) -> Option<Behavior> {
        let mut inner = self.inner.lock();
        let now = Instant::now();
        if inner.down_until.is_some_and(|until| now < until) {
            return Some(Behavior::LoseAnswer);
        }
        if inner.capacity.is_none_or(|capacity| inner.running < capacity) {
            inner.running += 1;
            return None;
        }
        inner.turned_away.push_back(now);
        while inner.turned_away.front().is_some_and(|at| now - *at >= Duration::from_secs(1)) {
            inner.turned_away.pop_front();
        }
        if inner.brittle.is_some_and(|most| inner.turned_away.len() > most) {
            inner.falls += 1;
            inner.turned_away.clear();
            inner.down_until = Some(now + FALL_DURATION);
            self.crashes.send_modify(|crashes| *crashes += 1);
        }
        Some(Behavior::TurnAway)
    }

    /// Makes it silent for `time` from now on: it works, but neither sends nor sees what its clients do.
    pub fn silence(&self, time: Duration) {
        self.inner.lock().silent_until = Some(Instant::now() + time);
    }

    fn silent_until(&self) -> Option<Instant> {
        self.inner.lock().silent_until.filter(|until| Instant::now() < *until)
    }

    async fn wait_out_silence(&self) {
        while let Some(until) = self.silent_until() {
            tokio::time::sleep_until(until.into()).await;
        }
    }

    /// Breaks off all running requests, as when the process ends; it is back at once.
    pub fn crash(&self) {
        self.inner.lock().crashed_at.push(Instant::now());
        self.crashes.send_modify(|crashes| *crashes += 1);
    }

    /// Returns when the server has crashed, in order.
    pub fn crashed_at(&self) -> Vec<Instant> {
        self.inner.lock().crashed_at.clone()
    }

    fn is_fatal(&self, arrival: usize) -> bool {
        let inner = self.inner.lock();
        inner.fatal.as_ref().is_some_and(|fatal| fatal(&inner.arrivals[arrival]))
    }

    /// Waits while the server prepares an event or an answer; returns whether it is still running
    /// then. A `fatal` request crashes it.
    async fn work(&self, crashes: &mut watch::Receiver<u64>, fatal: bool) -> bool {
        tokio::select! {
            _ = crashes.changed() => return false,
            () = tokio::time::sleep(self.event_interval) => {}
        }
        if fatal {
            self.crash();
        }
        !fatal
    }

    /// Returns the requests received so far, in order.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.inner.lock().arrivals.clone()
    }

    /// Returns the headers of the health checks received so far.
    pub fn health_checks(&self) -> Vec<HeaderMap> {
        self.inner.lock().health_checks.clone()
    }

    /// Answers a health check, without counting it as a request.
    fn answer_health_check(&self, request: &ReceivedRequest) -> BoxResponse {
        self.inner.lock().health_checks.push(request.headers().clone());
        let mut response = net::full_response(200, "");
        let id = HeaderValue::from_str(&self.id).expect("a header value");
        response.headers_mut().insert("instance-id", id);
        response
    }

    /// Records a request and returns its index in `arrivals` and how it is handled. A request that
    /// does not name this instance in `expect-instance` is turned away.
    fn record_arrival(&self, request: &ReceivedRequest) -> (usize, Behavior) {
        let mut inner = self.inner.lock();
        let default = inner.default.unwrap_or(Behavior::Serve);
        let expected = request.headers().get("expect-instance").and_then(|id| id.to_str().ok());
        let behavior = match expected == Some(self.id.as_str()) {
            true => inner.planned.pop_front().unwrap_or(default),
            false => Behavior::TurnAway,
        };
        let id = request.headers().get("request-id").and_then(|id| id.to_str().ok());
        inner.arrivals.push(Arrival {
            id: id.unwrap_or_default().to_string(),
            target: request.uri().to_string(),
            headers: request.headers().clone(),
            at: Instant::now(),
            ran: behavior != Behavior::TurnAway,
            client_gone_at: None,
            ended_at: None,
        });
        (inner.arrivals.len() - 1, behavior)
    }

    /// Sets the headers of an executed request's response, as `behavior` demands.
    fn set_response_headers(&self, response: &mut BoxResponse, id: &str, behavior: Behavior) {
        let id = if behavior == Behavior::Cross { "another" } else { id };
        let headers = response.headers_mut();
        if let Ok(id) = HeaderValue::from_str(id) {
            headers.insert("request-id", id);
        }
        if behavior != Behavior::Unsigned {
            let signature = format!("sig.{}", self.id);
            headers.insert("response-signature", signature.parse().expect("a header value"));
        }
        let (running, slots) = match &*self.inner.lock() {
            Inner { capacity: Some(capacity), running, .. } => (*running, *capacity),
            _ => (1, 8),
        };
        let load = format!("{running},0,{slots}");
        headers.insert("server-load", load.parse().expect("a header value"));
    }

    /// Sets the headers that tell whether the server leaves and how much it takes, and, of a response that turns a request
    /// away, when it wants the next one.
    fn set_state_headers(&self, response: &mut BoxResponse) {
        let inner = self.inner.lock();
        if inner.leaving {
            response.headers_mut().insert("server-leaving", HeaderValue::from_static("1"));
        }
        if let Some(brittle) = inner.brittle {
            response.headers_mut().insert("server-brittle", HeaderValue::from(brittle));
        }
        if let Some(limit) =
            inner.limit.as_deref().and_then(|text| HeaderValue::from_str(text).ok())
        {
            response.headers_mut().insert("server-limit", limit);
        }
        let wait = inner.retry_after.as_deref().filter(|_| response.status() == 503);
        if let Some(wait) = wait.and_then(|wait| HeaderValue::from_str(wait).ok()) {
            response.headers_mut().insert("retry-after", wait);
        }
    }

    /// Streams the events after number `after`, and records when the client goes away.
    fn stream_events(
        self: Arc<Self>,
        arrival: usize,
        after: u64,
        behavior: Behavior,
        fatal: bool,
    ) -> BoxResponse {
        let (sender, receiver) = mpsc::channel::<Result<Frame<Bytes>, std::io::Error>>(1);
        let mut crashes = self.crashes.subscribe();
        tokio::spawn(async move {
            let noticed_client_gone = async || {
                sender.closed().await;
                self.wait_out_silence().await;
            };
            // Events that were generated while the server was silent.
            let mut unsent = String::new();
            for event in after + 1..=self.events {
                let running = tokio::select! {
                    running = self.work(&mut crashes, fatal) => running,
                    () = noticed_client_gone() => return self.record_client_gone(arrival),
                };
                if !running {
                    // The client may be gone already.
                    let _ = sender.send(Err(std::io::Error::other("crashed"))).await;
                    return;
                }
                if matches!(behavior, Behavior::StallAfter(count) if event > count) {
                    sender.closed().await;
                    return self.record_client_gone(arrival);
                }
                let text = format!("id: {event}\ndata: event {event} of {}\n\n", self.id);
                if self.silent_until().is_some() && event < self.events {
                    unsent.push_str(&text);
                    continue;
                }
                self.wait_out_silence().await;
                let text = std::mem::take(&mut unsent) + &text;
                let ends = matches!(behavior, Behavior::EndInside(count) if event > count);
                let breaks = match behavior {
                    Behavior::BreakAfter(count) => event > count,
                    Behavior::BreakNew(count) => after == 0 && event > count,
                    _ => ends,
                };
                let bytes = if breaks { Bytes::from_static(b"id: ") } else { Bytes::from(text) };
                if sender.send(Ok(Frame::data(bytes))).await.is_err() {
                    return self.record_client_gone(arrival);
                }
                if ends {
                    return;
                }
                if breaks {
                    let error = std::io::Error::other("stream aborted");
                    // The client may be gone already.
                    let _ = sender.send(Err(error)).await;
                    return;
                }
            }
            self.inner.lock().arrivals[arrival].ended_at = Some(Instant::now());
        });
        let mut response = Response::new(EventBody(receiver).boxed());
        let kind = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert("content-type", kind);
        response
    }

    fn record_client_gone(&self, arrival: usize) {
        self.inner.lock().arrivals[arrival].client_gone_at = Some(Instant::now());
    }
}

/// Returns the object of kind `servers` for a server of `service` at `address`.
pub fn store_object(service: &str, address: SocketAddr, state: &str) -> Value {
    json!({"service": service, "address": address.to_string(), "zone": "d1", "version": "v1",
        "slots": 8, "state": state, "cold_remaining_ms": 0, "sequence": 1, "born": BORN})
}

/// Records that the client is gone unless `done` is set before the drop: the handler's future is
/// dropped when the connection closes.
struct ClientGoneGuard {
    server: Arc<Server>,
    arrival: usize,
    done: bool,
}

impl Drop for ClientGoneGuard {
    fn drop(&mut self) {
        if !self.done {
            self.server.record_client_gone(self.arrival);
        }
    }
}

/// A place of a running request; free again when it is dropped.
struct Place(Arc<Server>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.inner.lock().running -= 1;
    }
}

/// The response body of an event stream.
struct EventBody(mpsc::Receiver<Result<Frame<Bytes>, std::io::Error>>);

impl Body for EventBody {
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
    fn serve(self: Arc<Self>, request: ReceivedRequest) -> ResponseFuture {
        Box::pin(async move {
            self.wait_out_silence().await;
            if request.uri().path() == HEALTH_PATH {
                return Some(self.answer_health_check(&request));
            }
            if request.uri().path() == REPORT_PATH {
                if self.crashed_at().last().is_some_and(|at| at.elapsed() < RESTART_DURATION) {
                    return None;
                }
                let born = self.inner.lock().born.unwrap_or(BORN);
                return Some(net::full_response(200, scripted::report(born)));
            }
            let mut crashes = self.crashes.subscribe();
            let (arrival, mut behavior) = self.record_arrival(&request);
            if behavior == Behavior::Serve && !self.streams {
                behavior = self.take_place().unwrap_or(behavior);
            }
            let fatal = self.is_fatal(arrival);
            let id = request.headers().get("request-id").and_then(|id| id.to_str().ok());
            let id = id.unwrap_or_default().to_string();
            let mut guard = ClientGoneGuard { server: self.clone(), arrival, done: false };
            let after = request.headers().get("last-event-id").and_then(|id| id.to_str().ok());
            let after = after.and_then(|id| id.parse().ok()).unwrap_or(0);
            let mut response = match behavior {
                Behavior::TurnAway => {
                    guard.done = true;
                    let mut response = net::full_response(503, "");
                    response.headers_mut().insert("not-executed", HeaderValue::from_static("1"));
                    if let Ok(id) = HeaderValue::from_str(&id) {
                        response.headers_mut().insert("request-id", id);
                    }
                    self.set_state_headers(&mut response);
                    return Some(response);
                }
                Behavior::Hang => std::future::pending().await,
                Behavior::LoseAnswer => {
                    guard.done = true;
                    return None;
                }
                Behavior::Fail => net::full_response(500, "the application failed"),
                Behavior::Serve if !self.streams => {
                    let _place = Place(self.clone());
                    if !self.work(&mut crashes, fatal).await {
                        guard.done = true;
                        return None;
                    }
                    net::full_response(200, format!("answer of {} to {id}", self.id))
                }
                _ if self.streams => self.clone().stream_events(arrival, after, behavior, fatal),
                _ => {
                    if !self.work(&mut crashes, fatal).await {
                        guard.done = true;
                        return None;
                    }
                    net::full_response(200, format!("answer of {} to {id}", self.id))
                }
            };
            guard.done = true;
            self.set_response_headers(&mut response, &id, behavior);
            self.set_state_headers(&mut response);
            Some(response)
        })
    }
}
