//! Seeded soak test: gateway processes under load and injected faults; the guarantees are checked
//! by what callers and backend servers observed.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use serde_json::json;

use crate::{
    caller::{Request, Response},
    gateway::{self, Gateway},
    proxy::{NetworkFault, Proxy},
    rig::Rig,
    server::Behavior,
    store::{Backup, Fault},
};

const GATEWAYS: usize = 3;
const CALLERS: usize = 4;
/// Time between two faults; most faults last longer, so they overlap.
const FAULT_INTERVAL: Duration = Duration::from_millis(700);
/// A request must not run if it was sent longer than this after the withdrawal of its key.
const KEY_WITHDRAWAL_LIMIT: Duration = Duration::from_secs(5);
/// All gateways serve again within this time after the last fault has ended.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);
/// The oldest copy from which the store is restored, in faults: about five seconds.
const MAX_BACKUP_AGE_FAULTS: usize = 7;
/// Engines of another software version beside `e1` and `e2`, which are of `v1`.
const NEW_ENGINES: [(&str, &str); 2] = [("f1", "v2"), ("f2", "v2")];
/// Runs with earlier seeds go on injecting what they drew before there were faults of several hosts.
const FIRST_SEED_OF_FLEET_FAULTS: u64 = 10_000;
/// The share of the faults of several hosts.
const FLEET_FAULT_SHARE: f64 = 0.25;
/// The pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(25);

/// The result of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    /// The injected faults, in order.
    pub trace: Vec<String>,
    /// Violations of the guarantees; empty if the run passed.
    pub violations: Vec<String>,
    /// The number of requests sent, and of those answered completely with status 200.
    pub requests: (usize, usize),
}

/// A request that a caller sent.
struct SentRequest {
    id: String,
    path: &'static str,
    /// The number of the key.
    key: usize,
    sent: Instant,
    /// None if the connection failed or no response head arrived.
    response: Option<Response>,
    /// The response to the request that took up a broken stream, if there was one.
    taken_up: Option<Response>,
}

struct Run {
    rig: Rig,
    rng: StdRng,
    gateways: Vec<Gateway>,
    /// The proxy between each gateway and the store.
    store_proxies: Vec<Proxy>,
    /// Between each gateway and the interface for the duties.
    duty_proxies: Vec<Proxy>,
    /// Whether the platform ignores fencing tokens. The way to it then has the faults of the way to
    /// the store.
    unfenced: bool,
    /// Whether faults of several hosts at once are injected too.
    fleet_faults: bool,
    /// The proxy in front of each backend server.
    server_proxies: Vec<Proxy>,
    /// The addresses at which the gateways take callers.
    caller_addresses: Arc<Mutex<Vec<SocketAddr>>>,
    /// The number of the valid key.
    key: Arc<AtomicU64>,
    /// When each of the earlier keys was withdrawn.
    withdrawn: BTreeMap<usize, Instant>,
    config_version: u64,
    /// Copies of the store, the oldest first, one for each fault.
    backups: Vec<Backup>,
    outcome: Outcome,
    /// The faults in effect and when each ends.
    active_faults: Vec<(Instant, ActiveFault)>,
}

/// A fault that ends after some time; the numbers are indices of gateways and servers.
#[derive(Clone, Copy)]
enum ActiveFault {
    Store,
    StoreProxy(usize),
    ServerProxy(usize),
    Paused(usize),
    Behavior(usize),
    Draining(usize),
    Partition(usize),
}

/// Starts a deployment and callers, injects `steps` faults drawn from `seed`, waits for the
/// recovery and checks the guarantees.
pub fn run(program: &str, seed: u64, steps: usize) -> anyhow::Result<Outcome> {
    let mut run = Run::start(program, seed)?;
    let stop = Arc::new(AtomicBool::new(false));
    let sent_requests = Arc::new(Mutex::new(Vec::new()));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (stop, sent_requests) = (stop.clone(), sent_requests.clone());
            let (to, key) = (run.caller_addresses.clone(), run.key.clone());
            let rng = StdRng::seed_from_u64(seed * 1_000 + caller as u64);
            thread::spawn(move || run_caller(caller, rng, &stop, &to, &key, &sent_requests))
        })
        .collect();
    for _ in 0..steps {
        run.inject_fault()?;
        run.run_for(FAULT_INTERVAL)?;
    }
    run.end_all_faults()?;
    let recovered = run.wait_recovered();
    stop.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| caller.join().expect("a caller does not panic"));
    if let Err(e) = recovered {
        run.outcome.violations.push(e.to_string());
    }
    let sent_requests = std::mem::take(&mut *sent_requests.lock());
    run.check_guarantees(&sent_requests);
    Ok(run.outcome)
}

/// The address from which a host connects to servers.
fn source(gateway: usize) -> IpAddr {
    IpAddr::from([127, 0, 0, 2 + gateway as u8])
}

/// Sends requests until `stop` is set.
fn run_caller(
    caller: usize,
    mut rng: StdRng,
    stop: &AtomicBool,
    to: &Mutex<Vec<SocketAddr>>,
    key: &AtomicU64,
    sent_requests: &Mutex<Vec<SentRequest>>,
) {
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let paths =
            [("GET", "/read/x"), ("POST", "/write/x"), ("POST", "/chat/x"), ("POST", "/long/x")];
        let (method, path) = paths[rng.random_range(0..paths.len())];
        let id = format!("s{caller}-{number}");
        let mut request = Request::new(method, path, &id);
        // Some requests use the key before the valid one.
        let newest = key.load(Ordering::SeqCst) as usize;
        let key = newest.saturating_sub(usize::from(rng.random_bool(0.3)));
        request.key = Some(format!("key{key}"));
        request.deadline = Duration::from_millis(rng.random_range(300..3_000));
        let address = {
            let to = to.lock();
            to[rng.random_range(0..to.len())]
        };
        let sent = Instant::now();
        let response = request.send(address).ok();
        let broken = response.as_ref().filter(|response| path == "/chat/x" && !response.complete);
        let taken_up = broken.and_then(|response| {
            let last = response.event_ids().last().copied()?;
            let resume = Request::resume(path, &format!("{id}-again"), &id, last);
            let (key, deadline) = (request.key.clone(), request.deadline);
            let address = to.lock()[rng.random_range(0..GATEWAYS)];
            Request { key, deadline, ..resume }.send(address).ok()
        });
        sent_requests.lock().push(SentRequest { id, path, key, sent, response, taken_up });
        thread::sleep(CALLER_PAUSE);
    }
}

impl Run {
    fn start(program: &str, seed: u64) -> anyhow::Result<Self> {
        let mut rig = Rig::start(program)?;
        rig.add_engines(&NEW_ENGINES)?;
        let mut server_proxies = Vec::new();
        for (server, address) in &rig.servers {
            let proxy = Proxy::start(rig.runtime.handle(), *address)?;
            rig.store.put("servers", &server.id, server.store_object(proxy.address, "ready"));
            server_proxies.push(proxy);
        }
        let mut run = Self {
            unfenced: seed % 2 == 1,
            fleet_faults: seed >= FIRST_SEED_OF_FLEET_FAULTS,
            rng: StdRng::seed_from_u64(seed),
            gateways: Vec::new(),
            store_proxies: Vec::new(),
            duty_proxies: Vec::new(),
            server_proxies,
            caller_addresses: Arc::default(),
            key: Arc::default(),
            withdrawn: BTreeMap::new(),
            config_version: 10,
            backups: Vec::new(),
            outcome: Outcome::default(),
            active_faults: Vec::new(),
            rig,
        };
        run.configure();
        if run.unfenced {
            run.rig.duties.ignore_tokens();
        }
        let duties = run.rig.duties_address;
        for i in 0..GATEWAYS {
            let proxy = Proxy::start(run.rig.runtime.handle(), run.rig.store_address)?;
            let duty_proxy = Proxy::start(run.rig.runtime.handle(), duties)?;
            run.rig.duties_address = duty_proxy.address;
            run.duty_proxies.push(duty_proxy);
            let ports = gateway::pick_ports()?;
            let gateway =
                run.rig.launch_from(&format!("g{i}"), proxy.address, ports, Some(source(i)))?;
            gateway.wait_ready()?;
            run.caller_addresses.lock().push(gateway.addresses.callers);
            run.gateways.push(gateway);
            run.store_proxies.push(proxy);
        }
        Ok(run)
    }

    /// Writes a configuration whose only key is the valid one.
    fn configure(&mut self) {
        self.config_version += self.rng.random_range(1..5);
        let key = self.key.load(Ordering::SeqCst);
        self.rig.configure(self.config_version, |config| {
            config["tenants"] = json!([{"name": "w1", "api_keys": [format!("key{key}")]}]);
        });
    }

    fn inject_fault(&mut self) -> anyhow::Result<()> {
        let g = self.rng.random_range(0..GATEWAYS);
        let s = self.rng.random_range(0..self.server_proxies.len());
        let duration = Duration::from_millis(self.rng.random_range(300..4_000));
        let ends_at = Instant::now() + duration;
        self.backups.push(self.rig.store.backup());
        if self.fleet_faults && self.rng.random_bool(FLEET_FAULT_SHARE) {
            return self.inject_fleet_fault(ends_at);
        }
        let description = match self.rng.random_range(0..14) {
            0 | 1 => {
                let slow = Fault::Slow(Duration::from_millis(200));
                let faults = [Fault::Busy, Fault::Silent, Fault::LosesAnswers, slow];
                let fault = faults[self.rng.random_range(0..faults.len())];
                self.rig.store.set_fault(fault);
                self.active_faults.push((ends_at, ActiveFault::Store));
                format!("store {fault:?} for {duration:?}")
            }
            2 | 3 => {
                let fault = self.draw_network_fault();
                self.store_proxies[g].set(fault);
                if self.unfenced {
                    self.duty_proxies[g].set(fault);
                }
                self.active_faults.push((ends_at, ActiveFault::StoreProxy(g)));
                format!("g{g} to the store {fault:?} for {duration:?}")
            }
            4 => {
                let fault = self.draw_network_fault();
                self.server_proxies[s].set(fault);
                self.active_faults.push((ends_at, ActiveFault::ServerProxy(s)));
                format!("to server {s} {fault:?} for {duration:?}")
            }
            12 | 13 => {
                let age = self.rng.random_range(1..=MAX_BACKUP_AGE_FAULTS).min(self.backups.len());
                let backup = &self.backups[self.backups.len() - age];
                let others = self.rig.store.restore(backup);
                thread::sleep(Duration::from_millis(self.rng.random_range(0..500)));
                self.rig.store.rewrite(others);
                self.backups.clear();
                format!("store restored from a copy of {age} faults ago")
            }
            5 | 6 => {
                let planned = [
                    Behavior::TurnAway,
                    Behavior::LoseAnswer,
                    Behavior::Cross,
                    Behavior::Unsigned,
                    Behavior::Fail,
                    Behavior::BreakAfter(4),
                    Behavior::EndInside(4),
                    Behavior::Hang,
                ];
                let behavior = planned[self.rng.random_range(0..planned.len())];
                self.rig.servers[s].0.set_behavior(Some(behavior));
                self.active_faults.push((ends_at, ActiveFault::Behavior(s)));
                format!("server {s} does {behavior:?} for {duration:?}")
            }
            7 => {
                self.gateways[g].signal("STOP")?;
                self.active_faults.push((ends_at, ActiveFault::Paused(g)));
                format!("g{g} paused for {duration:?}")
            }
            8 => {
                self.gateways[g].kill();
                self.restart(g)?;
                format!("g{g} killed and started again")
            }
            9 => {
                self.gateways[g].signal("HUP")?;
                let before = self.key.fetch_add(1, Ordering::SeqCst) as usize;
                self.configure();
                self.withdrawn.insert(before, Instant::now());
                format!("g{g} reloads; key {before} withdrawn")
            }
            10 => {
                self.gateways[g].signal("CONT")?;
                self.gateways[g].signal("TERM")?;
                let ended = self.gateways[g].wait_exit(Duration::from_secs(9));
                if !ended.as_ref().is_ok_and(|well| *well) {
                    self.outcome
                        .violations
                        .push(format!("g{g} did not exit with status 0 in time: {ended:?}"));
                }
                self.restart(g)?;
                format!("g{g} stopped and started again")
            }
            _ => {
                let (server, _) = &self.rig.servers[s];
                let entry = server.store_object(self.server_proxies[s].address, "draining");
                self.rig.store.put("servers", &server.id, entry);
                self.active_faults.push((ends_at, ActiveFault::Draining(s)));
                format!("server {s} drains for {duration:?}")
            }
        };
        self.outcome.trace.push(description);
        Ok(())
    }

    /// Cuts some or all hosts from all servers, or kills all hosts at once.
    fn inject_fleet_fault(&mut self, ends_at: Instant) -> anyhow::Result<()> {
        if self.rng.random_bool(0.3) {
            self.gateways.iter_mut().for_each(Gateway::kill);
            (0..GATEWAYS).try_for_each(|g| self.restart(g))?;
            self.outcome.trace.push("all hosts killed and started again".to_string());
            return Ok(());
        }
        let faults = [NetworkFault::Close, NetworkFault::Silence, NetworkFault::RefuseNew];
        let fault = faults[self.rng.random_range(0..faults.len())];
        let first = self.rng.random_range(0..GATEWAYS);
        let hosts = self.rng.random_range(1..=GATEWAYS);
        for g in (first..first + hosts).map(|g| g % GATEWAYS) {
            self.server_proxies.iter().for_each(|proxy| proxy.set_for(source(g), fault));
            self.active_faults.push((ends_at, ActiveFault::Partition(g)));
        }
        self.outcome.trace.push(format!("{hosts} hosts from g{first} on to all servers {fault:?}"));
        Ok(())
    }

    fn draw_network_fault(&mut self) -> NetworkFault {
        let delay = NetworkFault::Delay(Duration::from_millis(150));
        let faults = [
            delay,
            NetworkFault::DropToTarget,
            NetworkFault::DropFromTarget,
            NetworkFault::Silence,
            NetworkFault::Close,
        ];
        faults[self.rng.random_range(0..faults.len())]
    }

    fn restart(&mut self, g: usize) -> anyhow::Result<()> {
        let addresses = self.gateways[g].addresses;
        self.rig.duties_address = self.duty_proxies[g].address;
        let (name, store) = (format!("g{g}"), self.store_proxies[g].address);
        self.gateways[g] = self.rig.launch_from(&name, store, addresses, Some(source(g)))?;
        Ok(())
    }

    /// Sleeps for `time`, then ends the faults that are due and checks that no gateway has exited.
    fn run_for(&mut self, time: Duration) -> anyhow::Result<()> {
        thread::sleep(time);
        let now = Instant::now();
        let (expired, remaining): (Vec<_>, Vec<_>) =
            self.active_faults.drain(..).partition(|(at, _)| *at <= now);
        self.active_faults = remaining;
        expired.into_iter().try_for_each(|(_, fault)| self.end_fault(fault))?;
        for (g, gateway) in self.gateways.iter_mut().enumerate() {
            if let Some(status) = gateway.exit_status()? {
                self.outcome.violations.push(format!("g{g} exited unexpectedly: {status}"));
            }
        }
        Ok(())
    }

    fn end_fault(&mut self, fault: ActiveFault) -> anyhow::Result<()> {
        match fault {
            ActiveFault::Store => self.rig.store.set_fault(Fault::None),
            ActiveFault::StoreProxy(g) => {
                self.store_proxies[g].set(NetworkFault::None);
                self.duty_proxies[g].set(NetworkFault::None);
            }
            ActiveFault::Partition(g) => {
                self.server_proxies.iter().for_each(|proxy| proxy.clear_for(source(g)));
            }
            ActiveFault::ServerProxy(s) => self.server_proxies[s].set(NetworkFault::None),
            ActiveFault::Behavior(s) => self.rig.servers[s].0.set_behavior(None),
            ActiveFault::Paused(g) => self.gateways[g].signal("CONT")?,
            ActiveFault::Draining(s) => {
                let (server, _) = &self.rig.servers[s];
                let entry = server.store_object(self.server_proxies[s].address, "ready");
                self.rig.store.put("servers", &server.id, entry);
            }
        }
        Ok(())
    }

    fn end_all_faults(&mut self) -> anyhow::Result<()> {
        let active_faults = std::mem::take(&mut self.active_faults);
        active_faults.into_iter().try_for_each(|(_, fault)| self.end_fault(fault))
    }

    /// Waits until every gateway serves a read, a write and a stream.
    fn wait_recovered(&self) -> anyhow::Result<()> {
        let deadline = Instant::now() + RECOVERY_LIMIT;
        let key = format!("key{}", self.key.load(Ordering::SeqCst));
        for (g, gateway) in self.gateways.iter().enumerate() {
            for path in ["/read/x", "/write/x", "/chat/x"] {
                let serves = || {
                    let mut request = Request::new("POST", path, &format!("end-{g}"));
                    request.key = Some(key.clone());
                    request.deadline = Duration::from_secs(2);
                    let response = request.send(gateway.addresses.callers);
                    response.is_ok_and(|response| response.status == 200 && response.complete)
                };
                while !serves() {
                    anyhow::ensure!(Instant::now() < deadline, "g{g} does not serve {path} again");
                    thread::sleep(FAULT_INTERVAL / 10);
                }
            }
        }
        Ok(())
    }

    fn check_guarantees(&mut self, sent_requests: &[SentRequest]) {
        let arrivals: Vec<_> =
            self.rig.servers.iter().flat_map(|(server, _)| server.arrivals()).collect();
        let mut run_counts: BTreeMap<&str, usize> = BTreeMap::new();
        for arrival in arrivals.iter().filter(|arrival| arrival.ran) {
            *run_counts.entry(arrival.id.as_str()).or_default() += 1;
        }
        let mut violations = Vec::new();
        let health_checks = self.rig.servers.iter().flat_map(|(server, _)| server.health_checks());
        if health_checks.into_iter().any(|headers| headers.contains_key("authorization")) {
            violations.push("a health check carried an API key".to_string());
        }
        for arrival in &arrivals {
            let workspace = arrival.headers.get("tenant").map(|value| value.as_bytes());
            if workspace != Some(b"w1") || arrival.headers.contains_key("authorization") {
                violations.push(format!(
                    "request {} reached a server for another workspace or with an API key",
                    arrival.id
                ));
            }
        }
        let mut served = 0;
        for request in sent_requests {
            let runs = run_counts.get(request.id.as_str()).copied().unwrap_or(0);
            let at_most_once = matches!(request.path, "/write/x" | "/long/x");
            if at_most_once && runs > 1 {
                violations.push(format!("request {} ran {runs} times", request.id));
            }
            let withdrawn = self.withdrawn.get(&request.key);
            if runs > 0 && withdrawn.is_some_and(|at| request.sent > *at + KEY_WITHDRAWAL_LIMIT) {
                violations
                    .push(format!("request {} ran with withdrawn key {}", request.id, request.key));
            }
            let Some(response) = &request.response else { continue };
            if at_most_once && matches!(response.status, 408 | 421 | 429 | 503) && runs > 0 {
                violations.push(format!(
                    "request {} ran, but its response says that it did not",
                    request.id
                ));
            }
            if response.status == 200 {
                served += usize::from(response.complete);
                violations.extend(response_problem(request, response));
                violations.extend(version_problem(request, response));
            }
        }
        for (window, bodies) in self.rig.duties.reports() {
            if bodies.windows(2).any(|pair| pair[0] != pair[1]) {
                violations
                    .push(format!("usage window {window} was reported with different counts"));
            }
        }
        let calls = self.rig.duties.calls();
        for call in &calls {
            if calls.iter().any(|other| other.token == call.token && other.holder != call.holder) {
                violations.push(format!("fencing token {} was used by two hosts", call.token));
            }
            if self.unfenced && call.overtaken {
                violations.push(format!("a call with token {} arrived late", call.token));
            }
        }
        self.outcome.requests = (sent_requests.len(), served);
        self.outcome.violations.extend(violations);
    }
}

/// Returns what is wrong if a stream has events of engines of two versions, within its answer or with
/// that of the request that took it up.
fn version_problem(request: &SentRequest, response: &Response) -> Option<String> {
    let taken_up = request.taken_up.as_ref().filter(|response| response.status == 200);
    let bodies = [Some(response), taken_up].into_iter().flatten().map(|response| &response.body);
    let engines: BTreeSet<&str> = bodies
        .flat_map(|body| body.lines())
        .filter_map(|line| Some(line.strip_prefix("data: ")?.rsplit_once(" of ")?.1))
        .collect();
    let is_new = |engine: &&str| NEW_ENGINES.iter().any(|(id, _)| id == engine);
    let new = engines.iter().filter(|engine| is_new(engine)).count();
    (new > 0 && new < engines.len())
        .then(|| format!("stream {} has events of both versions: {engines:?}", request.id))
}

/// Returns what is wrong with a response of status 200, if anything.
fn response_problem(request: &SentRequest, response: &Response) -> Option<String> {
    let id = &request.id;
    if !response.headers.contains_key("response-signature") {
        return Some(format!("request {id} got status 200 without a signature"));
    }
    if matches!(request.path, "/read/x" | "/write/x") {
        let own = !response.complete || response.body.ends_with(&format!(" to {id}"));
        return (!own).then(|| format!("request {id} got an unexpected body: {:?}", response.body));
    }
    let events = response.event_ids();
    let in_order = events.iter().copied().eq(1..=events.len() as u64);
    let whole = !response.complete || events.len() == 10;
    (!in_order || !whole)
        .then(|| format!("request {id} got events {events:?}, complete: {}", response.complete))
}
