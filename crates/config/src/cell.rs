//! The state in force on this host, shared by all its threads.

use std::{collections::VecDeque, sync::Arc};

use parking_lot::Mutex;

use crate::{
    log::{self, Entry},
    state::State,
};

/// How many entries a host keeps at hand for peers that lag.
const KEPT_ENTRIES: usize = 1_000;

type Listener = Box<dyn Fn(&State) + Send + Sync>;

/// Holds the state; its revision never goes back.
#[derive(Default)]
pub struct Cell {
    inner: Mutex<Inner>,
    listeners: Mutex<Vec<Listener>>,
}

#[derive(Default)]
struct Inner {
    state: Arc<State>,
    /// Contiguous; the last one is the state's revision.
    recent: VecDeque<Entry>,
    /// Whether any state was ever loaded.
    ready: bool,
}

impl Cell {
    /// Returns the state in force.
    pub fn get(&self) -> Arc<State> {
        self.inner.lock().state.clone()
    }

    /// Returns whether the host has learned the configuration from the store or a peer.
    pub fn is_ready(&self) -> bool {
        self.inner.lock().ready
    }

    /// Calls `listener` after each change, before `offer` or `replace` returns.
    pub fn listen(&self, listener: impl Fn(&State) + Send + Sync + 'static) {
        self.listeners.lock().push(Box::new(listener));
    }

    /// Takes a whole state, unless it is older than the one in force.
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
        self.tell(&state);
    }

    /// Applies those of `entries` that follow the state in force; returns whether any did.
    pub fn offer(&self, entries: &[Entry]) -> bool {
        let mut inner = self.inner.lock();
        let fresh = entries.iter().filter(|e| e.revision > inner.state.revision).count();
        if fresh == 0 || !inner.ready {
            return false;
        }
        let mut state = (*inner.state).clone();
        for entry in entries {
            if state.apply(entry.revision, &entry.note, log::digest(&entry.note)).is_err() {
                continue;
            }
            inner.recent.push_back(entry.clone());
        }
        let excess = inner.recent.len().saturating_sub(KEPT_ENTRIES);
        inner.recent.drain(..excess);
        let moved = state.revision > inner.state.revision;
        inner.state = Arc::new(state);
        let state = inner.state.clone();
        drop(inner);
        if moved {
            self.tell(&state);
        }
        moved
    }

    /// Returns the entries that follow `revision`, or `None` if this host no longer has them all.
    pub fn after(&self, revision: wasabi_core::units::Revision) -> Option<Vec<Entry>> {
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

    fn tell(&self, state: &State) {
        for listener in self.listeners.lock().iter() {
            listener(state);
        }
    }
}
