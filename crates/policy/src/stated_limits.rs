//! The rate limits that backend servers name, as this host knows them.
//!
//! A server names its limit in all its answers while it is in need. The limit ends when a later answer
//! names none: one to a request that was sent after the limit was last named. Without such an answer
//! it stays in force, however long ago it was named.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use wasabi_core::{
    data,
    units::{RequestRate, ServerId},
};

/// Statements about instances that are not listed any more are dropped after this time. Entries of
/// live servers may be missing from a list for seconds.
const RETENTION: Duration = Duration::from_secs(600);
/// The most instances with a statement; the oldest ones are forgotten first.
const MAX_STATEMENTS: usize = 4_096;

/// One run of a server: its id and the start of its process in milliseconds since the Unix epoch, 0 if
/// that is not known.
pub type Instance = (ServerId, u64);

data! {
    /// What a server last said of its limit, as one host tells another.
    pub struct Report {
        /// The server.
        pub server: ServerId,
        /// The start of its process, as in [`Instance`].
        pub born_ms: u64,
        /// The limit; `None` if it was lifted.
        pub rate: Option<RequestRate>,
        /// How many milliseconds ago the server said so.
        pub age_ms: u64,
    }
}

/// What an instance last said of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    /// The requests a second that it takes from all hosts together; `None` if it has lifted the
    /// limit.
    pub rate: Option<RequestRate>,
    /// When it said so; never later than it can have.
    pub at: Instant,
}

/// The statements of all instances that have ever named a limit.
#[derive(Debug, Default)]
pub struct View(BTreeMap<Instance, Statement>);

impl View {
    /// Whether no listed instance has ever named a limit.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The limit of an instance that is in force.
    pub fn limit(&self, instance: &Instance) -> Option<RequestRate> {
        self.0.get(instance)?.rate
    }

    /// The instances that have ever named a limit, each with the one in force.
    pub fn stated(&self) -> impl Iterator<Item = (&Instance, Option<RequestRate>)> {
        self.0.iter().map(|(instance, stated)| (instance, stated.rate))
    }

    /// The instances with a limit in force.
    pub fn limited(&self) -> impl Iterator<Item = (&Instance, RequestRate)> {
        self.0.iter().filter_map(|(instance, stated)| Some((instance, stated.rate?)))
    }

    /// At most `count` statements as reports, those that follow `after`, and then the first ones again.
    pub fn reports_following(
        &self,
        now: Instant,
        after: Option<&Instance>,
        count: usize,
    ) -> Vec<Report> {
        let later = self.0.iter().filter(|(instance, _)| Some(*instance) > after);
        let first = self.0.iter().filter(|(instance, _)| Some(*instance) <= after);
        let report = |((server, born_ms), stated): (&Instance, &Statement)| Report {
            server: server.clone(),
            born_ms: *born_ms,
            rate: stated.rate,
            age_ms: now.saturating_duration_since(stated.at).as_millis() as u64,
        };
        later.chain(first).take(count).map(report).collect()
    }

    /// Records an answer that an instance gave to a request sent at `sent`; `rate` is the limit that
    /// it names. Returns whether the limit in force has changed.
    pub fn record_answer(
        &mut self,
        now: Instant,
        instance: Instance,
        rate: Option<RequestRate>,
        sent: Instant,
    ) -> bool {
        match (rate, self.0.get(&instance)) {
            (None, None) => false,
            (None, Some(known)) if sent < known.at => false,
            _ => self.record(instance, Statement { rate, at: now }),
        }
    }

    /// Records a statement that a peer has passed on, unless a later one is known. Returns whether the
    /// limit in force has changed.
    pub fn merge(&mut self, instance: Instance, stated: Statement) -> bool {
        let known = self.0.get(&instance);
        if known.is_some_and(|known| known.at >= stated.at) {
            return false;
        }
        self.record(instance, stated)
    }

    /// Drops old statements of instances other than those that `is_listed` accepts.
    pub fn retain(&mut self, now: Instant, is_listed: impl Fn(&Instance) -> bool) {
        self.0.retain(|instance, stated| {
            is_listed(instance) || now.saturating_duration_since(stated.at) < RETENTION
        });
    }

    fn record(&mut self, instance: Instance, stated: Statement) -> bool {
        if self.0.len() >= MAX_STATEMENTS && !self.0.contains_key(&instance) {
            let oldest = self.0.iter().min_by_key(|(_, stated)| stated.at);
            let oldest = oldest.map(|(instance, _)| instance.clone());
            oldest.and_then(|instance| self.0.remove(&instance));
        }
        let before = self.0.insert(instance, stated);
        before.and_then(|before| before.rate) != stated.rate
    }
}
