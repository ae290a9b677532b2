//! Usage that has not been flushed to the store yet.

use std::collections::BTreeMap;

use parking_lot::Mutex;
use wasabi_core::{
    io::{UsageLine, UsageTotals},
    units::WorkspaceId,
};

/// Unflushed usage figures by workspace.
#[derive(Debug, Default)]
pub struct Counter {
    counts: Mutex<BTreeMap<WorkspaceId, UsageTotals>>,
}

impl Counter {
    /// Adds `figures` to those of `workspace`.
    pub fn add(&self, workspace: &WorkspaceId, figures: &UsageTotals) {
        let mut counts = self.counts.lock();
        match counts.get_mut(workspace) {
            Some(sum) => sum.add(figures),
            None => {
                counts.insert(workspace.clone(), *figures);
            }
        }
    }

    /// Removes and returns the figures of at most `limit` workspaces, in the order of their names.
    pub fn take(&self, limit: usize) -> Vec<UsageLine> {
        let mut counts = self.counts.lock();
        let mut lines = Vec::new();
        while lines.len() < limit {
            let Some((workspace, figures)) = counts.pop_first() else { break };
            lines.push(UsageLine { workspace, figures });
        }
        lines
    }

    /// Whether no figures are held; those that a flusher has taken may still have to be stored.
    pub fn is_empty(&self) -> bool {
        self.counts.lock().is_empty()
    }
}
