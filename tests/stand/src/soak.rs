//! A seeded soak: real gateways under load, faults from outside, promises checked by what callers
//! and servers saw.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
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
    caller::{Answer, Request},
    gateway::{self, Gateway},
    proxy::{Harm, Proxy},
    rig::Rig,
    server::Act,
    store::Fault,
};

const GATEWAYS: usize = 3;
const CALLERS: usize = 4;
/// Between two faults; most faults last longer, so they overlap.
const STEP: Duration = Duration::from_millis(700);
/// A withdrawn key runs nothing that was sent later than this.
const WITHDRAW: Duration = Duration::from_secs(5);
/// All gateways serve again within this time of the last fault.
const RECOVERY: Duration = Duration::from_secs(12);
/// The pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(25);

/// What a run showed.
#[derive(Debug, Default)]
pub struct Outcome {
    /// The faults in their order.
    pub trace: Vec<String>,
    /// Promises that did not hold.
    pub broken: Vec<String>,
    /// Requests that were made, and those that were served whole.
    pub requests: (usize, usize),
}

/// A request that was made.
struct Made {
    id: String,
    path: &'static str,
    key: usize,
    sent: Instant,
    /// None if the connection closed without one.
    answer: Option<Answer>,
}

struct Run {
    rig: Rig,
    rng: StdRng,
    gateways: Vec<Gateway>,
    /// The way of each gateway to the store.
    ways: Vec<Proxy>,
    /// The way to each server.
    server_ways: Vec<Proxy>,
    callers: Arc<Mutex<Vec<SocketAddr>>>,
    /// The key in force, by its number, and when each was withdrawn.
    key: Arc<AtomicU64>,
    withdrawn: BTreeMap<usize, Instant>,
    version: u64,
    outcome: Outcome,
    /// What ends later, and when.
    ends: Vec<(Instant, End)>,
}

#[derive(Clone, Copy)]
enum End {
    Store,
    Way(usize),
    ServerWay(usize),
    Paused(usize),
    Acts(usize),
    Drained(usize),
}

/// Runs `steps` faults drawn from `seed`.
pub fn run(program: &str, seed: u64, steps: usize) -> anyhow::Result<Outcome> {
    let mut run = Run::start(program, seed)?;
    let stop = Arc::new(AtomicBool::new(false));
    let made = Arc::new(Mutex::new(Vec::new()));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (stop, made) = (stop.clone(), made.clone());
            let (to, key) = (run.callers.clone(), run.key.clone());
            let rng = StdRng::seed_from_u64(seed * 1_000 + caller as u64);
            thread::spawn(move || call(caller, rng, &stop, &to, &key, &made))
        })
        .collect();
    for _ in 0..steps {
        run.fault()?;
        run.pass(STEP)?;
    }
    run.heal()?;
    let recovered = run.recovers();
    stop.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| caller.join().expect("a caller does not panic"));
    if let Err(e) = recovered {
        run.outcome.broken.push(e.to_string());
    }
    let made = std::mem::take(&mut *made.lock());
    run.check(&made);
    Ok(run.outcome)
}

/// Makes requests until it is told to stop.
fn call(
    caller: usize,
    mut rng: StdRng,
    stop: &AtomicBool,
    to: &Mutex<Vec<SocketAddr>>,
    key: &AtomicU64,
    made: &Mutex<Vec<Made>>,
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
        // Some callers keep an old key.
        let newest = key.load(Ordering::SeqCst) as usize;
        let key = newest.saturating_sub(usize::from(rng.random_bool(0.3)));
        request.key = Some(format!("key{key}"));
        request.deadline = Duration::from_millis(rng.random_range(300..3_000));
        let address = {
            let to = to.lock();
            to[rng.random_range(0..to.len())]
        };
        let sent = Instant::now();
        let answer = request.send(address).ok();
        made.lock().push(Made { id, path, key, sent, answer });
        thread::sleep(CALLER_PAUSE);
    }
}

impl Run {
    fn start(program: &str, seed: u64) -> anyhow::Result<Self> {
        let rig = Rig::start(program)?;
        let mut server_ways = Vec::new();
        for (server, address) in &rig.servers {
            let way = Proxy::start(rig.runtime.handle(), *address)?;
            rig.store.put("servers", &server.id, server.entry(way.address, "ready"));
            server_ways.push(way);
        }
        let mut run = Self {
            rng: StdRng::seed_from_u64(seed),
            gateways: Vec::new(),
            ways: Vec::new(),
            server_ways,
            callers: Arc::default(),
            key: Arc::default(),
            withdrawn: BTreeMap::new(),
            version: 10,
            outcome: Outcome::default(),
            ends: Vec::new(),
            rig,
        };
        run.configure();
        for i in 0..GATEWAYS {
            let way = Proxy::start(run.rig.runtime.handle(), run.rig.store_at)?;
            let gateway = run.rig.launch(&format!("g{i}"), way.address, gateway::draw_ports()?)?;
            gateway.wait_ready()?;
            run.callers.lock().push(gateway.ports.callers);
            run.gateways.push(gateway);
            run.ways.push(way);
        }
        Ok(run)
    }

    /// Writes a configuration with the key in force and the one before.
    fn configure(&mut self) {
        self.version += self.rng.random_range(1..5);
        let key = self.key.load(Ordering::SeqCst);
        self.rig.configure(self.version, |config| {
            config["tenants"] = json!([{"name": "w1", "api_keys": [format!("key{key}")]}]);
        });
    }

    fn fault(&mut self) -> anyhow::Result<()> {
        let g = self.rng.random_range(0..GATEWAYS);
        let s = self.rng.random_range(0..self.server_ways.len());
        let lasts = Duration::from_millis(self.rng.random_range(300..4_000));
        let end = Instant::now() + lasts;
        let what = match self.rng.random_range(0..12) {
            0 | 1 => {
                let slow = Fault::Slow(Duration::from_millis(200));
                let faults = [Fault::Busy, Fault::Silent, Fault::LosesAnswers, slow];
                let fault = faults[self.rng.random_range(0..faults.len())];
                self.rig.store.set_fault(fault);
                self.ends.push((end, End::Store));
                format!("store {fault:?} for {lasts:?}")
            }
            2 | 3 => {
                let harm = self.harm();
                self.ways[g].set(harm);
                self.ends.push((end, End::Way(g)));
                format!("g{g} to the store {harm:?} for {lasts:?}")
            }
            4 => {
                let harm = self.harm();
                self.server_ways[s].set(harm);
                self.ends.push((end, End::ServerWay(s)));
                format!("to server {s} {harm:?} for {lasts:?}")
            }
            5 | 6 => {
                let acts = [
                    Act::TurnAway,
                    Act::LoseAnswer,
                    Act::Cross,
                    Act::Unsigned,
                    Act::Fail,
                    Act::BreakAfter(4),
                    Act::Hang,
                ];
                let act = acts[self.rng.random_range(0..acts.len())];
                self.rig.servers[s].0.always(Some(act));
                self.ends.push((end, End::Acts(s)));
                format!("server {s} does {act:?} for {lasts:?}")
            }
            7 => {
                self.gateways[g].signal("STOP")?;
                self.ends.push((end, End::Paused(g)));
                format!("g{g} paused for {lasts:?}")
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
                let ended = self.gateways[g].wait_end(Duration::from_secs(9));
                if !ended.as_ref().is_ok_and(|well| *well) {
                    self.outcome.broken.push(format!("g{g} did not stop well: {ended:?}"));
                }
                self.restart(g)?;
                format!("g{g} stopped and started again")
            }
            _ => {
                let (server, _) = &self.rig.servers[s];
                let entry = server.entry(self.server_ways[s].address, "draining");
                self.rig.store.put("servers", &server.id, entry);
                self.ends.push((end, End::Drained(s)));
                format!("server {s} drains for {lasts:?}")
            }
        };
        self.outcome.trace.push(what);
        Ok(())
    }

    fn harm(&mut self) -> Harm {
        let delay = Harm::Delay(Duration::from_millis(150));
        let harms = [delay, Harm::CutForth, Harm::CutBack, Harm::Silence, Harm::Reset];
        harms[self.rng.random_range(0..harms.len())]
    }

    fn restart(&mut self, g: usize) -> anyhow::Result<()> {
        let ports = self.gateways[g].ports;
        self.gateways[g] = self.rig.launch(&format!("g{g}"), self.ways[g].address, ports)?;
        Ok(())
    }

    /// Lets time pass, in which faults end and no gateway ends by itself.
    fn pass(&mut self, time: Duration) -> anyhow::Result<()> {
        thread::sleep(time);
        let now = Instant::now();
        let (over, left): (Vec<_>, Vec<_>) = self.ends.drain(..).partition(|(at, _)| *at <= now);
        self.ends = left;
        over.into_iter().try_for_each(|(_, end)| self.end(end))?;
        for (g, gateway) in self.gateways.iter_mut().enumerate() {
            if let Some(how) = gateway.ended()? {
                self.outcome.broken.push(format!("g{g} ended by itself: {how}"));
            }
        }
        Ok(())
    }

    fn end(&mut self, end: End) -> anyhow::Result<()> {
        match end {
            End::Store => self.rig.store.set_fault(Fault::None),
            End::Way(g) => self.ways[g].set(Harm::None),
            End::ServerWay(s) => self.server_ways[s].set(Harm::None),
            End::Acts(s) => self.rig.servers[s].0.always(None),
            End::Paused(g) => self.gateways[g].signal("CONT")?,
            End::Drained(s) => {
                let (server, _) = &self.rig.servers[s];
                let entry = server.entry(self.server_ways[s].address, "ready");
                self.rig.store.put("servers", &server.id, entry);
            }
        }
        Ok(())
    }

    fn heal(&mut self) -> anyhow::Result<()> {
        let ends = std::mem::take(&mut self.ends);
        ends.into_iter().try_for_each(|(_, end)| self.end(end))
    }

    /// Waits until every gateway serves every kind of request.
    fn recovers(&self) -> anyhow::Result<()> {
        let end = Instant::now() + RECOVERY;
        let key = format!("key{}", self.key.load(Ordering::SeqCst));
        for (g, gateway) in self.gateways.iter().enumerate() {
            for path in ["/read/x", "/write/x", "/chat/x"] {
                let serves = || {
                    let mut request = Request::new("POST", path, &format!("end-{g}"));
                    request.key = Some(key.clone());
                    request.deadline = Duration::from_secs(2);
                    let answer = request.send(gateway.ports.callers);
                    answer.is_ok_and(|answer| answer.status == 200 && answer.complete)
                };
                while !serves() {
                    anyhow::ensure!(Instant::now() < end, "g{g} does not serve {path} again");
                    thread::sleep(STEP / 10);
                }
            }
        }
        Ok(())
    }

    fn check(&mut self, made: &[Made]) {
        let arrivals: Vec<_> =
            self.rig.servers.iter().flat_map(|(server, _)| server.arrivals()).collect();
        let mut ran: BTreeMap<&str, usize> = BTreeMap::new();
        for arrival in arrivals.iter().filter(|arrival| arrival.ran) {
            *ran.entry(arrival.id.as_str()).or_default() += 1;
        }
        let mut broken = Vec::new();
        for arrival in &arrivals {
            let workspace = arrival.headers.get("tenant").map(|value| value.as_bytes());
            if workspace != Some(b"w1") || arrival.headers.contains_key("authorization") {
                broken.push(format!("{} came with wrong headers", arrival.id));
            }
        }
        let mut served = 0;
        for request in made {
            let runs = ran.get(request.id.as_str()).copied().unwrap_or(0);
            let once = matches!(request.path, "/write/x" | "/long/x");
            if once && runs > 1 {
                broken.push(format!("{} ran {runs} times", request.id));
            }
            let withdrawn = self.withdrawn.get(&request.key);
            if runs > 0 && withdrawn.is_some_and(|at| request.sent > *at + WITHDRAW) {
                broken.push(format!("{} ran with withdrawn key {}", request.id, request.key));
            }
            let Some(answer) = &request.answer else { continue };
            if once && matches!(answer.status, 408 | 421 | 429 | 503) && runs > 0 {
                broken.push(format!("{} was said not to have run", request.id));
            }
            if answer.status == 200 {
                served += usize::from(answer.complete);
                broken.extend(wrong(request, answer));
            }
        }
        for (window, bodies) in self.rig.duties.reports() {
            if bodies.windows(2).any(|pair| pair[0] != pair[1]) {
                broken.push(format!("window {window} was reported with two figures"));
            }
        }
        let calls = self.rig.duties.calls();
        for call in &calls {
            if calls.iter().any(|other| other.fence == call.fence && other.holder != call.holder) {
                broken.push(format!("fence {} has two holders", call.fence));
            }
        }
        self.outcome.requests = (made.len(), served);
        self.outcome.broken.extend(broken);
    }
}

/// Says what is wrong with a successful answer.
fn wrong(request: &Made, answer: &Answer) -> Option<String> {
    let id = &request.id;
    if !answer.headers.contains_key("response-signature") {
        return Some(format!("{id} got a success without a signature"));
    }
    if matches!(request.path, "/read/x" | "/write/x") {
        let own = !answer.complete || answer.body.ends_with(&format!(" to {id}"));
        return (!own).then(|| format!("{id} got {:?}", answer.body));
    }
    let events = answer.events();
    let in_order = events.iter().copied().eq(1..=events.len() as u64);
    let whole = !answer.complete || events.len() == 10;
    (!in_order || !whole).then(|| format!("{id} got events {events:?}, {}", answer.complete))
}
