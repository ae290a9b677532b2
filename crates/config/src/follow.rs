//! Follows the log in the object API.

use std::{sync::Arc, time::Duration};

use wasabi_core::{
    errors::Result,
    io::{Object, Store},
    units::{Revision, Version},
};

use crate::{
    cell::Cell,
    log::{self, Entry},
};

/// The prefix of everything that hosts follow; one watch covers it.
const PREFIX: &str = "live/";

const MAX_OTHERS: usize = 1_000;

/// Takes objects beside the log, in any order and more than once.
pub type Others = Box<dyn Fn(&Object) + Send>;

/// Reads the log and keeps a cell up to date.
pub struct Follower {
    store: Arc<dyn Store>,
    cell: Arc<Cell>,
    /// Gets the objects below `others_prefix`.
    others: Others,
    others_prefix: String,
    /// Where the next watch goes on; only ever what a watch has returned.
    since: Option<Version>,
}

impl Follower {
    /// Gets a follower that has read nothing yet.
    pub fn new(
        store: Arc<dyn Store>,
        cell: Arc<Cell>,
        others_prefix: &str,
        others: Others,
    ) -> Self {
        let others_prefix = others_prefix.to_string();
        Self { store, cell, others, others_prefix, since: None }
    }

    /// Waits up to `wait` for news and applies them; an error leaves the state as it was.
    pub fn step(&mut self, wait: Duration) -> Result<()> {
        let Some(since) = self.since else { return self.start() };
        let batch = self.store.watch(PREFIX, since, wait).inspect_err(|_| self.since = None)?;
        let is_entry = |object: &&Object| object.key.starts_with(log::PREFIX);
        let (logged, others): (Vec<&Object>, Vec<&Object>) =
            batch.objects.iter().partition(is_entry);
        others.into_iter().for_each(|object| (self.others)(object));
        let mut entries = logged.into_iter().map(log::entry).collect::<Result<Vec<Entry>>>()?;
        entries.sort_by_key(|entry| entry.revision);
        self.cell.offer(&entries);
        let newest = entries.last().map_or(Revision(0), |entry| entry.revision);
        if newest > self.cell.get().revision {
            self.read()?;
        }
        self.since = Some(batch.version);
        Ok(())
    }

    /// The watch's starting point is taken before reading, so nothing falls between the two.
    fn start(&mut self) -> Result<()> {
        let batch = self.store.watch(PREFIX, Version(0), Duration::ZERO)?;
        self.read()?;
        let others = self.store.list(&self.others_prefix, "", MAX_OTHERS)?;
        others.iter().for_each(|object| (self.others)(object));
        self.since = Some(batch.version);
        Ok(())
    }

    fn read(&self) -> Result<()> {
        if self.cell.is_ready() {
            let revision = self.cell.get().revision;
            let entries = log::after(&*self.store, revision)?;
            if entries.is_empty() || self.cell.offer(&entries) {
                return self.reload_if_trimmed(revision, entries.is_empty());
            }
        }
        self.cell.replace(log::load(&*self.store)?);
        Ok(())
    }

    /// Entries that a lagging host still needs may be gone; then the snapshot stands for them.
    fn reload_if_trimmed(&self, revision: Revision, empty: bool) -> Result<()> {
        if !empty || self.store.list(log::PREFIX, &log::key(revision), 1)?.is_empty() {
            return Ok(());
        }
        self.cell.replace(log::load(&*self.store)?);
        Ok(())
    }
}
