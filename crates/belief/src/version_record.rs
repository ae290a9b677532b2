//! The software versions that services have run lately, as the store records them for hosts that start.
//!
//! What a host has seen ends with its process. If all hosts end at once, only this record tells that a
//! stream may have begun at a version that is gone.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use wasabi_core::{
    data,
    units::{Build, Era, PoolId},
};

use crate::origins::{Origin, VERSION_RETENTION};

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
        updated
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

/// Clocks differ, so a time in the future counts as now.
fn age(since_ms: u64, now_ms: u64) -> Duration {
    Duration::from_millis(now_ms.saturating_sub(since_ms))
}
