//! The backend servers that are believed to be there.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash as _, Hasher as _},
    time::{Duration, Instant},
};

use wasabi_core::{member::Member, units::ServerId};

/// Entries lapse in the store after three heartbeats of silence, also while it is down. A proof
/// that is older than this cannot tell a lapsed entry from a server that left.
const OUTAGE: Duration = Duration::from_millis(2_500);
/// Lapsed entries are back within this time of the store's return, if the servers live.
const RETURN_GRACE: Duration = Duration::from_millis(2_000);

/// The list of servers; a server that is missing from a fresh list is gone, except for a while
/// after an outage of the store.
#[derive(Debug, Default)]
pub struct Belief {
    /// As in the last list.
    listed: BTreeMap<ServerId, Member>,
    /// Missing since an outage, each until the time given.
    lapsed: BTreeMap<ServerId, (Member, Instant)>,
    /// Changes whenever `listed` does.
    digest: u64,
    /// The list was complete at this time or later.
    proof: Option<Instant>,
    /// When the last list followed an outage, the end of the grace.
    grace: Option<Instant>,
}

impl Belief {
    /// Returns the servers to use.
    pub fn get(&self) -> Vec<Member> {
        let lapsed = self.lapsed.values().map(|(member, _)| member);
        self.listed.values().chain(lapsed).cloned().collect()
    }

    /// Returns the list as the store gave it.
    pub fn listed(&self) -> Vec<Member> {
        self.listed.values().cloned().collect()
    }

    /// Returns the digest of the list and how old its proof is.
    pub fn proof(&self, now: Instant) -> Option<(u64, Duration)> {
        self.proof.map(|proof| (self.digest, now.saturating_duration_since(proof)))
    }

    /// Takes a list that was complete at `proof`; returns whether the servers to use changed.
    pub fn offer(&mut self, now: Instant, members: Vec<Member>, proof: Instant) -> bool {
        if self.proof.is_some_and(|known| known > proof) {
            return self.expire(now);
        }
        let outage =
            self.proof.is_some_and(|known| proof.saturating_duration_since(known) > OUTAGE);
        if outage {
            self.grace = Some(now + RETURN_GRACE);
        }
        let before = self.get();
        let fresh: BTreeMap<_, _> = members.into_iter().map(|m| (m.id.clone(), m)).collect();
        let until = self.grace.filter(|grace| now < *grace);
        for (id, member) in std::mem::take(&mut self.listed) {
            if let Some(until) = until.filter(|_| !fresh.contains_key(&id)) {
                self.lapsed.insert(id, (member, until));
            }
        }
        self.lapsed.retain(|id, (_, until)| !fresh.contains_key(id) && now < *until);
        // An address belongs to one server at a time.
        self.lapsed.retain(|_, (m, _)| fresh.values().all(|other| other.address != m.address));
        self.digest = digest(&fresh);
        self.listed = fresh;
        self.proof = Some(proof);
        before != self.get()
    }

    /// Takes in that the list with this digest was complete at `proof`.
    pub fn confirm(&mut self, digest: u64, proof: Instant) {
        if self.proof.is_some() && self.digest == digest {
            self.proof = self.proof.max(Some(proof));
        }
    }

    /// Drops lapsed servers whose time is over; returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.lapsed.len();
        self.lapsed.retain(|_, (_, until)| now < *until);
        before != self.lapsed.len()
    }
}

fn digest(members: &BTreeMap<ServerId, Member>) -> u64 {
    let mut hasher = DefaultHasher::new();
    members.hash(&mut hasher);
    hasher.finish()
}
