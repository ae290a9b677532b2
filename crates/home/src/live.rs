//! The hosts that may own cells, as this host sees them.

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

/// How long a host that did not answer is left out.
const SUSPICION_PERIOD: Duration = Duration::from_secs(3);

/// The platform's list of hosts, and which of them recently did not answer this host.
pub struct LiveHosts {
    clock: Arc<dyn Clock>,
    me: Incarnation,
    hosts: Mutex<Vec<Host>>,
    /// When each suspected host last did not answer.
    suspected: Mutex<HashMap<HostId, Instant>>,
    /// Set once this host is stopping.
    leaving: AtomicBool,
}

impl LiveHosts {
    /// Creates an empty list for the host of the incarnation `me`.
    pub fn new(clock: Arc<dyn Clock>, me: Incarnation) -> Self {
        Self {
            clock,
            me,
            hosts: Mutex::default(),
            suspected: Mutex::default(),
            leaving: AtomicBool::new(false),
        }
    }

    /// Replaces the list with the platform's present one.
    pub fn set_hosts(&self, hosts: Vec<Host>) {
        *self.hosts.lock() = hosts;
    }

    /// Records that a host did not answer; it is left out for `SUSPICION_PERIOD`.
    pub fn suspect(&self, host: &HostId) {
        self.suspected.lock().insert(host.clone(), self.clock.now());
    }

    /// Whether a host did not answer within the last `SUSPICION_PERIOD`.
    pub fn is_suspected(&self, host: &HostId) -> bool {
        let now = self.clock.now();
        let mut suspected = self.suspected.lock();
        suspected.retain(|_, since| now.saturating_duration_since(*since) < SUSPICION_PERIOD);
        suspected.contains_key(host)
    }

    /// Marks this host as stopping: it owns no cells from now on, unless no other host can own
    /// them.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Whether this host is stopping and another host can own its cells.
    pub fn can_hand_over(&self) -> bool {
        self.leaving.load(Ordering::Relaxed) && !self.eligible_owners().is_empty()
    }

    /// The hosts that may own cells: neither stopping nor suspected.
    pub fn eligible_owners(&self) -> Vec<Host> {
        let hosts = self.hosts.lock().clone();
        let leaving = self.leaving.load(Ordering::Relaxed);
        let may_own_cells = |host: &Host| {
            let stopping = host.leaving || (leaving && self.is_me(host));
            !stopping && !self.is_suspected(&host.name)
        };
        hosts.into_iter().filter(may_own_cells).collect()
    }

    /// Whether `host` is this host, by its name.
    pub fn is_me(&self, host: &Host) -> bool {
        host.name.as_str() == self.me.host()
    }
}
