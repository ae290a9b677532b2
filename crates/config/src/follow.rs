//! Follows the log and the other objects with the prefix `live/` in the object API.

use std::{sync::Arc, time::Duration};

use wasabi_core::{
    errors::Result,
    io::{Object, Store},
    units::{Revision, Version},
};

use crate::{
    current::CurrentState,
    log::{self, Entry},
    log_key,
};

/// The key prefix of all objects that hosts follow; one watch covers them.
const PREFIX: &str = "live/";

/// Limit of the list call at the start. Objects below `listed_prefix` beyond it reach the handler
/// only when they are written again.
const MAX_LISTED_OBJECTS: usize = 1_000;

/// Handles a followed object outside the log. Objects may arrive in any order and repeatedly.
pub type ObjectHandler = Box<dyn Fn(&Object) + Send>;

/// Follows the log and keeps a [`CurrentState`] up to date.
pub struct Follower {
    store: Arc<dyn Store>,
    config: Arc<CurrentState>,
    /// Called with each followed object outside the log.
    on_object: ObjectHandler,
    listed_prefix: String,
    /// The version that the last watch returned, from which the next one continues. `None` at the
    /// start and after a failed watch; the next step then reads the log and the listed objects.
    since: Option<Version>,
}

impl Follower {
    /// Creates a follower; its first step reads the log and the objects below `listed_prefix`.
    pub fn new(
        store: Arc<dyn Store>,
        config: Arc<CurrentState>,
        listed_prefix: &str,
        on_object: ObjectHandler,
    ) -> Self {
        let listed_prefix = listed_prefix.to_string();
        Self { store, config, on_object, listed_prefix, since: None }
    }

    /// Waits up to `wait` for changes and applies them. After an error the configuration in force
    /// stays, and a later step catches up.
    pub fn step(&mut self, wait: Duration) -> Result<()> {
        let Some(since) = self.since else { return self.start() };
        let batch = self.store.watch(PREFIX, since, wait).inspect_err(|_| self.since = None)?;
        let is_entry = |object: &&Object| object.key.starts_with(log_key::PREFIX);
        let (logged, others): (Vec<&Object>, Vec<&Object>) =
            batch.objects.iter().partition(is_entry);
        others.into_iter().for_each(|object| (self.on_object)(object));
        let mut entries = logged.into_iter().map(log::entry).collect::<Result<Vec<Entry>>>()?;
        entries.sort_by_key(|entry| entry.revision);
        self.config.apply_entries(&entries);
        let newest = entries.last().map_or(Revision(0), |entry| entry.revision);
        if newest > self.config.get().revision {
            self.read_log()?;
        }
        self.since = Some(batch.version);
        Ok(())
    }

    /// Reads the log and the listed objects. The version for the next watch is taken before that,
    /// so that no write in between is missed; the watch from version 0 serves only to learn it, and
    /// its objects are not used.
    fn start(&mut self) -> Result<()> {
        let batch = self.store.watch(PREFIX, Version(0), Duration::ZERO)?;
        self.read_log()?;
        let others = self.store.list(&self.listed_prefix, "", MAX_LISTED_OBJECTS)?;
        others.iter().for_each(|object| (self.on_object)(object));
        self.since = Some(batch.version);
        Ok(())
    }

    fn read_log(&self) -> Result<()> {
        if self.config.is_ready() {
            let revision = self.config.get().revision;
            let entries = log::page_after(&*self.store, revision)?;
            if entries.is_empty() || self.config.apply_entries(&entries) {
                return self.reload_if_trimmed(revision, entries.is_empty());
            }
        }
        self.config.replace(log::load(&*self.store)?);
        Ok(())
    }

    /// If no next entry was found (`empty`) but the log has later ones, the next entry has been
    /// trimmed from the log; reloads the state, since the snapshot covers it.
    fn reload_if_trimmed(&self, revision: Revision, empty: bool) -> Result<()> {
        if !empty || self.store.list(log_key::PREFIX, &log_key::key(revision), 1)?.is_empty() {
            return Ok(());
        }
        self.config.replace(log::load(&*self.store)?);
        Ok(())
    }
}
