//! Plays requests against a policy in virtual time.

use std::{cmp::Ordering, collections::BinaryHeap};

use wasabi_standin::batch::{Engine, Job, Output, Shape};

use super::{
    policy::{Policy, Verdict},
    scenario::{Request, Scenario},
};

/// From a caller to its host, and from there to an engine, in milliseconds.
const WAY_MS: f64 = 1.0;
/// How often the policy's hosts may tell each other something.
const TICK_MS: f64 = 10.0;
/// Refused callers come back once.
const RETURNS: u8 = 1;

/// What became of a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fate {
    pub first_ms: Option<f64>,
    pub longest_gap_ms: f64,
    pub whole: bool,
    /// How often it was refused.
    pub refused: u8,
    last_ms: f64,
    ended: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum What {
    Arrive(usize),
    Join(usize, usize, u8),
    Step(usize),
    Event(usize),
    Done(usize),
    GiveUp(usize),
    Tick,
}

/// The earliest comes first out of the heap.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Due(f64, u64, What);

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> Ordering {
        other.0.total_cmp(&self.0).then(other.1.cmp(&self.1))
    }
}

struct Play<'a> {
    scenario: &'a Scenario,
    requests: &'a [Request],
    engines: Vec<Engine>,
    /// Whether a step of the engine is due.
    busy: Vec<bool>,
    fates: Vec<Fate>,
    due: BinaryHeap<Due>,
    number: u64,
}

/// Plays all requests and returns the fate of each.
pub fn play(scenario: &Scenario, requests: &[Request], policy: &mut dyn Policy) -> Vec<Fate> {
    let count = scenario.engines * scenario.domains;
    let shape = |engine: usize| Shape {
        slowness: scenario.slowness[engine % scenario.slowness.len()],
        ..scenario.shape
    };
    let mut play = Play {
        scenario,
        requests,
        engines: (0..count).map(|engine| Engine::new(shape(engine))).collect(),
        busy: vec![false; count],
        fates: vec![Fate::default(); requests.len()],
        due: BinaryHeap::new(),
        number: 0,
    };
    for (number, request) in requests.iter().enumerate() {
        play.add(request.at_ms, What::Arrive(number));
        let timeout = scenario.classes[request.class].timeout_ms;
        play.add(request.at_ms + timeout, What::GiveUp(number));
    }
    play.add(0.0, What::Tick);
    while let Some(Due(now, _, what)) = play.due.pop() {
        play.happen(now, what, policy);
    }
    play.fates
}

impl Play<'_> {
    fn add(&mut self, at: f64, what: What) {
        self.number += 1;
        self.due.push(Due(at, self.number, what));
    }

    fn happen(&mut self, now: f64, what: What, policy: &mut dyn Policy) {
        match what {
            What::Arrive(number) => self.arrive(now, number, policy),
            What::Join(number, engine, urgency) => {
                let request = &self.requests[number];
                let (prompt, output) = (request.prompt.clone(), request.output);
                self.engines[engine].push(Job { number, prompt, output, urgency });
                self.wake(now, engine);
            }
            What::Step(engine) => {
                let (end, outputs) = self.engines[engine].step(now);
                for output in outputs {
                    match output {
                        Output::Event { number, at } => self.add(at + WAY_MS, What::Event(number)),
                        Output::Done { number, at } => self.add(at + WAY_MS, What::Done(number)),
                    }
                }
                self.busy[engine] = false;
                self.wake(end, engine);
            }
            What::Event(number) => self.event(now, number, policy),
            What::Done(number) => self.end(now, number, true, policy),
            What::GiveUp(number) => {
                for engine in &mut self.engines {
                    engine.cancel(number);
                }
                self.end(now, number, false, policy);
            }
            What::Tick => {
                policy.tick(now);
                if now < self.scenario.length_ms {
                    self.add(now + TICK_MS, What::Tick);
                }
            }
        }
    }

    fn arrive(&mut self, now: f64, number: usize, policy: &mut dyn Policy) {
        let request = &self.requests[number];
        let deadline = request.at_ms + self.scenario.classes[request.class].timeout_ms;
        if self.fates[number].ended {
            return;
        }
        match policy.place(now, number, request, deadline - now, &self.engines) {
            Verdict::Place(engine, urgency) => {
                self.add(now + WAY_MS, What::Join(number, engine, urgency));
            }
            Verdict::Refuse(pause) => {
                self.fates[number].refused += 1;
                if self.fates[number].refused <= RETURNS && now + pause < deadline {
                    self.add(now + pause + WAY_MS, What::Arrive(number));
                } else {
                    self.fates[number].ended = true;
                }
            }
        }
    }

    fn wake(&mut self, now: f64, engine: usize) {
        if !self.busy[engine] && !self.engines[engine].is_idle() {
            self.busy[engine] = true;
            self.add(now, What::Step(engine));
        }
    }

    fn event(&mut self, now: f64, number: usize, policy: &mut dyn Policy) {
        let request = &self.requests[number];
        let fate = &mut self.fates[number];
        if fate.ended {
            return;
        }
        match fate.first_ms {
            None => {
                fate.first_ms = Some(now - request.at_ms);
                policy.started(now, number, request);
            }
            Some(_) => fate.longest_gap_ms = fate.longest_gap_ms.max(now - fate.last_ms),
        }
        fate.last_ms = now;
    }

    fn end(&mut self, now: f64, number: usize, whole: bool, policy: &mut dyn Policy) {
        let fate = &mut self.fates[number];
        if fate.ended {
            return;
        }
        fate.ended = true;
        fate.whole = whole;
        policy.ended(now, number, &self.requests[number], whole);
    }
}
