//! The hosts that this host takes for live.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use wasabi_core::{
    io::Host,
    time::Clock,
    units::{HostId, Incarnation},
};

/// How long a host that did not answer is passed over.
const SUSPICION: Duration = Duration::from_secs(3);

/// The platform's list, less the hosts that have lately not answered this one.
pub struct Live {
    clock: Arc<dyn Clock>,
    me: Incarnation,
    hosts: Mutex<Vec<Host>>,
    suspected: Mutex<HashMap<HostId, Instant>>,
    /// Set once this host is stopping.
    leaving: AtomicBool,
}

impl Live {
    /// Gets an empty list, as `me` sees it.
    pub fn new(clock: Arc<dyn Clock>, me: Incarnation) -> Self {
        Self {
            clock,
            me,
            hosts: Mutex::default(),
            suspected: Mutex::default(),
            leaving: AtomicBool::new(false),
        }
    }

    /// Takes the platform's list.
    pub fn set(&self, hosts: Vec<Host>) {
        *self.hosts.lock() = hosts;
    }

    /// Notes that a host did not answer.
    pub fn suspect(&self, host: &HostId) {
        self.suspected.lock().insert(host.clone(), self.clock.now());
    }

    /// Returns whether a host has lately not answered.
    pub fn is_suspected(&self, host: &HostId) -> bool {
        let now = self.clock.now();
        let mut suspected = self.suspected.lock();
        suspected.retain(|_, since| now.saturating_duration_since(*since) < SUSPICION);
        suspected.contains_key(host)
    }

    /// Notes that this host is stopping, and is nobody's home from now on.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns whether this host is stopping and others are there to take its cells.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed) && !self.hosts().is_empty()
    }

    /// Returns the hosts that may be homes.
    pub fn hosts(&self) -> Vec<Host> {
        let hosts = self.hosts.lock().clone();
        let leaving = self.leaving.load(Ordering::Relaxed);
        let may_be_home = |host: &Host| {
            let stopping = host.leaving || (leaving && self.is_me(host));
            !stopping && !self.is_suspected(&host.name)
        };
        hosts.into_iter().filter(may_be_home).collect()
    }

    /// Returns whether `host` is this one.
    pub fn is_me(&self, host: &Host) -> bool {
        host.name.as_str() == self.me.host()
    }
}
