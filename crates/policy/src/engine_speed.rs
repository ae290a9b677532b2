//! Learned speed of the engines of one service: the step time by running requests for the service
//! as a whole, and for each engine a factor on the step time and one on the prefill time.
//!
//! The step time is learned from the gaps between stream events, the prefill time from first events
//! of requests that found an empty queue. Gaps may contain prefill that this host does not know of,
//! and a first event may have waited behind it, so quantiles of a window of observations are used,
//! never the mean. Observations are forgotten after [`MAX_AGE`]; without any, the typical values
//! hold.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Prompt tokens that a typical engine reads in a millisecond. Known engines: 36.1 to 56.9.
pub(crate) const PREFILL_TOKENS_PER_MS: f64 = 56.9;
/// Prompt tokens that an engine reads in one step (a prefill chunk); typical value.
pub(crate) const PREFILL_CHUNK_TOKENS: f64 = 2048.0;
/// The time of a step without running requests, in milliseconds; starting value. Known engines:
/// 3.09 to 6.45.
const STEP_MS: f64 = 3.09;
/// What each running request adds to a step, in milliseconds; starting value. Known engines: 0.089
/// to 0.16.
const STEP_MS_PER_RUNNING: f64 = 0.102;
/// Attention time in milliseconds per million pairs of tokens; typical value.
const ATTENTION_MS_PER_MILLION_PAIRS: f64 = 0.165;
/// A learned value stays between its starting value divided by this and multiplied by this, so that
/// wrong observations have bounded effect. Engines of one service differ by less than a factor of 3.
const MAX_FACTOR: f64 = 4.0;
/// Observations are forgotten after this time. A busy engine gives a host several in a second; an
/// engine that has changed is known in this time, however many earlier observations there were.
const MAX_AGE: Duration = Duration::from_secs(15);
/// Observations kept of one engine and kind.
const WINDOW: usize = 32;
/// The quantile of the step times in a window that counts as the time without prefill: low, since
/// prefill only ever lengthens a gap, but above the shortest ones, which follow a late delivery.
const STEP_QUANTILE: f64 = 0.3;
/// The quantile of the prefill factors: unknown queues make them higher, prefixes that are cached
/// unexpectedly lower.
const PREFILL_QUANTILE: f64 = 0.5;
/// The prior value of a factor counts as this many observations.
const PRIOR_WEIGHT: f64 = 4.0;
/// The scale of the typical step time counts as this many observations, and so does the typical line at
/// each of two numbers of running requests.
const SERVICE_PRIOR_WEIGHT: f64 = 16.0;
/// The other of them, beside 0: about what a busy engine of 64 slots runs.
const STEP_PRIOR_RUNNING: f64 = 16.0;
/// An engine with fewer observations does not enter the median of the service: at large sites, single
/// first events mostly show queues that this host does not know of. A trial that counted them served 0.84
/// of the value instead of 0.93 (`load decide large`).
const MIN_OBSERVATIONS: usize = 4;
/// Interval of the computation of the learned values from the observations.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// Weight of a newly computed step time of the service, which smooths it over about 2 s.
const STEP_GAIN: f64 = 0.25;
/// Groups of equal size, by running requests, to which the step time of the service is fitted.
const FIT_GROUPS: usize = 6;
/// How long the work percentage that a server states is used: it changes several times a second.
const WORK_MAX_AGE: Duration = Duration::from_millis(500);
/// A request with less expected prefill tells nothing of the prefill speed, since the time to its
/// first event is mostly overhead; in milliseconds.
const MIN_OBSERVED_PREFILL_MS: f64 = 18.0;
/// A first event tells of the prefill speed if the expected wait was at most this share of the prefill
/// time. Longer queues are known too poorly; without any, engines that are always busy tell nothing.
const MAX_QUEUE_SHARE: f64 = 1.0;

/// The time of a decode step by the number of running requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StepTime {
    base_ms: f64,
    per_running_ms: f64,
}

/// The factors on the typical times of an engine that an estimate uses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    /// Factor on the step time of the service.
    pub step: f64,
    /// Factor on the prefill time.
    pub prefill: f64,
    /// The part of both that comes from the work percentage that the server stated; 1 without it.
    pub work: f64,
}

/// The time between two events of a stream, without others in between.
#[derive(Clone, Copy, Debug)]
pub struct EventGap {
    /// When the earlier event arrived.
    pub from: Instant,
    /// When the later event arrived.
    pub to: Instant,
}

/// What the engines of a service have shown in common.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceSpeed {
    pub(crate) step: StepTime,
    /// The medians of the factors of the engines with observations, from which the others start.
    median: Factors,
    refreshed_at: Option<Instant>,
    /// The shortest gap that recent light streams tolerate, and when one with it was placed.
    stream_gap: Option<(Duration, Instant)>,
}

/// The observed speed of one engine.
#[derive(Debug)]
pub(crate) struct EngineSpeed {
    steps: VecDeque<StepObservation>,
    /// Observed prefill factors.
    prefills: VecDeque<(Instant, f64)>,
    /// The learned factors, as of the last refresh.
    factors: Factors,
    /// The last stated work percentage as a factor.
    work: Option<(f64, Instant)>,
}

#[derive(Clone, Copy, Debug)]
struct Factors {
    step: f64,
    prefill: f64,
}

/// A factor that observations show, and their number.
type Observed = (f64, usize);

#[derive(Clone, Copy, Debug)]
struct StepObservation {
    at: Instant,
    running: f64,
    /// The time of one step, with the work percentage taken out.
    ms: f64,
}

impl StepTime {
    /// The step time of a typical engine, with which every service starts.
    pub const TYPICAL: Self = Self { base_ms: STEP_MS, per_running_ms: STEP_MS_PER_RUNNING };

    /// A step takes `base_ms`, and `per_running_ms` more for each running request.
    pub fn new(base_ms: f64, per_running_ms: f64) -> Self {
        Self { base_ms, per_running_ms }
    }

    /// Returns the time of a step with so many running requests, in milliseconds.
    pub fn ms(self, running: f64) -> f64 {
        self.base_ms + self.per_running_ms * running
    }

    /// Returns with how many running requests a step takes this time, in milliseconds.
    pub fn running_at(self, step_ms: f64) -> f64 {
        ((step_ms - self.base_ms) / self.per_running_ms).max(0.0)
    }
}

impl Speed {
    /// The speed of a typical engine.
    pub const TYPICAL: Self = Self { step: 1.0, prefill: 1.0, work: 1.0 };
}

impl Default for Factors {
    fn default() -> Self {
        Self { step: 1.0, prefill: 1.0 }
    }
}

impl Default for ServiceSpeed {
    fn default() -> Self {
        Self {
            step: StepTime::TYPICAL,
            median: Factors::default(),
            refreshed_at: None,
            stream_gap: None,
        }
    }
}

impl ServiceSpeed {
    /// Records that a light stream that tolerates gaps up to `target` is placed.
    pub(crate) fn record_stream(&mut self, now: Instant, target: Duration) {
        if self.stream_gap(now).is_none_or(|shortest| target <= shortest) {
            self.stream_gap = Some((target, now));
        }
    }

    /// Returns the shortest gap that light streams tolerate, as far as some were placed lately.
    pub(crate) fn stream_gap(&self, now: Instant) -> Option<Duration> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= MAX_AGE;
        self.stream_gap.filter(|(_, at)| is_recent(*at)).map(|(target, _)| target)
    }

    /// Returns whether the learned values are to be computed anew.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        let since = |at: Instant| now.saturating_duration_since(at);
        self.refreshed_at.is_none_or(|at| since(at) >= REFRESH_INTERVAL)
    }

    /// Drops old observations of the service's engines and computes the learned values from the rest.
    pub(crate) fn refresh<'a>(
        &mut self,
        now: Instant,
        engines: impl Iterator<Item = &'a mut EngineSpeed>,
    ) {
        self.refreshed_at = Some(now);
        let mut engines: Vec<&mut EngineSpeed> = engines.collect();
        engines.iter_mut().for_each(|engine| engine.forget_old(now));
        let fitted = self.fit_step_time(&engines);
        let towards = |from: f64, to: f64| from + STEP_GAIN * (to - from);
        self.step = StepTime {
            base_ms: towards(self.step.base_ms, fitted.base_ms),
            per_running_ms: towards(self.step.per_running_ms, fitted.per_running_ms),
        };
        let observed: Vec<_> = engines.iter().map(|engine| engine.observed(self.step)).collect();
        self.median = Factors {
            step: median(observed.iter().filter_map(|(step, _)| *step)),
            prefill: median(observed.iter().filter_map(|(_, prefill)| *prefill)),
        };
        for (engine, (step, prefill)) in engines.iter_mut().zip(observed) {
            engine.factors = Factors {
                step: with_prior(step, self.median.step, PRIOR_WEIGHT),
                prefill: with_prior(prefill, self.median.prefill, PRIOR_WEIGHT),
            };
        }
    }

    /// Fits a line to the observed step times of all engines, each divided by how much slower than
    /// the median its engine is, and to the typical line, scaled.
    fn fit_step_time(&self, engines: &[&mut EngineSpeed]) -> StepTime {
        let mut points: Vec<(f64, f64)> = engines
            .iter()
            .flat_map(|engine| {
                let relative = engine.factors.step / self.median.step;
                engine.steps.iter().map(move |step| (step.running, step.ms / relative))
            })
            .collect();
        points.sort_by(|a, b| a.0.total_cmp(&b.0));
        // Where nothing was observed, the line keeps the shape of the typical one.
        let typical = StepTime::TYPICAL;
        let ratios = points.iter().map(|(running, ms)| ms / typical.ms(*running)).collect();
        let ratio = quantile(ratios, STEP_QUANTILE).map(|ratio| (ratio, points.len()));
        let scale = with_prior(ratio, 1.0, SERVICE_PRIOR_WEIGHT);
        let mut weighted: Vec<(f64, f64, f64)> = [0.0, STEP_PRIOR_RUNNING]
            .map(|running| (SERVICE_PRIOR_WEIGHT, running, scale * typical.ms(running)))
            .to_vec();
        for group in points.chunks(points.len().div_ceil(FIT_GROUPS).max(1)) {
            let running = group.iter().map(|(running, _)| running).sum::<f64>();
            let ms = quantile(group.iter().map(|(_, ms)| *ms).collect(), STEP_QUANTILE);
            let count = group.len() as f64;
            weighted.extend(ms.map(|ms| (count, running / count, ms)));
        }
        fit_line(&weighted)
    }
}

impl EngineSpeed {
    /// An engine without observations starts from what the service's other engines have shown.
    pub(crate) fn new(service: &ServiceSpeed) -> Self {
        Self {
            steps: VecDeque::new(),
            prefills: VecDeque::new(),
            factors: service.median,
            work: None,
        }
    }

    /// Returns the factors that hold now.
    pub(crate) fn speed(&self, now: Instant) -> Speed {
        let work = self.work(now);
        let scaled = |factor: f64| bounded(factor * work);
        Speed { step: scaled(self.factors.step), prefill: scaled(self.factors.prefill), work }
    }

    /// Records how long work takes on the server, in percent of the usual time, as it stated.
    pub(crate) fn record_work_percent(&mut self, now: Instant, percent: u32) {
        self.work = Some((bounded(f64::from(percent) / 100.0), now));
    }

    /// Records the time of a step with so many running requests, without prefill as far as known.
    pub(crate) fn record_step(&mut self, now: Instant, running: u32, ms: f64, usual: StepTime) {
        let (running, ms) = (f64::from(running), ms / self.work(now));
        // A burst of events after a late delivery, which says nothing of the engine.
        if ms * MAX_FACTOR < usual.ms(running) {
            return;
        }
        push(&mut self.steps, StepObservation { at: now, running, ms });
    }

    /// Records that a first event came `observed_ms` after it was expected to wait for `queued_ms` and
    /// then be read for `prefill_ms`, estimated with `speed`; overheads are taken out.
    pub(crate) fn record_prefill(
        &mut self,
        now: Instant,
        observed_ms: f64,
        queued_ms: f64,
        prefill_ms: f64,
        speed: Speed,
    ) {
        if prefill_ms < MIN_OBSERVED_PREFILL_MS || queued_ms > prefill_ms * MAX_QUEUE_SHARE {
            return;
        }
        // What is queued was estimated with about the same factor.
        let ratio = observed_ms.max(0.0) / (queued_ms.max(0.0) + prefill_ms);
        push(&mut self.prefills, (now, bounded(ratio * speed.prefill / speed.work)));
    }

    fn work(&self, now: Instant) -> f64 {
        let fresh = |at: Instant| now.saturating_duration_since(at) <= WORK_MAX_AGE;
        self.work.filter(|(_, at)| fresh(*at)).map_or(1.0, |(work, _)| work)
    }

    fn forget_old(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) > MAX_AGE;
        while self.steps.pop_front_if(|step| is_old(step.at)).is_some() {}
        while self.prefills.pop_front_if(|(at, _)| is_old(*at)).is_some() {}
    }

    /// Returns the factors on step and prefill time that the observations show, with their numbers.
    fn observed(&self, usual: StepTime) -> (Option<Observed>, Option<Observed>) {
        let steps = self.steps.iter().map(|step| step.ms / usual.ms(step.running)).collect();
        let prefills = self.prefills.iter().map(|(_, factor)| *factor).collect();
        let with_count = |count| move |factor| (factor, count);
        (
            quantile(steps, STEP_QUANTILE).map(with_count(self.steps.len())),
            quantile(prefills, PREFILL_QUANTILE).map(with_count(self.prefills.len())),
        )
    }
}

/// Returns the time to read a prompt of `uncached` tokens behind `cached` ones, at the typical speed,
/// without the steps in between; in milliseconds.
pub(crate) fn reading_ms(cached: f64, uncached: f64) -> f64 {
    let pairs = uncached * (cached + uncached / 2.0) / 1e6;
    uncached / PREFILL_TOKENS_PER_MS + pairs * ATTENTION_MS_PER_MILLION_PAIRS
}

fn bounded(factor: f64) -> f64 {
    factor.clamp(1.0 / MAX_FACTOR, MAX_FACTOR)
}

/// Returns the median of the engines' factors, given with their numbers of observations.
fn median(factors: impl Iterator<Item = Observed>) -> f64 {
    let known = factors.filter(|(_, count)| *count >= MIN_OBSERVATIONS);
    quantile(known.map(|(factor, _)| factor).collect(), 0.5).unwrap_or(1.0)
}

/// Mixes an observed factor with the prior one, which counts as `weight` observations.
fn with_prior(observed: Option<Observed>, prior: f64, weight: f64) -> f64 {
    let (factor, count) = observed.unwrap_or((prior, 0));
    let count = count as f64;
    bounded((factor * count + prior * weight) / (count + weight))
}

fn push<T>(window: &mut VecDeque<T>, observation: T) {
    if window.len() >= WINDOW {
        window.pop_front();
    }
    window.push_back(observation);
}

/// Returns the value below which this share of the values lies; `None` without values.
fn quantile(mut values: Vec<f64>, share: f64) -> Option<f64> {
    let index = (values.len().checked_sub(1)? as f64 * share) as usize;
    Some(*values.select_nth_unstable_by(index, f64::total_cmp).1)
}

/// Fits a step time to points (weight, running requests, milliseconds) by least squares, within the
/// bounds of learned values.
fn fit_line(points: &[(f64, f64, f64)]) -> StepTime {
    let weight: f64 = points.iter().map(|(weight, _, _)| weight).sum();
    let mean = |value: &dyn Fn(&(f64, f64, f64)) -> f64| {
        points.iter().map(|point| point.0 * value(point)).sum::<f64>() / weight
    };
    let (running, ms) = (mean(&|point| point.1), mean(&|point| point.2));
    let spread = mean(&|point| (point.1 - running).powi(2));
    let slope = mean(&|point| (point.1 - running) * (point.2 - ms)) / spread;
    let within = |value: f64, usual: f64| value.clamp(usual / MAX_FACTOR, usual * MAX_FACTOR);
    let per_running_ms = within(slope, STEP_MS_PER_RUNNING);
    StepTime { base_ms: within(ms - per_running_ms * running, STEP_MS), per_running_ms }
}
