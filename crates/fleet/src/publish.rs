//! Publishes the platform's list of servers to all hosts through the object API.
//!
//! Any host may do this at any time: each write is conditional on the version that was read before
//! the platform was asked, so an older answer never replaces a newer one.

use std::collections::BTreeMap;

use wasabi_core::{
    errors::{Code, Error, Result},
    io::{self, Condition, Object, Provider, ProvisionedServer, Store},
    units::{PoolId, ServerId, Version},
};

use crate::view::Listing;

/// The prefix of the keys of listings.
pub const PREFIX: &str = "live/servers/";

/// The most listings that are read.
const MAX_POOLS: usize = 1_000;

/// The pool whose listing is stored under `key`. A key without a valid pool name is an error.
pub fn pool_of(key: &str) -> Result<PoolId> {
    key.strip_prefix(PREFIX).unwrap_or_default().parse()
}

/// Reads all listings, with their versions.
pub fn read(store: &dyn Store) -> Result<BTreeMap<PoolId, (Version, Listing)>> {
    let objects = store.list(PREFIX, "", MAX_POOLS)?;
    let listing = |object: &Object| {
        Ok((pool_of(&object.key)?, (object.version, io::parse::<Listing>(object)?)))
    };
    objects.iter().map(listing).collect()
}

/// Asks the platform for its servers and writes the listings that have changed.
pub fn refresh(store: &dyn Store, provider: &dyn Provider) -> Result<()> {
    let before = read(store)?;
    let mut rented: BTreeMap<PoolId, Vec<ProvisionedServer>> = BTreeMap::new();
    for server in provider.servers()? {
        rented.entry(server.pool.clone()).or_default().push(server);
    }
    for pool in before.keys() {
        rented.entry(pool.clone()).or_default();
    }
    for (pool, mut servers) in rented {
        servers.sort_by(|a, b| a.server.name.cmp(&b.server.name));
        let (version, mut listing) = before.get(&pool).cloned().unwrap_or_default();
        listing.draining.retain(|name| servers.iter().any(|s| s.server.name == *name));
        let changed = Listing { rented: servers, draining: listing.draining.clone() };
        if before.get(&pool).is_none_or(|(_, old)| *old != changed) {
            write(store, &pool, version, &changed)?;
        }
    }
    Ok(())
}

/// Marks a server of `pool` as draining. Has no effect if another host writes the listing
/// meanwhile; call it again. A pool without a listing is an error.
pub fn mark_draining(store: &dyn Store, pool: &PoolId, server: &ServerId) -> Result<()> {
    let key = format!("{PREFIX}{pool}");
    let object = store.get(&key)?;
    let object = object.ok_or_else(|| Error::new(Code::ObjectMissing, key))?;
    let mut listing: Listing = io::parse(&object)?;
    if listing.draining.contains(server) {
        return Ok(());
    }
    listing.draining.push(server.clone());
    write(store, pool, object.version, &listing)
}

/// Writes a listing unless another host has written a newer one, which is not an error.
fn write(store: &dyn Store, pool: &PoolId, version: Version, listing: &Listing) -> Result<()> {
    let condition = match version {
        Version(0) => Condition::Absent,
        version => Condition::At(version),
    };
    match store.put(&format!("{PREFIX}{pool}"), &io::render(listing), condition) {
        Err(e) if e.code != Code::StoreConflict => Err(e),
        _ => Ok(()),
    }
}
