//! One host's side of a lease on a role.
//!
//! All times are those of this process's monotonic clock. A holder counts the validity of its lease
//! from before the renewal was sent, and stops acting a margin before the end. Another host takes
//! the lease over once it has itself seen the record unchanged for the whole length plus a margin.
//! So two holders never overlap, unless one is paused between checking its lease and acting. A
//! lease on a role in which two hosts must never act sets `takeover_needs_evidence`: it changes
//! hands only on evidence that the old holder has ended, or on its release.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use wasabi_core::{
    data,
    errors::{self, Code, Error, Result},
    io::{self, Condition, Object, Store},
    time::Clock,
    units::{Epoch, Role, Version},
};

use crate::failure_detector::{FailureDetector, Process};

/// Attempts to write a release whose condition no longer holds.
const MAX_RELEASE_ATTEMPTS: usize = 3;

/// Parameters of a lease.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// How long the lease is valid after a renewal.
    pub length: Duration,
    /// The safety margin before and after the end of the lease.
    pub margin: Duration,
    /// Whether another process takes over only on evidence that the holder has ended.
    pub takeover_needs_evidence: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            length: Duration::from_secs(6),
            margin: Duration::from_secs(1),
            takeover_needs_evidence: false,
        }
    }
}

data! {
    /// The lease record in the object API.
    pub struct Record {
        /// The process that holds the role; `None` after a release.
        pub holder: Option<Process>,
        /// Grows by one with each change of holder.
        pub epoch: Epoch,
        /// Grows with each write, so that no two records are equal.
        pub renewal: u64,
    }
}

/// One host's side of one lease.
pub struct Lease {
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
    failure_detector: Arc<dyn FailureDetector>,
    role: Role,
    me: Process,
    options: Options,
    /// Held while a step or a release makes its calls.
    calls: Mutex<()>,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    /// The lease as last obtained, which may have expired; `None` if it is not held.
    held: Option<Held>,
    /// The version of another holder's record as last seen, and when it was first seen.
    seen: Option<(Version, Instant)>,
    /// Whether this process has ever tried to take the role.
    may_be_recorded: bool,
    /// Set once this process has released the role.
    released: bool,
}

#[derive(Clone, Copy)]
struct Held {
    epoch: Epoch,
    /// When this process must stop acting: a margin before the lease ends.
    until: Instant,
}

impl Lease {
    /// Creates a lease that is not held. Makes no call to the store.
    pub fn new(
        store: Arc<dyn Store>,
        clock: Arc<dyn Clock>,
        failure_detector: Arc<dyn FailureDetector>,
        role: Role,
        me: Process,
        options: Options,
    ) -> Self {
        let (calls, inner) = (Mutex::default(), Mutex::default());
        Self { store, clock, failure_detector, role, me, options, calls, inner }
    }

    /// The role that the lease is on.
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// The epoch, if this process holds the lease now.
    pub fn epoch(&self) -> Option<Epoch> {
        let held = self.inner.lock().held?;
        (self.clock.now() < held.until).then_some(held.epoch)
    }

    /// The epoch, or a `LeaseLost` error if this process does not hold the lease now.
    pub fn require(&self) -> Result<Epoch> {
        self.epoch().ok_or_else(|| Error::new(Code::LeaseLost, self.role.to_string()))
    }

    /// Takes, renews or observes the lease; call it about three times per lease length.
    pub fn step(&self) -> Result<()> {
        let _calls = self.calls.lock();
        let sent = self.clock.now();
        let found = self.store.get(&self.key())?;
        if self.inner.lock().released {
            return Ok(());
        }
        let Some(object) = found else { return self.write(sent, Condition::Absent, Epoch(1), 0) };
        let record: Record = io::parse(&object)?;
        let condition = Condition::At(object.version);
        if record.holder.as_ref() == Some(&self.me) {
            return self.write(sent, condition, record.epoch, record.renewal + 1);
        }
        self.inner.lock().held = None;
        if !self.may_take(&record, &object, sent) {
            return Ok(());
        }
        self.write(sent, condition, record.epoch + Epoch(1), record.renewal + 1)
    }

    /// Releases the lease, after a step that is in flight; this process does not take it again,
    /// even if the call fails.
    pub fn release(&self) -> Result<()> {
        {
            let mut inner = self.inner.lock();
            inner.released = true;
            inner.held = None;
        }
        let _calls = self.calls.lock();
        if !self.inner.lock().may_be_recorded {
            return Ok(());
        }
        for _ in 0..MAX_RELEASE_ATTEMPTS {
            match self.write_release() {
                // A renewal without a response may have taken effect since the record was read.
                Err(e) if e.code == Code::StoreConflict => {}
                done => return done,
            }
        }
        Err(errors::conflict(&self.key()))
    }

    /// Removes this process from the record, if it stands there.
    fn write_release(&self) -> Result<()> {
        let Some(object) = self.store.get(&self.key())? else { return Ok(()) };
        let record: Record = io::parse(&object)?;
        if record.holder.as_ref() != Some(&self.me) {
            return Ok(());
        }
        let free = Record { holder: None, epoch: record.epoch, renewal: record.renewal + 1 };
        self.put_record(&free, Condition::At(object.version)).map(|_| ())
    }

    /// Whether the lease may be taken: it was released, or its record has been unchanged for the
    /// length and a margin and, if `takeover_needs_evidence`, there is evidence that its holder has
    /// ended.
    fn may_take(&self, record: &Record, object: &Object, now: Instant) -> bool {
        let Some(holder) = &record.holder else { return true };
        let first_seen = {
            let mut inner = self.inner.lock();
            match inner.seen {
                Some((version, since)) if version == object.version => since,
                _ => {
                    inner.seen = Some((object.version, now));
                    now
                }
            }
        };
        let unchanged_for = now.saturating_duration_since(first_seen);
        if unchanged_for < self.options.length + self.options.margin {
            return false;
        }
        !self.options.takeover_needs_evidence || self.failure_detector.has_ended(holder)
    }

    fn write(&self, sent: Instant, condition: Condition, epoch: Epoch, renewal: u64) -> Result<()> {
        let record = Record { holder: Some(self.me.clone()), epoch, renewal };
        self.inner.lock().may_be_recorded = true;
        match self.put_record(&record, condition) {
            Ok(_) => {
                let until = sent + self.options.length.saturating_sub(self.options.margin);
                let mut inner = self.inner.lock();
                if !inner.released {
                    inner.held = Some(Held { epoch, until });
                }
                Ok(())
            }
            Err(e) if e.code == Code::StoreConflict => {
                self.inner.lock().held = None;
                Ok(())
            }
            Err(e) => Err(e),
        }
    }

    fn put_record(&self, record: &Record, condition: Condition) -> Result<Version> {
        let text = io::render(record);
        let is_own = |found: &Object| found.value == text;
        io::put_confirmed(&*self.store, &self.key(), &text, condition, is_own)
    }

    fn key(&self) -> String {
        key(&self.role)
    }
}

/// The key under which the record for `role` is stored.
pub fn key(role: &Role) -> String {
    format!("lease/{role}")
}
