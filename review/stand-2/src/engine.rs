//! A plain engine, as PROTOCOL.md has it: it runs only what names it in `Expect-Instance`, a few requests at a time, and
//! queues a few more.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::{runtime::Handle, sync::Semaphore};
use wasabi_stand::net::{self, BoxResponse, ReceivedRequest, ResponseFuture, Service};

/// The places and the queue of an engine of `budget-app`.
const SLOTS: usize = 6;
const QUEUE: usize = 24;
/// How long it works on a request.
const WORK: Duration = Duration::from_millis(60);
/// When the process started, in milliseconds since 1970.
const BORN: u64 = 1_700_000_000_000;

/// A request that an engine has received.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its `Request-Id`.
    pub id: String,
    /// When it came.
    pub at: Instant,
    /// Whether it ran.
    pub ran: bool,
    /// The status of the answer.
    pub status: u16,
}

/// An engine.
pub struct Engine {
    /// Its id, the name of its entry.
    pub id: String,
    /// Its address.
    pub address: SocketAddr,
    slots: Semaphore,
    present: AtomicUsize,
    arrivals: Mutex<Vec<Arrival>>,
}

struct Handler(Mutex<Option<Arc<Engine>>>);

impl Engine {
    /// Starts an engine.
    pub fn start(runtime: &Handle, id: &str) -> anyhow::Result<Arc<Self>> {
        let handler = Arc::new(Handler(Mutex::new(None)));
        let address = net::listen(runtime, handler.clone())?;
        let engine = Arc::new(Self {
            id: id.to_string(),
            address,
            slots: Semaphore::new(SLOTS),
            present: AtomicUsize::new(0),
            arrivals: Mutex::default(),
        });
        *handler.0.lock() = Some(engine.clone());
        Ok(engine)
    }

    /// Its entry in the store, with all fields.
    pub fn entry(&self, service: &str) -> Value {
        json!({"service": service, "address": self.address.to_string(), "zone": "d1", "version": "v1",
            "slots": SLOTS, "state": "ready", "cold_remaining_ms": 0, "sequence": 0, "born": BORN})
    }

    /// The requests received so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().clone()
    }

    async fn answer(self: Arc<Self>, request: ReceivedRequest) -> BoxResponse {
        let path = request.uri().path();
        if path == "/api/report" {
            let running = SLOTS - self.slots.available_permits();
            let report = json!({"stage": "both", "models": [], "busy": false, "sequence": 0, "queued": 0,
                "running": running, "kv_used": 0, "kv_total": 0, "handles": 0, "born": BORN});
            let mut response = net::full_response(200, report.to_string());
            set(&mut response, "content-type", "application/json");
            return response;
        }
        if path == "/health" {
            let mut response = net::full_response(200, "");
            set(&mut response, "instance-id", &self.id);
            return response;
        }
        let header = |name: &str| {
            let value = request.headers().get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_string()
        };
        let id = header("request-id");
        let expected = header("expect-instance");
        let present = self.present.fetch_add(1, Ordering::SeqCst);
        let status = match () {
            () if id.is_empty() => 400,
            () if !expected.is_empty() && expected != self.id => 421,
            () if present >= SLOTS + QUEUE => 503,
            () => 200,
        };
        let arrival = Arrival { id: id.clone(), at: Instant::now(), ran: status == 200, status };
        self.arrivals.lock().push(arrival);
        if status == 200 {
            let _slot = self.slots.acquire().await;
            tokio::time::sleep(WORK).await;
        }
        let present = self.present.fetch_sub(1, Ordering::SeqCst);
        let mut response =
            net::full_response(status, if status == 200 { "x".repeat(800) } else { String::new() });
        set(&mut response, "request-id", &id);
        let (running, waiting) = (present.min(SLOTS), present.saturating_sub(SLOTS));
        set(&mut response, "server-load", &format!("{running},{waiting},{SLOTS}"));
        match status {
            200 => set(&mut response, "response-signature", &format!("sig.{}.{id}", self.id)),
            _ => set(&mut response, "not-executed", "1"),
        }
        response
    }
}

impl Service for Handler {
    fn serve(self: Arc<Self>, request: ReceivedRequest) -> ResponseFuture {
        Box::pin(async move {
            let engine = self.0.lock().clone()?;
            Some(engine.answer(request).await)
        })
    }
}

fn set(response: &mut BoxResponse, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        response.headers_mut().insert(name, value);
    }
}
