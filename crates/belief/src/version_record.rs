//! The software versions that services have run lately, as the store records them for hosts that start.
//!
//! What a host has seen ends with its process. If all hosts end at once, only this record tells that a
//! stream may have begun at a version that is gone.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use wasabi_core::{
    data,
    units::{Build, Era, PoolId},
};

use crate::origins::{Origin, VERSION_RETENTION};

/// A version that has not been listed for this long is recorded as gone: hosts learn of a change at different
/// times.
const GONE_AFTER: Duration = Duration::from_secs(3);
/// How long after a version was recorded no restore of the store takes it out of the record: copies are some
/// seconds old, and hosts notice a restore within a second or two.
pub const ESTABLISHED_AFTER: Duration = Duration::from_secs(10);

data! {
    /// The record.
    #[derive(Default)]
    pub struct Record {
        /// The latest era of the store in which this was known to hold all versions; `None` if builds that do
        /// not state it wrote the record, or the store states no eras.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub era: Option<Era>,
        /// By service and version, when the version was found to be gone, in milliseconds since 1970;
        /// `None` while servers of it are listed.
        pub services: BTreeMap<PoolId, BTreeMap<Build, Option<u64>>>,
        /// By service and version, when the version was recorded, in milliseconds since 1970. Those of the very
        /// first record are left out: there is no copy without them.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        pub recorded: BTreeMap<PoolId, BTreeMap<Build, u64>>,
    }
}

impl Record {
    /// Returns the services and versions that are recorded as listed.
    pub fn present(&self) -> BTreeSet<Origin> {
        let origins = self.services.iter().flat_map(|(service, builds)| {
            let present = builds.iter().filter(|(_, gone_ms)| gone_ms.is_none());
            present.map(|(build, _)| Origin { service: service.clone(), build: build.clone() })
        });
        origins.collect()
    }

    /// Returns whether a store of era `current` may have lost versions that this lacks: it was restored, and
    /// nobody who knows them has written the record since.
    pub fn is_older_copy(&self, current: Option<Era>) -> bool {
        self.era.is_some() && self.era < current
    }

    /// Adds the versions of `other` that this lacks and that have not been gone for long; returns whether there
    /// were any.
    pub fn add_missing(&mut self, other: &Self, now_ms: u64) -> bool {
        let mut added = false;
        for (service, builds) in &other.services {
            let is_recent = |gone_ms: &Option<u64>| {
                gone_ms.is_none_or(|gone_ms| age(gone_ms, now_ms) < VERSION_RETENTION)
            };
            for (build, gone_ms) in builds.iter().filter(|(_, gone_ms)| is_recent(gone_ms)) {
                let known = self.services.entry(service.clone()).or_default();
                if !known.contains_key(build) {
                    known.insert(build.clone(), *gone_ms);
                    let at_ms = other.recorded_ms(service, build).unwrap_or(0);
                    let recorded = self.recorded.entry(service.clone()).or_default();
                    recorded.insert(build.clone(), at_ms);
                    added = true;
                }
            }
        }
        added
    }

    /// Returns the record as it should be at `now_ms`, when exactly these are listed. Versions that have
    /// been gone for long are dropped.
    pub fn updated(&self, listed: &BTreeSet<Origin>, now_ms: u64) -> Self {
        let mut updated = Self { era: self.era, ..Self::default() };
        for (service, builds) in &self.services {
            for (build, gone_ms) in builds {
                let gone_ms = gone_ms.unwrap_or(now_ms);
                if age(gone_ms, now_ms) < VERSION_RETENTION {
                    let builds = updated.services.entry(service.clone()).or_default();
                    builds.insert(build.clone(), Some(gone_ms));
                }
            }
        }
        for origin in listed {
            let builds = updated.services.entry(origin.service.clone()).or_default();
            builds.insert(origin.build.clone(), None);
        }
        let is_first = self.services.is_empty() && self.era.is_none();
        for (service, builds) in &updated.services {
            for build in builds.keys() {
                let is_known = self.services.get(service).is_some_and(|b| b.contains_key(build));
                let recorded_ms = match is_known {
                    true => self.recorded_ms(service, build),
                    false => (!is_first).then_some(now_ms),
                };
                if let Some(at_ms) = recorded_ms {
                    let recorded = updated.recorded.entry(service.clone()).or_default();
                    recorded.insert(build.clone(), at_ms);
                }
            }
        }
        updated
    }

    fn recorded_ms(&self, service: &PoolId, build: &Build) -> Option<u64> {
        self.recorded.get(service)?.get(build).copied()
    }

    /// Returns whether a version of the record was established at `at_ms`: recorded for so long that each copy to
    /// which the store may be restored has it.
    fn is_established(&self, service: &PoolId, build: &Build, at_ms: u64) -> bool {
        let since_ms = |recorded_ms: u64| recorded_ms + ESTABLISHED_AFTER.as_millis() as u64;
        self.recorded_ms(service, build).is_none_or(|recorded| since_ms(recorded) <= at_ms)
    }

    /// Returns the versions of a service that are recorded and not established yet.
    pub fn unestablished(&self, service: &PoolId, now_ms: u64) -> impl Iterator<Item = &Build> {
        let builds = self.services.get(service).into_iter().flat_map(BTreeMap::keys);
        builds.filter(move |build| !self.is_established(service, build, now_ms))
    }

    /// Returns when the first version of a service was recorded that is not established yet.
    pub fn first_unestablished_ms(&self, service: &PoolId, now_ms: u64) -> Option<u64> {
        let builds = self.unestablished(service, now_ms);
        builds.filter_map(|build| self.recorded_ms(service, build)).min()
    }

    /// Returns the version at which each stream began that keeps to established versions, was begun by a host that
    /// had ended by `ended_ms`, and is taken up at `now_ms`; `None` if there are several. Holds for an older copy too:
    /// what that lacks was not established.
    pub fn sole_established(&self, service: &PoolId, ended_ms: u64, now_ms: u64) -> Option<Build> {
        let recent = self.recent_builds(service, now_ms).into_iter();
        let mut established = recent.filter(|build| self.is_established(service, build, ended_ms));
        let sole = established.next().filter(|_| established.next().is_none())?;
        // Before a version was established, streams were not kept to it.
        let begun_ms = now_ms.saturating_sub(VERSION_RETENTION.as_millis() as u64);
        let is_listed = self.services.get(service)?.get(&sole)?.is_none();
        (is_listed && self.is_established(service, &sole, begun_ms)).then_some(sole)
    }

    /// Returns the versions of a service at which a stream may have begun that is taken up at `now_ms` or later:
    /// one that had gone for long by then has none.
    pub fn recent_builds(&self, service: &PoolId, now_ms: u64) -> BTreeSet<Build> {
        let recent = self.ages(now_ms).filter(|(_, age)| *age < VERSION_RETENTION);
        recent
            .filter(|(origin, _)| origin.service == *service)
            .map(|(origin, _)| origin.build)
            .collect()
    }

    /// Returns how long ago servers of each version may last have been listed.
    pub fn ages(&self, now_ms: u64) -> impl Iterator<Item = (Origin, Duration)> {
        self.services.iter().flat_map(move |(service, builds)| {
            builds.iter().map(move |(build, gone_ms)| {
                let origin = Origin { service: service.clone(), build: build.clone() };
                (origin, gone_ms.map_or(Duration::ZERO, |gone_ms| age(gone_ms, now_ms)))
            })
        })
    }
}

/// The versions of a list of servers.
pub struct Listed {
    /// The versions.
    pub versions: BTreeSet<Origin>,
    /// When the list was last known to be complete.
    pub confirmed_at: Instant,
}

/// Compares the record with the lists of servers over time.
#[derive(Debug, Default)]
pub struct Comparison {
    /// Since when a version of the record is not listed.
    missing_since: Option<Instant>,
}

impl Comparison {
    /// Returns what should be recorded as listed, if that is not `recorded`. A version is left out only if it is
    /// missing in a list that was complete [`GONE_AFTER`] after the first one without it: an older list shows
    /// nothing of the time since.
    pub fn expected(
        &mut self,
        now: Instant,
        listed: &Listed,
        recorded: &BTreeSet<Origin>,
    ) -> Option<BTreeSet<Origin>> {
        let versions = &listed.versions;
        // An empty list: nothing is known of the servers yet.
        if recorded.is_subset(versions) || versions.is_empty() {
            self.missing_since = None;
            return (!versions.is_empty() && versions != recorded).then(|| versions.clone());
        }
        let since = *self.missing_since.get_or_insert(now);
        if listed.confirmed_at.saturating_duration_since(since) >= GONE_AFTER {
            return Some(versions.clone());
        }
        let all: BTreeSet<Origin> = recorded.union(versions).cloned().collect();
        (all != *recorded).then_some(all)
    }

    /// Whether all versions of the record were listed when they were last compared.
    pub fn has_all(&self) -> bool {
        self.missing_since.is_none()
    }
}

/// Clocks differ, so a time in the future counts as now.
fn age(since_ms: u64, now_ms: u64) -> Duration {
    Duration::from_millis(now_ms.saturating_sub(since_ms))
}
