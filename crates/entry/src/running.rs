//! The requests that run on this host, so that they can be counted and cut.

use std::{collections::HashMap, sync::Arc};

use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;
use wasabi_config::state::State;
use wasabi_core::{note::Key, units::WorkspaceId};

/// All requests that run.
#[derive(Default)]
pub struct Registry {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    next: u64,
    entries: HashMap<u64, Entry>,
    by_workspace: HashMap<WorkspaceId, u32>,
}

struct Entry {
    /// None on routes open to all.
    key: Option<Arc<Key>>,
    workspace: WorkspaceId,
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
    pub fn enter(self: &Arc<Self>, key: Option<Arc<Key>>, workspace: WorkspaceId) -> Running {
        let cut = CancellationToken::new();
        let mut inner = self.inner.lock();
        inner.next += 1;
        let number = inner.next;
        *inner.by_workspace.entry(workspace.clone()).or_default() += 1;
        inner.entries.insert(number, Entry { key, workspace, cut: cut.clone() });
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

    /// Returns how many requests of a workspace run.
    pub fn of_workspace(&self, workspace: &WorkspaceId) -> u32 {
        self.inner.lock().by_workspace.get(workspace).copied().unwrap_or(0)
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
        let mut inner = self.registry.inner.lock();
        let Some(entry) = inner.entries.remove(&self.number) else { return };
        let Some(count) = inner.by_workspace.get_mut(&entry.workspace) else { return };
        *count -= 1;
        if *count == 0 {
            inner.by_workspace.remove(&entry.workspace);
        }
    }
}
