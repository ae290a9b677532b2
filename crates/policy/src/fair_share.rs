//! How much of a service each workspace uses, and which of them are over their share while the
//! service is short of capacity.
//!
//! Work is counted in milliseconds of an engine's time: the prefill of the tokens that were not
//! assumed cached, and a weight for each output token. Each host counts its own requests and adds
//! what its peers announce, so that a workspace that spreads its requests over all hosts is seen.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use wasabi_core::{
    call::Prompt,
    data,
    digest::digest,
    units::{HostId, WorkspaceId},
};

/// Time constant of the counts of recent work. Announcements take up to about a second in a large
/// fleet, so a shorter time would react to work that is no longer asked for.
const RECENT: Duration = Duration::from_secs(2);
/// Time constant of a workspace's usual rate.
const USUAL: Duration = Duration::from_secs(60);
/// The same while the service is short of capacity, so that an excess does not become usual while
/// it lasts.
const USUAL_WHILE_SHORT: Duration = Duration::from_secs(300);
/// For this long a host that has started learns usual rates before it takes any workspace to be over
/// its share.
const LEARNING: Duration = Duration::from_secs(5);
/// A workspace may use this multiple of its usual rate before it can be over its share: ordinary
/// traffic varies by less.
const CLEAR_EXCESS: f64 = 2.0;
/// A workspace may also use this many requests of the present one's size beyond its share: a single
/// large request is no excess.
const SPARE_REQUESTS: f64 = 3.0;
/// The part of the accepted work that is divided into fair shares. The rest lets queues drain to where
/// ordinary requests are not refused; it goes to whoever asks then.
const SHARED_CAPACITY: f64 = 0.9;
/// From this multiple of its share on, a workspace gets only `MIN_QUEUE_SHARE`. With 1.5, queues
/// stayed so long that half of the ordinary first attempts were refused.
const FULL_HOLD_EXCESS: f64 = 1.2;
/// The least part of the usual longest queue that requests over the share accept. Above zero, so
/// that they use whatever capacity the others leave.
const MIN_QUEUE_SHARE: f64 = 0.15;
/// A workspace that is served less than this multiple of the share of all requests is never held
/// back. Each one is to be served at least a quarter as often as all; the rest covers late counts.
const MIN_SERVED_RATIO: f64 = 0.35;
/// For how long a service counts as short of capacity after a sign of it. It bridges the gaps
/// between refusals that a host with few requests sees.
const SHORT_FOR: Duration = Duration::from_secs(2);
/// Counts decay and peers' counts are summed in steps of this length.
const STEP: Duration = Duration::from_millis(100);
/// A peer's counts are dropped after this time without an announcement, as those of its load are.
const PEER_COUNTS_TTL: Duration = Duration::from_millis(2_500);
/// The most workspaces in one announcement of a service, those with the most work.
pub const MAX_ANNOUNCED_WORKSPACES: usize = 8;
/// Time between announcements while there is no shortage; they then only teach the usual rates.
const QUIET_PERIOD: Duration = Duration::from_secs(1);
/// The time that a running request adds to an engine's step for each of its output tokens, in
/// milliseconds; about that of six prompt tokens.
const OUTPUT_TOKEN_MS: f64 = 0.1;
/// Expected prefill time of a prompt token before any request was placed, in milliseconds.
const DEFAULT_PREFILL_TOKEN_MS: f64 = 0.02;
/// Weight of a new observation in the learned prefill time of a prompt token.
const PREFILL_GAIN: f64 = 0.05;
/// Workspaces with less work than this, in milliseconds, are forgotten.
const NEGLIGIBLE_MS: f64 = 0.01;
/// Work of a request without a prompt: on plain servers requests are counted.
const PLAIN_MS: f64 = 1.0;

/// Identifies a workspace in counts and announcements, in place of its name to save bytes. A
/// collision only adds up the counts of two workspaces.
type Key = u32;

data! {
    /// What one host announces of the work of workspaces at one service.
    ///
    /// It travels in a positional encoding: the order of the fields is part of the format.
    #[derive(Default)]
    pub struct Report {
        /// The most urgent level at which the host lacks capacity, if it does.
        pub short: Option<u8>,
        /// Work of all workspaces in milliseconds: accepted and asked for, as for [`View`].
        pub total_ms: (u32, u32),
        /// Of the workspaces with the most work: the key, and the work accepted and asked for.
        pub workspaces: Vec<(u32, u32, u32)>,
    }
}

/// Recent work, in milliseconds of an engine's time that decay with [`RECENT`].
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    /// Of accepted requests.
    accepted: f64,
    /// Of first attempts, whether accepted or refused. A caller that returns asks for nothing new.
    asked: f64,
}

/// What is known of one workspace.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    own: Work,
    /// The sum over the peers, as of the last step.
    peers: Work,
    /// The moving average of asked work, biased towards zero; see `View::usual_weight`.
    usual: f64,
}

/// The work of the workspaces at one service.
#[derive(Debug)]
pub struct View {
    started_at: Instant,
    stepped_at: Instant,
    workspaces: BTreeMap<Key, Usage>,
    /// Work of requests without a workspace; they are never over a share.
    anonymous: Work,
    /// Sum of the totals that peers announced, as of the last step.
    peers_total: Work,
    peers: BTreeMap<HostId, (Instant, Report)>,
    /// The weight that the observations so far have in `Usage::usual`, up to 1. The averages divided
    /// by it are unbiased, so that all rates of a host that has just started look usual.
    usual_weight: f64,
    /// The max-min fair share in milliseconds of recent work; infinite if all can be served.
    level: f64,
    /// Until when each level of urgency counts as short of capacity by what this host has seen.
    short_until: BTreeMap<u8, Instant>,
    /// Learned prefill time of a prompt token, in milliseconds.
    prefill_token_ms: f64,
    reported_at: Option<Instant>,
}

/// How a workspace stands at a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// Its recent work as a multiple of its share; over the share above 1.
    pub excess: f64,
    /// The part of the usual longest queue that its requests accept, 1 unless it is over its share.
    pub queue_share: f64,
}

impl Standing {
    const WITHIN: Self = Self { excess: 0.0, queue_share: 1.0 };
}

impl Work {
    fn add(&mut self, other: Self) {
        self.accepted += other.accepted;
        self.asked += other.asked;
    }

    fn scale(&mut self, factor: f64) {
        self.accepted *= factor;
        self.asked *= factor;
    }
}

impl View {
    /// Creates a view that knows of no work.
    pub fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            stepped_at: now,
            workspaces: BTreeMap::new(),
            anonymous: Work::default(),
            peers_total: Work::default(),
            peers: BTreeMap::new(),
            usual_weight: 0.0,
            level: f64::INFINITY,
            short_until: BTreeMap::new(),
            prefill_token_ms: DEFAULT_PREFILL_TOKEN_MS,
            reported_at: None,
        }
    }

    /// Returns the work of a request whose prefill takes `prefill_ms`; without it, the prefill is
    /// estimated from the prompts placed so far.
    pub fn work_ms(&self, prompt: Option<&Prompt>, prefill_ms: Option<f64>) -> f64 {
        let Some(prompt) = prompt else { return PLAIN_MS };
        let prefill_ms = prefill_ms.unwrap_or(f64::from(prompt.tokens) * self.prefill_token_ms);
        prefill_ms + f64::from(prompt.output) * OUTPUT_TOKEN_MS
    }

    /// Returns how the workspace of a request with the prompt stands.
    pub fn standing(
        &mut self,
        now: Instant,
        workspace: Option<&WorkspaceId>,
        prompt: Option<&Prompt>,
    ) -> Standing {
        self.step(now);
        let usage = workspace.and_then(|workspace| self.workspaces.get(&key(workspace)));
        let Some(usage) = usage else { return Standing::WITHIN };
        if now.saturating_duration_since(self.started_at) < LEARNING {
            return Standing::WITHIN;
        }
        let mut work = usage.own;
        work.add(usage.peers);
        let total = self.total();
        let served = work.accepted / work.asked.max(NEGLIGIBLE_MS);
        if served < MIN_SERVED_RATIO * total.accepted / total.asked.max(NEGLIGIBLE_MS) {
            return Standing::WITHIN;
        }
        let share = self.share(usage) + SPARE_REQUESTS * self.work_ms(prompt, None);
        let excess = work.accepted / share;
        let held = ((excess - 1.0) / (FULL_HOLD_EXCESS - 1.0)).clamp(0.0, 1.0);
        Standing { excess, queue_share: 1.0 - held * (1.0 - MIN_QUEUE_SHARE) }
    }

    /// Returns whether the service lacks capacity for requests of this urgency: this host or a peer
    /// has seen signs of that at this or a more urgent level.
    pub fn is_short(&self, now: Instant, urgency: u8) -> bool {
        let own = self.own_short(now);
        let peers = self.peers.values().filter(|(at, _)| is_fresh(now, *at));
        let levels = own.into_iter().chain(peers.filter_map(|(_, report)| report.short));
        levels.min().is_some_and(|level| level <= urgency)
    }

    /// Records a sign that the service lacks capacity for requests of this urgency.
    pub fn mark_short(&mut self, now: Instant, urgency: u8) {
        self.short_until.insert(urgency, now + SHORT_FOR);
    }

    /// Records that a request with this prompt and prefill was accepted.
    pub fn record_accepted(
        &mut self,
        now: Instant,
        workspace: Option<&WorkspaceId>,
        prompt: Option<&Prompt>,
        prefill_ms: f64,
        is_return: bool,
    ) {
        if let Some(prompt) = prompt.filter(|prompt| prompt.tokens > 0) {
            let observed = prefill_ms / f64::from(prompt.tokens);
            self.prefill_token_ms += PREFILL_GAIN * (observed - self.prefill_token_ms);
        }
        let accepted = self.work_ms(prompt, Some(prefill_ms));
        let asked = if is_return { 0.0 } else { accepted };
        self.record(now, workspace, Work { accepted, asked });
    }

    /// Records that a request with this prompt was refused.
    pub fn record_refused(
        &mut self,
        now: Instant,
        workspace: Option<&WorkspaceId>,
        prompt: Option<&Prompt>,
        is_return: bool,
    ) {
        if !is_return {
            let asked = self.work_ms(prompt, None);
            self.record(now, workspace, Work { accepted: 0.0, asked });
        }
    }

    /// Returns the work that this host has lately accepted in a second, in milliseconds.
    pub fn own_rate(&mut self, now: Instant) -> f64 {
        self.step(now);
        self.own_total().accepted / RECENT.as_secs_f64()
    }

    /// Returns what this host announces now; `None` if there is nothing to tell.
    pub fn report(&mut self, now: Instant) -> Option<Report> {
        self.step(now);
        let total = self.own_total();
        let due =
            self.reported_at.is_none_or(|at| now.saturating_duration_since(at) >= QUIET_PERIOD);
        if total.asked.max(total.accepted) < PLAIN_MS || !(due || self.is_short(now, u8::MAX)) {
            return None;
        }
        self.reported_at = Some(now);
        let own = self.workspaces.iter().map(|(key, usage)| (*key, usage.own));
        let mut own: Vec<(Key, Work)> =
            own.filter(|(_, own)| own.asked.max(own.accepted) >= PLAIN_MS / 2.0).collect();
        own.sort_by(|a, b| b.1.asked.total_cmp(&a.1.asked).then(a.0.cmp(&b.0)));
        own.truncate(MAX_ANNOUNCED_WORKSPACES);
        let rounded = |work: Work| (work.accepted.round() as u32, work.asked.round() as u32);
        let workspaces = own.into_iter().map(|(key, own)| {
            let (accepted, asked) = rounded(own);
            (key, accepted, asked)
        });
        Some(Report {
            short: self.own_short(now),
            total_ms: rounded(total),
            workspaces: workspaces.collect(),
        })
    }

    /// Applies a peer's announcement, which replaces its earlier one.
    pub fn apply(&mut self, now: Instant, peer: &HostId, report: Report) {
        self.peers.insert(peer.clone(), (now, report));
    }

    fn record(&mut self, now: Instant, workspace: Option<&WorkspaceId>, work: Work) {
        self.step(now);
        match workspace {
            Some(workspace) => self.workspaces.entry(key(workspace)).or_default().own.add(work),
            None => self.anonymous.add(work),
        }
    }

    /// Returns the work that a workspace may use, in milliseconds of recent work.
    fn share(&self, usage: &Usage) -> f64 {
        (CLEAR_EXCESS * usage.usual / self.usual_weight.max(f64::MIN_POSITIVE)).max(self.level)
    }

    fn own_short(&self, now: Instant) -> Option<u8> {
        self.short_until.iter().find(|(_, until)| **until > now).map(|(level, _)| *level)
    }

    fn own_total(&self) -> Work {
        let mut total = self.anonymous;
        self.workspaces.values().for_each(|usage| total.add(usage.own));
        total
    }

    fn total(&self) -> Work {
        let mut total = self.own_total();
        total.add(self.peers_total);
        total
    }

    /// Lets counts decay, sums those of the peers, learns usual rates and computes the fair share, at
    /// most once in `STEP`.
    fn step(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.stepped_at);
        if elapsed < STEP {
            return;
        }
        self.stepped_at = now;
        let decay = (-elapsed.as_secs_f64() / RECENT.as_secs_f64()).exp();
        self.anonymous.scale(decay);
        for usage in self.workspaces.values_mut() {
            usage.own.scale(decay);
            usage.peers = Work::default();
        }
        self.peers.retain(|_, (at, _)| is_fresh(now, *at));
        self.peers_total = Work::default();
        for (_, report) in self.peers.values() {
            self.peers_total.add(announced(report.total_ms.0, report.total_ms.1));
            for (key, accepted, asked) in &report.workspaces {
                let usage = self.workspaces.entry(*key).or_default();
                usage.peers.add(announced(*accepted, *asked));
            }
        }
        let short = self.is_short(now, u8::MAX);
        let total = self.total();
        let asked = self.workspaces.values().map(|usage| usage.own.asked + usage.peers.asked);
        self.level = max_min_share(asked.collect(), total.accepted * SHARED_CAPACITY);
        let time = if short { USUAL_WHILE_SHORT } else { USUAL };
        let gain = 1.0 - (-elapsed.as_secs_f64() / time.as_secs_f64()).exp();
        let weight = self.usual_weight;
        self.usual_weight += gain * (1.0 - weight);
        for key in self.workspaces.keys().copied().collect::<Vec<_>>() {
            let usage = self.workspaces[&key];
            let asked = usage.own.asked + usage.peers.asked;
            // An excess that is held back must not become usual by itself.
            let limit = if short && weight > 0.0 { self.share(&usage) } else { f64::INFINITY };
            let usual = usage.usual + gain * (asked.min(limit) - usage.usual);
            if asked.max(usage.own.accepted).max(usual) < NEGLIGIBLE_MS {
                self.workspaces.remove(&key);
            } else if let Some(usage) = self.workspaces.get_mut(&key) {
                usage.usual = usual;
            }
        }
    }
}

fn announced(accepted: u32, asked: u32) -> Work {
    Work { accepted: f64::from(accepted), asked: f64::from(asked) }
}

fn is_fresh(now: Instant, at: Instant) -> bool {
    now.saturating_duration_since(at) < PEER_COUNTS_TTL
}

fn key(workspace: &WorkspaceId) -> Key {
    digest(workspace) as Key
}

/// Returns the max-min fair share: the largest amount that each may use if those that ask for less
/// leave the rest to the others; infinite if `capacity` suffices for all.
pub fn max_min_share(mut asked: Vec<f64>, capacity: f64) -> f64 {
    asked.sort_by(f64::total_cmp);
    let mut left = capacity;
    for (index, amount) in asked.iter().enumerate() {
        let equal = left / (asked.len() - index) as f64;
        if *amount > equal {
            return equal;
        }
        left -= amount;
    }
    f64::INFINITY
}
