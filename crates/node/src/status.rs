//! What a host tells the operators through the object API.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use parking_lot::Mutex;
use wasabi_core::{
    data,
    errors::{Code, Result},
    io::{self, Condition, Store},
    units::{Domain, HostId, Incarnation, PoolId, Revision, ServerId, Version},
};
use wasabi_fleet::plan::Demand;

/// The prefix of the keys of status objects.
pub const PREFIX: &str = "host/";

data! {
    /// One host's status.
    pub struct Status {
        /// The host's name.
        pub host: HostId,
        /// Which life of the host this is.
        pub incarnation: Incarnation,
        /// The failure domain.
        pub domain: Domain,
        /// Where callers reach it.
        pub callers: SocketAddr,
        /// Where operators reach it.
        pub operators: SocketAddr,
        /// Where peers reach it.
        pub peers: SocketAddr,
        /// The configuration in force.
        pub revision: Revision,
        /// When the status was written, in milliseconds from the Unix epoch.
        pub written_ms: u64,
        /// Whether the host is stopping.
        pub leaving: bool,
        /// The demand that its desk sees.
        pub demand: BTreeMap<PoolId, Demand>,
        /// How many of its requests run on each server that is being drained.
        pub draining: BTreeMap<ServerId, u32>,
    }
}

/// Writes one host's status.
pub struct Writer {
    store: Arc<dyn Store>,
    /// The version of the last write, if known.
    version: Mutex<Option<Version>>,
}

impl Writer {
    /// Gets a writer that has not written.
    pub fn new(store: Arc<dyn Store>) -> Self {
        Self { store, version: Mutex::new(None) }
    }

    /// Writes `status` over whatever the host wrote before.
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
