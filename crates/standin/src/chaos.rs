//! Chaos test: seeded random faults under load. At the end the records of the stand-ins and of the
//! callers are checked for violated properties.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    thread,
    time::Duration,
};

use parking_lot::{Mutex, RwLock};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng, seq::IndexedRandom as _};
use serde_json::{Value, json};
use wasabi_config::keys;
use wasabi_core::{
    io::{Action, Order, Phase, ProvisionedServer, Report},
    units::{HostId, Incarnation},
};

use crate::{
    caller::Call,
    engine::{self, Engine, Profile},
    process::wait_until,
    proxy::{Mode, Proxy},
    rig::{Programs, Rig, Size},
};

const HOSTS: usize = 4;
const CALLERS: usize = 4;
/// Attempts of a call that is not repeatable, all with the same idempotency key.
const MAX_NON_REPEATABLE_ATTEMPTS: usize = 6;
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// What a run did, and the properties that it found violated.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Number of injected faults by kind.
    pub faults: BTreeMap<&'static str, usize>,
    /// Number of streams that got a response, and of those that were complete.
    pub streams: (usize, usize),
    /// Number of calls that are not repeatable, and of those that were answered.
    pub calls: (usize, usize),
    /// Descriptions of the violated properties; empty if the run passed.
    pub violations: Vec<String>,
    /// The pairs of faults, in their order.
    pub trace: Vec<String>,
}

/// The state of a run: the deployment, the random source and what was done so far.
struct Run {
    rig: Rig,
    /// The proxy from each host to the platform, by the index of the host in `rig.hosts`.
    platform_proxies: Vec<Proxy>,
    rng: StdRng,
    /// Number of hosts started so far, which names the next one.
    hosts_started: usize,
    /// Number of release notes created so far, which names the next one.
    notes_created: u64,
    /// The incarnations of killed hosts, which may not have reported their last usage.
    killed: BTreeSet<Incarnation>,
    outcome: Outcome,
}

/// State that callers share, and what they record.
struct Callers {
    /// The addresses of the running hosts.
    hosts: RwLock<Vec<SocketAddr>>,
    stopping: AtomicBool,
    /// Tokens received in all streams.
    received_tokens: AtomicU64,
    /// The prompt, the requested tokens and the answer of each stream.
    streams: Mutex<Vec<(String, u64, crate::caller::Stream)>>,
    /// The attempts of each call that is not repeatable, by idempotency key.
    non_repeatable_calls: Mutex<BTreeMap<String, Vec<Attempt>>>,
}

/// An attempt of a call that is not repeatable.
#[derive(Clone, Debug)]
struct Attempt {
    /// The HTTP status, 0 without an answer.
    status: u16,
    /// What the error says of whether the call has run; `None` without an error.
    ran: Option<String>,
    body: Vec<u8>,
}

/// Injects `steps` pairs of faults drawn from `seed`, and checks the outcome.
pub fn run(programs: Programs, seed: u64, steps: usize) -> anyhow::Result<Outcome> {
    let size = Size { hosts: 0, engines: 3, services: 2, ..Size::default() };
    let rig = Rig::start(programs, &size)?;
    install_engine_factory(&rig);
    let mut run = Run {
        rig,
        platform_proxies: Vec::new(),
        rng: StdRng::seed_from_u64(seed),
        hosts_started: 0,
        notes_created: 0,
        killed: BTreeSet::new(),
        outcome: Outcome::default(),
    };
    for _ in 0..HOSTS {
        run.add_host()?;
    }
    run.set_elastic_min(1)?;
    let callers = Callers {
        hosts: RwLock::new(run.addresses()),
        stopping: AtomicBool::new(false),
        received_tokens: AtomicU64::new(0),
        streams: Mutex::default(),
        non_repeatable_calls: Mutex::default(),
    };
    let secret = run.rig.sample.lab.secret.clone();
    thread::scope(|scope| -> anyhow::Result<()> {
        for number in 0..CALLERS {
            let (callers, secret) = (&callers, &secret);
            scope.spawn(move || callers.run_caller(number, seed, secret));
        }
        let injection = (0..steps).try_for_each(|_| run.step(&callers));
        callers.stopping.store(true, Ordering::SeqCst);
        injection
    })?;
    run.heal();
    run.withdraw_key_and_await_reports(&callers)?;
    run.check(&callers);
    Ok(run.outcome)
}

fn install_engine_factory(rig: &Rig) {
    let engines: Mutex<Vec<Engine>> = Mutex::default();
    *rig.platform.state().factory.lock() = Some(Box::new(move |order: &Order| {
        let mut engines = engines.lock();
        let name = format!("rented-{}", engines.len());
        let engine = Engine::start(&name, Profile::default()).expect("an engine starts");
        let Action::Start { domain, reclaimable } = &order.action else {
            unreachable!("the factory gets only orders to start a server")
        };
        let server = engine.server(domain, *reclaimable);
        engines.push(engine);
        let (pool, intent) = (order.pool.clone(), Some(order.intent.clone()));
        ProvisionedServer { server, pool, phase: Phase::Live, intent }
    }));
}

impl Callers {
    /// Makes requests one after the other until the run stops.
    fn run_caller(&self, number: usize, seed: u64, secret: &str) {
        let mut rng = StdRng::seed_from_u64(seed ^ (number as u64 + 1) << 32);
        let mut round = 0;
        while !self.stopping.load(Ordering::SeqCst) {
            round += 1;
            let address = *self.hosts.read().choose(&mut rng).expect("there are hosts");
            if rng.random_bool(0.5) {
                self.stream(
                    secret,
                    address,
                    &format!("p{number}-{round}"),
                    rng.random_range(1..20),
                );
            } else {
                self.make_non_repeatable_call(secret, &mut rng, &format!("k{number}-{round}"));
            }
        }
    }

    fn stream(&self, secret: &str, address: SocketAddr, prompt: &str, tokens: u64) {
        let Ok(stream) = Call::chat(secret, "costing", prompt, tokens).stream(address) else {
            return;
        };
        self.received_tokens.fetch_add(stream.tokens, Ordering::SeqCst);
        self.streams.lock().push((prompt.to_string(), tokens, stream));
    }

    /// Makes a call that is not repeatable, up to [`MAX_NON_REPEATABLE_ATTEMPTS`] times until it is
    /// answered with status 200.
    fn make_non_repeatable_call(&self, secret: &str, rng: &mut StdRng, key: &str) {
        for _ in 0..MAX_NON_REPEATABLE_ATTEMPTS {
            let address = *self.hosts.read().choose(rng).expect("there are hosts");
            let call = Call::post("/records/a", "{}").bearer(secret).header("idempotency-key", key);
            let attempt = match call.fetch(address) {
                Ok(answer) => {
                    let (status, ran) = (answer.status, answer.ran());
                    Attempt { status, ran, body: answer.body }
                }
                Err(_) => Attempt { status: 0, ran: None, body: Vec::new() },
            };
            let answered = attempt.status == 200;
            self.non_repeatable_calls.lock().entry(key.to_string()).or_default().push(attempt);
            if answered {
                return;
            }
            thread::sleep(RETRY_DELAY);
        }
    }
}

impl Run {
    fn addresses(&self) -> Vec<SocketAddr> {
        self.rig.hosts.iter().map(|host| host.callers).collect()
    }

    fn add_host(&mut self) -> anyhow::Result<()> {
        let name = format!("host-{}", self.hosts_started);
        self.hosts_started += 1;
        let proxy = Proxy::start(self.rig.platform.address())?;
        let mut settings = self.rig.settings(&name);
        for system in ["objects", "usage", "orders", "hosts"] {
            settings[system] = json!(proxy.url());
        }
        self.rig.add_host_with(&name, &settings)?;
        self.platform_proxies.push(proxy);
        Ok(())
    }

    fn next_note(&mut self) -> String {
        self.notes_created += 1;
        format!("chaos-{}", self.notes_created)
    }

    /// Applies a note that makes the engine pool elastic, with at least `min` servers.
    fn set_elastic_min(&mut self, min: u32) -> anyhow::Result<()> {
        let domain = "tn-north-a".parse()?;
        let servers: Vec<_> =
            self.rig.engines.iter().map(|engine| engine.server(&domain, false)).collect();
        let pool = json!({"name": "costing", "model": "costing", "servers": servers,
            "elastic": {"min": min, "max": 6, "domains": ["tn-north-a"], "cheap": true}});
        let id = self.next_note();
        let base = self.revision();
        let note = json!({"id": id, "base": base, "changed": {"pools": [pool]}});
        self.rig.ctl_note("apply", &note)?;
        Ok(())
    }

    /// Returns the newest revision of the configuration.
    fn revision(&self) -> u64 {
        self.rig.platform.state().objects.history("live/log/").len() as u64
    }

    /// Injects two faults at once, lets them last for a while, and heals them.
    fn step(&mut self, callers: &Callers) -> anyhow::Result<()> {
        let first = self.inject()?;
        let second = self.inject()?;
        let fault_ms = self.rng.random_range(200..1_200);
        self.outcome.trace.push(format!("{first} with {second} for {fault_ms} ms"));
        *callers.hosts.write() = self.addresses();
        thread::sleep(Duration::from_millis(fault_ms));
        self.heal();
        let recovery_ms = self.rng.random_range(100..600);
        thread::sleep(Duration::from_millis(recovery_ms));
        Ok(())
    }

    fn inject(&mut self) -> anyhow::Result<&'static str> {
        let host = self.rng.random_range(0..self.rig.hosts.len());
        let engine = self.rng.random_range(0..self.rig.engines.len());
        let kind = match self.rng.random_range(0..14) {
            0 => self.platform_fault("store down", |faults| faults.down = true),
            1 => self.platform_fault("lost answers", |faults| faults.lose_responses = 5),
            2 => self.platform_fault("lost reports and orders", |faults| {
                (faults.lose_reports, faults.lose_orders) = (2, 2);
            }),
            3 => self.platform_fault("slow store", |f| f.call_delay = Duration::from_millis(100)),
            4 => self.set_proxy_mode("cut way", host, Mode::Cut),
            5 => self.set_proxy_mode("held way", host, Mode::Hold),
            6 => self.set_proxy_mode("dropped answers", host, Mode::DropResponses),
            7 => {
                self.rig.hosts[host].pause();
                "paused host"
            }
            8 => self.kill(host)?,
            9 => self.stop(host)?,
            10 => {
                self.rig.engines[engine].update_faults(|faults| faults.cut_after = Some(3));
                "dying engine"
            }
            11 => {
                self.rig.engines[engine].update_faults(|faults| faults.wrong_request_id = true);
                "crossed answers"
            }
            12 => {
                self.rig.services[0].update_faults(|faults| faults.lose_response = true);
                "lost answers of a service"
            }
            _ => self.race_operators()?,
        };
        *self.outcome.faults.entry(kind).or_default() += 1;
        Ok(kind)
    }

    fn platform_fault(
        &self,
        kind: &'static str,
        change: impl FnOnce(&mut crate::platform::Faults),
    ) -> &'static str {
        self.rig.platform.update_faults(change);
        kind
    }

    fn set_proxy_mode(&self, kind: &'static str, host: usize, mode: Mode) -> &'static str {
        self.platform_proxies[host].set_mode(mode);
        kind
    }

    fn kill(&mut self, host: usize) -> anyhow::Result<&'static str> {
        let host_process = &mut self.rig.hosts[host];
        let line = host_process.wait_log("listening")?;
        let incarnation: Incarnation = line["incarnation"].as_str().unwrap_or_default().parse()?;
        host_process.kill();
        let name: HostId = incarnation.host().parse()?;
        self.killed.insert(incarnation);
        self.replace_host(host, &name)?;
        Ok("killed host")
    }

    /// Stops a host by SIGTERM, after it is resumed and the platform can be reached; it must exit
    /// with 0.
    fn stop(&mut self, host: usize) -> anyhow::Result<&'static str> {
        let line = self.rig.hosts[host].wait_log("listening")?;
        let name = line["host"].as_str().unwrap_or_default().parse()?;
        self.rig.hosts[host].resume();
        self.platform_proxies[host].set_mode(Mode::Pass);
        self.rig.platform.update_faults(|faults| faults.down = false);
        self.rig.hosts[host].terminate();
        let ended = self.rig.hosts[host].wait()?;
        if ended != Some(0) {
            self.outcome.violations.push(format!("a planned stop ended with {ended:?}"));
        }
        self.replace_host(host, &name)?;
        Ok("planned stop")
    }

    /// Removes a host that has ended, and starts a new one in its place.
    fn replace_host(&mut self, host: usize, name: &HostId) -> anyhow::Result<()> {
        self.rig.unregister_host(name.as_str());
        self.rig.hosts.remove(host);
        self.platform_proxies.remove(host);
        let down = self.rig.platform.state().faults.lock().down;
        self.add_host()?;
        if !down {
            let host = self.rig.hosts.last().expect("a host was added");
            self.rig.wait_revision(host, 1)?;
        }
        Ok(())
    }

    /// Two operators change the same workspace at the same time, then one changes the pool.
    fn race_operators(&mut self) -> anyhow::Result<&'static str> {
        let base = self.revision();
        let weight = self.rng.random_range(1..9);
        let note = |id: String, weight: u32| {
            json!({"id": id, "base": base,
                   "changed": {"workspaces": [{"name": "office", "weight": weight}]}})
        };
        let (a, b) = (self.next_note(), self.next_note());
        let notes = [note(a, weight), note(b, weight + 1)];
        thread::scope(|scope| {
            for note in &notes {
                scope.spawn(|| self.rig.ctl_note("apply", note));
            }
        });
        let min = self.rng.random_range(1..4);
        self.set_elastic_min(min)?;
        Ok("racing operators")
    }

    /// Removes all faults.
    fn heal(&mut self) {
        self.rig.platform.update_faults(|faults| *faults = Default::default());
        self.platform_proxies.iter().for_each(|proxy| proxy.set_mode(Mode::Pass));
        self.rig.hosts.iter().for_each(|host| host.resume());
        for engine in &self.rig.engines {
            engine.update_faults(|faults| *faults = Default::default());
        }
        self.rig.services[0].update_faults(|faults| *faults = Default::default());
    }

    /// Withdraws the callers' key, checks that no host accepts it any more, and waits until all
    /// usage is reported. If a host was killed, the reported tokens are not compared with the
    /// received ones.
    fn withdraw_key_and_await_reports(&mut self, callers: &Callers) -> anyhow::Result<()> {
        let key = keys::name(&self.rig.sample.lab.secret)?;
        let id = self.next_note();
        let note = json!({"id": id, "base": self.revision(), "withdrawn": {"keys": [key]}});
        self.rig.apply(&note)?;
        let newest = self.revision();
        for host in &self.rig.hosts {
            self.rig.wait_revision(host, newest)?;
        }
        for host in self.rig.hosts.iter().map(|host| host.callers) {
            let call = Call::chat(&self.rig.sample.lab.secret, "costing", "late", 1);
            if call.stream(host)?.code() != Some(1002) {
                self.outcome.violations.push("a withdrawn key still works".to_string());
            }
        }
        let received_tokens = callers.received_tokens.load(Ordering::SeqCst);
        let reported = || completion_tokens(&last_reports(&self.rig.platform.reports()));
        if self.killed.is_empty() {
            let caught_up = wait_until("all is reported", || reported() >= received_tokens);
            if caught_up.is_err() || reported() != received_tokens {
                let text = format!("{} tokens were reported of {received_tokens}", reported());
                self.outcome.violations.push(text);
            }
        }
        wait_until("all usage windows but one are sent", || {
            let windows = self.rig.platform.state().objects.list("usage/window/", "", 100_000);
            let open = windows.iter().filter(|window| window.value.contains("\"sent\":false"));
            open.count() <= 1
        })
    }

    fn check(&mut self, callers: &Callers) {
        self.check_streams(callers);
        self.check_non_repeatable_calls(callers);
        self.check_reports();
        self.check_orders();
        self.check_log();
    }

    /// A complete stream must have the full answer to its prompt, an incomplete one a prefix of it.
    fn check_streams(&mut self, callers: &Callers) {
        let streams = callers.streams.lock();
        let whole = streams.iter().filter(|(_, _, stream)| stream.complete).count();
        self.outcome.streams = (streams.len(), whole);
        for (prompt, tokens, stream) in streams.iter() {
            let answer = engine::answer(prompt, *tokens);
            if stream.complete && stream.text != answer {
                self.outcome.violations.push(format!("{prompt} got another answer as complete"));
            }
            if !answer.starts_with(&stream.text) {
                self.outcome.violations.push(format!("{prompt} got a part of another answer"));
            }
        }
    }

    /// A call that is not repeatable must run at most once, and the reported outcome must be true.
    fn check_non_repeatable_calls(&mut self, callers: &Callers) {
        let once = callers.non_repeatable_calls.lock();
        let mut executed: BTreeMap<String, usize> = BTreeMap::new();
        for execution in self.rig.services.iter().flat_map(|service| service.executions()) {
            *executed.entry(execution.idempotency_key).or_default() += 1;
        }
        let mut answered = 0;
        for (key, tries) in once.iter() {
            let runs = executed.get(key).copied().unwrap_or(0);
            if runs > 1 {
                self.outcome.violations.push(format!("{key} ran {runs} times: {tries:?}"));
            }
            let answers: BTreeSet<&Vec<u8>> =
                tries.iter().filter(|t| t.status == 200).map(|t| &t.body).collect();
            answered += usize::from(!answers.is_empty());
            if answers.len() > 1 || (!answers.is_empty() && runs != 1) {
                self.outcome.violations.push(format!("{key} has answers that it did not get"));
            }
            let never_ran = tries.iter().all(|attempt| attempt.ran.as_deref() == Some("not run"));
            if never_ran && runs > 0 {
                self.outcome.violations.push(format!("{key} ran and was called not run"));
            }
        }
        self.outcome.calls = (once.len(), answered);
    }

    /// A usage window must be reported with the same figures each time, and by one reporter unless
    /// the first one was killed.
    fn check_reports(&mut self) {
        let mut first: BTreeMap<u64, Report> = BTreeMap::new();
        for report in self.rig.platform.reports() {
            let earlier = first.entry(report.window.0).or_insert_with(|| report.clone());
            if earlier.lines != report.lines {
                self.outcome.violations.push(format!("window {} has two figures", report.window));
            }
            let by_another_host = earlier.reporter != report.reporter;
            if by_another_host && !self.killed.contains(&earlier.reporter) {
                self.outcome.violations.push(format!("window {} has two reporters", report.window));
            }
        }
    }

    /// The epoch of an order must not be lower than that of an earlier one, unless its host was
    /// killed, and no intent may be ordered twice.
    fn check_orders(&mut self) {
        let orders: Vec<Order> =
            self.rig.platform.state().orders.lock().iter().map(|o| o.item.clone()).collect();
        let mut newest = 0;
        let mut intents = BTreeSet::new();
        for order in &orders {
            // An order of a killed host may still arrive after another host has taken over the
            // role; the killed host sends no further orders.
            if order.epoch.0 < newest && !self.killed.contains(&order.holder) {
                self.outcome.violations.push(format!("{order:?} came after epoch {newest}"));
            }
            newest = newest.max(order.epoch.0);
            if !intents.insert(order.intent.clone()) {
                self.outcome.violations.push(format!("order {} came twice", order.intent));
            }
        }
    }

    /// No entry of the configuration log may be written twice, and no note accepted twice.
    fn check_log(&mut self) {
        let history = self.rig.platform.state().objects.history("live/log/");
        let keys: BTreeSet<&String> = history.iter().map(|object| &object.key).collect();
        if keys.len() != history.len() {
            self.outcome.violations.push("an entry of the log was written twice".to_string());
        }
        let ids: BTreeSet<String> = history
            .iter()
            .filter_map(|o| serde_json::from_str::<Value>(&o.value).ok())
            .map(|entry| entry["note"]["id"].to_string())
            .collect();
        if ids.len() != history.len() {
            self.outcome.violations.push("a note was accepted twice".to_string());
        }
    }
}

/// Returns the last report of each window.
fn last_reports(reports: &[Report]) -> BTreeMap<u64, &Report> {
    reports.iter().map(|report| (report.window.0, report)).collect()
}

/// Returns the completion tokens in the reports.
fn completion_tokens(reports: &BTreeMap<u64, &Report>) -> u64 {
    let lines = reports.values().flat_map(|report| &report.lines);
    lines.map(|line| line.figures.completion.0).sum()
}
