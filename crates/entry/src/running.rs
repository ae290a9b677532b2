//! Registry of the requests that run on this host, to count and to cancel them.

use std::{collections::HashMap, sync::Arc};

use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;
use wasabi_config::state::State;
use wasabi_core::note::Key;

/// The running requests of this host.
#[derive(Default)]
pub struct Registry {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    last_id: u64,
    entries: HashMap<u64, Entry>,
}

struct Entry {
    /// `None` on routes that need no key.
    key: Option<Arc<Key>>,
    cancel: CancellationToken,
}

/// Keeps one request registered until it is dropped.
pub struct Registration {
    registry: Arc<Registry>,
    id: u64,
    /// Cancelled when the request must end: its key was withdrawn, or the host is isolated.
    pub cancel: CancellationToken,
}

impl Registry {
    /// Registers a request that runs with `key`, or without one on an open route.
    pub fn register(self: &Arc<Self>, key: Option<Arc<Key>>) -> Registration {
        let cancel = CancellationToken::new();
        let mut inner = self.inner.lock();
        inner.last_id += 1;
        let id = inner.last_id;
        inner.entries.insert(id, Entry { key, cancel: cancel.clone() });
        Registration { registry: self.clone(), id, cancel }
    }

    /// Cancels every request whose key is not in `state`; returns how many.
    pub fn cancel_withdrawn(&self, state: &State) -> usize {
        self.cancel_where(|key| !state.has_key(key))
    }

    /// Cancels every request that runs with a key; returns how many.
    pub fn cancel_keyed(&self) -> usize {
        self.cancel_where(|_| true)
    }

    /// Returns how many requests run.
    pub fn len(&self) -> usize {
        self.inner.lock().entries.len()
    }

    /// Returns whether no request runs.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn cancel_where(&self, matches: impl Fn(&Key) -> bool) -> usize {
        let inner = self.inner.lock();
        let entries = inner.entries.values();
        let matching = entries.filter(|entry| entry.key.as_deref().is_some_and(&matches));
        matching.inspect(|entry| entry.cancel.cancel()).count()
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.registry.inner.lock().entries.remove(&self.id);
    }
}
