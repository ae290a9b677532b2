//! The requests that run on this host, so that they can be counted and cut.

use std::{collections::HashMap, sync::Arc};

use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;
use wasabi_config::state::State;
use wasabi_core::note::Key;

/// All requests that run.
#[derive(Default)]
pub struct Registry {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    next: u64,
    entries: HashMap<u64, Entry>,
}

struct Entry {
    /// None on routes open to all.
    key: Option<Arc<Key>>,
    cut: CancellationToken,
}

/// One request's place in the registry, until it is dropped.
pub struct Running {
    registry: Arc<Registry>,
    number: u64,
    /// Set when the request's key is withdrawn.
    pub cut: CancellationToken,
}

impl Registry {
    /// Enters a request.
    pub fn enter(self: &Arc<Self>, key: Option<Arc<Key>>) -> Running {
        let cut = CancellationToken::new();
        let mut inner = self.inner.lock();
        inner.next += 1;
        let number = inner.next;
        inner.entries.insert(number, Entry { key, cut: cut.clone() });
        Running { registry: self.clone(), number, cut }
    }

    /// Cuts every request whose key is no longer in force; returns how many.
    pub fn enforce(&self, state: &State) -> usize {
        self.cut(|key| !state.has_key(key))
    }

    /// Cuts every request that runs by a key; returns how many.
    pub fn cut_keyed(&self) -> usize {
        self.cut(|_| true)
    }

    /// Returns how many requests run.
    pub fn len(&self) -> usize {
        self.inner.lock().entries.len()
    }

    /// Returns whether no request runs.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn cut(&self, lost: impl Fn(&Key) -> bool) -> usize {
        let inner = self.inner.lock();
        let entries = inner.entries.values();
        let lost = entries.filter(|entry| entry.key.as_deref().is_some_and(&lost));
        lost.inspect(|entry| entry.cut.cancel()).count()
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.registry.inner.lock().entries.remove(&self.number);
    }
}
