//! In-memory object store: versions, conditional writes, lists and watches.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use parking_lot::{Condvar, Mutex};
use wasabi_core::{
    io::{Condition, Object, WatchResult},
    units::Version,
};

/// An in-memory object store.
#[derive(Default)]
pub struct Objects {
    inner: Mutex<Inner>,
    written: Condvar,
}

#[derive(Default)]
struct Inner {
    /// The version of the last write or deletion.
    version: Version,
    objects: BTreeMap<String, Object>,
    /// Every `put` that took effect, in its order.
    history: VecDeque<Object>,
}

/// The result of a write or deletion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The write or deletion took effect at this version.
    Written(Version),
    /// The condition did not hold, so it had no effect.
    Conflict,
    /// The object to delete does not exist.
    Missing,
}

impl Objects {
    /// Returns the object at `key`, if it exists.
    pub fn get(&self, key: &str) -> Option<Object> {
        self.inner.lock().objects.get(key).cloned()
    }

    /// Writes an object if the condition holds.
    pub fn put(&self, key: &str, value: &str, condition: Condition) -> Outcome {
        let mut inner = self.inner.lock();
        let current = inner.objects.get(key).map(|object| object.version);
        let condition_holds = match condition {
            Condition::Absent => current.is_none(),
            Condition::At(version) => current == Some(version),
        };
        if !condition_holds {
            return Outcome::Conflict;
        }
        inner.version += Version(1);
        let version = inner.version;
        let object = Object { key: key.to_string(), version, value: value.to_string() };
        inner.history.push_back(object.clone());
        inner.objects.insert(key.to_string(), object);
        drop(inner);
        self.written.notify_all();
        Outcome::Written(version)
    }

    /// Deletes an object if it still has `version`.
    pub fn delete(&self, key: &str, version: Version) -> Outcome {
        let mut inner = self.inner.lock();
        match inner.objects.get(key).map(|object| object.version) {
            None => Outcome::Missing,
            Some(current) if current != version => Outcome::Conflict,
            Some(_) => {
                inner.objects.remove(key);
                inner.version += Version(1);
                Outcome::Written(inner.version)
            }
        }
    }

    /// Returns up to `limit` objects whose keys start with `prefix` and are greater than `after`,
    /// by key.
    pub fn list(&self, prefix: &str, after: &str, limit: usize) -> Vec<Object> {
        let inner = self.inner.lock();
        let from = inner.objects.range(prefix.to_string()..);
        let matching = from.take_while(|(key, _)| key.starts_with(prefix));
        let after_key = matching.filter(|(key, _)| key.as_str() > after);
        after_key.take(limit).map(|(_, object)| object.clone()).collect()
    }

    /// Returns the objects with `prefix` written after `since`, by version; waits up to `wait`
    /// until there is one.
    ///
    /// With `since` 0 it always waits for `wait`, then returns the current version without objects.
    /// Deletions are not reported.
    pub fn watch(&self, prefix: &str, since: Version, wait: Duration) -> WatchResult {
        let end = Instant::now() + wait;
        let mut inner = self.inner.lock();
        loop {
            let newer = |(key, object): &(&String, &Object)| {
                key.starts_with(prefix) && object.version > since
            };
            let mut objects: Vec<Object> = match since {
                Version(0) => Vec::new(),
                _ => inner.objects.iter().filter(newer).map(|(_, object)| object.clone()).collect(),
            };
            objects.sort_by_key(|object| object.version);
            if !objects.is_empty() || Instant::now() >= end {
                return WatchResult { objects, version: inner.version };
            }
            self.written.wait_until(&mut inner, end);
        }
    }

    /// Returns every `put` to keys with `prefix` that took effect, in its order.
    pub fn history(&self, prefix: &str) -> Vec<Object> {
        let inner = self.inner.lock();
        inner.history.iter().filter(|object| object.key.starts_with(prefix)).cloned().collect()
    }
}
