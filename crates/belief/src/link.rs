//! Whether this host's own link to the backend servers works.
//!
//! Servers that fail one by one are the servers' matter. If no server answers this host any more while
//! its peers go on reaching them, it is the link, and another host has to serve the callers.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use wasabi_core::{data, units::ServerId};

/// Without an answer in between, failures at this many servers put the link under suspicion.
const MIN_FAILED_SERVERS: usize = 2;
/// A suspicion is left to the answers of other requests for this long before servers are probed.
const PROBE_DELAY: Duration = Duration::from_millis(150);
/// A peer must have been answered this long after the first failure to show that the servers can be
/// reached: when they all fail, the last answers of peers are about as old as the failure.
const PEER_MARGIN: Duration = Duration::from_millis(300);

data! {
    /// What a host announces of its own link.
    #[derive(Copy, Default)]
    pub struct Report {
        /// The age of the last answer of any server, in milliseconds.
        pub answered_ms: Option<u64>,
        /// Whether the host has found itself cut off from all servers.
        pub cut: bool,
    }
}

/// The connection that a server answered or failed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// It has brought no answer before.
    New,
    /// It has brought an answer before.
    Established,
}

/// The servers that failed this host since the last answer.
#[derive(Debug, Default)]
struct Failures {
    servers: BTreeSet<ServerId>,
    /// When the first of them failed; `None` if there is none.
    since: Option<Instant>,
}

/// The state of the link.
///
/// A partition may leave connections alive and refuse new ones, so those are judged by themselves: an
/// answer on an established connection does not clear failures of new ones.
#[derive(Debug, Default)]
pub struct Link {
    new: Failures,
    established: Failures,
    answered_at: Option<Instant>,
    /// Since when the link is known to be cut.
    cut_since: Option<Instant>,
    /// Whether somebody has waited since the last answer to learn if the link is cut.
    awaited: bool,
}

impl Link {
    /// Records an answer of a server; returns for how long the link was cut, if this ends the cut.
    pub fn record_answer(&mut self, now: Instant, connection: Connection) -> Option<Duration> {
        self.answered_at = Some(now);
        self.awaited = false;
        self.established = Failures::default();
        if connection == Connection::Established {
            return None;
        }
        self.new = Failures::default();
        self.cut_since.take().map(|since| now.saturating_duration_since(since))
    }

    /// Records that a server could not be connected, broke the connection or showed no progress.
    pub fn record_failure(&mut self, now: Instant, server: &ServerId, connection: Connection) {
        let failures = match connection {
            Connection::New => &mut self.new,
            Connection::Established => &mut self.established,
        };
        failures.since.get_or_insert(now);
        failures.servers.insert(server.clone());
    }

    /// Records that a probed server has not answered. While nobody waits for a verdict, probes only find out
    /// whether a server answers.
    pub fn record_failed_probe(&mut self, now: Instant, server: &ServerId) {
        if self.awaited {
            self.record_failure(now, server, Connection::New);
        }
    }

    /// Whether servers may have to be probed now or later: one has failed since the last answer, or the link
    /// is cut.
    pub fn is_in_doubt(&self) -> bool {
        self.is_cut() || self.failing_since().is_some()
    }

    /// Asks for a verdict although one server may be all that has failed: a request that may not be sent
    /// again finds no second. Returns whether it is open: a server has failed since the last answer.
    pub fn await_verdict(&mut self) -> bool {
        let failing = self.failing_since().is_some();
        self.awaited |= failing;
        failing
    }

    fn failing_since(&self) -> Option<Instant> {
        self.new.since.into_iter().chain(self.established.since).min()
    }

    /// Since when servers have failed so that the link may be the cause; `known_servers` is how many
    /// servers there are.
    pub fn suspected_since(&self, known_servers: usize) -> Option<Instant> {
        let needed = MIN_FAILED_SERVERS.min(known_servers.max(1));
        let failed = self.new.servers.union(&self.established.servers).count();
        self.failing_since().filter(|_| failed >= needed)
    }

    /// Whether servers should be probed now: the link is suspected or cut, or a verdict is awaited.
    pub fn needs_probe(&self, now: Instant, known_servers: usize) -> bool {
        let suspected = match self.awaited {
            true => self.failing_since(),
            false => self.suspected_since(known_servers),
        };
        self.is_cut()
            || suspected.is_some_and(|since| now.saturating_duration_since(since) >= PROBE_DELAY)
    }

    /// Whether a peer that was last answered at `answered_at` shows that servers can be reached which
    /// this host does not reach.
    pub fn is_outdone_by(&self, answered_at: Instant, known_servers: usize) -> bool {
        self.suspected_since(known_servers).is_some_and(|since| answered_at >= since + PEER_MARGIN)
    }

    /// Records that no probed server has answered. `peers_answered_at` are the times at which peers were
    /// last answered. Returns whether the link has just been found to be cut.
    pub fn record_unanswered_probes(
        &mut self,
        now: Instant,
        peers_answered_at: impl IntoIterator<Item = Instant>,
        known_servers: usize,
    ) -> bool {
        let outdone = peers_answered_at.into_iter().any(|at| self.is_outdone_by(at, known_servers));
        if self.is_cut() || !outdone {
            return false;
        }
        self.cut_since = Some(now);
        true
    }

    /// Whether this host is known to be cut off from all servers.
    pub fn is_cut(&self) -> bool {
        self.cut_since.is_some()
    }

    /// What to announce.
    pub fn report(&self, now: Instant) -> Report {
        let age = self.answered_at.map(|at| now.saturating_duration_since(at));
        Report { answered_ms: age.map(|age| age.as_millis() as u64), cut: self.is_cut() }
    }
}
