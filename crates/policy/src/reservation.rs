//! Reservation of engines for light requests, which are those with short prompts. It is a
//! preference, not a hard limit: a request on an engine of the other kind only gets an added
//! cost.
//!
//! Each prompt chunk that an engine reads delays the next token of all its running answers, so
//! streams with short prompts are served better if a few engines read no long prompts than if every
//! engine reads some. Hosts order the engines by a hash of the servers' ids and so reserve the same
//! ones without any exchange; only the number of reserved engines may differ for a moment.

use std::collections::{BTreeMap, BTreeSet};

use wasabi_core::{
    digest::digest,
    units::{Domain, ServerId},
};

/// The share of an engine's slots that light requests fill before another engine is reserved for
/// them. A step of an engine with so many running requests takes about 5 ms, which lets even the
/// longest streams end within the time that a host has to stop.
const LIGHT_SLOT_SHARE: f64 = 0.3;
/// The greatest share of a domain's engines that is reserved; long prompts are most of the work.
const MAX_RESERVED_SHARE: f64 = 0.5;

/// What the reservation depends on for one engine.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The engine's server id.
    pub id: &'a ServerId,
    /// Its failure domain; engines are reserved in each domain by itself.
    pub domain: &'a Domain,
    /// Its key in the order in which engines are reserved, from [`reservation_order`].
    pub order: u64,
    /// How many light requests run there.
    pub light: u32,
}

/// Returns the ids of the engines to reserve for light requests; each engine has `slots` slots.
pub fn reserved_engines<'a>(
    engines: impl Iterator<Item = Candidate<'a>>,
    slots: u32,
) -> BTreeSet<&'a ServerId> {
    let mut domains: BTreeMap<&Domain, Vec<Candidate<'_>>> = BTreeMap::new();
    for engine in engines {
        domains.entry(engine.domain).or_default().push(engine);
    }
    let light_per_engine = (f64::from(slots) * LIGHT_SLOT_SHARE).max(1.0);
    let mut reserved = BTreeSet::new();
    for mut engines in domains.into_values() {
        engines.sort_by_key(|engine| (engine.order, engine.id));
        let light: u32 = engines.iter().map(|engine| engine.light).sum();
        let max_reserved = (engines.len() as f64 * MAX_RESERVED_SHARE) as usize;
        let count = (f64::from(light) / light_per_engine).ceil() as usize;
        reserved.extend(engines.iter().take(count.min(max_reserved)).map(|engine| engine.id));
    }
    reserved
}

/// Returns a server's sort key: a hash of its id, so that the order is the same on all hosts and
/// does not follow the way in which servers are named.
pub fn reservation_order(id: &ServerId) -> u64 {
    digest(id)
}
