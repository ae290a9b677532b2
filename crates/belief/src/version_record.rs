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
    units::{Build, PoolId},
};

use crate::origins::{Origin, VERSION_RETENTION};

data! {
    /// The record.
    #[derive(Default)]
    pub struct Record {
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

    /// Returns the record as it should be at `now_ms`, when exactly these are listed. Versions that have
    /// been gone for long are dropped.
    pub fn updated(&self, listed: &BTreeSet<Origin>, now_ms: u64) -> Self {
        let mut updated = Self::default();
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
