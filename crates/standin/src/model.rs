//! A store in this process whose calls fail as a test says, for tests of state machines.

use std::{collections::VecDeque, time::Duration};

use parking_lot::Mutex;
use wasabi_core::{
    errors::{self, Code, Error, Result},
    io::{Batch, Condition, Object, Store},
    units::Version,
};

use crate::objects::{Objects, Outcome};

/// How one call goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// As it should.
    Well,
    /// It takes effect and its answer is lost.
    AnswerLost,
    /// It is lost.
    Lost,
    /// It is refused for the rate limit.
    Busy,
    /// A write takes effect only at the next `release`; its answer is lost.
    Delayed,
}

/// The object API in memory, with fates for the calls to come.
#[derive(Default)]
pub struct Model {
    /// The objects.
    pub objects: Objects,
    fates: Mutex<VecDeque<Fate>>,
    delayed: Mutex<Vec<(String, String, Condition)>>,
}

impl Model {
    /// Sets the fates of the next calls; later ones go well.
    pub fn fates(&self, fates: impl IntoIterator<Item = Fate>) {
        *self.fates.lock() = fates.into_iter().collect();
    }

    /// Lets delayed writes take effect.
    pub fn release(&self) {
        for (key, value, condition) in self.delayed.lock().drain(..) {
            self.objects.put(&key, &value, condition);
        }
    }

    fn fate(&self) -> Result<Fate> {
        match self.fates.lock().pop_front().unwrap_or(Fate::Well) {
            Fate::Lost => Err(errors::unavailable("lost")),
            Fate::Busy => Err(Error::new(Code::StoreBusy, "")),
            fate => Ok(fate),
        }
    }

    fn reading(&self) -> Result<()> {
        match self.fate()? {
            Fate::Well => Ok(()),
            _ => Err(errors::unavailable("lost")),
        }
    }
}

impl Store for Model {
    fn get(&self, key: &str) -> Result<Option<Object>> {
        self.reading()?;
        Ok(self.objects.get(key))
    }

    fn put(&self, key: &str, value: &str, condition: Condition) -> Result<Version> {
        let fate = self.fate()?;
        if fate == Fate::Delayed {
            let write = (key.to_string(), value.to_string(), condition);
            self.delayed.lock().push(write);
            return Err(errors::unavailable("delayed"));
        }
        let outcome = self.objects.put(key, value, condition);
        match (fate, outcome) {
            (Fate::AnswerLost, _) => Err(errors::unavailable("the answer is lost")),
            (_, Outcome::Written(version)) => Ok(version),
            _ => Err(errors::conflict(key)),
        }
    }

    fn delete(&self, key: &str, version: Version) -> Result<()> {
        let fate = self.fate()?;
        match (fate, self.objects.delete(key, version)) {
            (Fate::AnswerLost | Fate::Delayed, _) => Err(errors::unavailable("lost")),
            (_, Outcome::Conflict) => Err(errors::conflict(key)),
            _ => Ok(()),
        }
    }

    fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Object>> {
        self.reading()?;
        Ok(self.objects.list(prefix, after, limit))
    }

    fn watch(&self, prefix: &str, since: Version, _wait: Duration) -> Result<Batch> {
        self.reading()?;
        Ok(self.objects.watch(prefix, since, Duration::ZERO))
    }
}
