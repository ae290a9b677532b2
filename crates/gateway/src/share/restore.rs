//! What a host gives up when the store was restored from an older copy.

use std::time::{Duration, Instant};

use log::warn;
use wasabi_belief::era;
use wasabi_core::{
    catalog::Catalog,
    units::{Era, Window},
};

use crate::state::State;

impl State {
    /// Notices whether the store was restored since the last call. Must be called before acting under
    /// anything that was read from the store or written to it.
    pub fn check_era(&self) {
        let Some(era) = self.objects.era() else { return };
        self.lease.borrow_mut().note_era(era);
        let former = self.era.borrow_mut().observe(self.now(), era);
        self.give_up_older_era(former, era, "store");
    }

    /// Returns the latest era of the store that this host knows, with the last answer taken in.
    pub fn store_era(&self) -> Option<Era> {
        self.check_era();
        self.era.borrow().known().map(|known| known.era)
    }

    /// Takes in what a peer knows of the store's era.
    pub fn merge_era(&self, theirs: era::Known) {
        let now = self.now();
        self.lease.borrow_mut().note_era(theirs.era);
        let was_settled = self.era.borrow().is_settled(now);
        let former = self.era.borrow_mut().merge(theirs);
        let settled = self.era.borrow().is_settled(now);
        if former.is_none() && was_settled && !settled {
            // This host started after the restore; what it has read may be an older copy.
            self.config.borrow_mut().drop_proof();
        }
        self.give_up_older_era(former, theirs.era, "peer");
    }

    /// Takes in that the store holds an older copy, as a host that starts finds it. What it has read proves
    /// nothing until the operator has had the time to write again.
    pub fn on_older_copy_found(&self) {
        let now = self.now();
        let was_settled = self.era.borrow().is_settled(now);
        self.era.borrow_mut().record_older_copy();
        if was_settled && !self.era.borrow().is_settled(now) {
            warn!(era = self.store_era().map_or(0, |era| era.0); "store holds an older copy");
            self.config.borrow_mut().drop_proof();
        }
    }

    /// If there was a former era, gives up everything that rests on its contents; `source` is for the
    /// log.
    fn give_up_older_era(&self, former: Option<Era>, era: Era, source: &str) {
        let Some(former) = former else { return };
        let now = self.now();
        warn!(era = era.0, former = former.0, source = source; "store restored from an older copy");
        metrics::counter!("wasabi_store_restores_total").increment(1);
        self.lease.borrow_mut().on_restored(now);
        self.servers.borrow_mut().on_restored(now);
        self.store_restored.notify_waiters();
    }

    /// Returns whether what may be written to the store `delay` after the end of a usage window at
    /// the earliest cannot have been lost in a restore, as far as this host knows the store's era.
    pub fn era_covers(&self, window: Window, delay: Duration) -> bool {
        let Some(known) = self.era.borrow().known() else { return true };
        let age = self.now().saturating_duration_since(known.since);
        let now_ms = self.now_ms();
        let written_ms = (window.0 + 1) * self.usage_window_ms() + delay.as_millis() as u64;
        now_ms.saturating_sub(age.as_millis() as u64) < written_ms
    }

    /// Applies the configuration that the store had at `proof`. Shortly after a restore of the store
    /// it proves nothing, since an acknowledged one may be lost until the operator has written it
    /// again: then it does not renew the proof, and a host without one ignores it.
    pub fn offer_stored_config(&self, catalog: Catalog, proof: Instant) {
        let now = self.now();
        if self.era.borrow().is_settled(now) {
            return self.offer_config(catalog, proof, "store");
        }
        let staleness = self.config.borrow().staleness(now);
        if let Some(proven) = staleness.and_then(|age| now.checked_sub(age)) {
            self.offer_config(catalog, proven, "store");
        }
    }
}
