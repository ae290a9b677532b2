//! The elastic backend servers as this host knows them.

use std::collections::BTreeMap;

use parking_lot::Mutex;
use wasabi_core::{
    data,
    io::{Phase, ProvisionedServer},
    note::{Pool, Server},
    units::{PoolId, ServerId, Version},
};

data! {
    /// A pool's elastic servers, as the object API holds them.
    #[derive(Default)]
    pub struct Listing {
        /// The servers that the platform runs for the pool.
        pub rented: Vec<ProvisionedServer>,
        /// Servers among them that are being drained: they get no new work and will be stopped.
        pub draining: Vec<ServerId>,
    }
}

/// The latest known listings of all pools.
#[derive(Default)]
pub struct View {
    pools: Mutex<BTreeMap<PoolId, VersionedListing>>,
}

#[derive(Default)]
struct VersionedListing {
    /// Never decreases.
    version: Version,
    listing: Listing,
}

impl View {
    /// Accepts a pool's listing at `version` unless a listing at least as new is known; returns
    /// whether it was accepted.
    pub fn offer(&self, pool: &PoolId, version: Version, listing: Listing) -> bool {
        let mut pools = self.pools.lock();
        let known = pools.entry(pool.clone()).or_default();
        if version <= known.version {
            return false;
        }
        *known = VersionedListing { version, listing };
        true
    }

    /// Updates the phases of the known servers from the platform's own list, while the object API
    /// is not available; a server that the list lacks is leaving. Returns whether a phase changed.
    pub fn update_phases(&self, rented: &[ProvisionedServer]) -> bool {
        let mut pools = self.pools.lock();
        let mut changed = false;
        for known in pools.values_mut() {
            for ours in &mut known.listing.rented {
                let theirs = rented.iter().find(|theirs| theirs.server.name == ours.server.name);
                let phase = theirs.map_or(Phase::Leaving, |theirs| theirs.phase);
                changed |= phase != ours.phase;
                ours.phase = phase;
            }
        }
        changed
    }

    /// The servers of `pool` that may get new work: the configured ones, and the elastic ones that
    /// are live and not being drained.
    pub fn servers(&self, pool: &Pool) -> Vec<Server> {
        let pools = self.pools.lock();
        let mut servers = pool.servers.clone();
        let Some(known) = pools.get(&pool.name) else { return servers };
        let listing = &known.listing;
        let usable = listing.rented.iter().filter(|rented| {
            rented.phase == Phase::Live && !listing.draining.contains(&rented.server.name)
        });
        servers.extend(usable.map(|rented| rented.server.clone()));
        servers
    }

    /// The servers of all pools that are being drained.
    pub fn draining(&self) -> Vec<ServerId> {
        let pools = self.pools.lock();
        pools.values().flat_map(|known| known.listing.draining.clone()).collect()
    }
}
