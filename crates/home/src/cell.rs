//! Cells of backend servers, and which host is the home of each.
//!
//! A small pool is one cell, so that its tiers and shares are exact over all its servers. A larger
//! one has a cell for each failure domain, split further while too large. Home and part are chosen
//! by rendezvous hashing (Thaler and Ravishankar 1998), so the loss of a host moves only its cells.

use std::{
    collections::{BTreeMap, hash_map::DefaultHasher},
    hash::{Hash, Hasher as _},
};

use wasabi_core::{
    io::Host,
    note::Server,
    units::{Domain, PoolId},
};

/// Some servers of a pool that one host dispatches.
#[derive(Clone, Debug, PartialEq)]
pub struct Cell {
    /// Names the cell on every host; a desk knows it as a pool.
    pub name: PoolId,
    /// The failure domain of its servers, if they share one by design.
    pub domain: Option<Domain>,
    /// Its servers.
    pub servers: Vec<Server>,
}

/// Returns the cells of a pool; `limit` servers make a small one.
pub fn of_pool(pool: &PoolId, servers: &[Server], limit: usize) -> Vec<Cell> {
    if servers.len() <= limit {
        let servers = servers.to_vec();
        return vec![Cell { name: pool.clone(), domain: None, servers }];
    }
    let mut domains: BTreeMap<&Domain, Vec<Server>> = BTreeMap::new();
    for server in servers {
        domains.entry(&server.domain).or_default().push(server.clone());
    }
    let cells = domains.into_iter();
    cells.flat_map(|(domain, servers)| split(pool, domain, servers, limit)).collect()
}

/// Returns the host that is the home of `cell`, the nearest first.
pub fn home<'a>(cell: &Cell, hosts: &'a [Host]) -> Option<&'a Host> {
    let near = |host: &&Host| cell.domain.as_ref().is_none_or(|domain| host.domain == *domain);
    let choose = |hosts: Vec<&'a Host>| {
        hosts.into_iter().max_by_key(|host| rendezvous(&cell.name, &host.name))
    };
    choose(hosts.iter().filter(near).collect()).or_else(|| choose(hosts.iter().collect()))
}

/// Returns the cells in the order in which a request with `prefix` tries them.
pub fn by_affinity(cells: &[Cell], prefix: u64) -> Vec<&Cell> {
    let mut ordered: Vec<&Cell> = cells.iter().filter(|cell| !cell.servers.is_empty()).collect();
    ordered.sort_by_key(|cell| std::cmp::Reverse(rendezvous(prefix, &cell.name)));
    ordered
}

fn split(pool: &PoolId, domain: &Domain, servers: Vec<Server>, limit: usize) -> Vec<Cell> {
    let count = servers.len().div_ceil(limit.max(1));
    let mut cells: Vec<Cell> = (0..count)
        .map(|part| Cell {
            name: format!("{pool}:{domain}:{part}").parse().unwrap_or_else(|_| pool.clone()),
            domain: Some(domain.clone()),
            servers: Vec::new(),
        })
        .collect();
    for server in servers {
        let part = (0..count).max_by_key(|part| rendezvous(part, &server.name)).unwrap_or(0);
        cells[part].servers.push(server);
    }
    cells
}

fn rendezvous(a: impl Hash, b: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    (a, b).hash(&mut hasher);
    hasher.finish()
}
