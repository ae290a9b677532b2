//! Counts of requests that began to run, by usage window, host incarnation and workspace.

use std::collections::BTreeMap;

use wasabi_core::units::{Incarnation, Window, WorkspaceId};

/// Number of requests by workspace.
pub type Counts = BTreeMap<WorkspaceId, u64>;

/// How many windows before the newest are kept: more than the two after which the usage of a window
/// is sent.
const RETAINED_WINDOWS: u64 = 12;

/// The counts of all hosts. The counts of one incarnation never decrease.
#[derive(Debug, Default)]
pub struct RequestCounts {
    windows: BTreeMap<Window, BTreeMap<Incarnation, Counts>>,
    /// The latest window that was current when an incarnation reported its counts. The counts of
    /// that incarnation in windows before it are final.
    complete_before: BTreeMap<Incarnation, Window>,
    /// The current window, if that is known. Windows far after it are numbered by another length.
    present: Option<Window>,
}

impl RequestCounts {
    /// Counts one request of this host's incarnation `me`.
    pub fn count(&mut self, window: Window, me: &Incarnation, workspace: &WorkspaceId) {
        let counts = self.windows.entry(window).or_default().entry(me.clone()).or_default();
        *counts.entry(workspace.clone()).or_default() += 1;
        self.set_present(window);
    }

    /// Takes in which window is current.
    pub fn set_present(&mut self, present: Window) {
        self.present = Some(present);
        self.prune();
    }

    /// Merges another host's running totals, keeping the larger of two values, so that repeated or
    /// reordered reports do no harm.
    pub fn merge(&mut self, window: Window, from: &Incarnation, counts: &Counts) {
        let known = self.windows.entry(window).or_default().entry(from.clone()).or_default();
        for (workspace, count) in counts {
            let known = known.entry(workspace.clone()).or_default();
            *known = (*known).max(*count);
        }
        self.prune();
    }

    /// Records that an incarnation reported its counts while `present` was the current window.
    pub fn mark_reported(&mut self, from: &Incarnation, present: Window) {
        let known = self.complete_before.entry(from.clone()).or_insert(present);
        *known = (*known).max(present);
    }

    /// Whether the counts that an incarnation made in a window are complete.
    pub fn is_complete(&self, window: Window, from: &Incarnation) -> bool {
        self.complete_before.get(from).is_some_and(|present| window < *present)
    }

    /// The incarnations that have reported their counts, each with the latest window that was
    /// current when it did.
    pub fn reporters(&self) -> impl Iterator<Item = (&Incarnation, Window)> {
        self.complete_before.iter().map(|(from, present)| (from, *present))
    }

    /// The counts of an incarnation in the last `windows` windows for which any incarnation has
    /// counts, the newest first.
    pub fn of(&self, from: &Incarnation, windows: usize) -> Vec<(Window, Counts)> {
        let last = self.windows.iter().rev().take(windows);
        last.filter_map(|(window, incarnations)| Some((*window, incarnations.get(from)?.clone())))
            .collect()
    }

    /// The sum over all hosts for a window.
    pub fn sum(&self, window: Window) -> Counts {
        let mut sum = Counts::new();
        for counts in
            self.windows.get(&window).into_iter().flat_map(|incarnations| incarnations.values())
        {
            for (workspace, count) in counts {
                *sum.entry(workspace.clone()).or_default() += count;
            }
        }
        sum
    }

    fn prune(&mut self) {
        let newest = self.windows.last_key_value().map(|(newest, _)| *newest);
        let Some(newest) = self.present.or(newest) else { return };
        let kept = |window: Window| window.0.abs_diff(newest.0) <= RETAINED_WINDOWS;
        self.windows.retain(|window, _| kept(*window));
        self.complete_before.retain(|_, present| kept(*present));
    }
}
