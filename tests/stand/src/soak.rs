//! Seeded soak test: gateway processes under load and injected faults; the guarantees are checked
//! by what callers and backend servers observed.

pub mod adversary;
mod builds;
mod calls;
mod faults;
pub mod moves;
mod promises;

use std::{
    collections::BTreeMap,
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
use serde_json::{Value, json};

use self::{builds::Builds, calls::SentRequest, faults::ActiveFault};
use crate::{
    caller::Request,
    gateway::{self, Gateway, ListenAddresses},
    proxy::Proxy,
    rig::Rig,
    store::Backup,
};

const GATEWAYS: usize = 3;
const CALLERS: usize = 4;
/// Time between two faults; most faults last longer, so they overlap.
const FAULT_INTERVAL: Duration = Duration::from_millis(700);
/// All gateways serve again within this time after the last fault has ended.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);
/// Engines of another software version beside `e1` and `e2`, which are of `v1`.
const NEW_ENGINES: [(&str, &str); 2] = [("f1", "v2"), ("f2", "v2")];
/// Runs with earlier seeds go on injecting what they drew before there were faults of several hosts.
const FIRST_SEED_OF_FLEET_FAULTS: u64 = 10_000;

/// The programs that the hosts run.
#[derive(Clone, Copy, Debug)]
pub struct Programs<'a> {
    /// Today's.
    pub today: &'a str,
    /// An older one, if hosts run either.
    pub older: Option<&'a str>,
}

/// The result of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    /// The injected faults, in order.
    pub trace: Vec<String>,
    /// Violations of the guarantees; empty if the run passed.
    pub violations: Vec<String>,
    /// The number of requests sent, and of those answered completely with status 200.
    pub requests: (usize, usize),
    /// The number of starts of today's program, and of the older one.
    pub starts: (usize, usize),
    /// If a guarantee was violated, what each host's processes have logged, with the number of the host, by start.
    pub logs: Vec<(usize, Vec<Value>)>,
}

struct Run {
    rig: Rig,
    rng: StdRng,
    builds: Builds,
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

/// Starts a deployment and callers, injects `steps` faults drawn from `seed`, waits for the
/// recovery and checks the guarantees.
pub fn run(programs: Programs<'_>, seed: u64, steps: usize) -> anyhow::Result<Outcome> {
    let mut run = Run::start(programs, seed)?;
    let callers = run.start_callers(seed);
    for _ in 0..steps {
        run.inject_fault()?;
        run.run_for(FAULT_INTERVAL)?;
    }
    run.end_all_faults()?;
    let recovered = run.wait_recovered();
    let sent_requests = callers.stop();
    if let Err(e) = recovered {
        run.outcome.violations.push(e.to_string());
    }
    run.check_guarantees(&sent_requests);
    (0..GATEWAYS).for_each(|g| run.keep_log(g));
    if run.outcome.violations.is_empty() {
        run.outcome.logs.clear();
    }
    Ok(run.outcome)
}

/// The callers of a run.
struct Callers {
    threads: Vec<thread::JoinHandle<()>>,
    stop: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<SentRequest>>>,
}

impl Callers {
    /// Ends them and returns what they have sent.
    fn stop(self) -> Vec<SentRequest> {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|caller| caller.join().expect("a caller does not panic"));
        std::mem::take(&mut *self.sent.lock())
    }
}

/// The address from which a host connects to servers.
fn source(gateway: usize) -> IpAddr {
    IpAddr::from([127, 0, 0, 2 + gateway as u8])
}

impl Run {
    fn start(programs: Programs<'_>, seed: u64) -> anyhow::Result<Self> {
        let mut rig = Rig::start(programs.today)?;
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
            builds: Builds::draw(programs, seed),
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
            let gateway = run.launch(i, proxy.address, ports)?;
            gateway.wait_ready()?;
            run.caller_addresses.lock().push(gateway.addresses.callers);
            run.gateways.push(gateway);
            run.store_proxies.push(proxy);
        }
        Ok(run)
    }

    /// Starts the callers, which draw from `seed`.
    fn start_callers(&self, seed: u64) -> Callers {
        let (stop, sent) = <(Arc<AtomicBool>, Arc<Mutex<Vec<SentRequest>>>)>::default();
        let threads = (0..CALLERS)
            .map(|caller| {
                let (stop, sent) = (stop.clone(), sent.clone());
                let (to, key) = (self.caller_addresses.clone(), self.key.clone());
                let rng = StdRng::seed_from_u64(seed * 1_000 + caller as u64);
                thread::spawn(move || calls::run_caller(caller, rng, &stop, &to, &key, &sent))
            })
            .collect();
        Callers { threads, stop, sent }
    }

    /// Writes a configuration whose only key is the valid one.
    fn configure(&mut self) {
        self.config_version += self.rng.random_range(1..5);
        let key = self.key.load(Ordering::SeqCst);
        self.rig.configure(self.config_version, |config| {
            config["tenants"] = json!([{"name": "w1", "api_keys": [format!("key{key}")]}]);
        });
    }

    fn keep_log(&mut self, g: usize) {
        self.outcome.logs.push((g, self.gateways[g].lines()));
    }

    fn restart(&mut self, g: usize) -> anyhow::Result<()> {
        self.keep_log(g);
        let addresses = self.gateways[g].addresses;
        self.rig.duties_address = self.duty_proxies[g].address;
        self.gateways[g] = self.launch(g, self.store_proxies[g].address, addresses)?;
        Ok(())
    }

    /// Starts a host's process with the program that it runs.
    fn launch(
        &mut self,
        g: usize,
        store: SocketAddr,
        addresses: ListenAddresses,
    ) -> anyhow::Result<Gateway> {
        let is_older = self.builds.runs_older[g];
        let starts = &mut self.outcome.starts;
        *(if is_older { &mut starts.1 } else { &mut starts.0 }) += 1;
        self.rig.set_program(self.builds.program(g));
        self.rig.launch_from(&format!("g{g}"), store, addresses, Some(source(g)))
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
                let failure = || {
                    let mut request = Request::new("POST", path, &format!("end-{g}"));
                    request.key = Some(key.clone());
                    request.deadline = Duration::from_secs(2);
                    let response = request.send(gateway.addresses.callers);
                    match response {
                        Ok(response) if response.status == 200 && response.complete => None,
                        response => Some(format!("{response:?}")),
                    }
                };
                while let Some(failure) = failure() {
                    anyhow::ensure!(
                        Instant::now() < deadline,
                        "g{g} does not serve {path} again: {failure}"
                    );
                    thread::sleep(FAULT_INTERVAL / 10);
                }
            }
        }
        Ok(())
    }
}
