//! A fleet of hosts of which each runs one of two builds, under load; what callers, servers and the platform
//! see is checked.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::Read as _,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use serde_json::{Value, json};
use wasabi_core::format;

use crate::{
    caller::{Request, Response},
    gateway::{Gateway, ListenAddresses, older_program, pick_ports, wait_for},
    rig::Rig,
    server::Arrival,
};

/// The names of the hosts.
pub const HOSTS: [&str; 3] = ["g0", "g1", "g2"];
const CALLERS: usize = 6;
/// The load balancer sends no new connections to a host that has been stopping for this long.
pub const OUT_OF_ROTATION: Duration = Duration::from_secs(2);
/// A withdrawn key is refused by all hosts from then on.
const WITHDRAWAL: Duration = Duration::from_secs(5);
/// The events of a stream.
const EVENTS: u64 = 10;
/// Every so many requests a caller breaks its stream off after some events and takes it up elsewhere.
const BREAKS: u64 = 5;
/// The requests a second that one of the plain servers takes, and the bounds of tests/limits.rs.
const LIMIT: f64 = 2.0;
const LIMIT_SPAN: Duration = Duration::from_secs(4);
const LIMIT_SETTLING: Duration = Duration::from_secs(3);

/// A request of the load and what its caller got.
pub struct Sent {
    /// The id of the attempt.
    pub id: String,
    /// The path, which also tells the kind of the route.
    pub path: &'static str,
    /// What its caller got.
    pub response: anyhow::Result<Response>,
    /// The attempt that took the stream up, and its answer.
    pub taken_up: Option<(String, anyhow::Result<Response>)>,
}

/// A fleet of which each host runs one of two builds, under load.
pub struct Fleet {
    /// What is around the hosts.
    pub rig: Rig,
    programs: Programs,
    /// The processes of [`HOSTS`].
    pub hosts: Vec<Gateway>,
    /// What they run.
    builds: [Build; 3],
    /// Where callers connect.
    rotation: Arc<Mutex<Vec<SocketAddr>>>,
    key: Arc<AtomicU64>,
    config_version: u64,
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<Sent>>>,
}

/// A build of the program.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Build {
    /// The one under test.
    Today,
    /// The one that `.ci/older-build` makes.
    Older,
}

struct Programs {
    today: String,
    older: String,
}

impl Fleet {
    /// Starts hosts of these builds, engines of two versions and a limited server, without load.
    pub fn start(today: &str, builds: [Build; 3], unfenced: bool) -> anyhow::Result<Self> {
        let programs = Programs { today: today.to_string(), older: older_program(today)? };
        let mut rig = Rig::start(today)?;
        rig.add_engines(&[("f1", "v2"), ("f2", "v2")])?;
        for id in ["p3", "p4"] {
            rig.add_server(id, "app", false)?;
        }
        rig.server("p1").set_limit(Some(&LIMIT.to_string()));
        if unfenced {
            rig.duties.ignore_tokens();
        }
        let mut fleet = Self {
            programs,
            rig,
            hosts: Vec::new(),
            builds,
            rotation: Arc::default(),
            key: Arc::default(),
            config_version: 1,
            stop: Arc::default(),
            callers: Vec::new(),
        };
        fleet.configure(&[0]);
        for (host, build) in HOSTS.into_iter().zip(builds) {
            let gateway = fleet.launch(host, build, pick_ports()?)?;
            gateway.wait_ready()?;
            fleet.rotation.lock().push(gateway.addresses.callers);
            fleet.hosts.push(gateway);
        }
        Ok(fleet)
    }

    /// Starts the process of a host, without waiting until it is ready.
    pub fn launch(
        &mut self,
        host: &str,
        build: Build,
        ports: ListenAddresses,
    ) -> anyhow::Result<Gateway> {
        self.rig.set_program(match build {
            Build::Today => &self.programs.today,
            Build::Older => &self.programs.older,
        });
        self.rig.launch(host, self.rig.store_address, ports)
    }

    /// Writes a new configuration with these keys.
    fn configure(&mut self, keys: &[u64]) {
        self.config_version += 1;
        let keys: Vec<String> = keys.iter().map(|key| format!("key{key}")).collect();
        self.rig.configure(self.config_version, |config| {
            config["tenants"] = json!([{"name": "w1", "api_keys": keys}]);
        });
    }

    /// Starts the callers.
    pub fn begin_load(&mut self) {
        for caller in 0..CALLERS {
            let (stop, rotation, key) =
                (self.stop.clone(), self.rotation.clone(), self.key.clone());
            self.callers.push(thread::spawn(move || call(caller, &stop, &rotation, &key)));
        }
    }

    /// Stops the callers; returns what they sent.
    pub fn end_load(&mut self) -> Vec<Sent> {
        self.stop.store(true, Ordering::SeqCst);
        let callers = std::mem::take(&mut self.callers);
        callers.into_iter().flat_map(|caller| caller.join().expect("no panic")).collect()
    }

    /// Replaces a host by a process of `build` on the same settings, as planned: the load balancer takes it
    /// out while it stops, and back once it is ready.
    pub fn replace(&mut self, g: usize, build: Build) -> anyhow::Result<()> {
        let addresses = self.hosts[g].addresses;
        self.hosts[g].signal("TERM")?;
        thread::sleep(OUT_OF_ROTATION);
        self.rotation.lock().retain(|address| *address != addresses.callers);
        anyhow::ensure!(self.hosts[g].wait_exit(Duration::from_secs(9))?, "{} failed", HOSTS[g]);
        self.hosts[g] = self.launch(HOSTS[g], build, addresses)?;
        self.builds[g] = build;
        self.hosts[g].wait_ready()?;
        self.rotation.lock().push(addresses.callers);
        Ok(())
    }

    /// Issues a new key, withdraws the one before, and checks that all hosts refuse it in time.
    pub fn change_key(&mut self) -> anyhow::Result<()> {
        let before = self.key.load(Ordering::SeqCst);
        let next = before + 1;
        self.configure(&[before, next]);
        for host in &self.hosts {
            wait_for("the new key", || status_with(host, next) == Some(200))?;
        }
        self.key.store(next, Ordering::SeqCst);
        // Requests of callers with the former key are on their way.
        thread::sleep(Duration::from_millis(1_000));
        self.configure(&[next]);
        thread::sleep(WITHDRAWAL);
        self.check_keys();
        Ok(())
    }

    /// All former keys are refused everywhere, and all hosts have the newest configuration.
    pub fn check_keys(&self) {
        let valid = self.key.load(Ordering::SeqCst);
        for (name, host) in HOSTS.iter().zip(&self.hosts) {
            for key in 0..valid {
                assert_eq!(
                    status_with(host, key),
                    Some(401),
                    "{name} took the withdrawn key {key}"
                );
            }
            assert_eq!(status_with(host, valid), Some(200), "{name} refused the valid key");
            let dump: Value = host
                .page("/dump")
                .ok()
                .and_then(|page| serde_json::from_str(&page).ok())
                .unwrap_or_default();
            assert_eq!(dump["config"]["version"], self.config_version, "{name}");
        }
    }

    /// Checks what callers, servers and the platform saw.
    pub fn check(&self, sent: &[Sent]) {
        let refused: Vec<String> = sent.iter().filter_map(|sent| sent.problem(&self.rig)).collect();
        assert!(refused.is_empty(), "{} of {}: {refused:#?}", refused.len(), sent.len());
        let taken_up = sent.iter().filter_map(|sent| sent.taken_up.as_ref());
        let (first, again): (Vec<_>, Vec<_>) = taken_up.partition(|(id, _)| id.ends_with("-again"));
        assert!(again.len() * 10 <= first.len(), "{} of {} refused", again.len(), first.len());
        self.check_duties();
        self.check_limit();
    }

    /// Tokens rise, each has one holder, no call comes late, and windows are reported with one count.
    pub fn check_duties(&self) {
        let (mut holders, mut counts) = (BTreeMap::new(), BTreeMap::new());
        let mut highest = 0;
        for call in self.rig.duties.calls() {
            let holder = holders.entry(call.token).or_insert_with(|| call.holder.clone());
            assert_eq!(*holder, call.holder, "token {} has two holders", call.token);
            assert!(call.token >= highest, "token {} after {highest}", call.token);
            highest = call.token;
            if call.path == "/usage" {
                let (window, count) = (call.body["window"].to_string(), &call.body["counts"]);
                let known: &mut Value = counts.entry(window).or_insert_with(|| count.clone());
                assert_eq!(known, count, "window {}", call.body["window"]);
            }
        }
        assert!(holders.len() > 1, "the duties never changed hands: {holders:?}");
    }

    /// The number of requests in all reported windows is that of the requests that ran.
    pub fn check_usage(&self) {
        let reported: u64 = self
            .rig
            .duties
            .reports()
            .values()
            .filter_map(|reports| reports[0]["w1"].as_u64())
            .sum();
        let arrivals = self.rig.servers.iter().flat_map(|(server, _)| server.arrivals());
        let ran: BTreeSet<String> = arrivals.filter(|a| a.ran).map(|a| a.id).collect();
        assert_eq!(reported, ran.len() as u64, "reported, and run");
    }

    fn check_limit(&self) {
        let arrivals: Vec<Arrival> = self.rig.server("p1").arrivals();
        let Some(first) = arrivals.first().map(|arrival| arrival.at) else { return };
        let counted: Vec<Instant> =
            arrivals.iter().map(|a| a.at).filter(|at| *at > first + LIMIT_SETTLING).collect();
        let in_span = |from: Instant| {
            counted.iter().filter(|at| (from..from + LIMIT_SPAN).contains(*at)).count()
        };
        let most = counted.iter().map(|from| in_span(*from)).max().unwrap_or(0);
        let allowed = 1.5 * LIMIT * LIMIT_SPAN.as_secs_f64() + 5.0;
        assert!(most as f64 <= allowed, "{most} requests in {LIMIT_SPAN:?}, allowed {allowed}");
    }

    /// Checks that hosts know of which builds their peers are; only today's can tell.
    pub fn check_formats(&self) -> anyhow::Result<()> {
        let stated = |build| if build == Build::Today { format::ANNOUNCEMENT.0 } else { 0 };
        for g in (0..3).filter(|g| self.builds[*g] == Build::Today) {
            let formats = || -> Option<BTreeMap<String, u64>> {
                let dump: Value = serde_json::from_str(&self.hosts[g].page("/dump").ok()?).ok()?;
                let peers = dump["peers"].as_array()?.iter();
                peers
                    .map(|p| Some((p["host"].as_str()?.to_string(), p["format"].as_u64()?)))
                    .collect()
            };
            let others = (0..3).filter(|other| *other != g);
            let expected: BTreeMap<String, u64> = others
                .map(|other| (HOSTS[other].to_string(), u64::from(stated(self.builds[other]))))
                .collect();
            wait_for("the formats of the peers", || formats().as_ref() == Some(&expected))?;
        }
        Ok(())
    }
}

impl Sent {
    /// What is wrong with this request, if anything. All hosts that callers reach serve all of them.
    fn problem(&self, rig: &Rig) -> Option<String> {
        let id = &self.id;
        let response = match &self.response {
            Ok(response) => response,
            Err(e) => return Some(format!("{id} {} was lost: {e:#}", self.path)),
        };
        if response.status != 200 {
            return Some(format!("{id} {}: {} {}", self.path, response.status, response.body));
        }
        let runs = rig.count_runs(id);
        if matches!(self.path, "/write/x" | "/long/x") && runs != 1 {
            return Some(format!("{id} {} ran {runs} times", self.path));
        }
        let mut body = response.body.clone();
        match &self.taken_up {
            None if !response.complete => return Some(format!("{id} {} broke off", self.path)),
            Some((_, Err(e))) => return Some(format!("{id} was lost when taken up: {e:#}")),
            Some((_, Ok(again))) if again.status != 200 || !again.complete => {
                return Some(format!("{id} taken up: {} {}", again.status, again.body));
            }
            Some((_, Ok(again))) => body.push_str(&again.body),
            None => {}
        }
        if matches!(self.path, "/read/x" | "/write/x") {
            return None;
        }
        let events = Response { body: body.clone(), ..Response::default() }.event_ids();
        if !events.iter().copied().eq(1..=EVENTS) {
            return Some(format!("{id} {}: events {events:?}", self.path));
        }
        let engines: BTreeSet<&str> = body
            .lines()
            .filter_map(|line| Some(line.strip_prefix("data: ")?.rsplit_once(" of ")?.1))
            .map(|engine| &engine[..1])
            .collect();
        (engines.len() != 1).then(|| format!("{id} {} has events of two versions", self.path))
    }
}

/// The status of a read with a key at a host.
fn status_with(host: &Gateway, key: u64) -> Option<u16> {
    let mut request = Request::new("GET", "/read/x", &format!("key-{}", rand_id()));
    request.key = Some(format!("key{key}"));
    Some(request.send(host.addresses.callers).ok()?.status)
}

fn rand_id() -> u64 {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    NUMBER.fetch_add(1, Ordering::Relaxed)
}

/// Sends requests of all kinds in turn until `stop` is set.
fn call(
    caller: usize,
    stop: &AtomicBool,
    rotation: &Mutex<Vec<SocketAddr>>,
    key: &AtomicU64,
) -> Vec<Sent> {
    const PAUSE: Duration = Duration::from_millis(60);
    let paths = ["/chat/x", "/write/x", "/long/x", "/read/x"];
    let mut all = Vec::new();
    let mut number = caller as u64;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let path = paths[number as usize % paths.len()];
        let id = format!("s{caller}-{number}");
        let key = Some(format!("key{}", key.load(Ordering::SeqCst)));
        let request = Request { key: key.clone(), ..Request::new("POST", path, &id) };
        let address = |skip: usize| {
            let rotation = rotation.lock();
            rotation[(number as usize / paths.len() + skip) % rotation.len()]
        };
        let breaks = path == "/chat/x" && number.is_multiple_of(BREAKS);
        let sent = match breaks {
            false => Sent { id, path, response: request.send(address(0)), taken_up: None },
            true => {
                let response = read_begin(&request, address(0));
                let taken_up = response.as_ref().ok().and_then(|response| {
                    let again = format!("{id}-again");
                    let last = response.event_ids().last().copied()?;
                    let resume = Request { key, ..Request::resume(path, &again, &id, last) };
                    Some(take_up(resume, again, || address(1)))
                });
                Sent { id, path, response, taken_up }
            }
        };
        all.push(sent);
        thread::sleep(PAUSE);
    }
    all
}

/// Takes a stream up, again after a refusal that names a time: a peer that is asked where the stream began may
/// be too busy to answer at once. Returns the last attempt and what it got.
fn take_up(
    resume: Request,
    id: String,
    address: impl Fn() -> SocketAddr,
) -> (String, anyhow::Result<Response>) {
    const MAX_REFUSALS: usize = 2;
    let (mut id, mut response) = (id, resume.send(address()));
    for again in 1..=MAX_REFUSALS {
        let wait = response.as_ref().ok().filter(|response| response.status == 503);
        let wait = wait.and_then(|response| response.headers.get("retry-after")?.parse().ok());
        let Some(wait) = wait else { break };
        thread::sleep(Duration::from_secs_f64(wait));
        id = format!("{id}{again}");
        response = Request { id: id.clone(), ..resume.clone() }.send(address());
    }
    (id, response)
}

/// Sends a stream request and closes its connection after a few whole events.
pub fn read_begin(request: &Request, to: SocketAddr) -> anyhow::Result<Response> {
    const EVENTS_READ: usize = 4;
    let mut stream = request.open(to)?;
    let mut text = String::new();
    let mut buffer = [0; 1024];
    while text.matches("\n\n").count() < EVENTS_READ {
        let count = stream.read(&mut buffer)?;
        anyhow::ensure!(count > 0, "the stream ended after {text:?}");
        text.push_str(&String::from_utf8_lossy(&buffer[..count]));
    }
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).unwrap_or_default().parse()?;
    let end = body.rfind("\n\n").map_or(0, |at| at + 2);
    Ok(Response { status, body: body[..end].to_string(), ..Response::default() })
}
