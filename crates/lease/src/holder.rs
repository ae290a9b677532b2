//! One host's side of a lease.
//!
//! All times are this process's own monotonic clock. A holder counts its validity from before the
//! renewal was sent and stops a margin before the end. Another host takes over when it has itself
//! seen the record unchanged for the whole length and a margin. That keeps two holders from
//! overlapping unless one is paused between looking at its lease and acting; a role whose acts must
//! never come from two hosts is therefore `exact`, and changes hands only on evidence that the old
//! holder has ended or on its own release.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use wasabi_core::{
    data,
    errors::{Code, Error, Result},
    io::{self, Condition, Object, Store},
    time::Clock,
    units::{Epoch, Role, Version},
};

use crate::witness::{Process, Witness};

/// How a lease is kept.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// How long a renewal lasts.
    pub length: Duration,
    /// The distance kept on both sides of the end.
    pub margin: Duration,
    /// Whether the role changes hands only on evidence.
    pub exact: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self { length: Duration::from_secs(6), margin: Duration::from_secs(1), exact: false }
    }
}

data! {
    /// What the object API holds for a lease.
    pub struct Record {
        /// The process that holds the role; none after a release.
        pub holder: Option<Process>,
        /// Grows by one whenever the role changes hands.
        pub epoch: Epoch,
        /// Grows with each renewal, so that each has a text of its own.
        pub renewal: u64,
    }
}

/// One host's side of one lease.
pub struct Lease {
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
    witness: Arc<dyn Witness>,
    role: Role,
    me: Process,
    options: Options,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    /// Set while this process holds the lease.
    held: Option<Held>,
    /// The record as last seen, and when this version was first seen.
    seen: Option<(Version, Instant)>,
    /// Set once this process has stopped wanting the role.
    closed: bool,
}

#[derive(Clone, Copy)]
struct Held {
    epoch: Epoch,
    /// Never later than a margin before any other host may take over.
    until: Instant,
}

impl Lease {
    /// Gets a lease that is not held.
    pub fn new(
        store: Arc<dyn Store>,
        clock: Arc<dyn Clock>,
        witness: Arc<dyn Witness>,
        role: Role,
        me: Process,
        options: Options,
    ) -> Self {
        let inner = Mutex::new(Inner::default());
        Self { store, clock, witness, role, me, options, inner }
    }

    /// Returns the role.
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// Returns the epoch if this process holds the lease now.
    pub fn epoch(&self) -> Option<Epoch> {
        let held = self.inner.lock().held?;
        (self.clock.now() < held.until).then_some(held.epoch)
    }

    /// Returns the epoch, or the error that the lease is not held.
    pub fn require(&self) -> Result<Epoch> {
        self.epoch().ok_or_else(|| Error::new(Code::LeaseLost, self.role.to_string()))
    }

    /// Takes, renews or watches the lease; to be called about three times a length.
    pub fn step(&self) -> Result<()> {
        let sent = self.clock.now();
        let found = self.store.get(&self.key())?;
        if self.inner.lock().closed {
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

    /// Gives the lease back; it is not taken again.
    pub fn release(&self) -> Result<()> {
        let held = {
            let mut inner = self.inner.lock();
            inner.closed = true;
            inner.held.take()
        };
        let Some(held) = held else { return Ok(()) };
        let Some(object) = self.store.get(&self.key())? else { return Ok(()) };
        let record: Record = io::parse(&object)?;
        if record.holder.as_ref() != Some(&self.me) {
            return Ok(());
        }
        let free = Record { holder: None, epoch: held.epoch, renewal: record.renewal + 1 };
        let condition = Condition::At(object.version);
        self.store.put(&self.key(), &io::render(&free), condition).map(|_| ())
    }

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
        let quiet = now.saturating_duration_since(first_seen);
        if quiet < self.options.length + self.options.margin {
            return false;
        }
        !self.options.exact || self.witness.is_gone(holder)
    }

    fn write(&self, sent: Instant, condition: Condition, epoch: Epoch, renewal: u64) -> Result<()> {
        let record = Record { holder: Some(self.me.clone()), epoch, renewal };
        let text = io::render(&record);
        let mine = |found: &Object| found.value == text;
        match io::put_certain(&*self.store, &self.key(), &text, condition, mine) {
            Ok(_) => {
                let until = sent + self.options.length.saturating_sub(self.options.margin);
                let mut inner = self.inner.lock();
                if !inner.closed {
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

    fn key(&self) -> String {
        key(&self.role)
    }
}

/// Returns the key of the record for `role`.
pub fn key(role: &Role) -> String {
    format!("lease/{role}")
}
