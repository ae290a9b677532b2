//! The object API in memory: versions, conditional writes, lists and watches.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use parking_lot::{Condvar, Mutex};
use wasabi_core::{
    io::{Batch, Condition, Object},
    units::Version,
};

/// Objects by key.
#[derive(Default)]
pub struct Objects {
    inner: Mutex<Inner>,
    written: Condvar,
}

#[derive(Default)]
struct Inner {
    version: Version,
    objects: BTreeMap<String, Object>,
    /// Every write, for checks.
    history: VecDeque<Object>,
}

/// How a write went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Written at this version.
    Written(Version),
    /// The condition did not hold.
    Conflict,
    /// The object to be removed is not there.
    Missing,
}

impl Objects {
    /// Gets an object.
    pub fn get(&self, key: &str) -> Option<Object> {
        self.inner.lock().objects.get(key).cloned()
    }

    /// Writes an object if the condition holds.
    pub fn put(&self, key: &str, value: &str, condition: Condition) -> Outcome {
        let mut inner = self.inner.lock();
        let present = inner.objects.get(key).map(|object| object.version);
        let holds = match condition {
            Condition::Absent => present.is_none(),
            Condition::At(version) => present == Some(version),
        };
        if !holds {
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

    /// Removes an object at a version.
    pub fn delete(&self, key: &str, version: Version) -> Outcome {
        let mut inner = self.inner.lock();
        match inner.objects.get(key).map(|object| object.version) {
            None => Outcome::Missing,
            Some(present) if present != version => Outcome::Conflict,
            Some(_) => {
                inner.objects.remove(key);
                inner.version += Version(1);
                Outcome::Written(inner.version)
            }
        }
    }

    /// Lists objects by key.
    pub fn list(&self, prefix: &str, after: &str, limit: usize) -> Vec<Object> {
        let inner = self.inner.lock();
        let from = inner.objects.range(prefix.to_string()..);
        let matching = from.take_while(|(key, _)| key.starts_with(prefix));
        let following = matching.filter(|(key, _)| key.as_str() > after);
        following.take(limit).map(|(_, object)| object.clone()).collect()
    }

    /// Waits for writes to keys with `prefix` after `since`; version 0 only asks for the present.
    pub fn watch(&self, prefix: &str, since: Version, wait: Duration) -> Batch {
        let end = Instant::now() + wait;
        let mut inner = self.inner.lock();
        loop {
            let news = |(key, object): &(&String, &Object)| {
                key.starts_with(prefix) && object.version > since
            };
            let mut objects: Vec<Object> = match since {
                Version(0) => Vec::new(),
                _ => inner.objects.iter().filter(news).map(|(_, object)| object.clone()).collect(),
            };
            objects.sort_by_key(|object| object.version);
            if !objects.is_empty() || Instant::now() >= end {
                return Batch { objects, version: inner.version };
            }
            self.written.wait_until(&mut inner, end);
        }
    }

    /// Returns every write ever made to keys with `prefix`.
    pub fn history(&self, prefix: &str) -> Vec<Object> {
        let inner = self.inner.lock();
        inner.history.iter().filter(|object| object.key.starts_with(prefix)).cloned().collect()
    }
}
