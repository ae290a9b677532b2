//! The servers that desks may use, and what the hosts say of them together.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use wasabi_core::{
    errors::Result,
    io::{self, Object},
    note::Pool,
    units::{PoolId, ServerId},
};
use wasabi_fleet::{commander::Reports, plan::Demand, publish};

use crate::{
    registry::Parts,
    status::{self, Status},
};

/// Without news from the store for this long, the platform's own list is read.
const STORE_SILENCE: Duration = Duration::from_secs(2);
const MAX_HOSTS: usize = 1_000;

/// Takes a listing that the store holds.
pub fn take(parts: &Parts, object: &Object) -> Result<()> {
    let pool = publish::pool_of(&object.key)?;
    if parts.view.offer(&pool, object.version, io::parse(object)?) {
        parts.desks.refresh();
    }
    Ok(())
}

/// Keeps the listings up to date: the holder of the upkeep role writes them, and every host reads
/// the platform itself while the store is silent.
pub fn refresh(parts: &Parts) -> Result<()> {
    if parts.contact.age(parts.clock.now()) > STORE_SILENCE.max(2 * parts.settings.times.watch) {
        if parts.view.overlay(&parts.provider.servers()?) {
            parts.desks.refresh();
        }
        return Ok(());
    }
    if parts.upkeep_lease.epoch().is_some() {
        publish::refresh(&*parts.store, &*parts.provider)?;
    }
    Ok(())
}

/// Orders servers if this host has the role.
pub fn command(parts: &Parts) -> Result<()> {
    // A host that the platform does not list yet could be taken for one that was removed.
    if parts.roster.is_listed(parts.settings.host.as_str()) {
        parts.step_lease(&parts.order_lease)?;
    }
    if parts.order_lease.epoch().is_none() {
        return Ok(());
    }
    parts.commander.step(&parts.cell.get(), &reports(parts)?)
}

/// Returns the demand that this host's desk sees.
pub fn demand(parts: &Parts) -> BTreeMap<PoolId, Demand> {
    let state = parts.cell.get();
    let demand = |pool: &Pool| {
        let mut sum = Demand::default();
        for cell in parts.desks.cells(pool) {
            let tiers = parts.desk.with_desk(|desk| desk.demand(&cell.name));
            sum.add(&Demand { tiers });
        }
        sum
    };
    let pools = state.pools.iter();
    pools.map(|(name, slot)| (name.clone(), demand(&slot.object))).collect()
}

/// Returns how many of this host's requests run on each server that is being drained.
pub fn draining(parts: &Parts) -> BTreeMap<ServerId, u32> {
    let draining = parts.view.draining().into_iter();
    draining.map(|server| (server.clone(), parts.busy.on(&server))).collect()
}

fn reports(parts: &Parts) -> Result<Reports> {
    let objects = parts.store.list(status::PREFIX, "", MAX_HOSTS)?;
    let listed = parts.roster.hosts();
    let statuses = objects.iter().map(io::parse::<Status>).collect::<Result<Vec<_>>>()?;
    let present = |status: &&Status| listed.iter().any(|host| host.name == status.host);
    let statuses: Vec<&Status> = statuses.iter().filter(present).collect();
    let mut reports = Reports::default();
    for status in &statuses {
        for (pool, demand) in &status.demand {
            reports.demand.entry(pool.clone()).or_default().add(demand);
        }
    }
    let mentioned: BTreeSet<&ServerId> =
        statuses.iter().flat_map(|status| status.draining.keys()).collect();
    let idle = |server: &ServerId| {
        let all = listed.len() == statuses.len();
        all && statuses.iter().all(|status| status.draining.get(server) == Some(&0))
    };
    reports.idle = mentioned.into_iter().filter(|server| idle(server)).cloned().collect();
    Ok(reports)
}
