//! The host list as this host has last seen it.

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

/// The platform's list, kept while the platform is away.
pub struct Known {
    source: Arc<dyn Roster>,
    clock: Arc<dyn Clock>,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    hosts: Vec<Host>,
    /// When each host that was once listed was first found missing in every read since.
    missing: HashMap<String, Instant>,
}

impl Known {
    /// Gets an empty list.
    pub fn new(source: Arc<dyn Roster>, clock: Arc<dyn Clock>) -> Self {
        Self { source, clock, inner: Mutex::default() }
    }

    /// Reads the list anew; after an error the old one stays.
    pub fn refresh(&self) -> Result<()> {
        let hosts = self.source.hosts()?;
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let before = std::mem::take(&mut inner.hosts);
        for host in before {
            inner.missing.entry(host.name.to_string()).or_insert(now);
        }
        for host in &hosts {
            inner.missing.remove(host.name.as_str());
        }
        inner.hosts = hosts;
        Ok(())
    }

    /// Returns the hosts.
    pub fn hosts(&self) -> Vec<Host> {
        self.inner.lock().hosts.clone()
    }

    /// Returns whether `host` is listed.
    pub fn is_listed(&self, host: &str) -> bool {
        self.inner.lock().hosts.iter().any(|listed| listed.name.as_str() == host)
    }

    /// Returns whether `host` was listed once and has been missing for `settle`.
    pub fn is_removed(&self, host: &str, settle: Duration) -> bool {
        let now = self.clock.now();
        let inner = self.inner.lock();
        let missing = inner.missing.get(host);
        missing.is_some_and(|since| now.saturating_duration_since(*since) >= settle)
    }
}
