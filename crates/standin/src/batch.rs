//! Simulation of an inference engine with continuous batching and chunked prefill, in virtual time.
//!
//! Each step prefills one chunk of the waiting prompts, the most urgent first, and generates one
//! token of every running answer. Running answers and the prefix cache share the memory. Times are
//! milliseconds since the start of the simulation.

use std::collections::{BTreeMap, HashMap, VecDeque};

use wasabi_core::call::Prompt;

/// Capacity and speed of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Parameters {
    /// Maximum number of running answers.
    pub slots: usize,
    /// Tokens that fit into its memory, cached prompt parts included.
    pub memory_tokens: u64,
    /// Prefill rate in prompt tokens per millisecond, attention aside.
    pub tokens_per_ms: f64,
    /// Maximum number of prompt tokens that one step prefills.
    pub chunk_tokens: u32,
    /// Duration of a step with nothing to prefill and no running answer, in milliseconds.
    pub step_ms: f64,
    /// Time that each running answer adds to a step, in milliseconds.
    pub step_ms_per_running: f64,
    /// Attention time of prefill, in milliseconds per million pairs of tokens.
    pub attention_ms_per_million_pairs: f64,
    /// Delay from the end of prefill to the first event, in milliseconds.
    pub first_event_delay_ms: f64,
    /// Tokens per event.
    pub event_tokens: u32,
    /// Factor on the duration of every step; 1.0 is nominal speed.
    pub slowness: f64,
}

/// A request as the engine holds it.
#[derive(Clone, Debug)]
pub struct Job {
    /// Identifies the request in the simulation.
    pub number: usize,
    /// The prompt to prefill.
    pub prompt: Prompt,
    /// Length of the answer, in tokens.
    pub output_tokens: u32,
    /// 0 is the most urgent.
    pub urgency: u8,
}

/// An output of a step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Output {
    /// An event of the answer of this job.
    Event {
        /// The job's number.
        number: usize,
        /// In milliseconds.
        at: f64,
    },
    /// The answer of this job is complete.
    Done {
        /// The job's number.
        number: usize,
        /// In milliseconds.
        at: f64,
    },
}

/// A simulated engine.
#[derive(Debug)]
pub struct SimulatedEngine {
    parameters: Parameters,
    /// Requests whose prefill has not finished, by urgency, then arrival.
    waiting: BTreeMap<u8, VecDeque<Prefill>>,
    running: Vec<Running>,
    /// Prefix cache: the tokens of each cached part and when it was last prefilled.
    cached: HashMap<u64, (u32, f64)>,
    cached_tokens: u64,
    /// Time spent on prefill so far, in milliseconds.
    prefill_ms: f64,
}

#[derive(Debug)]
struct Prefill {
    job: Job,
    /// Tokens that were cached when the prefill started; `None` before it starts.
    cached: Option<u32>,
    /// Tokens processed so far, cached ones included.
    processed: u32,
}

#[derive(Debug)]
struct Running {
    job: Job,
    /// Tokens generated so far.
    generated: u32,
}

impl SimulatedEngine {
    /// The engine is idle and its cache empty.
    pub fn new(parameters: Parameters) -> Self {
        Self {
            parameters,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            cached: HashMap::new(),
            cached_tokens: 0,
            prefill_ms: 0.0,
        }
    }

    /// Queues a request behind those of the same urgency.
    pub fn push(&mut self, job: Job) {
        let prefill = Prefill { cached: None, processed: 0, job };
        self.waiting.entry(prefill.job.urgency).or_default().push_back(prefill);
    }

    /// Drops a request, whether it waits or runs; an unknown number has no effect.
    pub fn cancel(&mut self, number: usize) {
        self.running.retain(|running| running.job.number != number);
        for queue in self.waiting.values_mut() {
            queue.retain(|prefill| prefill.job.number != number);
        }
    }

    /// Returns whether no request runs or waits.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.values().all(VecDeque::is_empty)
    }

    /// Returns the numbers of running and of waiting requests.
    pub fn load(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.values().map(VecDeque::len).sum())
    }

    /// Returns the time spent on prefill so far, in milliseconds.
    pub fn prefill_ms(&self) -> f64 {
        self.prefill_ms
    }

    /// Estimates the time to prefill all waiting requests that are at least as urgent, and then
    /// this prompt, in milliseconds.
    pub fn time_until_prefilled_ms(&self, prompt: &Prompt, urgency: u8) -> f64 {
        let queued = self.waiting.range(..=urgency).flat_map(|(_, queue)| queue);
        let ahead: f64 = queued
            .map(|prefill| {
                let cached = prefill
                    .cached
                    .unwrap_or_else(|| self.cached_prefix_tokens(&prefill.job.prompt));
                self.remaining_prefill_ms(cached.max(prefill.processed), prefill.job.prompt.tokens)
            })
            .sum();
        ahead + self.remaining_prefill_ms(self.cached_prefix_tokens(prompt), prompt.tokens)
    }

    /// Runs one step that begins at `now`; returns when it ends, and its outputs.
    pub fn step(&mut self, now: f64) -> (f64, Vec<Output>) {
        let (prefill_ms, prefilled) = self.prefill_chunk(now);
        let step_ms = self.parameters.step_ms
            + self.parameters.step_ms_per_running * self.running.len() as f64;
        self.prefill_ms += prefill_ms * self.parameters.slowness;
        let end = now + (step_ms + prefill_ms) * self.parameters.slowness;
        let mut outputs = self.decode(end);
        for job in prefilled {
            outputs.push(Output::Event {
                number: job.number,
                at: end + self.parameters.first_event_delay_ms,
            });
            self.running.push(Running { job, generated: 1 });
        }
        (end, outputs)
    }

    /// Generates one token of each running answer; finished answers leave the engine.
    fn decode(&mut self, end: f64) -> Vec<Output> {
        let mut outputs = Vec::new();
        let stride = self.parameters.event_tokens.max(1);
        self.running.retain_mut(|running| {
            running.generated += 1;
            let finished = running.generated >= running.job.output_tokens;
            let number = running.job.number;
            if finished || running.generated % stride == 0 {
                outputs.push(Output::Event { number, at: end });
            }
            if finished {
                outputs.push(Output::Done { number, at: end });
            }
            !finished
        });
        outputs
    }

    /// Prefills one chunk; returns how long that takes at nominal speed, and the jobs whose prefill
    /// has finished.
    fn prefill_chunk(&mut self, now: f64) -> (f64, Vec<Job>) {
        let mut budget = self.parameters.chunk_tokens;
        let mut ms = 0.0;
        let mut prefilled = Vec::new();
        let parameters = self.parameters;
        while budget > 0 {
            let free_slots = parameters.slots.saturating_sub(self.running.len() + prefilled.len());
            let Some(urgency) = self.waiting.iter().find(|(_, q)| !q.is_empty()).map(|(u, _)| *u)
            else {
                break;
            };
            let queue = self.waiting.entry(urgency).or_default();
            let Some(mut prefill) = queue.pop_front() else { break };
            let started = prefill.cached.is_some();
            if !started && (free_slots == 0 || !self.has_room(&prefill.job)) {
                self.waiting.entry(urgency).or_default().push_front(prefill);
                break;
            }
            let cached = match prefill.cached {
                Some(cached) => cached,
                None => self.cached_prefix_tokens(&prefill.job.prompt),
            };
            if !started {
                prefill.processed = cached;
                prefill.cached = Some(cached);
            }
            let tokens =
                (prefill.job.prompt.tokens.saturating_sub(prefill.processed)).max(1).min(budget);
            let pairs =
                f64::from(tokens) * (f64::from(prefill.processed) + f64::from(tokens) / 2.0);
            ms += f64::from(tokens) / parameters.tokens_per_ms
                + pairs / 1e6 * parameters.attention_ms_per_million_pairs;
            budget -= tokens;
            prefill.processed += tokens;
            if prefill.processed >= prefill.job.prompt.tokens {
                self.cache_prompt(now, &prefill.job.prompt);
                prefilled.push(prefill.job);
            } else {
                self.waiting.entry(urgency).or_default().push_front(prefill);
            }
        }
        (ms, prefilled)
    }

    /// Returns whether the prompt and the full answer fit beside those of the running jobs.
    fn has_room(&self, job: &Job) -> bool {
        let job_tokens = |job: &Job| u64::from(job.prompt.tokens) + u64::from(job.output_tokens);
        let running: u64 = self.running.iter().map(|running| job_tokens(&running.job)).sum();
        running + job_tokens(job) <= self.parameters.memory_tokens
    }

    /// Caches the parts of a prompt, and evicts the least recently prefilled ones while the cache
    /// and the answers of running jobs exceed the memory.
    fn cache_prompt(&mut self, now: f64, prompt: &Prompt) {
        for part in &prompt.parts {
            if self.cached.insert(part.id, (part.tokens, now)).is_none() {
                self.cached_tokens += u64::from(part.tokens);
            }
        }
        let running: u64 = self.running.iter().map(|r| u64::from(r.job.output_tokens)).sum();
        while self.cached_tokens + running > self.parameters.memory_tokens {
            let oldest =
                self.cached.iter().min_by(|a, b| a.1.1.total_cmp(&b.1.1).then(a.0.cmp(b.0)));
            let Some(id) = oldest.map(|(id, _)| *id) else { break };
            let Some((tokens, _)) = self.cached.remove(&id) else { break };
            self.cached_tokens -= u64::from(tokens);
        }
    }

    /// Returns the number of leading tokens of the prompt that are cached.
    fn cached_prefix_tokens(&self, prompt: &Prompt) -> u32 {
        let cached_parts =
            prompt.parts.iter().take_while(|part| self.cached.contains_key(&part.id));
        cached_parts.map(|part| part.tokens).sum()
    }

    /// Estimates the time to prefill the rest of a prompt, in milliseconds.
    fn remaining_prefill_ms(&self, processed: u32, tokens: u32) -> f64 {
        let remaining = f64::from(tokens.saturating_sub(processed).max(1));
        let pairs = remaining * (f64::from(processed) + remaining / 2.0) / 1e6;
        let step_ms = self.parameters.step_ms
            + self.parameters.step_ms_per_running * self.running.len() as f64;
        (remaining / self.parameters.tokens_per_ms
            + (remaining / f64::from(self.parameters.chunk_tokens)).ceil() * step_ms
            + pairs * self.parameters.attention_ms_per_million_pairs)
            * self.parameters.slowness
    }
}
