//! The status that each host publishes in the store, for operators and for the ordering of servers.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use parking_lot::Mutex;
use wasabi_core::{
    data,
    errors::{Code, Result},
    io::{self, Condition, Store},
    units::{Domain, HostId, Incarnation, PoolId, Revision, ServerId, Version},
};
use wasabi_fleet::plan::Demand;

/// Prefix of the keys of status objects in the store.
pub const PREFIX: &str = "host/";

data! {
    /// One host's status.
    pub struct Status {
        /// The host's name.
        pub host: HostId,
        /// The incarnation of the host.
        pub incarnation: Incarnation,
        /// The failure domain.
        pub domain: Domain,
        /// Address for callers.
        pub callers: SocketAddr,
        /// Address for operators.
        pub operators: SocketAddr,
        /// Address for peers.
        pub peers: SocketAddr,
        /// The revision of the configuration in force.
        pub revision: Revision,
        /// When the status was written, in milliseconds from the Unix epoch.
        pub written_ms: u64,
        /// Whether the host is stopping.
        pub leaving: bool,
        /// The demand of the tickets at its scheduler, by pool.
        pub demand: BTreeMap<PoolId, Demand>,
        /// How many of its requests run on each server that is being drained.
        pub draining: BTreeMap<ServerId, u32>,
    }
}

/// Writes one host's status to the store.
pub struct Writer {
    store: Arc<dyn Store>,
    /// The version of the last write, if known.
    version: Mutex<Option<Version>>,
}

impl Writer {
    /// Creates a writer; its first write reads the version of the object that is there.
    pub fn new(store: Arc<dyn Store>) -> Self {
        Self { store, version: Mutex::new(None) }
    }

    /// Replaces the host's status.
    ///
    /// A conflicting write is dropped without an error; the next one reads the version anew.
    pub fn write(&self, status: &Status) -> Result<()> {
        let key = format!("{PREFIX}{}", status.host);
        let mut version = self.version.lock();
        let known = match *version {
            Some(known) => Some(known),
            None => self.store.get(&key)?.map(|object| object.version),
        };
        let condition = known.map_or(Condition::Absent, Condition::At);
        match self.store.put(&key, &io::render(status), condition) {
            Ok(written) => {
                *version = Some(written);
                Ok(())
            }
            Err(e) => {
                *version = None;
                if e.code == Code::StoreConflict { Ok(()) } else { Err(e) }
            }
        }
    }
}
