//! The backend servers to use, derived from the lists in the store.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use wasabi_core::{
    digest::digest,
    member::{Listing, Member, Phase, Restrictions},
    units::{Domain, ServerId},
};

/// A longer gap between two complete lists of any host counts as an outage of the store. Entries lapse in the
/// store after three missed heartbeats, also while the store is down. So after such a gap a missing
/// entry can be that of a live server as well as of one that has left.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(2_500);
/// Live servers restore their lapsed entries within this time after an outage.
const OUTAGE_GRACE: Duration = Duration::from_millis(2_000);

/// How long it is remembered that an instance said that it leaves. Lists may lag by seconds, and an
/// instance never takes it back.
const LEAVING_RETENTION: Duration = Duration::from_secs(600);
/// The most instances that are remembered as leaving; the oldest are forgotten first.
const MAX_LEAVING: usize = 4_096;
/// A list that was complete this long after a server may have turned cold shows whether it has: servers write
/// their entries about every 1.2 s, and an entry is listed up to 0.8 s after it was written.
const COLD_LISTED_WITHIN: Duration = Duration::from_millis(2_500);

pub use wasabi_policy::stated_limits::Instance;

/// The list of backend servers. A server that is missing from a newer list is dropped at once,
/// except during the grace period after an outage of the store.
#[derive(Debug, Default)]
pub struct View {
    /// The servers of the last list.
    listed: BTreeMap<ServerId, Member>,
    /// Servers missing from a list within the grace period, each kept until the time given.
    lapsed: BTreeMap<ServerId, (Member, Instant)>,
    /// Digest of `listed`.
    digest: u64,
    /// The latest time at which the list is known to have been complete.
    confirmed_at: Option<Instant>,
    /// The latest time at which the store is known to have answered any host. A gap of this host's own
    /// proofs is no outage while others read the store.
    store_answered_at: Option<Instant>,
    /// End of the grace period after the last outage.
    grace_until: Option<Instant>,
    /// Instances that said that they leave, and when this host learned it.
    leaving: BTreeMap<Instance, Instant>,
    /// Instances whose process has ended, as the one that followed it says, and when this host learned it.
    ended: BTreeMap<Instance, Instant>,
    /// Until when the store may lack what the operator wrote before it was restored.
    restored_until: Option<Instant>,
    /// The restrictions of the last list.
    restrictions: Restrictions,
    /// When the evacuations of `restrictions` were last known to be complete.
    evacuations_confirmed_at: Option<Instant>,
    /// Instances that may have turned cold at the time given without a list having shown it yet.
    maybe_cold: BTreeMap<Instance, Instant>,
}

impl View {
    /// The servers to use: those of the last list, and lapsed ones that are still kept. Instances
    /// that said that they leave, or have ended, and those of evacuated domains are draining,
    /// whatever the list says.
    pub fn get(&self) -> Vec<Member> {
        let lapsed = self.lapsed.values().map(|(member, _)| member);
        let mut members: Vec<Member> = self.listed.values().chain(lapsed).cloned().collect();
        for member in &mut members {
            let instance = instance(member);
            if self.leaving.contains_key(&instance)
                || self.ended.contains_key(&instance)
                || self.restrictions.evacuated.contains(&member.domain)
            {
                member.phase = Phase::Draining;
            }
        }
        members
    }

    /// The failure domains that the operator evacuates.
    pub fn evacuated(&self) -> &BTreeSet<Domain> {
        &self.restrictions.evacuated
    }

    /// The restrictions of the last list.
    pub fn restrictions(&self) -> &Restrictions {
        &self.restrictions
    }

    /// When the evacuations were last known to be complete; `None` if they have never been read.
    pub fn evacuations_confirmed_at(&self) -> Option<Instant> {
        self.evacuations_confirmed_at
    }

    /// Records that the evacuations of the last list were complete at `at`.
    pub fn confirm_evacuations(&mut self, at: Instant) {
        self.evacuations_confirmed_at = self.evacuations_confirmed_at.max(Some(at));
    }

    /// Whether an instance is cold, or may be without a list having shown it yet.
    pub fn is_cold(&self, member: &Member) -> bool {
        let listed_since = |at: &Instant| self.confirmed_at >= at.checked_add(COLD_LISTED_WITHIN);
        self.restrictions.cold.contains(&member.id)
            || self.maybe_cold.get(&instance(member)).is_some_and(|at| !listed_since(at))
    }

    /// The number of listed servers that are cold or may be.
    pub fn cold_count(&self) -> usize {
        self.listed.values().filter(|member| self.is_cold(member)).count()
    }

    /// Records that an instance may have turned cold at `at`: it did not answer, it said so, or the
    /// evacuation of its domain has ended. Returns whether it did not count as cold before.
    pub fn mark_maybe_cold(&mut self, at: Instant, member: &Member) -> bool {
        let was_cold = self.is_cold(member);
        remember(&mut self.maybe_cold, at, instance(member));
        !was_cold
    }

    /// The instances of which this host learned since `since` that they leave, the latest first.
    pub fn left_since(&self, since: Instant) -> Vec<Instance> {
        let mut recent: Vec<(&Instance, &Instant)> =
            self.leaving.iter().filter(|(_, learned)| **learned >= since).collect();
        recent.sort_by_key(|(_, learned)| std::cmp::Reverse(**learned));
        recent.into_iter().map(|(instance, _)| instance.clone()).collect()
    }

    /// Records that an instance said that it leaves; returns whether that was new.
    pub fn mark_leaving(&mut self, now: Instant, instance: Instance) -> bool {
        if self.leaving.contains_key(&instance) {
            return false;
        }
        remember(&mut self.leaving, now, instance);
        true
    }

    /// Records that the process of an instance has ended; returns whether that was new.
    pub fn mark_ended(&mut self, now: Instant, instance: Instance) -> bool {
        if self.ended.contains_key(&instance) {
            return false;
        }
        remember(&mut self.ended, now, instance);
        true
    }

    /// The server of this id, if it is in use.
    pub fn find(&self, id: &ServerId) -> Option<&Member> {
        self.listed.get(id).or_else(|| self.lapsed.get(id).map(|(member, _)| member))
    }

    /// Whether the last list has this instance.
    pub fn lists(&self, instance: &Instance) -> bool {
        self.listed.get(&instance.0).is_some_and(|member| member.born_ms == instance.1)
    }

    /// Whether this host's list is older than `max_age` although the store has answered other hosts
    /// since: servers that have left meanwhile are not known here. While the store answers nobody, no
    /// host can know better.
    pub fn is_outdated(&self, now: Instant, max_age: Duration) -> bool {
        let (Some(own), Some(any)) = (self.confirmed_at, self.store_answered_at) else {
            return false;
        };
        let age = now.saturating_duration_since(own);
        // Proofs of hosts that are all up to date differ by less.
        age >= max_age && any.saturating_duration_since(own) >= max_age / 2
    }

    /// Whether an instance is in use and has not said that it leaves.
    pub fn takes_work(&self, member: &Member) -> bool {
        let lapsed = self.lapsed.get(&member.id).map(|(member, _)| member);
        let known = self.listed.get(&member.id).or(lapsed);
        let same = known.filter(|known| instance(known) == instance(member));
        let instance = instance(member);
        same.is_some_and(|known| known.phase == Phase::Ready)
            && !self.restrictions.evacuated.contains(&member.domain)
            && !self.leaving.contains_key(&instance)
            && !self.ended.contains_key(&instance)
    }

    /// Whether this instance has ended: the process that followed it has said so, or is listed.
    pub fn is_replaced(&self, member: &Member) -> bool {
        self.ended.contains_key(&instance(member))
            || self.listed.values().any(|other| follows(other, member))
    }

    /// The servers of the last list, without lapsed ones.
    pub fn listed(&self) -> Vec<Member> {
        self.listed.values().cloned().collect()
    }

    /// The digest of the list, and the time since the list was last known to be complete.
    pub fn digest_age(&self, now: Instant) -> Option<(u64, Duration)> {
        self.confirmed_at
            .map(|confirmed_at| (self.digest, now.saturating_duration_since(confirmed_at)))
    }

    /// Accepts a list that was complete at `confirmed_at`, unless it is older than the known one;
    /// returns whether the servers to use changed.
    pub fn offer(
        &mut self,
        now: Instant,
        listing: impl Into<Listing>,
        confirmed_at: Instant,
    ) -> bool {
        if self.confirmed_at.is_some_and(|known| known > confirmed_at) {
            return self.expire(now);
        }
        self.record_proof(now, confirmed_at);
        let before = (self.get(), self.restrictions.clone());
        let Listing { members, mut restrictions } = listing.into();
        if self.restored_until.is_some_and(|until| now < until) {
            // The store may have lost what the operator has requested since its copy was made.
            restrictions.evacuated.extend(self.restrictions.evacuated.iter().cloned());
        }
        let fresh: BTreeMap<_, _> = members.into_iter().map(|m| (m.id.clone(), m)).collect();
        let until = self.grace_until.filter(|grace| now < *grace);
        for (id, member) in std::mem::take(&mut self.listed) {
            if let Some(until) = until.filter(|_| !fresh.contains_key(&id)) {
                self.lapsed.insert(id, (member, until));
            }
        }
        self.lapsed.retain(|id, (_, until)| !fresh.contains_key(id) && now < *until);
        self.lapsed.retain(|_, (m, _)| !fresh.values().any(|other| follows(other, m)));
        // Hosts of builds that know no restrictions agree on the digest while there are none.
        self.digest = match restrictions.is_empty() {
            true => digest(&fresh),
            false => digest(&(&fresh, &restrictions)),
        };
        self.listed = fresh;
        self.confirmed_at = Some(confirmed_at);
        let ended = std::mem::replace(&mut self.restrictions, restrictions).evacuated;
        let ended: Vec<Domain> = ended.difference(&self.restrictions.evacuated).cloned().collect();
        let returned: Vec<Member> =
            self.listed.values().filter(|m| ended.contains(&m.domain)).cloned().collect();
        for member in returned {
            self.mark_maybe_cold(now, &member);
        }
        before != (self.get(), self.restrictions.clone())
    }

    /// Handles that the store was restored from an older copy: entries written since are missing until
    /// their servers write them again, as after an outage.
    pub fn on_restored(&mut self, now: Instant) {
        self.grace_until = Some(now + OUTAGE_GRACE);
        self.restored_until = self.grace_until;
    }

    /// Records that some host knows its list to have been complete at `at`, so the store answered then.
    /// After an outage live servers get the time to write their entries again.
    pub fn record_proof(&mut self, now: Instant, at: Instant) {
        let outage = self
            .store_answered_at
            .is_some_and(|last| at.saturating_duration_since(last) > OUTAGE_THRESHOLD);
        if outage {
            self.grace_until = Some(now + OUTAGE_GRACE);
        }
        self.store_answered_at = self.store_answered_at.max(Some(at));
    }

    /// Records that the list with this digest was complete at `confirmed_at`; ignored for any other
    /// digest.
    pub fn confirm(&mut self, digest: u64, confirmed_at: Instant) {
        if self.confirmed_at.is_some() && self.digest == digest {
            self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
        }
    }

    /// Drops lapsed servers that have been kept long enough; returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.lapsed.len();
        self.lapsed.retain(|_, (_, until)| now < *until);
        before != self.lapsed.len()
    }
}

/// Adds an instance to those remembered, and forgets those that have been remembered long enough, or the
/// oldest if there are too many.
fn remember(instances: &mut BTreeMap<Instance, Instant>, now: Instant, instance: Instance) {
    instances.retain(|_, since| now.saturating_duration_since(*since) < LEAVING_RETENTION);
    if instances.len() >= MAX_LEAVING && !instances.contains_key(&instance) {
        let oldest = instances.iter().min_by_key(|(_, since)| **since);
        let oldest = oldest.map(|(instance, _)| instance.clone());
        oldest.and_then(|instance| instances.remove(&instance));
    }
    instances.insert(instance, now);
}

/// Whether an entry is that of the process that came after `member`. An entry that only shares the address proves
/// nothing: it may be another writer's, that of the process before, or an older copy.
fn follows(other: &Member, member: &Member) -> bool {
    let same_place = other.id == member.id || other.address == member.address;
    same_place
        && instance(other) != instance(member)
        && other.service == member.service
        && other.born_ms >= member.born_ms
}

/// The instance that a member announces.
pub fn instance(member: &Member) -> Instance {
    (member.id.clone(), member.born_ms)
}
