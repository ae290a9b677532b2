//! What a host knows of one server: the requests that run there by all hosts' accounts, its virtual
//! prefill queue, and what it is expected to do for a request.

use std::time::{Duration, Instant};

use wasabi_core::{
    catalog::Engine,
    member::{Member, Phase},
};

use crate::{
    board::{Ask, Place},
    cache::Cache,
    lanes,
    share::Share,
    trouble::Trouble,
};

/// Prompt tokens that an engine reads in a millisecond, until observed; from the engines' sheet.
const PREFILL_TOKENS_PER_MS: f64 = 56.9;
/// Tokens of a prompt that an engine reads in one step; from the engines' sheet.
const CHUNK_TOKENS: f64 = 2048.0;
/// The least time of a step in milliseconds; from the engines' sheet.
const STEP_MS: f64 = 3.09;
/// What each running request adds to a step, in milliseconds; from the engines' sheet.
const STEP_MS_PER_RUNNING: f64 = 0.102;
/// Attention time in milliseconds per million pairs of tokens; from the engines' sheet.
const PAIRS_MS_PER_MILLION: f64 = 0.165;
/// From sending a request to its first event on an idle engine, without its prefill, in
/// milliseconds: the engine's own 13 ms, and the way there and back.
const FIRST_EVENT_MS: f64 = 18.0;
/// The time over which the share of time that an engine spends on prefill is averaged.
const DUTY_MEMORY: Duration = Duration::from_millis(1_000);
/// A request whose whole prompt is read in less is light, in milliseconds: it is interactive.
const LIGHT_WORK_MS: f64 = 40.0;
/// How much the time that a server would spend on a request counts beside the caller's wait: work
/// saved by a cached prefix leaves room for others.
const WORK_WEIGHT: f64 = 1.0;
/// The part of its memory that an engine fills before it has to preempt.
const MEMORY_SHARE: f64 = 0.92;
/// How many requests may wait at a plain server for each one that it runs.
const WAITING_PER_SLOT: u32 = 3;
/// Levels of urgency.
pub(crate) const LEVELS: usize = 10;
/// A more urgent request waits for the prompt that is being read, in milliseconds at most: about
/// two chunks beside the tokens of other requests, as measured.
const PROMPT_AHEAD_MS: f64 = 130.0;

/// One server of a board.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) member: Member,
    /// Its place in the order by which engines are kept for light streams.
    pub(crate) order: u64,
    /// How much slower it reads prompts than the sheet says.
    pub(crate) slowness: f64,
    /// By urgency: when its virtual prefill queue has no work left that goes before such a request.
    /// Never later for a more urgent level.
    free_at: [Instant; LEVELS],
    /// Prefill milliseconds of the last `DUTY_MEMORY`, decayed up to `duty_at`.
    duty_ms: f64,
    duty_at: Instant,
    /// This host's own requests, and what it has not announced yet.
    pub(crate) own: Share,
    /// The sum of what `Board::peers` holds for this server.
    pub(crate) theirs: Counts,
    pub(crate) cache: Cache,
    pub(crate) trouble: Trouble,
}

/// Requests that run on a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Counts {
    pub(crate) running: u32,
    pub(crate) light: u32,
    pub(crate) tokens: u64,
}

/// What a server is expected to do for a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Quote {
    /// Until the first event or the answer.
    pub(crate) first_ms: f64,
    /// What the choice costs besides.
    pub(crate) extra_ms: f64,
    /// Prefill time.
    pub(crate) work_ms: f64,
    pub(crate) has_room: bool,
    pub(crate) light: bool,
}

impl Server {
    pub(crate) fn new(now: Instant, member: Member, memory: u64) -> Self {
        Self {
            order: lanes::order(&member.id),
            member,
            slowness: 1.0,
            free_at: [now; LEVELS],
            duty_ms: 0.0,
            duty_at: now,
            own: Share::default(),
            theirs: Counts::default(),
            cache: Cache::new(memory),
            trouble: Trouble::default(),
        }
    }

    /// Returns whether it may get new work.
    pub(crate) fn is_ready(&self) -> bool {
        self.member.phase == Phase::Ready
    }

    /// Returns what an engine is expected to do; `kept` if it has the shared parts of the prompt.
    pub(crate) fn quote_engine(
        &self,
        now: Instant,
        ask: &Ask,
        engine: &Engine,
        kept: bool,
    ) -> Quote {
        let all = self.all();
        let (total, output) =
            ask.prompt.map_or((0.0, 0), |p| (f64::from(p.tokens), u64::from(p.output)));
        let cached = ask.prompt.map_or(0, |prompt| match (kept, prompt.parts.split_last()) {
            (true, Some((_, shared))) => shared.iter().map(|part| part.tokens).sum(),
            _ => self.cache.cached(prompt),
        });
        let fresh = (total - f64::from(cached)).max(1.0);
        let pairs = fresh * (f64::from(cached) + fresh / 2.0) / 1e6;
        let step_ms = STEP_MS + STEP_MS_PER_RUNNING * f64::from(all.running);
        let work_ms = (fresh / PREFILL_TOKENS_PER_MS
            + (fresh / CHUNK_TOKENS).ceil() * step_ms
            + pairs * PAIRS_MS_PER_MILLION)
            * self.slowness;
        let behind_ms = self.wait_ms(now, usize::from(ask.urgency));
        let wait_ms = behind_ms.max(self.wait_ms(now, LEVELS - 1).min(PROMPT_AHEAD_MS));
        let light = total / PREFILL_TOKENS_PER_MS < LIGHT_WORK_MS;
        let tokens = all.tokens + total as u64 + output;
        let memory = engine.memory.0 as f64 * MEMORY_SHARE;
        Quote {
            first_ms: wait_ms + work_ms + FIRST_EVENT_MS,
            extra_ms: work_ms * WORK_WEIGHT,
            work_ms,
            has_room: all.running < engine.slots && tokens as f64 <= memory,
            light,
        }
    }

    pub(crate) fn quote_plain(&self) -> Quote {
        let running = self.all().running;
        let slots = self.member.slots.max(1);
        Quote {
            first_ms: 0.0,
            extra_ms: f64::from(running) / f64::from(slots) * 100.0,
            work_ms: 0.0,
            has_room: running < slots * (1 + WAITING_PER_SLOT),
            light: false,
        }
    }

    pub(crate) fn take(&mut self, now: Instant, ask: &Ask, quote: Quote) -> Place {
        let tokens = ask.prompt.map_or(0, |p| u64::from(p.tokens) + u64::from(p.output));
        self.own.running += 1;
        self.own.light += u32::from(quote.light);
        self.own.tokens += tokens;
        *self.own.added_ms.entry(ask.urgency).or_default() += quote.work_ms;
        self.add_work(now, ask.urgency, quote.work_ms);
        if let Some(prompt) = ask.prompt {
            for part in &prompt.parts[..prompt.parts.len().saturating_sub(1)] {
                // Peers know of the others already.
                if !self.cache.holds(part.id) {
                    self.own.parts.push((part.id, part.tokens));
                }
                self.cache.touch(now, part.id, part.tokens);
            }
        }
        Place {
            member: self.member.clone(),
            since: now,
            expected: Duration::from_secs_f64(quote.first_ms / 1e3),
            work_ms: quote.work_ms,
            urgency: ask.urgency,
            light: quote.light,
            tokens,
        }
    }

    pub(crate) fn add_work(&mut self, now: Instant, urgency: u8, ms: f64) {
        self.delay(now, urgency, ms.max(0.0));
        self.duty_ms = self.duty(now) * DUTY_MEMORY.as_secs_f64() * 1e3 + ms;
        self.duty_at = now;
    }

    /// Lengthens the virtual queue for requests of this urgency and less urgent ones.
    pub(crate) fn delay(&mut self, now: Instant, urgency: u8, ms: f64) {
        for free_at in &mut self.free_at[usize::from(urgency).min(LEVELS - 1)..] {
            *free_at = (*free_at).max(now) + Duration::from_secs_f64(ms / 1e3);
        }
    }

    /// Returns how long the work takes that goes before a request of this urgency.
    pub(crate) fn wait_ms(&self, now: Instant, urgency: usize) -> f64 {
        let free_at = self.free_at[urgency.min(LEVELS - 1)];
        free_at.saturating_duration_since(now).as_secs_f64() * 1e3
    }

    /// Returns the share of time spent on prefill lately; above 1 if work piles up.
    pub(crate) fn duty(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.duty_at).as_secs_f64();
        let memory = DUTY_MEMORY.as_secs_f64();
        self.duty_ms * (-age / memory).exp() / (memory * 1e3)
    }

    /// Returns what runs here by this host's and its peers' accounts.
    pub(crate) fn all(&self) -> Counts {
        let mut all = self.theirs;
        all.add(Counts {
            running: self.own.running,
            light: self.own.light,
            tokens: self.own.tokens,
        });
        all
    }
}

impl Counts {
    pub(crate) fn add(&mut self, other: Self) {
        self.running += other.running;
        self.light += other.light;
        self.tokens += other.tokens;
    }

    pub(crate) fn remove(&mut self, other: Self) {
        self.running -= other.running;
        self.light -= other.light;
        self.tokens -= other.tokens;
    }
}
