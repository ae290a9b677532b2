//! Writing a host's counts into the object API.
//!
//! A flush is named by the incarnation and a number that grows by one, and the next one is written
//! only after the last is known to be there. Repeating a write is harmless: windows remember the
//! highest number that they took in of each incarnation.

use std::sync::Arc;

use parking_lot::Mutex;
use wasabi_core::{
    data,
    errors::Result,
    io::{self, Condition, Line, Object, Store},
    time::{self, Clock},
    units::Incarnation,
};

use crate::counter::Counter;

/// The prefix of the keys of flushes.
pub const PREFIX: &str = "usage/flush/";

/// Keeps a flush well under a megabyte.
const MAX_LINES: usize = 4_000;

data! {
    /// One host's counts for a period.
    pub struct Flush {
        /// Which life of which host counted.
        pub incarnation: Incarnation,
        /// Grows by one with each flush of the incarnation, from 1.
        pub number: u64,
        /// When the period ended, in milliseconds from the Unix epoch.
        pub until_ms: u64,
        /// One line a workspace.
        pub lines: Vec<Line>,
    }
}

/// Flushes one host's counts.
pub struct Flusher {
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
    counter: Arc<Counter>,
    incarnation: Incarnation,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    /// The number of the last flush made.
    number: u64,
    /// A flush that is not yet known to be there.
    pending: Option<Flush>,
}

impl Flusher {
    /// Gets a flusher for the counts of `incarnation`.
    pub fn new(
        store: Arc<dyn Store>,
        clock: Arc<dyn Clock>,
        counter: Arc<Counter>,
        incarnation: Incarnation,
    ) -> Self {
        Self { store, clock, counter, incarnation, inner: Mutex::new(Inner::default()) }
    }

    /// Flushes everything that was counted before the call.
    ///
    /// After an error the counts are kept and the next call goes on with them.
    pub fn step(&self) -> Result<()> {
        let mut inner = self.inner.lock();
        loop {
            if inner.pending.is_none() {
                inner.pending = self.gather(inner.number + 1);
            }
            let Some(flush) = &inner.pending else { return Ok(()) };
            self.write(flush)?;
            inner.number = flush.number;
            inner.pending = None;
        }
    }

    /// Returns whether every count is known to be in the object API.
    pub fn is_done(&self) -> bool {
        self.inner.lock().pending.is_none() && self.counter.is_empty()
    }

    fn gather(&self, number: u64) -> Option<Flush> {
        let lines = self.counter.take(MAX_LINES);
        if lines.is_empty() {
            return None;
        }
        let until_ms = time::unix_ms(self.clock.wall());
        Some(Flush { incarnation: self.incarnation.clone(), number, until_ms, lines })
    }

    fn write(&self, flush: &Flush) -> Result<()> {
        let key = format!("{PREFIX}{}/{:012}", flush.incarnation, flush.number);
        let text = io::render(flush);
        let mine = |found: &Object| found.value == text;
        io::put_certain(&*self.store, &key, &text, Condition::Absent, mine).map(|_| ())
    }
}
