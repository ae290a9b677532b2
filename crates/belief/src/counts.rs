//! Requests that began to run, by window and workspace, as every host counted them.

use std::collections::BTreeMap;

use wasabi_core::units::{Incarnation, Window, WorkspaceId};

/// Requests of each workspace.
pub type Counts = BTreeMap<WorkspaceId, u64>;

/// Windows that are kept; reports are due two windows after the end of theirs.
const KEPT_WINDOWS: u64 = 12;

/// The counts of all hosts; those of one life of a host only grow.
#[derive(Debug, Default)]
pub struct Table {
    windows: BTreeMap<Window, BTreeMap<Incarnation, Counts>>,
    /// The window that was the present one when a life of a host last told its counts; those before
    /// it are complete from that life.
    told: BTreeMap<Incarnation, Window>,
}

impl Table {
    /// Counts one request.
    pub fn count(&mut self, window: Window, me: &Incarnation, workspace: &WorkspaceId) {
        let counts = self.windows.entry(window).or_default().entry(me.clone()).or_default();
        *counts.entry(workspace.clone()).or_default() += 1;
        self.forget();
    }

    /// Takes in another host's counts; older news than known changes nothing.
    pub fn merge(&mut self, window: Window, from: &Incarnation, counts: &Counts) {
        let known = self.windows.entry(window).or_default().entry(from.clone()).or_default();
        for (workspace, count) in counts {
            let known = known.entry(workspace.clone()).or_default();
            *known = (*known).max(*count);
        }
        self.forget();
    }

    /// Takes in that a life of a host told all its counts while `present` was the present window.
    pub fn told(&mut self, from: &Incarnation, present: Window) {
        let known = self.told.entry(from.clone()).or_insert(present);
        *known = (*known).max(present);
    }

    /// Returns whether the counts of a window are complete from a life of a host.
    pub fn is_complete(&self, window: Window, from: &Incarnation) -> bool {
        self.told.get(from).is_some_and(|present| window < *present)
    }

    /// Returns what this life of the host counted lately.
    pub fn own(&self, me: &Incarnation, windows: usize) -> Vec<(Window, Counts)> {
        let own = self.windows.iter().rev().take(windows);
        own.filter_map(|(window, by)| Some((*window, by.get(me)?.clone()))).collect()
    }

    /// Returns the sum of all hosts for a window.
    pub fn sum(&self, window: Window) -> Counts {
        let mut sum = Counts::new();
        for counts in self.windows.get(&window).into_iter().flat_map(|by| by.values()) {
            for (workspace, count) in counts {
                *sum.entry(workspace.clone()).or_default() += count;
            }
        }
        sum
    }

    fn forget(&mut self) {
        let Some((newest, _)) = self.windows.last_key_value() else { return };
        let oldest = Window(newest.0.saturating_sub(KEPT_WINDOWS));
        self.windows = self.windows.split_off(&oldest);
        self.told.retain(|_, present| *present >= oldest);
    }
}
