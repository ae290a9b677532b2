//! The lease on the duties, as a state machine over the store's conditional writes.
//!
//! The fencing number in the record grows with each change of hands, so late calls of a former
//! holder are refused. The times here keep two live hosts from acting in turns.

use std::time::{Duration, Instant};

use wasabi_core::{
    data,
    units::{Epoch, HostId, Incarnation, Version},
};

data! {
    /// The record in the store.
    pub struct Record {
        /// Who holds the duties; none if they were given back.
        pub holder: Option<HostId>,
        /// Which life of the holder.
        pub incarnation: Incarnation,
        /// Grows each time that the duties change hands.
        pub fence: Epoch,
        /// Grows with each renewal, so that no two writes are alike.
        pub renewal: u64,
    }
}

/// Times of the lease, from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// How long a lease lasts after the last renewal.
    pub length: Duration,
    /// How long before its end the holder stops acting.
    pub margin: Duration,
    /// How often the holder renews.
    pub renew: Duration,
    /// How long a host that lost the lease stays away from it.
    pub away: Duration,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Nothing for now.
    Wait,
    /// Read the record.
    Read,
    /// Create the record.
    Create(Record),
    /// Replace the record that is at this version.
    Replace(Version, Record),
}

/// One host's view of the lease.
#[derive(Debug)]
pub struct Lease {
    me: HostId,
    incarnation: Incarnation,
    times: Times,
    /// The record as last seen, and since when it has been seen unchanged.
    seen: Option<(Version, Record, Instant)>,
    /// When the record was last read; none if it must be read now.
    read: Option<Instant>,
    /// Valid until the time given, counted from before the write that proved it.
    held: Option<(Epoch, Instant)>,
    /// When the holder has to renew.
    renew_at: Option<Instant>,
    /// Until when this host stays away.
    away_until: Option<Instant>,
    renewals: u64,
}

impl Lease {
    /// Gets a lease that nobody is known to hold.
    pub fn new(me: HostId, incarnation: Incarnation, times: Times) -> Self {
        Self {
            me,
            incarnation,
            times,
            seen: None,
            read: None,
            held: None,
            renew_at: None,
            away_until: None,
            renewals: 0,
        }
    }

    /// Returns the fencing number if this host may act.
    pub fn fence(&self, now: Instant) -> Option<Epoch> {
        self.held.filter(|(_, until)| now + self.times.margin < *until).map(|(fence, _)| fence)
    }

    /// Returns what to do, given whether a live peer says that it holds the duties.
    pub fn step(&self, now: Instant, peer_holds: bool) -> Step {
        if let Some((fence, until)) = self.held.filter(|(_, until)| now < *until) {
            let due = self.renew_at.is_none_or(|at| now >= at);
            return match &self.seen {
                Some((version, _, _)) if due => Step::Replace(*version, self.record(fence)),
                None if now < until => Step::Read,
                _ => Step::Wait,
            };
        }
        if self.away_until.is_some_and(|until| now < until) || peer_holds {
            return Step::Wait;
        }
        let recent =
            self.read.is_some_and(|at| now.saturating_duration_since(at) < self.times.renew);
        match &self.seen {
            _ if self.read.is_none() => Step::Read,
            None => Step::Create(self.record(Epoch(1))),
            Some((version, record, since)) => {
                let expired = now.saturating_duration_since(*since) >= self.times.length;
                // A former life of this host cannot act any more.
                let mine = record.holder.as_ref() == Some(&self.me);
                if expired || mine || record.holder.is_none() {
                    return Step::Replace(*version, self.record(Epoch(record.fence.0 + 1)));
                }
                if recent { Step::Wait } else { Step::Read }
            }
        }
    }

    /// Takes in the record as read; none if there is none.
    pub fn read(&mut self, now: Instant, record: Option<(Version, Record)>) {
        self.read = Some(now);
        match record {
            None => self.seen = None,
            Some((version, record)) => self.see(now, version, record),
        }
    }

    /// Takes in that a write sent at `sent` took effect.
    pub fn written(&mut self, now: Instant, sent: Instant, version: Version, record: Record) {
        self.renewals = self.renewals.max(record.renewal);
        let holds = record.holder.is_some();
        let fence = record.fence;
        self.see(now, version, record);
        self.held = holds.then_some((fence, sent + self.times.length));
        self.renew_at = holds.then_some(sent + self.times.renew);
    }

    /// Takes in that a write was refused since the record had changed.
    ///
    /// If the record is this host's own, an earlier write whose answer was lost took effect.
    pub fn refused(&mut self, now: Instant, record: Option<(Version, Record)>) {
        let Some((version, record)) = record else {
            self.read = None;
            self.lose(now);
            return;
        };
        let mine = record.incarnation == self.incarnation && record.holder.is_some();
        self.see(now, version, record);
        if !mine {
            self.lose(now);
        }
    }

    /// Takes in that a write got no answer: it may take effect at any time.
    pub fn unanswered(&mut self, now: Instant) {
        self.read = None;
        self.renew_at = Some(now);
    }

    /// Takes in that a call was refused for its fencing number.
    pub fn fenced(&mut self, now: Instant) {
        self.lose(now);
        self.read = None;
    }

    /// Returns the write that gives the duties back, if this host holds them.
    pub fn release(&self, now: Instant) -> Option<(Version, Record)> {
        let fence = self.fence(now)?;
        let (version, _, _) = self.seen.as_ref()?;
        Some((*version, Record { holder: None, ..self.record(fence) }))
    }

    /// Drops an expired hold; returns whether there was one.
    pub fn expire(&mut self, now: Instant) -> bool {
        let over = self.held.is_some_and(|(_, until)| now >= until);
        if over {
            self.lose(now);
        }
        over
    }

    fn see(&mut self, now: Instant, version: Version, record: Record) {
        let since = match &self.seen {
            Some((known, _, since)) if *known == version => *since,
            _ => now,
        };
        self.seen = Some((version, record, since));
    }

    fn lose(&mut self, now: Instant) {
        if self.held.take().is_some() {
            self.away_until = Some(now + self.times.away);
        }
        self.renew_at = None;
    }

    fn record(&self, fence: Epoch) -> Record {
        Record {
            holder: Some(self.me.clone()),
            incarnation: self.incarnation.clone(),
            fence,
            renewal: self.renewals + 1,
        }
    }
}
