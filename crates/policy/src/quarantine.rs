//! Requests that crash the backend servers which run them, found by what they have in common.
//!
//! A run that its server breaks off is evidence against each feature of its request, and one that ends
//! well clears them all. Servers crash for other reasons too, so each crash is put down to the feature that
//! explains the most crashes; a feature that explains several is quarantined, and requests with it are
//! refused. After a while a single request is let through again.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    fmt,
    hash::{DefaultHasher, Hash, Hasher as _},
    time::{Duration, Instant},
};

use wasabi_core::{
    data,
    errors::{Code, Error},
    units::{PoolId, ServerId},
};

/// Crashes that a feature must explain if no run with it has ended well. Chance alone rarely repeats a
/// crash for the same feature; the users' contracts count on a decision after three.
const MIN_CRASHES: usize = 3;
/// Crashes that a feature must explain if a run with it has ended well before them.
const MIN_CRASHES_OF_PROVEN: usize = 4;
/// The first crash must be this long ago: by then, runs of a sound feature that began meanwhile have ended
/// well, and hosts have told each other.
const SETTLING: Duration = Duration::from_millis(1_000);
/// Crashes of several servers within this time are of one moment, unless a request was sent after one
/// and met the next: a failure of their machine or network takes many servers at once.
const SIMULTANEOUS: Duration = Duration::from_millis(200);
/// A run that breaks off this long after a crash of its server belongs to another one.
const CRASH_SPREAD: Duration = Duration::from_millis(2_000);
/// The least time from the last crash until a request with a quarantined feature is let through; twice
/// that on the host that waits longest.
pub const QUARANTINE: Duration = Duration::from_secs(300);
/// The same for a feature that is not alone in explaining its crashes, or whose crashes may have been an
/// outage: they are of one moment, or the service ran nothing well meanwhile.
pub const PROVISIONAL_QUARANTINE: Duration = Duration::from_secs(5);
/// How many times longer the host that waits longest then waits than the first one.
const PROVISIONAL_SPREAD: f64 = 10.0;
/// The most features of different requests that are quarantined for the same crashes.
const MAX_EQUAL: usize = 3;
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
/// Proofs of sound features are kept in two generations of this size.
const MAX_PROOFS: usize = 8_192;
/// The least time between two runs that are kept as controls, and how many of a service are kept.
const CONTROL_INTERVAL: Duration = Duration::from_millis(50);
const MAX_CONTROLS: usize = 256;
/// How often a host announces a run or a proof of its own, as datagrams are lost.
const REPEATS: u32 = 3;
/// The most new runs, and the most new proofs, in one announcement.
const MAX_NEW: usize = 8;
/// The runs of quarantined features that each announcement repeats, in turn, for hosts that start.
const REPEATED_RUNS: usize = 4;

data! {
    /// Something that requests for a service may have in common, as a hash.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub struct Feature(u64);

    /// A run that its server broke off, as one host tells another.
    pub struct RunReport {
        /// Identifies the run.
        pub id: u64,
        /// The service that ran it.
        pub service: PoolId,
        /// The server.
        pub server: ServerId,
        /// How many milliseconds ago the request was sent to the server.
        pub sent_ms: u64,
        /// How many milliseconds ago the run broke off.
        pub ended_ms: u64,
        /// The features of the request, in its order.
        pub features: Vec<Feature>,
        /// Whether a feature of it was quarantined while the service ran other requests well.
        pub controlled: bool,
    }

    /// That runs with a feature end well, as one host tells another.
    pub struct ProofReport {
        /// The feature.
        pub feature: Feature,
        /// How many milliseconds ago the last known one did.
        pub age_ms: u64,
    }

    /// That a service runs requests well, as one host tells another.
    pub struct ControlReport {
        /// The service.
        pub service: PoolId,
        /// How many milliseconds ago a run ended well.
        pub age_ms: u64,
    }

    /// A part of what a host knows.
    #[derive(Default)]
    pub struct Evidence {
        /// Runs that broke off.
        #[serde(default)]
        pub runs: Vec<RunReport>,
        /// Features of such runs that others have cleared.
        #[serde(default)]
        pub proofs: Vec<ProofReport>,
        /// Services of such runs that run others well.
        #[serde(default)]
        pub controls: Vec<ControlReport>,
    }
}

/// A run that its server broke off before it was known to be sound.
#[derive(Clone, Debug, PartialEq)]
pub struct BrokenRun {
    /// Identifies the run among those of all hosts.
    pub id: u64,
    /// The service that ran it.
    pub service: PoolId,
    /// The server.
    pub server: ServerId,
    /// When the request was sent to the server.
    pub sent: Instant,
    /// When the run broke off.
    pub ended: Instant,
    /// The features of the request, in its order.
    pub features: Vec<Feature>,
    /// Whether a feature of it was quarantined while the service ran other requests well; false for a new
    /// one.
    pub controlled: bool,
}

/// Why a feature is quarantined.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quarantine {
    /// The crashes that it explains. Those of one moment count once if runs with it have ended well
    /// before: with a feature that many requests have, an outage breaks runs on many servers.
    pub crashes: usize,
    /// The moments of these crashes.
    moments: usize,
    /// Whether the service ran requests without the feature well between the first crash and the last:
    /// else it may have broken off everything.
    controlled: bool,
    /// Whether features of other requests explain the crashes as well.
    ambiguous: bool,
    /// When the first of them was.
    first: Instant,
    /// When the last of them was.
    last: Instant,
}

/// A feature whose quarantine began or ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// The feature.
    pub feature: Feature,
    /// The quarantine; `None` if it ended.
    pub quarantine: Option<Quarantine>,
}

/// Why a request may not be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// The quarantined feature that it has.
    pub feature: Feature,
    /// The crashes that the feature explains.
    pub crashes: usize,
    /// How long the quarantine lasts on this host.
    pub wait: Duration,
}

impl Refusal {
    /// Returns the error for the caller.
    pub fn error(&self) -> Error {
        let detail = format!("{} crashes are put down to {}", self.crashes, self.feature);
        Error::new(Code::Quarantined, detail).retry_after(self.wait)
    }
}

/// What this host knows of runs that broke off, and the features that are quarantined for it.
#[derive(Debug, Default)]
pub struct View {
    /// From 0 to 1: how long this host waits after a quarantine, so that hosts try one after the other.
    spread: f64,
    /// In the order in which they became known.
    runs: VecDeque<BrokenRun>,
    proofs: Proofs,
    /// Runs that ended well since servers of a service have crashed.
    controls: BTreeMap<PoolId, Controls>,
    quarantined: BTreeMap<Feature, Quarantine>,
    /// When a request with a quarantined feature was last let through.
    probes: BTreeMap<Feature, Instant>,
    /// Whether anything has changed since the crashes were last put down to features.
    stale: bool,
    /// When the crashes were last put down to features.
    judged_at: Option<Instant>,
    /// When a feature that explains enough crashes will have settled.
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

/// The latest runs of a service that ended well, a sample; with their features, which are not known of
/// those of other hosts.
#[derive(Debug, Default)]
struct Controls(VecDeque<(Instant, Option<Vec<Feature>>)>);

/// When a run with each feature last ended well, the most recent ones.
#[derive(Debug, Default)]
struct Proofs {
    recent: HashMap<Feature, Instant>,
    older: HashMap<Feature, Instant>,
}

/// The end of one server, with what may have caused it.
struct Crash<'a> {
    service: &'a PoolId,
    /// Whether one of its broken runs is.
    controlled: bool,
    server: &'a ServerId,
    ended: Instant,
    /// The features of its broken runs that are not cleared: when the last run with each was sent, and its
    /// position in the request.
    suspects: BTreeMap<Feature, (Instant, usize)>,
}

impl Feature {
    /// A part of the prompt with this id, for a service.
    pub fn part(service: &PoolId, id: u64) -> Self {
        Self::hash((service, id))
    }

    /// A request with this content: what stays the same when it comes again, such as its caller, path
    /// and body.
    pub fn request(service: &PoolId, content: impl Hash) -> Self {
        Self::hash((service, content))
    }

    fn hash(content: impl Hash) -> Self {
        let mut hasher = DefaultHasher::new();
        content.hash(&mut hasher);
        Self(hasher.finish())
    }
}

impl fmt::Display for Feature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl View {
    /// Creates a view without evidence; `spread`, from 0 to 1, should differ from host to host.
    pub fn new(spread: f64) -> Self {
        Self { spread, ..Self::default() }
    }

    /// Records a run of this host that its server broke off; it will be announced.
    pub fn record_broken(&mut self, run: BrokenRun) {
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

    /// Puts the crashes that are known down to features; returns whose quarantine has begun or ended.
    pub fn refresh(&mut self, now: Instant) -> Vec<Change> {
        let due = self.judged_at.is_none_or(|at| now >= at + MIN_JUDGE_INTERVAL);
        if !(self.stale && due) && self.settled_at.is_none_or(|at| now < at) {
            return Vec::new();
        }
        (self.stale, self.judged_at) = (false, Some(now));
        self.forget(now);
        let (quarantined, settled_at) = self.judge(now);
        self.settled_at = settled_at;
        for run in &mut self.runs {
            let controlled =
                |feature| quarantined.get(feature).is_some_and(|known| known.controlled);
            run.controlled |= run.features.iter().any(controlled);
        }
        let ended = self.quarantined.keys().filter(|feature| !quarantined.contains_key(feature));
        let ended = ended.map(|feature| Change { feature: *feature, quarantine: None });
        let begun =
            quarantined.iter().filter(|(feature, _)| !self.quarantined.contains_key(feature));
        let begun = begun.map(|(feature, quarantine)| Change {
            feature: *feature,
            quarantine: Some(*quarantine),
        });
        let changes = ended.chain(begun).collect();
        self.probes.retain(|feature, at| {
            quarantined.get(feature).is_some_and(|quarantine| quarantine.last < *at)
        });
        self.quarantined = quarantined;
        changes
    }

    /// Returns why a request with these features may not be sent, if one of them is quarantined. Once the
    /// quarantine is over, a single request may be sent at a time.
    ///
    /// Call [`Self::refresh`] before, and [`Self::record_sent`] if the request is sent.
    pub fn check(&self, now: Instant, features: &[Feature]) -> Option<Refusal> {
        features.iter().find_map(|feature| {
            let quarantine = self.quarantined.get(feature)?;
            let until = quarantine.last + quarantine.length(self.spread);
            let probe = self.probes.get(feature).map(|at| *at + PROBE_TIMEOUT);
            let until = probe.map_or(until, |probe| probe.max(until));
            let wait = until.saturating_duration_since(now);
            let refusal = Refusal { feature: *feature, crashes: quarantine.crashes, wait };
            (!wait.is_zero()).then_some(refusal)
        })
    }

    /// Records that a request with these features is sent: until its outcome is known, no other one with
    /// a feature whose quarantine is just over may be sent.
    pub fn record_sent(&mut self, now: Instant, features: &[Feature]) {
        for feature in features.iter().filter(|feature| self.quarantined.contains_key(feature)) {
            self.probes.insert(*feature, now);
        }
    }

    /// The quarantined features.
    pub fn quarantined(&self) -> impl Iterator<Item = (Feature, &Quarantine)> {
        self.quarantined.iter().map(|(feature, quarantine)| (*feature, quarantine))
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
            Some(ControlReport { service: service.clone(), age_ms: ms(*at) })
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
        self.runs.retain(|run| {
            let cleared = |feature: &Feature| proofs.clears(*feature, run.ended);
            now.saturating_duration_since(run.ended) < RETENTION
                && !run.features.iter().all(cleared)
        });
    }

    fn is_quarantined(&self, run: &BrokenRun) -> bool {
        run.features.iter().any(|feature| self.quarantined.contains_key(feature))
    }

    /// Puts each crash down to the feature that explains the most of those not yet explained. Returns the
    /// features that explain enough, and when the next one will have settled.
    ///
    /// Crashes that features of a few different requests explain equally well are put down to each of
    /// them for a while; those of many to none, as in an outage.
    fn judge(&self, now: Instant) -> (BTreeMap<Feature, Quarantine>, Option<Instant>) {
        let crashes = self.crashes();
        let mut explained = vec![false; crashes.len()];
        let suspected = suspected_in(&crashes);
        let mut quarantined = BTreeMap::new();
        let mut settled_at: Option<Instant> = None;
        loop {
            let often = suspected.iter().filter(|(_, indexes)| indexes.len() >= MIN_CRASHES);
            let explaining = often.filter_map(|(feature, indexes)| {
                let own = indexes.iter().copied().filter(|index| !explained[*index]);
                let own: Vec<&Crash<'_>> = own.map(|index| &crashes[index]).collect();
                let unproven = self.proofs.get(*feature).is_none();
                let (quarantine, position) = explained_by(*feature, unproven, &own)?;
                let controls = self.controls.get(own[0].service);
                let Quarantine { first, last, .. } = quarantine;
                let controlled = own.iter().any(|crash| crash.controlled)
                    || controls.is_some_and(|controls| {
                        controls.has_without(*feature, unproven, first, last)
                    });
                if !unproven && !controlled {
                    return None;
                }
                let quarantine = Quarantine { controlled, ..quarantine };
                let needed = if unproven { MIN_CRASHES } else { MIN_CRASHES_OF_PROVEN };
                let rank = (quarantine.crashes, unproven);
                (quarantine.crashes >= needed).then_some((rank, position, *feature, quarantine))
            });
            let explaining: Vec<_> = explaining.collect();
            let Some(most) = explaining.iter().map(|(rank, ..)| *rank).max() else { break };
            let mut best: Vec<_> =
                explaining.into_iter().filter(|(rank, ..)| *rank == most).collect();
            // Parts in front are shared by more requests.
            best.sort_by_key(|(_, position, ..)| Reverse(*position));
            // One of each request.
            let mut blamed: Vec<(Feature, Quarantine)> = Vec::new();
            for (_, _, feature, quarantine) in &best {
                if blamed.len() > MAX_EQUAL {
                    break;
                }
                if blamed.iter().all(|(other, _)| !self.occur_together(*feature, *other)) {
                    blamed.push((*feature, *quarantine));
                }
            }
            let ambiguous = blamed.len() > 1;
            if blamed.len() > MAX_EQUAL {
                blamed.clear();
            } else {
                best.retain(|(_, _, feature, _)| blamed.iter().any(|(kept, _)| kept == feature));
            }
            for (feature, quarantine) in blamed {
                let settled = quarantine.first + SETTLING;
                if settled <= now {
                    quarantined.insert(feature, Quarantine { ambiguous, ..quarantine });
                } else {
                    settled_at = Some(settled_at.map_or(settled, |at| at.min(settled)));
                }
            }
            for index in
                best.iter().filter_map(|(_, _, feature, _)| suspected.get(feature)).flatten()
            {
                explained[*index] = true;
            }
        }
        (quarantined, settled_at)
    }

    /// Whether a broken run has both features.
    fn occur_together(&self, one: Feature, other: Feature) -> bool {
        let has_both =
            |run: &BrokenRun| run.features.contains(&one) && run.features.contains(&other);
        one == other || self.runs.iter().any(has_both)
    }

    /// Returns the crashes by time, each with the features that may have caused it.
    fn crashes(&self) -> Vec<Crash<'_>> {
        let mut runs: Vec<&BrokenRun> = self.runs.iter().collect();
        runs.sort_by_key(|run| run.ended);
        let mut crashes: Vec<Crash<'_>> = Vec::new();
        for run in runs {
            let same =
                |crash: &&mut Crash<'_>| *crash.server == run.server && run.sent < crash.ended;
            let recent = |crash: &&mut Crash<'_>| run.ended < crash.ended + CRASH_SPREAD;
            let known = crashes.iter_mut().rev().take_while(recent).find(same);
            let suspects = run.features.iter().enumerate();
            let suspects =
                suspects.filter(|(_, feature)| !self.proofs.clears(**feature, run.ended));
            let suspects = suspects.map(|(position, feature)| (*feature, (run.sent, position)));
            match known {
                Some(crash) => {
                    crash.controlled |= run.controlled;
                    crash.suspects.extend(suspects);
                }
                None => crashes.push(Crash {
                    controlled: run.controlled,
                    service: &run.service,
                    server: &run.server,
                    ended: run.ended,
                    suspects: suspects.collect(),
                }),
            }
        }
        crashes
    }
}

impl Quarantine {
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

impl Controls {
    fn record(&mut self, ended: Instant, features: Option<&[Feature]>) {
        let is_near =
            |at: Instant| ended.max(at).saturating_duration_since(ended.min(at)) < CONTROL_INTERVAL;
        let same_kind = |known: &Option<Vec<Feature>>| known.is_some() == features.is_some();
        if self.0.iter().rev().take(2).any(|(at, known)| is_near(*at) && same_kind(known)) {
            return;
        }
        if self.0.len() >= MAX_CONTROLS {
            self.0.pop_front();
        }
        self.0.push_back((ended, features.map(<[Feature]>::to_vec)));
    }

    /// Whether a run without the feature ended well in that time. No run with one that is `unproven`
    /// has.
    fn has_without(&self, feature: Feature, unproven: bool, from: Instant, to: Instant) -> bool {
        let mut between = self.0.iter().filter(|(at, _)| (from..=to).contains(at));
        between.any(|(_, features)| {
            unproven || features.as_ref().is_some_and(|features| !features.contains(&feature))
        })
    }
}

impl Proofs {
    fn get(&self, feature: Feature) -> Option<Instant> {
        self.recent.get(&feature).or_else(|| self.older.get(&feature)).copied()
    }

    /// Whether a run with the feature has ended well at `ended` or later.
    fn clears(&self, feature: Feature, ended: Instant) -> bool {
        self.get(feature).is_some_and(|proof| proof >= ended)
    }

    fn record(&mut self, feature: Feature, at: Instant) {
        if self.recent.len() >= MAX_PROOFS {
            self.older = std::mem::take(&mut self.recent);
        }
        self.recent.insert(feature, at);
    }
}

/// Returns the positions of the crashes that each feature may have caused. Of crashes at the same time, a
/// feature must be able to explain more than half: those of an outage have little in common.
fn suspected_in(crashes: &[Crash<'_>]) -> BTreeMap<Feature, Vec<usize>> {
    let mut suspected: BTreeMap<Feature, Vec<usize>> = BTreeMap::new();
    for (index, crash) in crashes.iter().enumerate() {
        for feature in crash.suspects.keys() {
            suspected.entry(*feature).or_default().push(index);
        }
    }
    let together: Vec<(usize, usize)> = crashes
        .iter()
        .map(|crash| {
            let begin = crashes.partition_point(|other| other.ended + SIMULTANEOUS <= crash.ended);
            let end = crashes.partition_point(|other| other.ended < crash.ended + SIMULTANEOUS);
            (begin, end)
        })
        .collect();
    for indexes in suspected.values_mut() {
        let all = indexes.clone();
        indexes.retain(|index| {
            let (begin, end) = together[*index];
            let with = all.partition_point(|other| *other < end)
                - all.partition_point(|other| *other < begin);
            with * 2 > end - begin
        });
    }
    suspected
}

/// Returns the crashes that a feature may have caused, and its position in the last of the requests. Those
/// of one moment count each only if it is `unproven`.
fn explained_by(
    feature: Feature,
    unproven: bool,
    crashes: &[&Crash<'_>],
) -> Option<(Quarantine, usize)> {
    let mut explained: Option<(Quarantine, usize)> = None;
    for crash in crashes {
        let Some((sent, position)) = crash.suspects.get(&feature) else { continue };
        let (first, last) = (crash.ended, crash.ended);
        let quarantine = match explained {
            None => Quarantine {
                crashes: 1,
                moments: 1,
                controlled: false,
                ambiguous: false,
                first,
                last,
            },
            Some((before, _)) => {
                let separate = crash.ended >= before.last + SIMULTANEOUS || *sent >= before.last;
                Quarantine {
                    crashes: before.crashes + usize::from(separate || unproven),
                    moments: before.moments + usize::from(separate),
                    last: if separate { last } else { before.last },
                    ..before
                }
            }
        };
        explained = Some((quarantine, *position));
    }
    explained
}
