//! Keeps the server listings up to date, and orders servers by the reports of all hosts.

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
use wasabi_fleet::{plan::Demand, provisioner::Reports, publish};

use crate::{
    components::Components,
    status::{self, Status},
};

/// Without contact with the store for this time and for two watch periods, the servers are listed
/// by the platform directly, in place of the listings in the store.
const MIN_STORE_SILENCE: Duration = Duration::from_secs(2);
/// Most status objects that are read.
const MAX_HOSTS: usize = 1_000;

/// Applies a server listing from the store.
pub fn apply_listing(components: &Components, object: &Object) -> Result<()> {
    let pool = publish::pool_of(&object.key)?;
    if components.server_view.offer(&pool, object.version, io::parse(object)?) {
        components.dispatcher.refresh();
    }
    Ok(())
}

/// Keeps the listings up to date: the holder of the upkeep lease writes them to the store, and
/// every host reads them from the platform while the store is silent.
pub fn refresh(components: &Components) -> Result<()> {
    if components.store_contact.silence(components.clock.now())
        > MIN_STORE_SILENCE.max(2 * components.settings.times.watch)
    {
        if components.server_view.update_phases(&components.provider.servers()?) {
            components.dispatcher.refresh();
        }
        return Ok(());
    }
    if components.upkeep_lease.epoch().is_some() {
        publish::refresh(&*components.store, &*components.provider)?;
    }
    Ok(())
}

/// Orders servers from the platform if this host holds the lease for it.
pub fn order_servers(components: &Components) -> Result<()> {
    // A host that the platform does not list yet could be mistaken for a removed one, so it does
    // not try to acquire the lease.
    if components.host_list.is_listed(components.settings.host.as_str()) {
        components.step_lease(&components.order_lease)?;
    }
    if components.order_lease.epoch().is_none() {
        return Ok(());
    }
    components.provisioner.step(&components.config.get(), &reports(components)?)
}

/// Returns the demand of the tickets at this host's scheduler, by pool.
pub fn demand(components: &Components) -> BTreeMap<PoolId, Demand> {
    let state = components.config.get();
    let demand = |pool: &Pool| {
        let mut total = Demand::default();
        for cell in components.dispatcher.cells(pool) {
            let tiers = components
                .local_dispatch
                .with_scheduler(|scheduler| scheduler.tickets_by_tier(&cell.name));
            total.add(&Demand { tiers });
        }
        total
    };
    let pools = state.pools.iter();
    pools.map(|(name, slot)| (name.clone(), demand(&slot.object))).collect()
}

/// Returns how many of this host's requests run on each server that is being drained.
pub fn running_on_draining(components: &Components) -> BTreeMap<ServerId, u32> {
    let draining = components.server_view.draining().into_iter();
    draining.map(|server| (server.clone(), components.in_flight.count(&server))).collect()
}

/// Combines the statuses of all listed hosts. A server is idle only if every listed host has
/// reported that none of its requests run on it.
fn reports(components: &Components) -> Result<Reports> {
    let objects = components.store.list(status::PREFIX, "", MAX_HOSTS)?;
    let listed = components.host_list.hosts();
    let statuses = objects.iter().map(io::parse::<Status>).collect::<Result<Vec<_>>>()?;
    let is_listed = |status: &&Status| listed.iter().any(|host| host.name == status.host);
    let statuses: Vec<&Status> = statuses.iter().filter(is_listed).collect();
    let mut reports = Reports::default();
    for status in &statuses {
        for (pool, demand) in &status.demand {
            reports.demand.entry(pool.clone()).or_default().add(demand);
        }
    }
    let reported: BTreeSet<&ServerId> =
        statuses.iter().flat_map(|status| status.draining.keys()).collect();
    let is_idle = |server: &ServerId| {
        let all_reported = listed.len() == statuses.len();
        all_reported && statuses.iter().all(|status| status.draining.get(server) == Some(&0))
    };
    reports.drained = reported.into_iter().filter(|server| is_idle(server)).cloned().collect();
    Ok(reports)
}
