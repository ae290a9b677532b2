//! The lease on the duties that one host performs at a time (usage reports and orders of backend
//! servers), as a state machine over the store's conditional writes. The caller makes the store
//! calls; the leases of `crates/lease`, which `crates/node` uses, make theirs themselves.
//!
//! The fencing token in the record grows with each change of holder. A platform that checks it refuses
//! late calls of a former holder; one that does not would carry them out. So the rules here hold
//! without that check: every call of a holder is over before another host can be the holder, and the
//! duties never alternate between two hosts within a lease length.

use std::time::{Duration, Instant};

use wasabi_core::{
    data,
    digest::digest,
    units::{Epoch, Era, HostId, Incarnation, Version},
};

data! {
    /// The lease record in the store.
    pub struct Record {
        /// The host that holds the duties; `None` after a release.
        pub holder: Option<HostId>,
        /// The process incarnation that wrote the record.
        pub incarnation: Incarnation,
        /// The fencing token; grows each time the lease is taken, also by the same host.
        pub fence: Epoch,
        /// The number of the renewal, one higher than that of the writer's last write known to
        /// have succeeded.
        pub renewal: u64,
    }
}

/// Durations that govern the lease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// How long the lease is valid after a renewal.
    pub length: Duration,
    /// The holder stops acting this long before the lease expires.
    pub margin: Duration,
    /// The interval between renewals, and between reads by other hosts.
    pub renew_interval: Duration,
    /// How long a host that lost the lease does not try to take it again.
    pub cooldown: Duration,
}

/// The store call to make next.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreCall {
    /// No call for now.
    Wait,
    /// Read the record.
    Read,
    /// Create the record.
    Create(Record),
    /// Replace the record if it is still at this version.
    Replace(Version, Record),
}

/// No more tokens are given out in an era of the store.
const TOKENS_PER_ERA: u64 = 1_000_000;
/// Later eras begin with the tokens of this one: platforms may hold tokens in 32 bits.
const LAST_ERA_OF_TOKENS: u64 = 4_000;
/// Hosts that try to take the duties at once when nobody is heard to hold them.
const FIRST_CANDIDATES: usize = 4;

/// Returns whether the host `me` may try to take the duties, `waited` after nobody was heard to hold
/// them any more. `others` are the other live hosts.
///
/// A few hosts, the same ones for all that know the same fleet, try at once; their number doubles each
/// second, in case they do not reach the store. All hosts of a large fleet at once would be most of the
/// store's calls when it comes back after an outage.
pub fn is_candidate<'a>(
    me: &HostId,
    others: impl Iterator<Item = &'a HostId>,
    waited: Duration,
) -> bool {
    let rank = |host: &HostId| digest(&("duties", host));
    let before = others.filter(|host| rank(host) > rank(me)).count();
    before >> waited.as_secs().min(u64::from(usize::BITS) - 1) < FIRST_CANDIDATES
}

/// The permission to make one call as the holder of the duties.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Permit {
    /// The fencing token of the call.
    pub fence: Epoch,
    /// When the call must be over: answered, or abandoned in a way that nothing of it can arrive
    /// later.
    pub until: Instant,
}

/// The lease as one host sees it.
#[derive(Clone, Debug)]
pub struct Lease {
    me: HostId,
    incarnation: Incarnation,
    times: Times,
    /// When this incarnation started. Former ones on this host may have held the duties until then.
    started_at: Instant,
    /// The record as last seen, and when its version was first seen.
    seen: Option<(Version, Record, Instant)>,
    /// When the record was last read; `None` if it must be read first.
    last_read: Option<Instant>,
    /// If held: the fencing token, and the expiry, one lease length after the last successful write
    /// was sent.
    held: Option<(Epoch, Instant)>,
    /// When the next renewal is due.
    renew_at: Option<Instant>,
    /// After losing the lease, when this host may try to take it again.
    cooldown_until: Option<Instant>,
    /// The highest fencing token that this host has heard of.
    highest_fence: Epoch,
    /// After a restore of the store, until when leases of the time before may be in force.
    restored_until: Option<Instant>,
    /// The highest renewal number that this incarnation is known to have written.
    last_renewal: u64,
    /// Calls under the lease that are not over; at most those of one holder.
    calls: usize,
    /// Whether the host is giving the duties back; from then on no call begins.
    releasing: bool,
}

impl Lease {
    /// Creates a lease that is not held and whose record has not been read, for an incarnation that
    /// started at `started_at`.
    pub fn new(me: HostId, incarnation: Incarnation, times: Times, started_at: Instant) -> Self {
        Self {
            me,
            incarnation,
            times,
            started_at,
            seen: None,
            last_read: None,
            held: None,
            renew_at: None,
            cooldown_until: None,
            highest_fence: Epoch(0),
            restored_until: None,
            last_renewal: 0,
            calls: 0,
            releasing: false,
        }
    }

    /// The fencing token, if this host may act now.
    pub fn fence(&self, now: Instant) -> Option<Epoch> {
        self.permit(now).map(|permit| permit.fence)
    }

    fn permit(&self, now: Instant) -> Option<Permit> {
        let (fence, expiry) = self.held.filter(|_| !self.releasing)?;
        (now + self.times.margin < expiry)
            .then(|| Permit { fence, until: expiry - self.times.margin })
    }

    /// Begins a call under the lease, if this host may act now. [`Lease::end_call`] must follow.
    pub fn begin_call(&mut self, now: Instant) -> Option<Permit> {
        let permit = self.permit(now)?;
        self.calls += 1;
        Some(permit)
    }

    /// Handles that a call is over, see [`Permit::until`].
    pub fn end_call(&mut self) {
        self.calls = self.calls.saturating_sub(1);
    }

    /// The next store call. A host that does not hold the duties tries to take them unless
    /// `leave_to_others`: a live peer announces that it holds them, or others try first.
    pub fn next_call(&self, now: Instant, leave_to_others: bool) -> StoreCall {
        if let Some((fence, until)) = self.held.filter(|(_, until)| now < *until) {
            let due = self.renew_at.is_none_or(|at| now >= at);
            return match &self.seen {
                Some((version, _, _)) if due => StoreCall::Replace(*version, self.record(fence)),
                None if now < until => StoreCall::Read,
                _ => StoreCall::Wait,
            };
        }
        let waits = [self.cooldown_until, self.restored_until];
        if waits.into_iter().flatten().any(|until| now < until) || leave_to_others {
            return StoreCall::Wait;
        }
        let recent = self
            .last_read
            .is_some_and(|at| now.saturating_duration_since(at) < self.times.renew_interval);
        match &self.seen {
            _ if self.last_read.is_none() => StoreCall::Read,
            None => StoreCall::Create(self.record(self.next_fence())),
            Some((version, record, since)) => {
                let expired = now.saturating_duration_since(*since) >= self.times.length;
                // After a lost answer, or after it lost the lease. What a former incarnation sent
                // may still arrive, so its lease has to expire.
                let is_own = record.holder.is_some() && record.incarnation == self.incarnation;
                // Another host may have taken the duties from a former incarnation of this one.
                let is_free = record.holder.is_none()
                    && now.saturating_duration_since(self.started_at) >= self.times.length;
                if expired || is_own || is_free {
                    return StoreCall::Replace(*version, self.record(self.next_fence()));
                }
                if recent { StoreCall::Wait } else { StoreCall::Read }
            }
        }
    }

    /// Handles the answer to a read; `None` if there is no record.
    pub fn on_read(&mut self, now: Instant, record: Option<(Version, Record)>) {
        self.last_read = Some(now);
        match record {
            None => self.seen = None,
            Some((version, record)) => self.observe(now, version, record),
        }
    }

    /// Handles the success of a write that was sent at `sent`.
    pub fn on_written(&mut self, now: Instant, sent: Instant, version: Version, record: Record) {
        self.last_renewal = self.last_renewal.max(record.renewal);
        let holds = record.holder.is_some();
        let fence = record.fence;
        self.observe(now, version, record);
        self.held = holds.then_some((fence, sent + self.times.length));
        self.renew_at = holds.then_some(sent + self.times.renew_interval);
    }

    /// Handles a write that was refused because the record had changed; `record` is the present
    /// one.
    ///
    /// If the present record was written by this incarnation, an earlier write whose answer was
    /// lost took effect: a held lease stays held until its known expiry.
    pub fn on_conflict(&mut self, now: Instant, record: Option<(Version, Record)>) {
        let Some((version, record)) = record else {
            self.last_read = None;
            self.drop_held(now);
            return;
        };
        let is_own = record.incarnation == self.incarnation && record.holder.is_some();
        self.observe(now, version, record);
        if !is_own {
            self.drop_held(now);
        }
    }

    /// Handles a write that got no answer, and so may take effect at any time: a holder repeats its
    /// renewal at once, another host reads the record again.
    pub fn on_unanswered(&mut self, now: Instant) {
        self.last_read = None;
        self.renew_at = Some(now);
    }

    /// Handles that the store was restored from an older copy. The record may be lost or that of an
    /// earlier holder, so nobody acts under it, and nobody takes the lease before every lease that
    /// was in force has expired.
    pub fn on_restored(&mut self, now: Instant) {
        self.held = None;
        self.renew_at = None;
        self.seen = None;
        self.last_read = None;
        self.restored_until = Some(now + self.times.length + self.times.margin);
    }

    /// Takes in the store's era: tokens that this host gives out are higher than all of earlier eras, also
    /// those that nobody remembers.
    pub fn note_era(&mut self, era: Era) {
        self.note_fence(Epoch(era.0.min(LAST_ERA_OF_TOKENS) * TOKENS_PER_ERA));
    }

    /// Records that a host was heard to hold the lease under `fence`: a token that is taken later is
    /// higher, also if the record of this one is lost.
    pub fn note_fence(&mut self, fence: Epoch) {
        self.highest_fence = self.highest_fence.max(fence);
    }

    /// The highest fencing token that this host has heard of.
    pub fn highest_fence(&self) -> Epoch {
        self.highest_fence
    }

    /// Handles a call that was refused because of its fencing token: the lease is lost.
    pub fn on_fenced(&mut self, now: Instant) {
        self.drop_held(now);
        self.last_read = None;
    }

    /// Begins to give the duties back: no call begins any more.
    pub fn begin_release(&mut self) {
        self.releasing = true;
    }

    /// The conditional write that gives the duties back; `None` while calls are not over, and if the
    /// lease is not held or about to expire.
    pub fn release_write(&self, now: Instant) -> Option<(Version, Record)> {
        let (fence, _) =
            self.held.filter(|(_, expiry)| self.calls == 0 && now + self.times.margin < *expiry)?;
        let (version, _, _) = self.seen.as_ref()?;
        Some((*version, Record { holder: None, ..self.record(fence) }))
    }

    /// Whether calls under the lease are not over.
    pub fn has_calls(&self) -> bool {
        self.calls > 0
    }

    /// Drops a held lease that has expired; returns whether there was one.
    pub fn expire(&mut self, now: Instant) -> bool {
        let over = self.held.is_some_and(|(_, until)| now >= until);
        if over {
            self.drop_held(now);
        }
        over
    }

    fn observe(&mut self, now: Instant, version: Version, record: Record) {
        let since = match &self.seen {
            Some((known, _, since)) if *known == version => *since,
            _ => now,
        };
        self.note_fence(record.fence);
        // The next renewal must change the record: a write that changes nothing renews it for nobody else.
        if record.incarnation == self.incarnation {
            self.last_renewal = self.last_renewal.max(record.renewal);
        }
        self.seen = Some((version, record, since));
    }

    fn next_fence(&self) -> Epoch {
        Epoch(self.highest_fence.0 + 1)
    }

    fn drop_held(&mut self, now: Instant) {
        if self.held.take().is_some() {
            self.cooldown_until = Some(now + self.times.cooldown);
        }
        self.renew_at = None;
    }

    fn record(&self, fence: Epoch) -> Record {
        Record {
            holder: Some(self.me.clone()),
            incarnation: self.incarnation.clone(),
            fence,
            renewal: self.last_renewal + 1,
        }
    }
}
