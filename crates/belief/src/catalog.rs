//! The configuration in force, and how fresh the proof is that it is the newest.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use wasabi_core::{catalog::Catalog, units::Revision};

/// The configuration; its version never goes back in one life of the process.
#[derive(Debug, Default)]
pub struct Belief {
    catalog: Option<Arc<Catalog>>,
    /// The configuration was the newest at this time or later.
    proof: Option<Instant>,
}

impl Belief {
    /// Returns the configuration in force.
    pub fn get(&self) -> Option<Arc<Catalog>> {
        self.catalog.clone()
    }

    /// Returns the version in force.
    pub fn version(&self) -> Option<Revision> {
        self.catalog.as_ref().map(|catalog| catalog.version)
    }

    /// Returns how long ago the configuration is known to have been the newest.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.proof.map(|proof| now.saturating_duration_since(proof))
    }

    /// Takes a configuration that was the newest at `proof`; returns whether it is a new one.
    pub fn offer(&mut self, catalog: Catalog, proof: Instant) -> bool {
        let version = catalog.version;
        match self.version() {
            Some(known) if known > version => false,
            Some(known) if known == version => {
                self.confirm(version, proof);
                false
            }
            _ => {
                self.catalog = Some(Arc::new(catalog));
                self.proof = Some(proof);
                true
            }
        }
    }

    /// Takes in that `version` was the newest at `proof`.
    pub fn confirm(&mut self, version: Revision, proof: Instant) {
        if self.version() == Some(version) {
            self.proof = self.proof.max(Some(proof));
        }
    }
}
