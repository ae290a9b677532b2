//! Which usage windows the holder of the duties seals, and which of them it reports.
//!
//! The counts of a window are sealed, that is written to a record in the store once and never changed,
//! and then reported. A new holder reports what is already sealed, so no window is ever reported with
//! two different counts, with the store restored from an older copy too.

use std::collections::BTreeMap;

use wasabi_core::{
    data,
    units::{Epoch, Version, Window},
};

use crate::counts::Counts;

/// Sealed windows that the record keeps: more than those that are still reported. Windows further from the present one
/// are numbered by another length.
const KEPT_WINDOWS: u64 = 8;
/// Windows before the newest settled one that are still reported.
const MAX_LATE_WINDOWS: u64 = 3;

data! {
    /// The record in the store. The counts of a window never change once they are in it.
    #[derive(Default)]
    pub struct Record {
        /// The sealed counts.
        pub windows: BTreeMap<Window, Counts>,
    }
}

/// What the holder has to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the record.
    Read,
    /// Seal the counts of a window.
    Seal(Window),
    /// Report a window, which is sealed.
    Report(Window),
    /// Leave a window out: its seal may be lost, and a second one could have other counts.
    Skip(Window),
    /// Wait for the next window.
    Wait,
}

/// One host's copy of the record, and the last window that it has reported. The copy is kept after the
/// duties are lost: the store may lose the record.
#[derive(Clone, Debug, Default)]
pub struct Seals {
    /// The fencing number under which the copy is current; `None` if the record must be read again.
    fence: Option<Epoch>,
    version: Option<Version>,
    sealed: BTreeMap<Window, Counts>,
    /// The newest window that was reported under this fencing number, or left out.
    reported: Option<Window>,
}

impl Seals {
    /// Records that this host does not hold the duties.
    pub fn lose_duties(&mut self) {
        self.fence = None;
    }

    /// Returns what a holder with `fence` does next; `newest` is the newest window whose counts are
    /// settled. `is_covered` says of a window that no restore of the store can have lost its seal.
    pub fn next(
        &self,
        fence: Epoch,
        newest: Option<Window>,
        is_covered: impl Fn(Window) -> bool,
    ) -> Step {
        if self.fence != Some(fence) {
            return Step::Read;
        }
        let Some(newest) = newest else { return Step::Wait };
        let oldest = Window(newest.0.saturating_sub(MAX_LATE_WINDOWS));
        let reported = self.reported.filter(|window| window.0 <= newest.0 + KEPT_WINDOWS);
        let window = reported.map_or(oldest, |window| Window(window.0 + 1)).max(oldest);
        match window {
            _ if window > newest => Step::Wait,
            _ if self.sealed.contains_key(&window) => Step::Report(window),
            _ if is_covered(window) => Step::Seal(window),
            _ => Step::Skip(window),
        }
    }

    /// Takes in the record that was read under `fence`; `None` if there is none.
    pub fn on_read(&mut self, fence: Epoch, found: Option<(Version, Record)>) {
        let known = std::mem::take(&mut self.sealed);
        let (version, record) =
            found.map_or((None, Record::default()), |(version, record)| (Some(version), record));
        (self.version, self.sealed) = (version, record.windows);
        // What a restored store has lost is written again with the next seal.
        for (window, counts) in known {
            self.sealed.entry(window).or_insert(counts);
        }
        (self.fence, self.reported) = (Some(fence), None);
    }

    /// Returns the write that seals the counts of a window: the version that it replaces, or `None` to
    /// create the record. If the write gets no answer, the record has to be read again.
    pub fn begin_seal(&mut self, window: Window, counts: Counts) -> (Option<Version>, Record) {
        let mut windows = self.sealed.clone();
        windows.insert(window, counts);
        prune(&mut windows, window);
        self.fence = None;
        (self.version, Record { windows })
    }

    /// Records that the write was acknowledged while this host still had the `fence` under which it
    /// began.
    pub fn on_sealed(&mut self, fence: Epoch, version: Version, record: Record) {
        (self.fence, self.version, self.sealed) = (Some(fence), Some(version), record.windows);
    }

    /// Records that a window was reported, or left out.
    pub fn on_reported(&mut self, window: Window) {
        self.reported = Some(window);
    }

    /// The sealed counts of a window.
    pub fn counts(&self, window: Window) -> Option<&Counts> {
        self.sealed.get(&window)
    }
}

/// Forgets the oldest windows beyond [`KEPT_WINDOWS`], and those far from `present`.
fn prune(windows: &mut BTreeMap<Window, Counts>, present: Window) {
    windows.retain(|window, _| window.0.abs_diff(present.0) <= KEPT_WINDOWS);
    while windows.len() as u64 > KEPT_WINDOWS {
        windows.pop_first();
    }
}
