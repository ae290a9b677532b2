//! The backend servers of one pool: free slots, health, and the choice among them.

use std::{
    collections::{BTreeMap, hash_map::DefaultHasher},
    hash::{Hash as _, Hasher as _},
    time::{Duration, Instant},
};

use wasabi_core::{
    note::Server,
    units::{Build, RequestRate, ServerId, Tokens},
};

use crate::{
    moving_average::Average,
    pace::{Fleet, Pace},
};

/// A server is a straggler if its token interval is more than this many times the median.
const STRAGGLER_FACTOR: f64 = 2.5;
/// Token intervals that must be observed of a server before it is compared.
const MIN_INTERVAL_SAMPLES: u64 = 4;
/// No server is ejected for slowness if then more than one in this many would not be healthy.
const MIN_SERVERS_PER_EJECTED: usize = 2;
/// The length of the first ejection of a failed or slow server; each further one before a
/// successful probe is twice as long, up to `MAX_EJECTION`.
const FIRST_EJECTION: Duration = Duration::from_secs(2);
/// How long only requests of the lower tiers probe a server; then any request may.
const UPPER_TIER_PROBE_DELAY: Duration = Duration::from_secs(5);
/// The greatest length of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(60);

/// How a server is picked among those with a free slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    /// By rendezvous hashing of the prompt's prefix, among the servers that are at most one request
    /// busier than the least busy one.
    Affinity,
    /// The least busy one.
    LeastBusy,
    /// In turn, by name.
    RoundRobin,
}

/// What a request asks of the choice of a server.
#[derive(Clone, Copy, Debug)]
pub struct Selection<'a> {
    /// How the server is picked.
    pub pick: Pick,
    /// Whether the request is of an upper tier, see [`Servers::acquire`].
    pub upper_tier: bool,
    /// The hash of its prompt prefix.
    pub prefix: u64,
    /// A server to be picked only if no other has a free slot.
    pub avoid: Option<&'a ServerId>,
    /// The only software version that may run it.
    pub build: Option<&'a Build>,
}

/// The servers of one pool.
#[derive(Debug, Default)]
pub struct Servers {
    /// The server that was picked last.
    last_picked: Option<ServerId>,
    entries: BTreeMap<ServerId, Entry>,
}

#[derive(Debug)]
struct Entry {
    server: Server,
    /// Slots that were acquired here and not yet released.
    running: u32,
    /// Whether it is in the current list; otherwise it gets no new work and is removed when idle.
    listed: bool,
    /// Seconds that a request occupies a slot, divided by its tokens.
    slot_seconds_per_token: Average,
    /// Seconds between tokens, without the time to the first token.
    token_interval: Average,
    health: Health,
    /// Ejections since the last successful probe, at most 8.
    ejections: u32,
    /// This scheduler's requests, if the server has named a limit.
    pace: Pace,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Health {
    Up,
    /// Gets no work before this time.
    Ejected(Instant),
    /// Since this time it gets one request at a time, until one succeeds.
    Probing(Instant),
}

impl Servers {
    /// Replaces the list of servers. A server that is left out gets no new work; one whose address
    /// has changed starts as healthy.
    pub fn set(&mut self, servers: &[Server]) {
        self.entries.values_mut().for_each(|entry| entry.listed = false);
        for server in servers {
            let entry = self.entries.entry(server.name.clone()).or_insert_with(|| Entry {
                server: server.clone(),
                running: 0,
                listed: true,
                slot_seconds_per_token: Average::default(),
                token_interval: Average::default(),
                health: Health::Up,
                ejections: 0,
                pace: Pace::default(),
            });
            if entry.server.address != server.address {
                entry.health = Health::Up;
                entry.token_interval = Average::default();
            }
            entry.server = server.clone();
            entry.listed = true;
        }
        self.entries.retain(|_, entry| entry.listed || entry.running > 0);
    }

    /// Sets the limit of a server, of which this scheduler has the whole.
    pub fn set_limit(&mut self, now: Instant, name: &ServerId, rate: Option<RequestRate>) {
        let Some(entry) = self.entries.get_mut(name) else { return };
        if entry.pace.rate() != rate {
            entry.pace.set(now, name, rate, &Fleet::single());
        }
    }

    /// Returns the sum of the slots of the listed servers, whatever their health.
    pub fn slots(&self) -> u32 {
        self.listed().map(|entry| entry.server.slots).sum()
    }

    /// Picks a server with a free slot and acquires the slot.
    ///
    /// Requests of the lower tiers prefer a server that is being probed; those of the upper tiers
    /// may use it only once it has been in that state for `UPPER_TIER_PROBE_DELAY`.
    pub fn acquire(&mut self, now: Instant, wanted: &Selection) -> Option<Server> {
        let Selection { pick, upper_tier, prefix, avoid, build } = *wanted;
        self.end_ejections(now);
        let free = || {
            let free = self.entries.values().filter(|entry| entry.has_free_slot(now));
            free.filter(|entry| build.is_none_or(|build| entry.server.build == *build))
        };
        let has_alternative = free().any(|entry| Some(&entry.server.name) != avoid);
        let allowed = |entry: &&Entry| {
            let avoided = has_alternative && Some(&entry.server.name) == avoid;
            !avoided && entry.accepts(now, upper_tier)
        };
        let least_load = free().filter(allowed).map(Entry::load).min_by(f64::total_cmp)?;
        let near =
            |entry: &&Entry| entry.load() <= least_load + 1.0 / f64::from(entry.server.slots);
        let to_probe = free().filter(allowed).find(|entry| !upper_tier && entry.is_probing());
        let chosen = match pick {
            _ if to_probe.is_some() => to_probe,
            Pick::Affinity => {
                let near = free().filter(allowed).filter(near);
                near.max_by_key(|entry| rendezvous(prefix, &entry.server.name))
            }
            Pick::LeastBusy => free().filter(allowed).min_by(|a, b| a.load().total_cmp(&b.load())),
            Pick::RoundRobin => {
                let after = |entry: &&Entry| Some(&entry.server.name) > self.last_picked.as_ref();
                free().filter(allowed).find(after).or_else(|| free().find(allowed))
            }
        };
        let name = chosen?.server.name.clone();
        self.last_picked = Some(name.clone());
        let entry = self.entries.get_mut(&name)?;
        entry.running += 1;
        entry.pace.record_send(now);
        Some(entry.server.clone())
    }

    /// Returns whether a server of this software version is listed.
    pub fn has_build(&self, build: &Build) -> bool {
        self.listed().any(|entry| entry.server.build == *build)
    }

    /// Releases a slot.
    pub fn release(&mut self, name: &ServerId) {
        let Some(entry) = self.entries.get_mut(name) else { return };
        entry.running = entry.running.saturating_sub(1);
        if !entry.listed && entry.running == 0 {
            self.entries.remove(name);
        }
    }

    /// Records that a request's `tokens` after those of its first report were generated in `took`,
    /// and ejects the server if it is a straggler.
    ///
    /// Returns whether it was ejected.
    pub fn record_token_interval(
        &mut self,
        now: Instant,
        name: &ServerId,
        tokens: Tokens,
        took: Duration,
    ) -> bool {
        if tokens.0 == 0 {
            return false;
        }
        if let Some(entry) = self.entries.get_mut(name) {
            entry.token_interval.observe(took.as_secs_f64() / tokens.0 as f64);
        }
        let is_straggler = self.is_straggler(name);
        if is_straggler {
            self.eject(now, name);
        }
        is_straggler
    }

    /// Returns whether a healthy server has a free slot.
    pub fn has_room(&self, now: Instant) -> bool {
        self.entries.values().any(|entry| entry.health == Health::Up && entry.has_free_slot(now))
    }

    /// Records that a request succeeded and occupied its slot for `took`; a server that is being
    /// probed becomes healthy.
    pub fn record_success(&mut self, name: &ServerId, tokens: Tokens, took: Duration) {
        let Some(entry) = self.entries.get_mut(name) else { return };
        if tokens.0 > 0 {
            entry.slot_seconds_per_token.observe(took.as_secs_f64() / tokens.0 as f64);
        }
        if matches!(entry.health, Health::Probing(_)) {
            entry.health = Health::Up;
            entry.ejections = 0;
        }
    }

    /// Ejects a server that has failed a request.
    pub fn record_failure(&mut self, now: Instant, name: &ServerId) {
        self.eject(now, name);
    }

    /// Returns the median over servers of the seconds that a slot is occupied for each token, or
    /// `default` before the first observation.
    pub fn median_slot_seconds_per_token(&self, default: f64) -> f64 {
        self.median(|entry| entry.slot_seconds_per_token).unwrap_or(default)
    }

    fn median(&self, pick: impl Fn(&Entry) -> Average) -> Option<f64> {
        let averages = self.listed().map(pick).filter(|average| average.count() > 0);
        let mut values: Vec<f64> = averages.map(|average| average.or(0.0)).collect();
        values.sort_by(f64::total_cmp);
        values.get(values.len() / 2).copied()
    }

    /// Returns name, running requests and slots of each server, and whether it is healthy.
    pub fn view(&self) -> Vec<(ServerId, u32, u32, bool)> {
        let view =
            |e: &Entry| (e.server.name.clone(), e.running, e.server.slots, e.health == Health::Up);
        self.entries.values().map(view).collect()
    }

    fn listed(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().filter(|entry| entry.listed)
    }

    fn end_ejections(&mut self, now: Instant) {
        for entry in self.entries.values_mut() {
            if matches!(entry.health, Health::Ejected(until) if until <= now) {
                entry.health = Health::Probing(now);
            }
        }
    }

    fn is_straggler(&self, name: &ServerId) -> bool {
        let Some(entry) = self.entries.get(name) else { return false };
        // A server that is probed after an ejection is judged by its first request.
        let samples =
            if matches!(entry.health, Health::Probing(_)) { 1 } else { MIN_INTERVAL_SAMPLES };
        if entry.token_interval.count() < samples || matches!(entry.health, Health::Ejected(_)) {
            return false;
        }
        let other_servers = self.listed().filter(|e| e.server.name != *name);
        let ejected = other_servers.filter(|e| e.health != Health::Up).count();
        if (ejected + 1) * MIN_SERVERS_PER_EJECTED > self.listed().count() {
            return false;
        }
        let median = self.median(|entry| entry.token_interval).unwrap_or(f64::MAX);
        entry.token_interval.or(0.0) > STRAGGLER_FACTOR * median
    }

    fn eject(&mut self, now: Instant, name: &ServerId) {
        let Some(entry) = self.entries.get_mut(name) else { return };
        let ejection = FIRST_EJECTION * 2_u32.saturating_pow(entry.ejections);
        entry.ejections = (entry.ejections + 1).min(8);
        entry.health = Health::Ejected(now + ejection.min(MAX_EJECTION));
        entry.token_interval = Average::default();
    }
}

impl Entry {
    fn is_probing(&self) -> bool {
        matches!(self.health, Health::Probing(_))
    }

    fn accepts(&self, now: Instant, upper_tier: bool) -> bool {
        match self.health {
            Health::Probing(since) if upper_tier => {
                now.saturating_duration_since(since) >= UPPER_TIER_PROBE_DELAY
            }
            _ => true,
        }
    }

    fn has_free_slot(&self, now: Instant) -> bool {
        let limit = match self.health {
            Health::Up => self.server.slots,
            Health::Ejected(_) => 0,
            Health::Probing(_) => 1,
        };
        self.listed && self.running < limit && self.pace.wait(now).is_zero()
    }

    fn load(&self) -> f64 {
        f64::from(self.running) / f64::from(self.server.slots.max(1))
    }
}

fn rendezvous(prefix: u64, name: &ServerId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (prefix, name).hash(&mut hasher);
    hasher.finish()
}
