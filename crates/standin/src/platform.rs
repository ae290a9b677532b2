//! Stand-in for the platform: object store, usage reports, server orders and host list on one port.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use serde_json::json;
use tiny_http::{Method, Request};
use wasabi_core::{
    io::{self, Action, Condition, Host, Order, ProvisionedServer, Report},
    units::Version,
};

use crate::{
    http::{self, Handle, Handler},
    objects::{Objects, Outcome},
};

/// Injected faults and optional checks of the platform; the default is none.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Every call fails with status 503 and without effect; a watch that waits gets no response.
    pub down: bool,
    /// Delay added to every call except watches.
    pub call_delay: Duration,
    /// Number of next object writes and deletions that take effect but whose responses are lost.
    pub lose_responses: u32,
    /// Number of next usage reports that take effect but whose responses are lost.
    pub lose_reports: u32,
    /// Number of next orders that take effect but whose responses are lost.
    pub lose_orders: u32,
    /// The server list is empty, as if it lagged behind.
    pub hide_servers: bool,
    /// Orders with a lower epoch than that of an accepted order are refused with status 409.
    pub fencing: bool,
    /// Orders for reclaimable servers are refused with status 409.
    pub refuse_reclaimable: bool,
    /// Object writes and deletions accepted per second, the others are refused with status 429;
    /// `None` is no limit.
    pub write_rate: Option<u32>,
}

/// An item that the platform accepted.
#[derive(Clone, Debug)]
pub struct Accepted<T> {
    /// When it was accepted.
    pub at: Instant,
    /// The item.
    pub item: T,
}

/// A running stand-in for the platform; it stops listening when dropped.
pub struct Platform {
    state: Arc<State>,
    handle: Handle,
}

/// Starts the server of an accepted order.
pub type ServerFactory = Box<dyn Fn(&Order) -> ProvisionedServer + Send + Sync>;

/// The state of the platform.
#[derive(Default)]
pub struct State {
    /// The object store.
    pub objects: Objects,
    /// The injected faults.
    pub faults: Mutex<Faults>,
    /// The accepted usage reports, in their order.
    pub reports: Mutex<Vec<Accepted<Report>>>,
    /// The accepted orders, in their order.
    pub orders: Mutex<Vec<Accepted<Order>>>,
    /// The server list. An order to start adds the server that the factory returns; an order to
    /// stop removes its server.
    pub servers: Mutex<Vec<ProvisionedServer>>,
    /// Starts the server of an order; `None` if orders are only recorded.
    pub factory: Mutex<Option<ServerFactory>>,
    /// The host list, which tests maintain.
    pub hosts: Mutex<Vec<Host>>,
    /// Number of calls by method and path, such as `GET /objects`.
    pub calls: Mutex<BTreeMap<String, u64>>,
    /// The second (Unix time) of the last counted write, and the number of writes in it.
    writes: Mutex<(u64, u32)>,
}

impl Platform {
    /// Starts an empty platform on a free port.
    pub fn start() -> anyhow::Result<Self> {
        Self::start_at(http::any_port())
    }

    /// Starts an empty platform at `address`.
    pub fn start_at(address: SocketAddr) -> anyhow::Result<Self> {
        let state = Arc::new(State::default());
        let handle = http::listen(address, state.clone())?;
        Ok(Self { state, handle })
    }

    /// Returns the address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.handle.address
    }

    /// Returns its base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Returns its state, which tests may read and change.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Changes the injected faults.
    pub fn update_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.state.faults.lock());
    }

    /// Returns the usage reports accepted so far.
    pub fn reports(&self) -> Vec<Report> {
        self.state.reports.lock().iter().map(|taken| taken.item.clone()).collect()
    }
}

impl State {
    fn count_call(&self, kind: &str) {
        *self.calls.lock().entry(kind.to_string()).or_default() += 1;
    }

    /// Returns whether the response to a call is to be lost, and counts down the fault.
    fn take_lost_response(&self, pick: impl FnOnce(&mut Faults) -> &mut u32) -> bool {
        let mut faults = self.faults.lock();
        let remaining = pick(&mut faults);
        let lost = *remaining > 0;
        *remaining = remaining.saturating_sub(1);
        lost
    }

    /// Counts a write; returns whether it exceeds the limit of this second.
    fn exceeds_write_rate(&self) -> bool {
        let Some(rate) = self.faults.lock().write_rate else { return false };
        let second = wasabi_core::time::unix_ms(std::time::SystemTime::now()) / 1000;
        let mut writes = self.writes.lock();
        if writes.0 != second {
            *writes = (second, 0);
        }
        writes.1 += 1;
        writes.1 > rate
    }

    fn accept_order(&self, body: &str) -> (u16, String) {
        let Ok(order) = serde_json::from_str::<Order>(body) else { return (400, String::new()) };
        let reclaimable = matches!(order.action, Action::Start { reclaimable: true, .. });
        let faults = self.faults.lock().clone();
        let newest = self.orders.lock().iter().map(|taken| taken.item.epoch).max();
        let is_stale = faults.fencing && newest.is_some_and(|newest| order.epoch < newest);
        if is_stale || (reclaimable && faults.refuse_reclaimable) {
            return (409, String::new());
        }
        match &order.action {
            Action::Start { .. } => {
                if let Some(factory) = &*self.factory.lock() {
                    self.servers.lock().push(factory(&order));
                }
            }
            Action::Stop { server } => {
                self.servers.lock().retain(|listed| listed.server.name != *server);
            }
        }
        accept(&self.orders, body)
    }

    fn put(&self, query: &BTreeMap<String, String>, body: &str) -> (u16, String) {
        let condition = match query["if"].as_str() {
            "absent" => Condition::Absent,
            version => Condition::At(Version(version.parse().unwrap_or(0))),
        };
        outcome_response(self.objects.put(&query["key"], body, condition))
    }

    fn dispatch(&self, method: &Method, url: &str, body: &str) -> (u16, String) {
        let (path, query) = http::split_url(url);
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        match (method, path.as_str()) {
            (Method::Get, "/objects") => match self.objects.get(&text("key")) {
                Some(object) => (200, io::render(&object)),
                None => (404, String::new()),
            },
            (Method::Put, "/objects") => self.put(&query, body),
            (Method::Delete, "/objects") => {
                outcome_response(self.objects.delete(&text("key"), Version(number("if"))))
            }
            (Method::Get, "/list") => {
                let limit = number("limit") as usize;
                (200, io::render(&self.objects.list(&text("prefix"), &text("after"), limit)))
            }
            (Method::Get, "/watch") => {
                let wait = Duration::from_millis(number("wait_ms"));
                let since = Version(number("since"));
                (200, io::render(&self.objects.watch(&text("prefix"), since, wait)))
            }
            (Method::Post, "/usage") => accept(&self.reports, body),
            (Method::Post, "/orders") => self.accept_order(body),
            (Method::Get, "/servers") if self.faults.lock().hide_servers => (200, "[]".to_string()),
            (Method::Get, "/servers") => (200, io::render(&*self.servers.lock())),
            (Method::Get, "/orders") => {
                let intent = text("intent");
                let taken = self.orders.lock().iter().any(|order| order.item.intent == intent);
                (if taken { 200 } else { 404 }, String::new())
            }
            (Method::Get, "/hosts") => (200, io::render(&*self.hosts.lock())),
            _ => (404, String::new()),
        }
    }
}

impl Handler for State {
    fn serve(&self, mut request: Request) {
        let body = http::body(&mut request);
        let method = request.method().clone();
        let url = request.url().to_string();
        self.count_call(&format!("{method} {}", http::split_url(&url).0));
        let faults = self.faults.lock().clone();
        let is_watch = url.starts_with("/watch");
        if !is_watch {
            thread::sleep(faults.call_delay);
        }
        if faults.down {
            return http::respond(request, 503, "");
        }
        let is_write = url.starts_with("/objects") && method != Method::Get;
        if is_write && self.exceeds_write_rate() {
            return http::respond(request, 429, "");
        }
        let (status, text) = self.dispatch(&method, &url, &body);
        let lost = match (&method, http::split_url(&url).0.as_str()) {
            (Method::Post, "/usage") => self.take_lost_response(|faults| &mut faults.lose_reports),
            (Method::Post, "/orders") => self.take_lost_response(|faults| &mut faults.lose_orders),
            _ => is_write && self.take_lost_response(|faults| &mut faults.lose_responses),
        };
        // A watch that was waiting when `down` was set gets no response either.
        if lost || (is_watch && self.faults.lock().down) {
            drop(request.into_writer());
            return;
        }
        http::respond(request, status, text);
    }
}

/// Returns the status and the body of the response to a write.
fn outcome_response(outcome: Outcome) -> (u16, String) {
    match outcome {
        Outcome::Written(version) => (200, json!({"version": version}).to_string()),
        Outcome::Conflict => (409, String::new()),
        Outcome::Missing => (404, String::new()),
    }
}

/// Parses an item and adds it to a list; returns the status and the body of the response.
fn accept<T: serde::de::DeserializeOwned>(
    list: &Mutex<Vec<Accepted<T>>>,
    body: &str,
) -> (u16, String) {
    match serde_json::from_str(body) {
        Ok(item) => {
            list.lock().push(Accepted { at: Instant::now(), item });
            (200, String::new())
        }
        Err(e) => (400, e.to_string()),
    }
}
