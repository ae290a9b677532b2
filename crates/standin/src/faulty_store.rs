//! In-memory object store whose calls fail as a test prescribes, for tests of state machines.

use std::{collections::VecDeque, time::Duration};

use parking_lot::Mutex;
use wasabi_core::{
    errors::{self, Code, Error, Result},
    io::{Condition, Object, Store, WatchResult},
    units::Version,
};

use crate::objects::{Objects, Outcome};

/// The prescribed result of one store call, and whether the call takes effect. A read fails unless
/// its result is `Success`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The call succeeds.
    Success,
    /// The call takes effect, but its response is lost.
    ResponseLost,
    /// The call is lost without effect.
    RequestLost,
    /// The call is refused by the rate limit, without effect.
    Busy,
    /// A `put` takes effect only at the next [`FaultyStore::apply_delayed_writes`]; a `delete`
    /// takes effect at once. The response to either is lost.
    Delayed,
}

/// An in-memory store with a prescribed result for each of the next calls.
#[derive(Default)]
pub struct FaultyStore {
    /// The objects; direct access does not use up a prescribed call.
    pub objects: Objects,
    results: Mutex<VecDeque<CallResult>>,
    delayed_writes: Mutex<Vec<(String, String, Condition)>>,
}

impl FaultyStore {
    /// Prescribes the next calls, in place of what was prescribed before; the calls after them
    /// succeed.
    pub fn prescribe(&self, results: impl IntoIterator<Item = CallResult>) {
        *self.results.lock() = results.into_iter().collect();
    }

    /// Applies the delayed writes, in their order; the condition of each is checked now.
    pub fn apply_delayed_writes(&self) {
        for (key, value, condition) in self.delayed_writes.lock().drain(..) {
            self.objects.put(&key, &value, condition);
        }
    }

    /// Removes and returns the prescribed result of the next call; fails if that call is lost or
    /// refused.
    fn next_result(&self) -> Result<CallResult> {
        match self.results.lock().pop_front().unwrap_or(CallResult::Success) {
            CallResult::RequestLost => Err(errors::unavailable("lost")),
            CallResult::Busy => Err(Error::new(Code::StoreBusy, "")),
            result => Ok(result),
        }
    }

    /// Fails unless the next call, a read, is to succeed.
    fn begin_read(&self) -> Result<()> {
        match self.next_result()? {
            CallResult::Success => Ok(()),
            _ => Err(errors::unavailable("lost")),
        }
    }
}

impl Store for FaultyStore {
    fn get(&self, key: &str) -> Result<Option<Object>> {
        self.begin_read()?;
        Ok(self.objects.get(key))
    }

    fn put(&self, key: &str, value: &str, condition: Condition) -> Result<Version> {
        let result = self.next_result()?;
        if result == CallResult::Delayed {
            let write = (key.to_string(), value.to_string(), condition);
            self.delayed_writes.lock().push(write);
            return Err(errors::unavailable("delayed"));
        }
        let outcome = self.objects.put(key, value, condition);
        match (result, outcome) {
            (CallResult::ResponseLost, _) => Err(errors::unavailable("the response is lost")),
            (_, Outcome::Written(version)) => Ok(version),
            _ => Err(errors::conflict(key)),
        }
    }

    fn delete(&self, key: &str, version: Version) -> Result<()> {
        let result = self.next_result()?;
        match (result, self.objects.delete(key, version)) {
            (CallResult::ResponseLost | CallResult::Delayed, _) => Err(errors::unavailable("lost")),
            (_, Outcome::Conflict) => Err(errors::conflict(key)),
            _ => Ok(()),
        }
    }

    fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Object>> {
        self.begin_read()?;
        Ok(self.objects.list(prefix, after, limit))
    }

    fn watch(&self, prefix: &str, since: Version, _wait: Duration) -> Result<WatchResult> {
        self.begin_read()?;
        Ok(self.objects.watch(prefix, since, Duration::ZERO))
    }
}
