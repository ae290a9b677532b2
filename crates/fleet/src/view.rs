//! The ordered servers as this host knows them.

use std::collections::BTreeMap;

use parking_lot::Mutex;
use wasabi_core::{
    data,
    io::{Phase, Rented},
    note::{Pool, Server},
    units::{PoolId, ServerId, Version},
};

data! {
    /// What the object API holds of a pool's ordered servers.
    #[derive(Default)]
    pub struct Listing {
        /// The servers that the platform runs for the pool.
        pub rented: Vec<Rented>,
        /// Servers among them that are to be given back; they get no new work.
        pub draining: Vec<ServerId>,
    }
}

/// The listings of all pools.
#[derive(Default)]
pub struct View {
    pools: Mutex<BTreeMap<PoolId, Known>>,
}

#[derive(Default)]
struct Known {
    /// Never goes back.
    version: Version,
    listing: Listing,
}

impl View {
    /// Takes a pool's listing as the object API holds it at `version`; returns whether it is news.
    pub fn offer(&self, pool: &PoolId, version: Version, listing: Listing) -> bool {
        let mut pools = self.pools.lock();
        let known = pools.entry(pool.clone()).or_default();
        if version <= known.version {
            return false;
        }
        *known = Known { version, listing };
        true
    }

    /// Takes the platform's own list, for when the object API is away; returns whether it is news.
    pub fn overlay(&self, rented: &[Rented]) -> bool {
        let mut pools = self.pools.lock();
        let mut news = false;
        for known in pools.values_mut() {
            for ours in &mut known.listing.rented {
                let theirs = rented.iter().find(|theirs| theirs.server.name == ours.server.name);
                let phase = theirs.map_or(Phase::Leaving, |theirs| theirs.phase);
                news |= phase != ours.phase;
                ours.phase = phase;
            }
        }
        news
    }

    /// Returns the servers of `pool` that may get new work.
    pub fn servers(&self, pool: &Pool) -> Vec<Server> {
        let pools = self.pools.lock();
        let mut servers = pool.servers.clone();
        let Some(known) = pools.get(&pool.name) else { return servers };
        let listing = &known.listing;
        let fit = listing.rented.iter().filter(|rented| {
            rented.phase == Phase::Live && !listing.draining.contains(&rented.server.name)
        });
        servers.extend(fit.map(|rented| rented.server.clone()));
        servers
    }

    /// Returns the servers that are to be given back.
    pub fn draining(&self) -> Vec<ServerId> {
        let pools = self.pools.lock();
        pools.values().flat_map(|known| known.listing.draining.clone()).collect()
    }
}
