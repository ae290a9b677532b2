//! Cache of the platform's list of hosts.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use wasabi_core::{
    errors::Result,
    io::{Host, Roster},
    time::Clock,
};

/// The last list that was read; it stays in use while the platform does not answer.
pub struct HostList {
    source: Arc<dyn Roster>,
    clock: Arc<dyn Clock>,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    hosts: Vec<Host>,
    /// For each host that was listed before and is not now: the first read without it.
    missing_since: HashMap<String, Instant>,
}

impl HostList {
    /// Creates a cache with an empty list; `source` is read by [`refresh`](Self::refresh).
    pub fn new(source: Arc<dyn Roster>, clock: Arc<dyn Clock>) -> Self {
        Self { source, clock, inner: Mutex::default() }
    }

    /// Reads the list from the platform; on an error the old list stays.
    pub fn refresh(&self) -> Result<()> {
        let hosts = self.source.hosts()?;
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let previous = std::mem::take(&mut inner.hosts);
        for host in previous {
            inner.missing_since.entry(host.name.to_string()).or_insert(now);
        }
        for host in &hosts {
            inner.missing_since.remove(host.name.as_str());
        }
        inner.hosts = hosts;
        Ok(())
    }

    /// Returns the hosts of the last list.
    pub fn hosts(&self) -> Vec<Host> {
        self.inner.lock().hosts.clone()
    }

    /// Returns whether `host` is in the last list.
    pub fn is_listed(&self, host: &str) -> bool {
        self.inner.lock().hosts.iter().any(|listed| listed.name.as_str() == host)
    }

    /// Returns whether `host` was listed before and has been missing for at least `min_absence`.
    pub fn is_removed(&self, host: &str, min_absence: Duration) -> bool {
        let now = self.clock.now();
        let inner = self.inner.lock();
        let missing_since = inner.missing_since.get(host);
        missing_since.is_some_and(|since| now.saturating_duration_since(*since) >= min_absence)
    }
}
