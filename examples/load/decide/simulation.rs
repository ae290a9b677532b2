//! Discrete-event simulation of requests, hosts and engines under a placement policy.

use std::{cmp::Ordering, collections::BinaryHeap};

use wasabi_standin::batch::{Job, Output, Parameters, SimulatedEngine};

use super::{
    policy::{Policy, Verdict},
    scenario::{Request, Scenario},
};

/// Network delay of a hop: from a host to an engine, from an engine to the caller, or of a retry to
/// its host; in milliseconds.
const HOP_MS: f64 = 1.0;
/// Interval of [`Policy::tick`], in which the hosts of a policy may exchange announcements.
const TICK_INTERVAL_MS: f64 = 10.0;
/// Maximum number of retries of a refused request.
const MAX_RETRIES: u8 = 1;

/// The outcome of a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestOutcome {
    /// From the first attempt to the first event.
    pub first_event_ms: Option<f64>,
    /// The longest time between two events.
    pub longest_gap_ms: f64,
    /// Whether the answer was complete before the timeout.
    pub complete: bool,
    /// How often it was refused.
    pub refusals: u8,
    /// When the last event reached the caller, since the start of the simulation.
    last_ms: f64,
    /// How many events have reached the caller.
    events: u32,
    /// The time between the last two events.
    last_gap_ms: f64,
    /// Whether the answer is complete, the caller has given up, or the request was refused finally.
    ended: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    /// A request reaches its host.
    Arrive(usize),
    /// A request reaches an engine, with its urgency.
    Enqueue(usize, usize, u8),
    /// An engine starts a step.
    Step(usize),
    /// An event of an answer reaches the caller.
    Event(usize),
    /// The end of an answer reaches the caller.
    Done(usize),
    /// The caller of a request gives up.
    Timeout(usize),
    /// The policy's hosts may exchange announcements.
    Tick,
}

/// An event with its time and its sequence number. The order is reversed, so that the earliest is
/// the greatest and [`BinaryHeap`] returns it first; events at the same time keep the order in
/// which they were scheduled.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ScheduledEvent(f64, u64, Kind);

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        other.0.total_cmp(&self.0).then(other.1.cmp(&self.1))
    }
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    requests: &'a [Request],
    engines: Vec<SimulatedEngine>,
    /// Whether a step of the engine is scheduled.
    step_scheduled: Vec<bool>,
    outcomes: Vec<RequestOutcome>,
    schedule: BinaryHeap<ScheduledEvent>,
    /// Number of scheduled events so far.
    sequence: u64,
}

/// Simulates all requests until nothing is left to happen; returns the outcome of each.
pub fn simulate(
    scenario: &Scenario,
    requests: &[Request],
    policy: &mut dyn Policy,
) -> Vec<RequestOutcome> {
    let count = scenario.engines_per_domain * scenario.domains;
    let parameters = |engine: usize| Parameters {
        slowness: scenario.slowness[engine % scenario.slowness.len()],
        ..scenario.engine_parameters
    };
    let mut simulation = Simulation {
        scenario,
        requests,
        engines: (0..count).map(|engine| SimulatedEngine::new(parameters(engine))).collect(),
        step_scheduled: vec![false; count],
        outcomes: vec![RequestOutcome::default(); requests.len()],
        schedule: BinaryHeap::new(),
        sequence: 0,
    };
    for (number, request) in requests.iter().enumerate() {
        simulation.add(request.at_ms, Kind::Arrive(number));
        let timeout = scenario.classes[request.class].timeout_ms;
        simulation.add(request.at_ms + timeout, Kind::Timeout(number));
    }
    simulation.add(0.0, Kind::Tick);
    while let Some(ScheduledEvent(now, _, kind)) = simulation.schedule.pop() {
        simulation.handle(now, kind, policy);
    }
    simulation.outcomes
}

impl Simulation<'_> {
    /// Schedules an event.
    fn add(&mut self, at: f64, kind: Kind) {
        self.sequence += 1;
        self.schedule.push(ScheduledEvent(at, self.sequence, kind));
    }

    fn handle(&mut self, now: f64, kind: Kind, policy: &mut dyn Policy) {
        match kind {
            Kind::Arrive(number) => self.arrive(now, number, policy),
            Kind::Enqueue(number, engine, urgency) => {
                let request = &self.requests[number];
                let (prompt, output_tokens) = (request.prompt.clone(), request.output);
                self.engines[engine].push(Job { number, prompt, output_tokens, urgency });
                self.schedule_step(now, engine);
            }
            Kind::Step(engine) => {
                let (end, outputs) = self.engines[engine].step(now);
                for output in outputs {
                    match output {
                        Output::Event { number, at } => self.add(at + HOP_MS, Kind::Event(number)),
                        Output::Done { number, at } => self.add(at + HOP_MS, Kind::Done(number)),
                    }
                }
                self.step_scheduled[engine] = false;
                self.schedule_step(end, engine);
            }
            Kind::Event(number) => self.event(now, number, policy),
            Kind::Done(number) => self.end(now, number, true, policy),
            Kind::Timeout(number) => {
                for engine in &mut self.engines {
                    engine.cancel(number);
                }
                self.end(now, number, false, policy);
            }
            Kind::Tick => {
                policy.tick(now);
                if now < self.scenario.length_ms {
                    self.add(now + TICK_INTERVAL_MS, Kind::Tick);
                }
            }
        }
    }

    fn arrive(&mut self, now: f64, number: usize, policy: &mut dyn Policy) {
        let request = &self.requests[number];
        let deadline = request.at_ms + self.scenario.classes[request.class].timeout_ms;
        if self.outcomes[number].ended {
            return;
        }
        match policy.place(now, number, request, deadline - now, &self.engines) {
            Verdict::Place(engine, urgency) => {
                self.add(now + HOP_MS, Kind::Enqueue(number, engine, urgency));
            }
            Verdict::Refuse(retry_ms) => {
                self.outcomes[number].refusals += 1;
                if self.outcomes[number].refusals <= MAX_RETRIES && now + retry_ms < deadline {
                    self.add(now + retry_ms + HOP_MS, Kind::Arrive(number));
                } else {
                    self.outcomes[number].ended = true;
                }
            }
        }
    }

    /// Schedules a step of the engine, unless there is one or the engine is idle.
    fn schedule_step(&mut self, now: f64, engine: usize) {
        if !self.step_scheduled[engine] && !self.engines[engine].is_idle() {
            self.step_scheduled[engine] = true;
            self.add(now, Kind::Step(engine));
        }
    }

    fn event(&mut self, now: f64, number: usize, policy: &mut dyn Policy) {
        let request = &self.requests[number];
        let outcome = &mut self.outcomes[number];
        if outcome.ended {
            return;
        }
        match outcome.first_event_ms {
            None => {
                outcome.first_event_ms = Some(now - request.at_ms);
                policy.first_event(now, number, request);
            }
            Some(_) => {
                let gap_ms = now - outcome.last_ms;
                outcome.longest_gap_ms = outcome.longest_gap_ms.max(gap_ms);
                if outcome.events >= 3 {
                    policy.event_gap(outcome.last_ms, number, request, outcome.last_gap_ms);
                }
                outcome.last_gap_ms = gap_ms;
            }
        }
        outcome.last_ms = now;
        outcome.events += 1;
    }

    fn end(&mut self, now: f64, number: usize, complete: bool, policy: &mut dyn Policy) {
        let outcome = &mut self.outcomes[number];
        if outcome.ended {
            return;
        }
        outcome.ended = true;
        outcome.complete = complete;
        policy.ended(now, number, &self.requests[number], complete);
    }
}
