//! The configuration state in force on this host, shared by its threads.

use std::{collections::VecDeque, sync::Arc};

use parking_lot::Mutex;

use crate::{
    log::{self, Entry},
    state::State,
};

/// Recent entries kept for peers that lag behind.
const MAX_RECENT_ENTRIES: usize = 1_000;

type Listener = Box<dyn Fn(&State) + Send + Sync>;

/// Holds the state in force; its revision never decreases.
#[derive(Default)]
pub struct CurrentState {
    inner: Mutex<Inner>,
    listeners: Mutex<Vec<Listener>>,
}

#[derive(Default)]
struct Inner {
    state: Arc<State>,
    /// Consecutive entries; the last one is that of the state's revision.
    recent: VecDeque<Entry>,
    /// Whether a state has been loaded.
    ready: bool,
}

impl CurrentState {
    /// Returns the state in force.
    pub fn get(&self) -> Arc<State> {
        self.inner.lock().state.clone()
    }

    /// Returns whether a state has been loaded from the store or a peer.
    pub fn is_ready(&self) -> bool {
        self.inner.lock().ready
    }

    /// Registers a listener, which is called after each change and before `apply_entries` or
    /// `replace` returns.
    pub fn listen(&self, listener: impl Fn(&State) + Send + Sync + 'static) {
        self.listeners.lock().push(Box::new(listener));
    }

    /// Replaces the state, unless the one in force was loaded and is at least as new.
    pub fn replace(&self, state: State) {
        let mut inner = self.inner.lock();
        let older = state.revision < inner.state.revision;
        if inner.ready && (older || state.revision == inner.state.revision) {
            return;
        }
        inner.state = Arc::new(state);
        inner.recent.clear();
        inner.ready = true;
        let state = inner.state.clone();
        drop(inner);
        self.notify(&state);
    }

    /// Applies those of `entries` that follow the state in force, and returns whether any did. Does
    /// nothing before a state has been loaded.
    pub fn apply_entries(&self, entries: &[Entry]) -> bool {
        let mut inner = self.inner.lock();
        let newer = entries.iter().filter(|e| e.revision > inner.state.revision).count();
        if newer == 0 || !inner.ready {
            return false;
        }
        let mut state = (*inner.state).clone();
        for entry in entries {
            if state.apply(entry.revision, &entry.note, log::digest(&entry.note)).is_err() {
                continue;
            }
            inner.recent.push_back(entry.clone());
        }
        let excess = inner.recent.len().saturating_sub(MAX_RECENT_ENTRIES);
        inner.recent.drain(..excess);
        let advanced = state.revision > inner.state.revision;
        inner.state = Arc::new(state);
        let state = inner.state.clone();
        drop(inner);
        if advanced {
            self.notify(&state);
        }
        advanced
    }

    /// Returns the entries that follow `revision`, or `None` if some of them are no longer kept.
    pub fn entries_after(&self, revision: wasabi_core::units::Revision) -> Option<Vec<Entry>> {
        let inner = self.inner.lock();
        if revision >= inner.state.revision {
            return Some(Vec::new());
        }
        let first = inner.recent.front()?.revision;
        if first > revision.next() {
            return None;
        }
        Some(inner.recent.iter().filter(|e| e.revision > revision).cloned().collect())
    }

    fn notify(&self, state: &State) {
        for listener in self.listeners.lock().iter() {
            listener(state);
        }
    }
}
