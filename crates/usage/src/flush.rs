//! Writes a host's usage counts to the object API.
//!
//! A flush is identified by the host's incarnation and a sequence number, and the next one is
//! written only after the previous one is known to be stored. Repeating a write is harmless: each
//! usage window records the highest sequence number counted so far of each incarnation, so a flush
//! that is stored twice is counted once.

use std::sync::Arc;

use parking_lot::Mutex;
use wasabi_core::{
    data,
    errors::Result,
    io::{self, Condition, Object, Store, UsageLine},
    time::{self, Clock},
    units::Incarnation,
};

use crate::counter::Counter;

/// The prefix of the keys of flushes.
pub const PREFIX: &str = "usage/flush/";

/// Lines of one flush; keeps its object well under a megabyte.
const MAX_FLUSH_LINES: usize = 4_000;

data! {
    /// One host's counts for a period, as stored.
    pub struct Flush {
        /// The process incarnation that counted.
        pub incarnation: Incarnation,
        /// Sequence number of the flush within the incarnation, from 1.
        pub number: u64,
        /// When the period ended, in milliseconds from the Unix epoch.
        pub until_ms: u64,
        /// One line per workspace.
        pub lines: Vec<UsageLine>,
    }
}

/// Flushes the counts of one host.
pub struct Flusher {
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
    counter: Arc<Counter>,
    incarnation: Incarnation,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    /// The sequence number of the last stored flush.
    last_number: u64,
    /// A flush that is not yet known to be stored.
    pending: Option<Flush>,
}

impl Flusher {
    /// Creates a flusher that writes `counter` under `incarnation`, starting with number 1.
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
    /// After an error the counts are kept, and the next call retries them.
    pub fn flush(&self) -> Result<()> {
        let mut inner = self.inner.lock();
        loop {
            if inner.pending.is_none() {
                inner.pending = self.next_flush(inner.last_number + 1);
            }
            let Some(flush) = &inner.pending else { return Ok(()) };
            self.write(flush)?;
            inner.last_number = flush.number;
            inner.pending = None;
        }
    }

    /// Whether every count is known to be stored.
    pub fn is_done(&self) -> bool {
        self.inner.lock().pending.is_none() && self.counter.is_empty()
    }

    fn next_flush(&self, number: u64) -> Option<Flush> {
        let lines = self.counter.take(MAX_FLUSH_LINES);
        if lines.is_empty() {
            return None;
        }
        let until_ms = time::unix_ms(self.clock.wall());
        Some(Flush { incarnation: self.incarnation.clone(), number, until_ms, lines })
    }

    fn write(&self, flush: &Flush) -> Result<()> {
        let key = format!("{PREFIX}{}/{:012}", flush.incarnation, flush.number);
        let text = io::render(flush);
        let is_own = |found: &Object| found.value == text;
        io::put_confirmed(&*self.store, &key, &text, Condition::Absent, is_own).map(|_| ())
    }
}
