//! The configuration in force, and when it was last known to be the newest.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use wasabi_core::{catalog::Catalog, units::Revision};

/// The known configuration. Its revision never decreases while the process runs.
#[derive(Debug, Default)]
pub struct View {
    catalog: Option<Arc<Catalog>>,
    /// The latest time at which the configuration is known to have been the newest.
    confirmed_at: Option<Instant>,
}

impl View {
    /// The configuration in force; `None` until the first one is accepted.
    pub fn get(&self) -> Option<Arc<Catalog>> {
        self.catalog.clone()
    }

    /// The revision of the configuration in force.
    pub fn revision(&self) -> Option<Revision> {
        self.catalog.as_ref().map(|catalog| catalog.version)
    }

    /// The time since the configuration was last known to be the newest.
    pub fn staleness(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|confirmed_at| now.saturating_duration_since(confirmed_at))
    }

    /// Accepts a configuration that was the newest at `confirmed_at`, unless it is older than the
    /// one in force; returns whether its revision is a new one.
    pub fn offer(&mut self, catalog: Catalog, confirmed_at: Instant) -> bool {
        let revision = catalog.version;
        match self.revision() {
            Some(known) if known > revision => false,
            Some(known) if known == revision => {
                self.confirm(revision, confirmed_at);
                false
            }
            _ => {
                self.catalog = Some(Arc::new(catalog));
                self.confirmed_at = Some(confirmed_at);
                true
            }
        }
    }

    /// Forgets that the configuration was ever known to be the newest.
    pub fn drop_proof(&mut self) {
        self.confirmed_at = None;
    }

    /// Records that `revision` was the newest at `confirmed_at`; ignored for any revision that is
    /// not in force.
    pub fn confirm(&mut self, revision: Revision, confirmed_at: Instant) {
        if self.revision() == Some(revision) {
            self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
        }
    }
}
