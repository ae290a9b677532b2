//! Engines that are kept for short interactive streams.
//!
//! Answers long prompts that come beside interactive streams: each chunk that an engine reads holds
//! up the next token of all answers that it runs, so a few engines without long prompts serve many
//! streams better than all engines with some. Hosts choose the same engines from the servers' names
//! alone; only how many differs for a moment.

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::{DefaultHasher, Hash as _, Hasher as _},
};

use wasabi_core::units::{Domain, ServerId};

/// The part of an engine's slots that light streams fill before another engine is kept for them. A
/// step of the engine then takes about 5 ms, so that the longest streams end within the time that a
/// stopping host has.
const FILLED_SHARE: f64 = 0.3;
/// The most engines of a domain that are kept, as a share; long prompts are most of the work.
const MOST_SHARE: f64 = 0.5;

/// An engine as the choice sees it.
#[derive(Clone, Copy, Debug)]
pub struct Engine<'a> {
    /// Its name.
    pub id: &'a ServerId,
    /// Where it stands.
    pub domain: &'a Domain,
    /// Its place in the order, see [`order`].
    pub order: u64,
    /// How many light streams run there.
    pub light: u32,
}

/// Returns the engines that are kept for light streams, each with `slots`.
pub fn kept<'a>(engines: impl Iterator<Item = Engine<'a>>, slots: u32) -> BTreeSet<&'a ServerId> {
    let mut domains: BTreeMap<&Domain, Vec<Engine<'_>>> = BTreeMap::new();
    for engine in engines {
        domains.entry(engine.domain).or_default().push(engine);
    }
    let filled = (f64::from(slots) * FILLED_SHARE).max(1.0);
    let mut kept = BTreeSet::new();
    for mut engines in domains.into_values() {
        engines.sort_by_key(|engine| (engine.order, engine.id));
        let light: u32 = engines.iter().map(|engine| engine.light).sum();
        let most = (engines.len() as f64 * MOST_SHARE) as usize;
        let count = (f64::from(light) / filled).ceil() as usize;
        kept.extend(engines.iter().take(count.min(most)).map(|engine| engine.id));
    }
    kept
}

/// Returns a server's place in an order that is the same on all hosts and has nothing to do with
/// how servers are named.
pub fn order(id: &ServerId) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
