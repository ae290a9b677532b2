//! When a host renews its copy of a data set, and whether from the store or from a peer.
//!
//! It answers the load of hundreds of hosts on a store whose calls are limited and paid for. In a large
//! fleet the hosts of a failure domain share their reads: one of them reads the store, the others learn
//! the proof from its announcement and fetch changed content from it or from each other. So the calls
//! grow with the number of domains and not with the number of hosts, and content crosses no domain.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// From this number of hosts on, a host takes proofs and content from its own failure domain.
/// Announcements from other domains are seldom there, so their ages have no useful bound.
pub const LARGE_FLEET_HOSTS: usize = 30;
/// The least age at which a proof is renewed.
const RENEW_AFTER: Duration = Duration::from_millis(500);
/// The same in a large fleet, where changes may take longer to arrive.
const LARGE_RENEW_AFTER: Duration = Duration::from_millis(800);
/// The range of the random thresholds above the least age, for each host that shares the reads.
const SPREAD_PER_HOST: Duration = Duration::from_millis(60);
/// The widest range of thresholds.
const MAX_SPREAD: Duration = Duration::from_millis(600);
/// At this age of its own proof a host reads the store, whatever its peers claim: claims of a peer that
/// does not hear this host have no bound on their age.
const MAX_OWN_AGE: Duration = Duration::from_millis(1_600);
/// The same in a large fleet, where a domain's announcements bound the age less closely.
const LARGE_MAX_OWN_AGE: Duration = Duration::from_millis(2_000);
/// The range of the random delay before reading a change that a peer has seen, for each host.
const READ_DELAY_PER_HOST: Duration = Duration::from_millis(12);
/// The widest range of that delay; far less than the time in which a change has to arrive.
const MAX_READ_DELAY: Duration = Duration::from_millis(700);
/// The range of the random delay before fetching a change that a peer of the domain has, for each of
/// these peers. Hosts that have fetched it serve the later ones.
const FETCH_DELAY_PER_HOST: Duration = Duration::from_millis(5);
/// The widest range of that delay.
const MAX_FETCH_DELAY: Duration = Duration::from_millis(300);

/// The least pause after a read that failed; it doubles with each further one.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// The pause after a read that renewed no proof, as shortly after a restore of the store.
const UNPROVEN_PAUSE: Duration = Duration::from_millis(150);
/// The same as [`RETRY_PAUSE`] in a large fleet.
const LARGE_RETRY_PAUSE: Duration = Duration::from_millis(600);
/// The longest pause, for each host that shares the reads: while the store answers nobody, they try it
/// in turn, and the first that gets an answer tells the others.
const MAX_PAUSE_PER_HOST: Duration = Duration::from_millis(40);
/// The same in a large fleet.
const LARGE_MAX_PAUSE_PER_HOST: Duration = Duration::from_millis(120);

/// What a live peer announced of its copy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Where its content can be fetched.
    pub address: SocketAddr,
    /// Whether it is in this host's failure domain.
    pub is_near: bool,
    /// The version of its copy.
    pub version: u64,
    /// When its copy was last known to be current.
    pub proof: Instant,
}

/// How the versions of a data set relate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Versions {
    /// They grow.
    Grow,
    /// They only differ; the later proof tells which one is current.
    Differ,
}

/// What a host knows of a data set.
#[derive(Clone, Debug)]
pub struct Situation {
    /// How its versions relate.
    pub versions: Versions,
    /// The version of the own copy and its proof.
    pub own: Option<(u64, Instant)>,
    /// What the live peers announced; those without a copy claim none.
    pub claims: Vec<Claim>,
    /// The number of live hosts, this one included.
    pub live_hosts: usize,
    /// The number of those in this host's failure domain.
    pub near_hosts: usize,
}

/// Where to renew a copy from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// A peer that has a newer version.
    Peer(SocketAddr),
}

/// The renewals of one data set by one host.
#[derive(Clone, Debug)]
pub struct Renewal {
    /// A random number from 0 to 1, drawn anew for each renewal.
    draw: f64,
    /// Since when a peer has been known to have a newer version.
    behind_since: Option<Instant>,
    /// Whether the last fetch from a peer failed; the store is read next.
    fetch_failed: bool,
    /// Reads of the store that failed since the last one that did not, and when the last one ended.
    failed_reads: Option<(u32, Instant)>,
    /// When the last read of the store ended, if it renewed no proof.
    unproven_read: Option<Instant>,
}

impl Renewal {
    /// Begins with a random number from 0 to 1.
    pub fn new(draw: f64) -> Self {
        let (behind_since, failed_reads, unproven_read) = (None, None, None);
        Self { draw, behind_since, fetch_failed: false, failed_reads, unproven_read }
    }

    /// Returns the source of the renewal that is due now, if one is.
    pub fn due(&mut self, now: Instant, situation: &Situation) -> Option<Source> {
        let source = self.wanted(now, situation)?;
        (source != Source::Store || !self.pauses(now, situation)).then_some(source)
    }

    /// Returns whether the store is left alone after reads that failed or proved nothing.
    fn pauses(&self, now: Instant, situation: &Situation) -> bool {
        let spread = 0.5 + 1.5 * self.draw;
        let rests =
            |at: Instant| now.saturating_duration_since(at) < UNPROVEN_PAUSE.mul_f64(spread);
        if self.unproven_read.is_some_and(rests) {
            return true;
        }
        let Some((count, at)) = self.failed_reads else { return false };
        let (least, per_host) = match situation.is_large() {
            true => (LARGE_RETRY_PAUSE, LARGE_MAX_PAUSE_PER_HOST),
            false => (RETRY_PAUSE, MAX_PAUSE_PER_HOST),
        };
        let most = (per_host * situation.sharing_hosts() as u32).max(least);
        let pause = least.saturating_mul(2_u32.saturating_pow(count - 1)).min(most);
        now.saturating_duration_since(at) < pause.mul_f64(spread)
    }

    fn wanted(&mut self, now: Instant, situation: &Situation) -> Option<Source> {
        if !situation.is_behind() {
            self.behind_since = None;
        } else if self.behind_since.is_none() {
            self.behind_since = Some(now);
        }
        let (hosts, is_large) = (situation.live_hosts, situation.is_large());
        let sharing = situation.sharing_hosts();
        let behind_for = self.behind_since.map(|since| now.saturating_duration_since(since));
        let peer = situation.near_source(self.draw).filter(|_| is_large && !self.fetch_failed);
        if let Some(behind_for) = behind_for {
            let (per_host, most, hosts) = match peer {
                Some(_) => (FETCH_DELAY_PER_HOST, MAX_FETCH_DELAY, sharing),
                None => (READ_DELAY_PER_HOST, MAX_READ_DELAY, hosts),
            };
            if behind_for >= (per_host * hosts as u32).min(most).mul_f64(self.draw) {
                return Some(peer.map_or(Source::Store, Source::Peer));
            }
        }
        let Some((_, proof)) = situation.own else {
            // A peer of the domain is asked after its delay.
            return peer.is_none().then_some(Source::Store);
        };
        let spread = (SPREAD_PER_HOST * sharing as u32).min(MAX_SPREAD).mul_f64(self.draw);
        let (renew_after, max_own_age) = match is_large {
            true => (LARGE_RENEW_AFTER, LARGE_MAX_OWN_AGE),
            false => (RENEW_AFTER, MAX_OWN_AGE),
        };
        let age = |proof: Instant| now.saturating_duration_since(proof);
        let claimed = situation.same_version().filter(|claim| !is_large || claim.is_near);
        let claimed = claimed.map(|claim| age(claim.proof)).min().unwrap_or(Duration::MAX);
        let is_due =
            age(proof) >= max_own_age + spread || age(proof).min(claimed) >= renew_after + spread;
        is_due.then_some(Source::Store)
    }

    /// Records how the renewal from `source` ended; `draw` is a random number from 0 to 1. It has
    /// failed also if the store has no such data yet, as when a whole deployment starts.
    pub fn ended(&mut self, now: Instant, source: Source, succeeded: bool, draw: f64) {
        self.fetch_failed = matches!(source, Source::Peer(_)) && !succeeded;
        if source == Source::Store {
            let before = self.failed_reads.map_or(0, |(count, _)| count);
            self.failed_reads = (!succeeded).then_some((before.saturating_add(1), now));
            self.unproven_read = None;
        }
        self.behind_since = None;
        self.draw = draw;
    }

    /// Records that the read of the store that has just ended renewed no proof.
    pub fn record_unproven(&mut self, now: Instant) {
        self.unproven_read = Some(now);
    }
}

impl Situation {
    fn is_large(&self) -> bool {
        self.live_hosts >= LARGE_FLEET_HOSTS
    }

    /// The number of hosts that share reads of the store with this one, which is included.
    fn sharing_hosts(&self) -> usize {
        match self.is_large() {
            true => self.near_hosts,
            false => self.live_hosts,
        }
    }

    /// Whether a peer has a newer version.
    fn is_behind(&self) -> bool {
        self.newer().next().is_some()
    }

    fn newer(&self) -> impl Iterator<Item = &Claim> {
        let is_newer = |claim: &&Claim| match (self.own, self.versions) {
            (None, _) => true,
            (Some((own, _)), Versions::Grow) => claim.version > own,
            (Some((own, proof)), Versions::Differ) => claim.version != own && claim.proof > proof,
        };
        self.claims.iter().filter(is_newer)
    }

    fn same_version(&self) -> impl Iterator<Item = &Claim> {
        let own = self.own.map(|(version, _)| version);
        self.claims.iter().filter(move |claim| Some(claim.version) == own)
    }

    /// Returns a peer of the failure domain with the newest version that is known there; `draw` from 0
    /// to 1 spreads the choice.
    fn near_source(&self, draw: f64) -> Option<SocketAddr> {
        let near = || self.newer().filter(|claim| claim.is_near);
        let newest = near().max_by_key(|claim| match self.versions {
            Versions::Grow => (claim.version, claim.proof),
            Versions::Differ => (0, claim.proof),
        })?;
        let holders: Vec<&Claim> = near().filter(|claim| claim.version == newest.version).collect();
        let index = (draw * holders.len() as f64) as usize;
        Some(holders[index.min(holders.len() - 1)].address)
    }
}
