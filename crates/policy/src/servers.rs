//! The backend servers of one pool: what runs on them, and which are fit for new work.

use std::{
    collections::{BTreeMap, hash_map::DefaultHasher},
    hash::{Hash as _, Hasher as _},
    time::{Duration, Instant},
};

use wasabi_core::{
    note::Server,
    units::{ServerId, Tokens},
};

use crate::estimate::Average;

/// A server is a straggler if its pace is this many times the median's.
const STRAGGLER_FACTOR: f64 = 2.5;
/// Observations that a server needs before it is compared.
const MIN_SAMPLES: u64 = 4;
/// No server is ejected for slowness if more than one in this many would then be ejected.
const EJECTED_SHARE: usize = 2;
/// How long a failed or slow server is left alone the first time.
const FIRST_EJECTION: Duration = Duration::from_secs(2);
/// How long a server waits to be tried out by a request of a lower tier.
const PROBE_PATIENCE: Duration = Duration::from_secs(5);
const MAX_EJECTION: Duration = Duration::from_secs(60);

/// How a server is picked among those with a free slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    /// By the prompt's prefix, unless that server is clearly busier than the least busy one.
    Affinity,
    /// The least busy one.
    LeastBusy,
    /// In turn.
    RoundRobin,
}

/// The servers of one pool.
#[derive(Debug, Default)]
pub struct Servers {
    /// The server that was picked last.
    last: Option<ServerId>,
    entries: BTreeMap<ServerId, Entry>,
}

#[derive(Debug)]
struct Entry {
    server: Server,
    /// Exact: counts the grants that this desk gave and that have not ended.
    running: u32,
    /// Whether it may get new work by configuration.
    listed: bool,
    /// Seconds that a slot is taken for each token, over whole requests.
    service: Average,
    /// Seconds between tokens, without the time to the first.
    pace: Average,
    health: Health,
    /// How often it was ejected without a success in between.
    strikes: u32,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Health {
    Fit,
    /// Gets no work before that time.
    Ejected(Instant),
    /// Gets one request at a time until one succeeds; since that time.
    Probing(Instant),
}

impl Servers {
    /// Takes a new list; a server that is left out gets no new work.
    pub fn set(&mut self, servers: &[Server]) {
        self.entries.values_mut().for_each(|entry| entry.listed = false);
        for server in servers {
            let entry = self.entries.entry(server.name.clone()).or_insert_with(|| Entry {
                server: server.clone(),
                running: 0,
                listed: true,
                service: Average::default(),
                pace: Average::default(),
                health: Health::Fit,
                strikes: 0,
            });
            if entry.server.address != server.address {
                entry.health = Health::Fit;
                entry.pace = Average::default();
            }
            entry.server = server.clone();
            entry.listed = true;
        }
        self.entries.retain(|_, entry| entry.listed || entry.running > 0);
    }

    /// Returns how many requests the listed servers run at a time when all are fit.
    pub fn slots(&self) -> u32 {
        self.listed().map(|entry| entry.server.slots).sum()
    }

    /// Picks a server with a free slot and takes the slot.
    ///
    /// Requests of the upper tiers are not used to try a server out, unless nothing else has done
    /// so for a while; those of the lower tiers try it out first.
    ///
    /// The server that the prefix falls on is taken unless it is clearly busier than the least
    /// busy one; `avoid` is taken only if no other is free.
    pub fn take(
        &mut self,
        now: Instant,
        pick: Pick,
        upper: bool,
        prefix: u64,
        avoid: Option<&ServerId>,
    ) -> Option<Server> {
        self.end_ejections(now);
        let free = || self.entries.values().filter(|entry| entry.is_free());
        let others = free().any(|entry| Some(&entry.server.name) != avoid);
        let allowed = |entry: &&Entry| {
            let avoided = others && Some(&entry.server.name) == avoid;
            !avoided && entry.suits(now, upper)
        };
        let least = free().filter(allowed).map(Entry::load).min_by(f64::total_cmp)?;
        let near = |entry: &&Entry| entry.load() <= least + 1.0 / f64::from(entry.server.slots);
        let tried_out = free().filter(allowed).find(|entry| !upper && entry.is_probing());
        let chosen = match pick {
            _ if tried_out.is_some() => tried_out,
            Pick::Affinity => {
                let near = free().filter(allowed).filter(near);
                near.max_by_key(|entry| rendezvous(prefix, &entry.server.name))
            }
            Pick::LeastBusy => free().filter(allowed).min_by(|a, b| a.load().total_cmp(&b.load())),
            Pick::RoundRobin => {
                let after = |entry: &&Entry| Some(&entry.server.name) > self.last.as_ref();
                free().filter(allowed).find(after).or_else(|| free().find(allowed))
            }
        };
        let name = chosen?.server.name.clone();
        self.last = Some(name.clone());
        let entry = self.entries.get_mut(&name)?;
        entry.running += 1;
        Some(entry.server.clone())
    }

    /// Gives a slot back.
    pub fn release(&mut self, name: &ServerId) {
        let Some(entry) = self.entries.get_mut(name) else { return };
        entry.running = entry.running.saturating_sub(1);
        if !entry.listed && entry.running == 0 {
            self.entries.remove(name);
        }
    }

    /// Takes in the pace of a request, and ejects the server if it is a straggler; returns whether
    /// it did.
    pub fn paced(&mut self, now: Instant, name: &ServerId, tokens: Tokens, took: Duration) -> bool {
        if tokens.0 == 0 {
            return false;
        }
        if let Some(entry) = self.entries.get_mut(name) {
            entry.pace.observe(took.as_secs_f64() / tokens.0 as f64);
        }
        let straggles = self.is_straggler(name);
        if straggles {
            self.eject(now, name);
        }
        straggles
    }

    /// Returns whether a fit server has a free slot.
    pub fn has_room(&self) -> bool {
        self.entries.values().any(|entry| entry.health == Health::Fit && entry.is_free())
    }

    /// Takes in that a request ended well, and how long it took its slot.
    pub fn succeeded(&mut self, name: &ServerId, tokens: Tokens, took: Duration) {
        let Some(entry) = self.entries.get_mut(name) else { return };
        if tokens.0 > 0 {
            entry.service.observe(took.as_secs_f64() / tokens.0 as f64);
        }
        if matches!(entry.health, Health::Probing(_)) {
            entry.health = Health::Fit;
            entry.strikes = 0;
        }
    }

    /// Takes in the failure of a server.
    pub fn failed(&mut self, now: Instant, name: &ServerId) {
        self.eject(now, name);
    }

    /// Returns the seconds that a token takes a slot on a typical server.
    pub fn typical_service(&self, default: f64) -> f64 {
        self.median(|entry| entry.service).unwrap_or(default)
    }

    fn median(&self, pick: impl Fn(&Entry) -> Average) -> Option<f64> {
        let averages = self.listed().map(pick).filter(|average| average.count() > 0);
        let mut values: Vec<f64> = averages.map(|average| average.or(0.0)).collect();
        values.sort_by(f64::total_cmp);
        values.get(values.len() / 2).copied()
    }

    /// Returns name, running and slots of each server, and whether it is fit.
    pub fn view(&self) -> Vec<(ServerId, u32, u32, bool)> {
        let view =
            |e: &Entry| (e.server.name.clone(), e.running, e.server.slots, e.health == Health::Fit);
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
        // A server that is tried again after an ejection is judged by its first request.
        let samples = if matches!(entry.health, Health::Probing(_)) { 1 } else { MIN_SAMPLES };
        if entry.pace.count() < samples || matches!(entry.health, Health::Ejected(_)) {
            return false;
        }
        let others = self.listed().filter(|e| e.server.name != *name);
        let ejected = others.filter(|e| e.health != Health::Fit).count();
        if (ejected + 1) * EJECTED_SHARE > self.listed().count() {
            return false;
        }
        let typical = self.median(|entry| entry.pace).unwrap_or(f64::MAX);
        entry.pace.or(0.0) > STRAGGLER_FACTOR * typical
    }

    fn eject(&mut self, now: Instant, name: &ServerId) {
        let Some(entry) = self.entries.get_mut(name) else { return };
        let wait = FIRST_EJECTION * 2_u32.saturating_pow(entry.strikes);
        entry.strikes = (entry.strikes + 1).min(8);
        entry.health = Health::Ejected(now + wait.min(MAX_EJECTION));
        entry.pace = Average::default();
    }
}

impl Entry {
    fn is_probing(&self) -> bool {
        matches!(self.health, Health::Probing(_))
    }

    fn suits(&self, now: Instant, upper: bool) -> bool {
        match self.health {
            Health::Probing(since) if upper => {
                now.saturating_duration_since(since) >= PROBE_PATIENCE
            }
            _ => true,
        }
    }

    fn is_free(&self) -> bool {
        let limit = match self.health {
            Health::Fit => self.server.slots,
            Health::Ejected(_) => 0,
            Health::Probing(_) => 1,
        };
        self.listed && self.running < limit
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
