//! Requests that crash the backend servers which run them, found by what they have in common.
//!
//! A run that its server breaks off is evidence against each feature of its request, and one that ends
//! well clears them all. Servers crash for other reasons too, so each crash is put down to the feature that
//! explains the most crashes; a feature that explains several is quarantined, and requests with it are
//! refused. Features that always came together are quarantined together: a request with some of them only is sent,
//! and its run narrows down the cause. After a while a single request is let through again.

mod evidence;
mod judge;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use wasabi_core::{
    errors::{Code, Error},
    units::PoolId,
};

pub use evidence::{
    BrokenRun, Combination, ControlReport, Evidence, Feature, ProofReport, RunReport,
};
use evidence::{Controls, Proofs};

/// A server that has generated for this long does not crash for the request that it runs: those that
/// do so crash it when it begins to generate.
pub const SOUND_AFTER: Duration = Duration::from_secs(1);
/// The least time from the last crash until a request with a quarantined feature is let through; twice
/// that on the host that waits longest.
pub const QUARANTINE: Duration = Duration::from_secs(300);
/// The same if different requests explain the crashes equally well, or if they may have been an outage: they are
/// of one moment, or the service ran nothing well meanwhile.
pub const PROVISIONAL_QUARANTINE: Duration = Duration::from_secs(5);
/// How many times longer the host that waits longest then waits than the first one.
const PROVISIONAL_SPREAD: f64 = 10.0;
/// How long the outcome of a request that was let through is awaited before the next one.
const PROBE_TIMEOUT: Duration = Duration::from_secs(30);
/// The least time between two judgements: in an outage, runs break off all the time.
const MIN_JUDGE_INTERVAL: Duration = Duration::from_millis(20);
/// Broken runs are forgotten after this time.
const RETENTION: Duration = Duration::from_secs(3_600);
/// The most broken runs that are kept.
const MAX_RUNS: usize = 512;
/// The most features of a run that are kept, the first ones of its request.
const MAX_FEATURES: usize = 32;
/// How often a host announces a run or a proof of its own, as datagrams are lost.
const REPEATS: u32 = 3;
/// The most new runs, and the most new proofs, in one announcement.
const MAX_NEW: usize = 8;
/// The runs of quarantined features that each announcement repeats, in turn, for hosts that start.
const REPEATED_RUNS: usize = 1;
/// That a service runs requests well is told for so long: longer than the announcements between the domains
/// of a large fleet are apart.
const CONTROL_REPORT_AGE: Duration = Duration::from_secs(2);

/// Why features are quarantined.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quarantine {
    /// The crashes that each of them explains. Those of one moment count once if runs with it have ended well
    /// before: with a feature that many requests have, an outage breaks runs on many servers.
    pub crashes: usize,
    /// The moments of these crashes.
    moments: usize,
    /// Whether the service ran requests without them well between the first crash and the last: else it may
    /// have broken off everything.
    controlled: bool,
    /// Whether other requests explain the crashes as well.
    ambiguous: bool,
    /// When the first of the crashes was.
    first: Instant,
    /// When the last of the crashes was.
    last: Instant,
}

/// Features whose quarantine began or ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The features.
    pub features: Combination,
    /// The quarantine; `None` if it ended.
    pub quarantine: Option<Quarantine>,
}

/// Why a request may not be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// The quarantined features that it has.
    pub features: Combination,
    /// The crashes that they explain.
    pub crashes: usize,
    /// How long the quarantine lasts on this host.
    pub wait: Duration,
}

impl Refusal {
    /// Returns the error for the caller.
    pub fn error(&self) -> Error {
        let detail = format!("{} crashes are put down to {}", self.crashes, self.features);
        Error::new(Code::Quarantined, detail).retry_after(self.wait)
    }
}

/// What this host knows of runs that broke off, and what is quarantined for it.
#[derive(Debug, Default)]
pub struct View {
    /// From 0 to 1: how long this host waits after a quarantine, so that hosts try one after the other.
    spread: f64,
    /// In the order in which they became known.
    runs: VecDeque<BrokenRun>,
    proofs: Proofs,
    /// Runs that ended well since servers of a service have crashed.
    controls: BTreeMap<PoolId, Controls>,
    quarantined: BTreeMap<Combination, Quarantine>,
    /// When a request with each quarantined feature was last let through.
    probes: BTreeMap<Feature, Instant>,
    /// Whether anything has changed since the crashes were last put down to features.
    stale: bool,
    /// When the crashes were last put down to features.
    judged_at: Option<Instant>,
    /// When features that explain enough crashes will have settled.
    settled_at: Option<Instant>,
    announcements: Announcements,
}

/// What is yet to be announced.
#[derive(Debug, Default)]
struct Announcements {
    /// Own runs, and how often each is still to be announced.
    runs: VecDeque<(u64, u32)>,
    /// Features that own runs have cleared, and how often that is still to be announced.
    proofs: BTreeMap<Feature, u32>,
    /// The position among the runs of quarantined features at which the next round begins.
    next_repeated: usize,
}

impl View {
    /// Creates a view without evidence; `spread`, from 0 to 1, should differ from host to host.
    pub fn new(spread: f64) -> Self {
        Self { spread, ..Self::default() }
    }

    /// Records a run of this host that its server broke off; it will be announced.
    pub fn record_broken(&mut self, run: BrokenRun) {
        // Hosts that tell all evidence at a time never take from the queue.
        if self.announcements.runs.len() >= MAX_RUNS {
            self.announcements.runs.pop_front();
        }
        self.announcements.runs.push_back((run.id, REPEATS));
        self.stale |= self.add(run);
    }

    /// Records that a run with these features has ended well, or has generated for long enough.
    pub fn record_sound(&mut self, now: Instant, service: &PoolId, features: &[Feature]) {
        if self.runs.iter().any(|run| run.service == *service) {
            self.controls.entry(service.clone()).or_default().record(now, Some(features));
        }
        for feature in features {
            let clears = |run: &BrokenRun| {
                run.features.contains(feature)
                    && self.proofs.get(*feature).is_none_or(|proof| proof < run.ended)
            };
            if self.runs.iter().any(clears) {
                self.announcements.proofs.insert(*feature, REPEATS);
                self.stale = true;
            }
            self.proofs.record(*feature, now);
        }
    }

    /// Merges what another host knows. Its proofs count as made at the earliest time possible, and are
    /// ignored without a bound on the age of the message, `earliest_send`.
    pub fn merge(&mut self, now: Instant, evidence: Evidence, earliest_send: Option<Instant>) {
        let ago = |from: Instant, ms: u64| from.checked_sub(Duration::from_millis(ms));
        for report in evidence.runs {
            let ages = ago(now, report.sent_ms).zip(ago(now, report.ended_ms));
            let Some((sent, ended)) = ages else { continue };
            let RunReport { id, service, server, features, controlled, .. } = report;
            if self.runs.iter().all(|run| run.id != id) {
                // The host that announces the run may not know that others have cleared its features.
                let proven = features.iter().filter(|feature| self.proofs.get(**feature).is_some());
                self.announcements.proofs.extend(proven.map(|feature| (*feature, REPEATS)));
            }
            self.stale |=
                self.add(BrokenRun { id, service, server, sent, ended, features, controlled });
        }
        for report in evidence.controls {
            let made = earliest_send.and_then(|from| ago(from, report.age_ms));
            if let Some(made) = made
                && self.runs.iter().any(|run| run.service == report.service)
            {
                self.controls.entry(report.service).or_default().record(made, None);
            }
        }
        for report in evidence.proofs {
            let made = earliest_send.and_then(|from| ago(from, report.age_ms));
            let Some(made) = made else { continue };
            if self.proofs.get(report.feature).is_none_or(|known| known < made) {
                self.proofs.record(report.feature, made);
                self.announcements.proofs.remove(&report.feature);
                self.stale = true;
            }
        }
    }

    /// Puts the crashes that are known down to features; returns whose quarantine has begun or ended. One that is
    /// narrowed down ends, and that of fewer features begins.
    pub fn refresh(&mut self, now: Instant) -> Vec<Change> {
        let due = self.judged_at.is_none_or(|at| now >= at + MIN_JUDGE_INTERVAL);
        if !(self.stale && due) && self.settled_at.is_none_or(|at| now < at) {
            return Vec::new();
        }
        (self.stale, self.judged_at) = (false, Some(now));
        self.forget(now);
        let (quarantined, settled_at) = self.judge(now);
        self.settled_at = settled_at;
        let controlled = quarantined.iter().filter(|(_, quarantine)| quarantine.controlled);
        for (features, _) in controlled {
            let having = self.runs.iter_mut().filter(|run| features.is_in(&run.features));
            having.for_each(|run| run.controlled = true);
        }
        let ended = self.quarantined.keys().filter(|features| !quarantined.contains_key(features));
        let ended = ended.map(|features| Change { features: features.clone(), quarantine: None });
        let begun =
            quarantined.iter().filter(|(features, _)| !self.quarantined.contains_key(features));
        let begun = begun.map(|(features, quarantine)| Change {
            features: features.clone(),
            quarantine: Some(*quarantine),
        });
        let changes = ended.chain(begun).collect();
        self.probes.retain(|feature, at| {
            quarantined
                .iter()
                .any(|(features, quarantine)| features.contains(*feature) && quarantine.last < *at)
        });
        self.quarantined = quarantined;
        changes
    }

    /// Returns why a request with these features may not be sent, if all features of a quarantine are among them.
    /// Once the quarantine is over, a single request may be sent at a time.
    ///
    /// Call [`Self::refresh`] before, and [`Self::record_sent`] if the request is sent.
    pub fn check(&self, now: Instant, features: &[Feature]) -> Option<Refusal> {
        let having = self.quarantined.iter().filter(|(quarantined, _)| quarantined.is_in(features));
        having
            .filter_map(|(quarantined, quarantine)| {
                let until = quarantine.last + quarantine.length(self.spread);
                // A request with all of the features was let through only if one with each was.
                let probes = quarantined.features().map(|feature| self.probes.get(&feature));
                let probe = probes.min().flatten().map(|at| *at + PROBE_TIMEOUT);
                let until = probe.map_or(until, |probe| probe.max(until));
                let wait = until.saturating_duration_since(now);
                let (features, crashes) = (quarantined.clone(), quarantine.crashes);
                (!wait.is_zero()).then_some(Refusal { features, crashes, wait })
            })
            .next()
    }

    /// Records that a request with these features is sent: until its outcome is known, no other one with
    /// features whose quarantine is just over may be sent.
    pub fn record_sent(&mut self, now: Instant, features: &[Feature]) {
        let having = self.quarantined.keys().filter(|quarantined| quarantined.is_in(features));
        self.probes.extend(having.flat_map(Combination::features).map(|feature| (feature, now)));
    }

    /// The quarantined combinations of features.
    pub fn quarantined(&self) -> impl Iterator<Item = (&Combination, &Quarantine)> {
        self.quarantined.iter()
    }

    /// Returns the next part of the evidence to announce to all hosts: what this host found lately, and in
    /// turn the runs of quarantined features, which a host that has just started does not know.
    pub fn next_evidence(&mut self, now: Instant) -> Evidence {
        let mut ids = BTreeSet::new();
        for _ in 0..MAX_NEW.min(self.announcements.runs.len()) {
            let Some((id, repeats)) = self.announcements.runs.pop_front() else { break };
            ids.insert(id);
            if repeats > 1 {
                self.announcements.runs.push_back((id, repeats - 1));
            }
        }
        let repeated: Vec<u64> =
            self.runs.iter().filter(|run| self.is_quarantined(run)).map(|run| run.id).collect();
        let from = self.announcements.next_repeated.checked_rem(repeated.len()).unwrap_or(0);
        self.announcements.next_repeated = from + REPEATED_RUNS;
        ids.extend(repeated.iter().cycle().skip(from).take(REPEATED_RUNS.min(repeated.len())));
        let cleared: Vec<Feature> =
            self.announcements.proofs.keys().take(MAX_NEW).copied().collect();
        for feature in &cleared {
            if let Some(repeats) = self.announcements.proofs.get_mut(feature) {
                *repeats -= 1;
            }
        }
        self.announcements.proofs.retain(|_, repeats| *repeats > 0);
        let mut evidence = self.evidence(now, |run| ids.contains(&run.id));
        let further = cleared
            .iter()
            .filter(|feature| !evidence.proofs.iter().any(|known| known.feature == **feature));
        let further: Vec<ProofReport> =
            further.filter_map(|feature| self.proof_report(now, *feature)).collect();
        evidence.proofs.extend(further);
        evidence
    }

    /// Returns all evidence, the latest `max_runs` runs.
    pub fn all_evidence(&self, now: Instant, max_runs: usize) -> Evidence {
        let skipped = self.runs.len().saturating_sub(max_runs);
        let ids: BTreeSet<u64> = self.runs.iter().skip(skipped).map(|run| run.id).collect();
        self.evidence(now, |run| ids.contains(&run.id))
    }

    /// Returns the selected runs, and what is known to clear their features.
    fn evidence(&self, now: Instant, selected: impl Fn(&BrokenRun) -> bool) -> Evidence {
        let ms = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let runs: Vec<RunReport> = self
            .runs
            .iter()
            .filter(|run| selected(run))
            .map(|run| RunReport {
                id: run.id,
                service: run.service.clone(),
                server: run.server.clone(),
                sent_ms: ms(run.sent),
                ended_ms: ms(run.ended),
                features: run.features.clone(),
                controlled: run.controlled,
            })
            .collect();
        let features: BTreeSet<Feature> =
            runs.iter().flat_map(|run| run.features.iter().copied()).collect();
        let proofs =
            features.into_iter().filter_map(|feature| self.proof_report(now, feature)).collect();
        let latest = self.controls.iter().filter_map(|(service, controls)| {
            let (at, _) = controls.0.iter().rfind(|(_, features)| features.is_some())?;
            let is_recent = now.saturating_duration_since(*at) < CONTROL_REPORT_AGE;
            is_recent.then(|| ControlReport { service: service.clone(), age_ms: ms(*at) })
        });
        Evidence { runs, proofs, controls: latest.collect() }
    }

    fn proof_report(&self, now: Instant, feature: Feature) -> Option<ProofReport> {
        let age = now.saturating_duration_since(self.proofs.get(feature)?);
        Some(ProofReport { feature, age_ms: age.as_millis() as u64 })
    }

    /// Adds a run; returns whether anything of it is new.
    fn add(&mut self, mut run: BrokenRun) -> bool {
        if let Some(known) = self.runs.iter_mut().find(|known| known.id == run.id) {
            let is_new = run.controlled && !known.controlled;
            known.controlled |= run.controlled;
            return is_new;
        }
        if run.features.is_empty() {
            return false;
        }
        run.features.truncate(MAX_FEATURES);
        if self.runs.len() >= MAX_RUNS {
            let unrelated = self.runs.iter().position(|known| !self.is_quarantined(known));
            self.runs.remove(unrelated.unwrap_or(0));
        }
        self.runs.push_back(run);
        true
    }

    /// Forgets old runs and those whose features are all cleared.
    fn forget(&mut self, now: Instant) {
        let proofs = &self.proofs;
        while self.announcements.proofs.len() > MAX_RUNS {
            self.announcements.proofs.pop_first();
        }
        self.runs.retain(|run| {
            let cleared = |feature: &Feature| proofs.clears(*feature, run.ended);
            now.saturating_duration_since(run.ended) < RETENTION
                && !run.features.iter().all(cleared)
        });
    }

    fn is_quarantined(&self, run: &BrokenRun) -> bool {
        self.quarantined.keys().any(|features| features.is_in(&run.features))
    }
}

impl Quarantine {
    /// Returns what the evidence against either of two features of a combination supports.
    fn weaker(self, other: Self) -> Self {
        Self {
            crashes: self.crashes.min(other.crashes),
            moments: self.moments.min(other.moments),
            controlled: self.controlled && other.controlled,
            ambiguous: self.ambiguous || other.ambiguous,
            first: self.first.max(other.first),
            last: self.last.min(other.last),
        }
    }

    /// How long it lasts on a host with this `spread`, from 0 to 1.
    fn length(&self, spread: f64) -> Duration {
        if self.ambiguous || !self.controlled || self.moments < 2 {
            return PROVISIONAL_QUARANTINE.mul_f64(1.0 + PROVISIONAL_SPREAD * spread);
        }
        QUARANTINE.mul_f64(1.0 + spread)
    }

    /// How long ago the last crash was.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last)
    }
}
