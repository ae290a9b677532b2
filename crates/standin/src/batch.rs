//! A language-model engine with continuous batching in virtual time.
//!
//! Each step reads a chunk of the prompts that wait, the most urgent first, and makes one token of
//! every answer that runs. Memory is shared by answers and by parts of prompts that are kept for
//! others. Times are milliseconds since the start of the play.

use std::collections::{BTreeMap, HashMap, VecDeque};

use wasabi_core::call::Prompt;

/// What an engine can do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shape {
    /// Answers that run at a time.
    pub slots: usize,
    /// Tokens that it holds, kept parts included.
    pub memory: u64,
    /// Prompt tokens that it reads in a millisecond.
    pub tokens_per_ms: f64,
    /// Prompt tokens that it reads in one step.
    pub chunk: u32,
    /// The least time of a step, in milliseconds.
    pub step_ms: f64,
    /// What each running answer adds to a step, in milliseconds.
    pub step_ms_per_running: f64,
    /// Attention time in milliseconds per million pairs of tokens.
    pub pairs_ms_per_million: f64,
    /// From the end of reading to the first event, in milliseconds.
    pub first_ms: f64,
    /// Tokens of one event.
    pub event_tokens: u32,
    /// How many times longer all of it takes.
    pub slowness: f64,
}

/// A request as the engine holds it.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its number in the play.
    pub number: usize,
    /// What has to be read.
    pub prompt: Prompt,
    /// Tokens of the answer.
    pub output: u32,
    /// 0 is the most urgent.
    pub urgency: u8,
}

/// What a step brought.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Output {
    /// An event of the answer of this job, at this time.
    Event {
        /// The job's number.
        number: usize,
        /// In milliseconds.
        at: f64,
    },
    /// The answer of this job is whole.
    Done {
        /// The job's number.
        number: usize,
        /// In milliseconds.
        at: f64,
    },
}

/// The engine.
#[derive(Debug)]
pub struct Engine {
    shape: Shape,
    /// Those that are not read yet, by urgency and arrival.
    waiting: BTreeMap<u8, VecDeque<Reading>>,
    running: Vec<Running>,
    /// Kept parts with their tokens and when they were last read.
    kept: HashMap<u64, (u32, f64)>,
    kept_tokens: u64,
    /// Milliseconds of prompts read so far.
    read_ms: f64,
}

#[derive(Debug)]
struct Reading {
    job: Job,
    /// Tokens kept when reading began; none before.
    kept: Option<u32>,
    /// Tokens read so far, kept ones included.
    done: u32,
}

#[derive(Debug)]
struct Running {
    job: Job,
    /// Tokens made so far.
    made: u32,
}

impl Engine {
    /// Gets an idle engine that keeps nothing.
    pub fn new(shape: Shape) -> Self {
        Self {
            shape,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            kept: HashMap::new(),
            kept_tokens: 0,
            read_ms: 0.0,
        }
    }

    /// Takes a request.
    pub fn push(&mut self, job: Job) {
        let reading = Reading { kept: None, done: 0, job };
        self.waiting.entry(reading.job.urgency).or_default().push_back(reading);
    }

    /// Drops a request that nobody waits for.
    pub fn cancel(&mut self, number: usize) {
        self.running.retain(|running| running.job.number != number);
        for queue in self.waiting.values_mut() {
            queue.retain(|reading| reading.job.number != number);
        }
    }

    /// Returns whether there is nothing to do.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.values().all(VecDeque::is_empty)
    }

    /// Returns how many requests run and how many wait.
    pub fn load(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.values().map(VecDeque::len).sum())
    }

    /// Returns the milliseconds that it has spent on prompts.
    pub fn read_ms(&self) -> f64 {
        self.read_ms
    }

    /// Returns how long it takes to read what goes before a request of this urgency, and the
    /// request's own prompt, in milliseconds.
    pub fn ahead_ms(&self, prompt: &Prompt, urgency: u8) -> f64 {
        let before = self.waiting.range(..=urgency).flat_map(|(_, queue)| queue);
        let ahead: f64 = before
            .map(|reading| {
                let kept = reading.kept.unwrap_or_else(|| self.kept_of(&reading.job.prompt));
                self.whole_ms(kept.max(reading.done), reading.job.prompt.tokens)
            })
            .sum();
        ahead + self.whole_ms(self.kept_of(prompt), prompt.tokens)
    }

    /// Makes one step that begins at `now`; returns when it ends and what it brought.
    pub fn step(&mut self, now: f64) -> (f64, Vec<Output>) {
        let (read_ms, read) = self.read(now);
        let step_ms =
            self.shape.step_ms + self.shape.step_ms_per_running * self.running.len() as f64;
        self.read_ms += read_ms * self.shape.slowness;
        let end = now + (step_ms + read_ms) * self.shape.slowness;
        let mut outputs = self.make(end);
        for job in read {
            outputs.push(Output::Event { number: job.number, at: end + self.shape.first_ms });
            self.running.push(Running { job, made: 1 });
        }
        (end, outputs)
    }

    /// Makes one token of each running answer.
    fn make(&mut self, end: f64) -> Vec<Output> {
        let mut outputs = Vec::new();
        let stride = self.shape.event_tokens.max(1);
        self.running.retain_mut(|running| {
            running.made += 1;
            let whole = running.made >= running.job.output;
            let number = running.job.number;
            if whole || running.made % stride == 0 {
                outputs.push(Output::Event { number, at: end });
            }
            if whole {
                outputs.push(Output::Done { number, at: end });
            }
            !whole
        });
        outputs
    }

    /// Reads one chunk; returns how long that takes and the jobs whose prompts are now read.
    fn read(&mut self, now: f64) -> (f64, Vec<Job>) {
        let mut left = self.shape.chunk;
        let mut ms = 0.0;
        let mut read = Vec::new();
        let shape = self.shape;
        while left > 0 {
            let free = shape.slots.saturating_sub(self.running.len() + read.len());
            let Some(urgency) = self.waiting.iter().find(|(_, q)| !q.is_empty()).map(|(u, _)| *u)
            else {
                break;
            };
            let queue = self.waiting.entry(urgency).or_default();
            let Some(mut reading) = queue.pop_front() else { break };
            let begun = reading.kept.is_some();
            if !begun && (free == 0 || !self.has_room(&reading.job)) {
                self.waiting.entry(urgency).or_default().push_front(reading);
                break;
            }
            let kept = match reading.kept {
                Some(kept) => kept,
                None => self.kept_of(&reading.job.prompt),
            };
            if !begun {
                reading.done = kept;
                reading.kept = Some(kept);
            }
            let tokens = (reading.job.prompt.tokens.saturating_sub(reading.done)).max(1).min(left);
            let pairs = f64::from(tokens) * (f64::from(reading.done) + f64::from(tokens) / 2.0);
            ms +=
                f64::from(tokens) / shape.tokens_per_ms + pairs / 1e6 * shape.pairs_ms_per_million;
            left -= tokens;
            reading.done += tokens;
            if reading.done >= reading.job.prompt.tokens {
                self.keep(now, &reading.job.prompt);
                read.push(reading.job);
            } else {
                self.waiting.entry(urgency).or_default().push_front(reading);
            }
        }
        (ms, read)
    }

    fn has_room(&self, job: &Job) -> bool {
        let held = |job: &Job| u64::from(job.prompt.tokens) + u64::from(job.output);
        let running: u64 = self.running.iter().map(|running| held(&running.job)).sum();
        running + held(job) <= self.shape.memory
    }

    fn keep(&mut self, now: f64, prompt: &Prompt) {
        for part in &prompt.parts {
            if self.kept.insert(part.id, (part.tokens, now)).is_none() {
                self.kept_tokens += u64::from(part.tokens);
            }
        }
        let running: u64 = self.running.iter().map(|r| u64::from(r.job.output)).sum();
        while self.kept_tokens + running > self.shape.memory {
            let oldest = self.kept.iter().min_by(|a, b| a.1.1.total_cmp(&b.1.1).then(a.0.cmp(b.0)));
            let Some(id) = oldest.map(|(id, _)| *id) else { break };
            let Some((tokens, _)) = self.kept.remove(&id) else { break };
            self.kept_tokens -= u64::from(tokens);
        }
    }

    /// Returns how many leading tokens of the prompt need not be read.
    fn kept_of(&self, prompt: &Prompt) -> u32 {
        let known = prompt.parts.iter().take_while(|part| self.kept.contains_key(&part.id));
        known.map(|part| part.tokens).sum()
    }

    /// Returns how long the rest of a prompt takes, in milliseconds.
    fn whole_ms(&self, done: u32, tokens: u32) -> f64 {
        let fresh = f64::from(tokens.saturating_sub(done).max(1));
        let pairs = fresh * (f64::from(done) + fresh / 2.0) / 1e6;
        let step_ms =
            self.shape.step_ms + self.shape.step_ms_per_running * self.running.len() as f64;
        (fresh / self.shape.tokens_per_ms
            + (fresh / f64::from(self.shape.chunk)).ceil() * step_ms
            + pairs * self.shape.pairs_ms_per_million)
            * self.shape.slowness
    }
}
