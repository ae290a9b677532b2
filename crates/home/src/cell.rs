//! Partitions the backend servers of a pool into cells, and selects the host that owns each cell.
//!
//! A small pool is one cell, so that tiers and workspace shares are enforced over all its servers.
//! A larger pool has a cell for each failure domain, split into parts if that is too large. The
//! owner of a cell and the part of a server are chosen by rendezvous hashing (Thaler and
//! Ravishankar 1998), so the loss of a host moves only its cells.

use std::{
    collections::{BTreeMap, hash_map::DefaultHasher},
    hash::{Hash, Hasher as _},
};

use wasabi_core::{
    io::Host,
    note::Server,
    units::{Domain, PoolId},
};

/// A group of a pool's backend servers that one host dispatches.
#[derive(Clone, Debug, PartialEq)]
pub struct Cell {
    /// The same on every host; this host's scheduler treats the cell as a pool of this name.
    pub name: PoolId,
    /// The failure domain of its servers; `None` if the cell is a whole pool.
    pub domain: Option<Domain>,
    /// The servers, which may be none.
    pub servers: Vec<Server>,
}

/// Partitions a pool into cells. A pool of at most `limit` servers is one cell. In a larger one,
/// each failure domain has as many cells as it takes at `limit` servers each; a cell may have more,
/// since servers are assigned by hashing.
pub fn partition(pool: &PoolId, servers: &[Server], limit: usize) -> Vec<Cell> {
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

/// Selects the owner of `cell`: a host in the cell's failure domain if there is one, otherwise any
/// host. `None` if `hosts` is empty.
pub fn owner<'a>(cell: &Cell, hosts: &'a [Host]) -> Option<&'a Host> {
    let in_domain = |host: &&Host| cell.domain.as_ref().is_none_or(|domain| host.domain == *domain);
    let choose = |hosts: Vec<&'a Host>| {
        hosts.into_iter().max_by_key(|host| rendezvous_score(&cell.name, &host.name))
    };
    choose(hosts.iter().filter(in_domain).collect()).or_else(|| choose(hosts.iter().collect()))
}

/// The cells that have servers, in the order of their affinity to a prompt prefix.
pub fn by_affinity(cells: &[Cell], prefix: u64) -> Vec<&Cell> {
    let mut ordered: Vec<&Cell> = cells.iter().filter(|cell| !cell.servers.is_empty()).collect();
    ordered.sort_by_key(|cell| std::cmp::Reverse(rendezvous_score(prefix, &cell.name)));
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
        let part = (0..count).max_by_key(|part| rendezvous_score(part, &server.name)).unwrap_or(0);
        cells[part].servers.push(server);
    }
    cells
}

fn rendezvous_score(a: impl Hash, b: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    (a, b).hash(&mut hasher);
    hasher.finish()
}
