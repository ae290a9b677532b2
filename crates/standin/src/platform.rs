//! The platform: object API, usage interface, ordering interface and host list on one port.

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
    io::{self, Action, Condition, Host, Order, Rented, Report},
    units::Version,
};

use crate::{
    http::{self, Listening, Service},
    objects::{Objects, Outcome},
};

/// How the platform misbehaves.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Every call fails without effect.
    pub down: bool,
    /// Added to every call but watches.
    pub slow: Duration,
    /// How many of the next writes take effect without their answer arriving.
    pub lose_answers: u32,
    /// How many of the next usage reports take effect without their answer arriving.
    pub lose_reports: u32,
    /// How many of the next orders take effect without their answer arriving.
    pub lose_orders: u32,
    /// The list of servers lags and shows none.
    pub hide_servers: bool,
    /// Orders with an epoch lower than one that was taken are refused.
    pub fencing: bool,
    /// Orders of cheap servers are refused.
    pub no_cheap: bool,
    /// Writes a second that are taken; none means any number.
    pub write_rate: Option<u32>,
}

/// Something that the platform took, and when.
#[derive(Clone, Debug)]
pub struct Taken<T> {
    /// When it came.
    pub at: Instant,
    /// What came.
    pub item: T,
}

/// A running stand-in for the platform.
pub struct Platform {
    state: Arc<State>,
    listening: Listening,
}

/// Starts a server for a taken order.
pub type Factory = Box<dyn Fn(&Order) -> Rented + Send + Sync>;

/// What the platform holds.
#[derive(Default)]
pub struct State {
    /// The object API.
    pub objects: Objects,
    /// How it misbehaves.
    pub faults: Mutex<Faults>,
    /// Every report taken.
    pub reports: Mutex<Vec<Taken<Report>>>,
    /// Every order taken.
    pub orders: Mutex<Vec<Taken<Order>>>,
    /// The servers that run for us.
    pub servers: Mutex<Vec<Rented>>,
    /// Starts a server for an order; none if servers are only listed.
    pub factory: Mutex<Option<Factory>>,
    /// The host list.
    pub hosts: Mutex<Vec<Host>>,
    /// Calls by kind.
    pub calls: Mutex<BTreeMap<String, u64>>,
    /// The second that writes are counted in, and how many there were.
    writes: Mutex<(u64, u32)>,
}

impl Platform {
    /// Starts an empty platform on a port of the system's choice.
    pub fn start() -> anyhow::Result<Self> {
        Self::start_at(http::any_port())
    }

    /// Starts an empty platform at `address`.
    pub fn start_at(address: SocketAddr) -> anyhow::Result<Self> {
        let state = Arc::new(State::default());
        let listening = http::listen(address, state.clone())?;
        Ok(Self { state, listening })
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listening.address
    }

    /// Returns its base address.
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Returns what it holds.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Changes how it misbehaves.
    pub fn fault(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.state.faults.lock());
    }

    /// Returns the reports taken so far.
    pub fn reports(&self) -> Vec<Report> {
        self.state.reports.lock().iter().map(|taken| taken.item.clone()).collect()
    }
}

impl State {
    fn count(&self, kind: &str) {
        *self.calls.lock().entry(kind.to_string()).or_default() += 1;
    }

    /// Returns whether the answer to a call that took effect is to be lost.
    fn loses(&self, pick: impl FnOnce(&mut Faults) -> &mut u32) -> bool {
        let mut faults = self.faults.lock();
        let left = pick(&mut faults);
        let lost = *left > 0;
        *left = left.saturating_sub(1);
        lost
    }

    fn over_rate(&self) -> bool {
        let Some(rate) = self.faults.lock().write_rate else { return false };
        let second = wasabi_core::time::unix_ms(std::time::SystemTime::now()) / 1000;
        let mut writes = self.writes.lock();
        if writes.0 != second {
            *writes = (second, 0);
        }
        writes.1 += 1;
        writes.1 > rate
    }

    fn order(&self, body: &str) -> (u16, String) {
        let Ok(order) = serde_json::from_str::<Order>(body) else { return (400, String::new()) };
        let cheap = matches!(order.action, Action::Start { cheap: true, .. });
        let faults = self.faults.lock().clone();
        let newest = self.orders.lock().iter().map(|taken| taken.item.epoch).max();
        let is_old = faults.fencing && newest.is_some_and(|newest| order.epoch < newest);
        if is_old || (cheap && faults.no_cheap) {
            return (409, String::new());
        }
        match &order.action {
            Action::Start { .. } => {
                if let Some(factory) = &*self.factory.lock() {
                    self.servers.lock().push(factory(&order));
                }
            }
            Action::Stop { server } => {
                self.servers.lock().retain(|rented| rented.server.name != *server);
            }
        }
        take(&self.orders, body)
    }

    fn put(&self, query: &BTreeMap<String, String>, body: &str) -> (u16, String) {
        let condition = match query["if"].as_str() {
            "absent" => Condition::Absent,
            version => Condition::At(Version(version.parse().unwrap_or(0))),
        };
        written(self.objects.put(&query["key"], body, condition))
    }

    fn answer(&self, method: &Method, url: &str, body: &str) -> (u16, String) {
        let (path, query) = http::split(url);
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        match (method, path.as_str()) {
            (Method::Get, "/objects") => match self.objects.get(&text("key")) {
                Some(object) => (200, io::render(&object)),
                None => (404, String::new()),
            },
            (Method::Put, "/objects") => self.put(&query, body),
            (Method::Delete, "/objects") => {
                written(self.objects.delete(&text("key"), Version(number("if"))))
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
            (Method::Post, "/usage") => take(&self.reports, body),
            (Method::Post, "/orders") => self.order(body),
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

impl Service for State {
    fn serve(&self, mut request: Request) {
        let body = http::body(&mut request);
        let method = request.method().clone();
        let url = request.url().to_string();
        self.count(&format!("{method} {}", http::split(&url).0));
        let faults = self.faults.lock().clone();
        let is_watch = url.starts_with("/watch");
        if !is_watch {
            thread::sleep(faults.slow);
        }
        if faults.down {
            return http::respond(request, 503, "");
        }
        let writes = url.starts_with("/objects") && method != Method::Get;
        if writes && self.over_rate() {
            return http::respond(request, 429, "");
        }
        let (status, text) = self.answer(&method, &url, &body);
        let lost = match (&method, http::split(&url).0.as_str()) {
            (Method::Post, "/usage") => self.loses(|faults| &mut faults.lose_reports),
            (Method::Post, "/orders") => self.loses(|faults| &mut faults.lose_orders),
            _ => writes && self.loses(|faults| &mut faults.lose_answers),
        };
        // A watch that was waiting when the platform went down gets no answer either.
        if lost || (is_watch && self.faults.lock().down) {
            drop(request.into_writer());
            return;
        }
        http::respond(request, status, text);
    }
}

fn written(outcome: Outcome) -> (u16, String) {
    match outcome {
        Outcome::Written(version) => (200, json!({"version": version}).to_string()),
        Outcome::Conflict => (409, String::new()),
        Outcome::Missing => (404, String::new()),
    }
}

fn take<T: serde::de::DeserializeOwned>(list: &Mutex<Vec<Taken<T>>>, body: &str) -> (u16, String) {
    match serde_json::from_str(body) {
        Ok(item) => {
            list.lock().push(Taken { at: Instant::now(), item });
            (200, String::new())
        }
        Err(e) => (400, e.to_string()),
    }
}
