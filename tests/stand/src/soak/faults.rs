//! The faults of a soak test, drawn from its seed.

use std::{
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use rand::Rng as _;

use super::{GATEWAYS, Run, source};
use crate::{gateway::Gateway, proxy::NetworkFault, server::Behavior, store::Fault};

/// The oldest copy from which the store is restored, in faults: about five seconds.
const MAX_BACKUP_AGE_FAULTS: usize = 7;
/// How a server misbehaves.
pub const BEHAVIORS: [Behavior; 8] = [
    Behavior::TurnAway,
    Behavior::LoseAnswer,
    Behavior::Cross,
    Behavior::Unsigned,
    Behavior::Fail,
    Behavior::BreakAfter(4),
    Behavior::EndInside(4),
    Behavior::Hang,
];
/// The share of the faults of several hosts.
const FLEET_FAULT_SHARE: f64 = 0.25;

/// A fault that ends after some time; the numbers are indices of gateways and servers.
#[derive(Clone, Copy)]
pub enum ActiveFault {
    /// The store does not work.
    Store,
    /// A host's way to the store.
    StoreProxy(usize),
    /// The way to a server.
    ServerProxy(usize),
    /// A host's process stands still.
    Paused(usize),
    /// A server misbehaves.
    Behavior(usize),
    /// A server is about to leave.
    Draining(usize),
    /// A host's way to all servers.
    Partition(usize),
}

impl Run {
    /// Injects the next fault.
    pub(super) fn inject_fault(&mut self) -> anyhow::Result<()> {
        if self.replace_host()? {
            return Ok(());
        }
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
                let behavior = BEHAVIORS[self.rng.random_range(0..BEHAVIORS.len())];
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
                self.withdraw_key(g)?;
                format!("g{g} reloads; a key is withdrawn")
            }
            10 => {
                self.terminate(g)?;
                self.restart(g)?;
                format!("g{g} stopped and started again")
            }
            _ => {
                self.drain(s, ends_at);
                format!("server {s} drains for {duration:?}")
            }
        };
        self.outcome.trace.push(description);
        Ok(())
    }

    /// Withdraws the valid key for a new one, and makes a host reload its settings.
    pub(super) fn withdraw_key(&mut self, g: usize) -> anyhow::Result<()> {
        self.gateways[g].signal("HUP")?;
        let before = self.key.fetch_add(1, Ordering::SeqCst) as usize;
        self.configure();
        self.withdrawn.insert(before, Instant::now());
        Ok(())
    }

    /// Makes a server's entry say that it is about to leave.
    pub(super) fn drain(&mut self, s: usize, ends_at: Instant) {
        let (server, _) = &self.rig.servers[s];
        let entry = server.store_object(self.server_proxies[s].address, "draining");
        self.rig.store.put("servers", &server.id, entry);
        self.active_faults.push((ends_at, ActiveFault::Draining(s)));
    }

    /// Stops a host's process, and waits until it has ended.
    pub(super) fn terminate(&mut self, g: usize) -> anyhow::Result<()> {
        self.gateways[g].signal("CONT")?;
        self.gateways[g].signal("TERM")?;
        let ended = self.gateways[g].wait_exit(Duration::from_secs(9));
        if !ended.as_ref().is_ok_and(|well| *well) {
            let violation = format!("g{g} did not exit with status 0 in time: {ended:?}");
            self.outcome.violations.push(violation);
        }
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

    /// Ends a fault.
    pub(super) fn end_fault(&mut self, fault: ActiveFault) -> anyhow::Result<()> {
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
}
