//! Properties of the scheduler of tickets over generated workloads: no starvation, no overbooked
//! slots, and no higher tier shed or preempted for a lower one.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use wasabi_core::{
    note::Server,
    units::{PoolId, Tokens},
};
use wasabi_policy::{
    scheduler::{Options, Scheduler},
    ticket::{Decision, Outcome, Ticket, TicketId},
};

const TIERS: u8 = 4;
const MAX_GAP: Duration = Duration::from_millis(500);
const TICK: Duration = Duration::from_millis(10);
/// The longest time that a request runs.
const MAX_RUN: Duration = Duration::from_millis(200);

/// The events of one step of `TICK`.
#[derive(Clone, Debug)]
struct Step {
    tier: u8,
    workspace: u8,
    tokens: u8,
    arrives: bool,
    preemptible: bool,
    patience_ms: u16,
    cancels: bool,
}

#[derive(Clone, Debug)]
struct Workload {
    slots: u8,
    steps: Vec<Step>,
}

impl Arbitrary for Step {
    fn arbitrary(source: &mut Gen) -> Self {
        Self {
            tier: u8::arbitrary(source) % TIERS,
            workspace: u8::arbitrary(source) % 3,
            tokens: u8::arbitrary(source) % 20,
            arrives: u8::arbitrary(source) % 4 > 0,
            preemptible: bool::arbitrary(source),
            patience_ms: u16::arbitrary(source) % 2_000,
            cancels: u8::arbitrary(source) % 16 == 0,
        }
    }
}

impl Arbitrary for Workload {
    fn arbitrary(source: &mut Gen) -> Self {
        let slots = u8::arbitrary(source) % 4 + 1;
        Self { slots, steps: Vec::arbitrary(source) }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let slots = self.slots;
        Box::new(self.steps.shrink().map(move |steps| Self { slots, steps }))
    }
}

struct Simulation {
    scheduler: Scheduler,
    now: Instant,
    slots: u32,
    /// Whether generated tokens are reported to the scheduler, which corrects its estimates.
    reports_progress: bool,
    /// The waiting tickets.
    waiting: HashMap<TicketId, Ticket>,
    /// The running tickets, and when each ends.
    running: HashMap<TicketId, (Ticket, Instant)>,
    /// When each tier was last served, or last began to wait if that is later.
    last_served: BTreeMap<u8, Instant>,
    fault: Option<String>,
}

fn pool() -> PoolId {
    "pool".parse().expect("a name")
}

impl Simulation {
    fn new(slots: u32, options: Options) -> Self {
        let mut scheduler = Scheduler::new(options);
        let now = Instant::now();
        let server = Server {
            name: "s".parse().expect("a name"),
            address: "127.0.0.1:1".parse().expect("an address"),
            build: Default::default(),
            domain: "d".parse().expect("a name"),
            reclaimable: false,
            slots,
        };
        scheduler.set_servers(now, &pool(), &[server]);
        let (waiting, running, last_served, fault) = Default::default();
        Self { scheduler, now, slots, reports_progress: true, waiting, running, last_served, fault }
    }

    fn record_fault(&mut self, text: String) {
        self.fault.get_or_insert(text);
    }

    fn arrive(&mut self, step: &Step) {
        let ticket = Ticket {
            pool: pool(),
            class: format!("c{}", step.tier).parse().expect("a name"),
            tier: step.tier,
            workspace: format!("w{}", step.workspace).parse().expect("a name"),
            weight: 1,
            max_running: None,
            token_rate: None,
            max_gap: MAX_GAP,
            patience: Duration::from_millis(u64::from(step.patience_ms)),
            expected: Tokens(u64::from(step.tokens) + 1),
            preemptible: step.preemptible,
            avoid: None,
            prefix: 0,
            features: Vec::new(),
            build: None,
            resumed: false,
        };
        if !self.waiting.values().any(|waiting| waiting.tier == step.tier) {
            self.last_served.insert(step.tier, self.now);
        }
        let (id, decisions) = self.scheduler.arrive(self.now, ticket.clone());
        self.waiting.insert(id, ticket);
        self.apply(decisions);
    }

    /// Applies grants and refusals before preemptions, as the router does while it holds its lock:
    /// a preempted request is submitted again only after the grants and refusals.
    fn apply(&mut self, decisions: Vec<Decision>) {
        let is_preempt = |decision: &Decision| matches!(decision, Decision::Preempt { .. });
        let (preempts, others): (Vec<_>, Vec<_>) = decisions.into_iter().partition(is_preempt);
        for decision in others.into_iter().chain(preempts) {
            match decision {
                Decision::Grant { ticket, .. } => self.on_grant(ticket),
                Decision::Refuse { ticket, .. } => self.on_refusal(ticket),
                Decision::Preempt { ticket } => self.on_preemption(ticket),
            }
        }
    }

    fn on_grant(&mut self, id: TicketId) {
        let Some(ticket) = self.waiting.remove(&id) else {
            return self.record_fault(format!("{id} is granted but was not waiting"));
        };
        self.last_served.insert(ticket.tier, self.now);
        let length = Duration::from_millis(10 * ticket.expected.0).min(MAX_RUN);
        self.running.insert(id, (ticket, self.now + length));
        if self.running.len() as u32 > self.slots {
            self.record_fault(format!(
                "{} tickets run on {} slots",
                self.running.len(),
                self.slots
            ));
        }
    }

    fn on_refusal(&mut self, id: TicketId) {
        let Some(ticket) = self.waiting.remove(&id) else {
            return self.record_fault(format!("{id} is refused but was not waiting"));
        };
        let lower_waits = self.waiting.values().find(|waiting| waiting.tier > ticket.tier);
        if let Some(lower) = lower_waits {
            let text = format!("tier {} is shed while tier {} waits", ticket.tier, lower.tier);
            self.record_fault(text);
        }
        let running = self.running.values().map(|(ticket, _)| ticket);
        let lower_runs = running.filter(|r| r.preemptible && r.tier > ticket.tier).count();
        if lower_runs > 0 {
            self.record_fault(format!(
                "tier {} is shed while a lower one could be preempted",
                ticket.tier
            ));
        }
    }

    fn on_preemption(&mut self, id: TicketId) {
        let Some((ticket, _)) = self.running.remove(&id) else {
            return self.record_fault(format!("{id} is preempted but was not running"));
        };
        if !ticket.preemptible {
            self.record_fault(format!("{id} is preempted but not preemptible"));
        }
        if !self.waiting.values().any(|waiting| waiting.tier < ticket.tier) {
            self.record_fault(format!(
                "tier {} is preempted without a higher one waiting",
                ticket.tier
            ));
        }
        let decisions = self.scheduler.finish(self.now, id, Outcome::Preempted);
        self.apply(decisions);
        if !self.waiting.values().any(|waiting| waiting.tier == ticket.tier) {
            self.last_served.insert(ticket.tier, self.now);
        }
        let resumed_ticket = Ticket { resumed: true, ..ticket };
        let (id, decisions) = self.scheduler.arrive(self.now, resumed_ticket.clone());
        self.waiting.insert(id, resumed_ticket);
        self.apply(decisions);
    }

    fn advance(&mut self) {
        self.now += TICK;
        let ended: Vec<TicketId> = self
            .running
            .iter()
            .filter(|(_, (_, end))| *end <= self.now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            // A decision that followed an earlier end may have preempted it already.
            if let Some((ticket, _)) = self.running.remove(&id) {
                if self.reports_progress {
                    let decisions = self.scheduler.progress(self.now, id, ticket.expected);
                    self.apply(decisions);
                }
                let decisions = self.scheduler.finish(self.now, id, Outcome::Done);
                self.apply(decisions);
            }
        }
        let decisions = self.scheduler.tick(self.now);
        self.apply(decisions);
        self.check_gaps();
    }

    /// Checks that a class is served within its bound plus one service of each other overdue class
    /// plus the time until a slot is free.
    fn check_gaps(&mut self) {
        let bound = MAX_GAP + MAX_RUN * u32::from(TIERS) + 2 * TICK;
        let tiers: Vec<u8> = self.waiting.values().map(|waiting| waiting.tier).collect();
        for tier in tiers {
            let gap = self.now - self.last_served[&tier];
            if gap > bound {
                self.record_fault(format!("tier {tier} starves for {gap:?}"));
            }
        }
    }

    fn cancel_one(&mut self) {
        let Some(id) = self.waiting.keys().min().copied() else { return };
        self.waiting.remove(&id);
        let decisions = self.scheduler.finish(self.now, id, Outcome::Done);
        self.apply(decisions);
    }

    /// Runs without arrivals until all tickets have been served or refused.
    fn drain(&mut self) {
        for _ in 0..100_000 {
            if self.waiting.is_empty() && self.running.is_empty() {
                return;
            }
            self.advance();
        }
        self.record_fault("tickets are still waiting or running after 100,000 ticks".to_string());
    }
}

fn run(workload: &Workload, options: Options) -> Option<String> {
    run_workload(workload, Simulation::new(u32::from(workload.slots), options))
}

fn run_workload(workload: &Workload, mut simulation: Simulation) -> Option<String> {
    for step in &workload.steps {
        if step.arrives {
            simulation.arrive(step);
        }
        if step.cancels {
            simulation.cancel_one();
        }
        simulation.advance();
    }
    simulation.drain();
    simulation.fault
}

fn verdict(fault: Option<String>) -> TestResult {
    fault.map_or_else(TestResult::passed, TestResult::error)
}

fn invariants_hold(workload: Workload) -> TestResult {
    verdict(run(&workload, Options::default()))
}

/// Generated tokens are not reported, so the estimate stays at the default of 30 ms a token
/// although tickets take at most 10: estimated waits are too long.
fn invariants_hold_without_progress_reports(workload: Workload) -> TestResult {
    let mut simulation = Simulation::new(u32::from(workload.slots), Options::default());
    simulation.reports_progress = false;
    verdict(run_workload(&workload, simulation))
}

/// No higher tier is shed or preempted for a lower one, and no class goes without service for
/// longer than its bound plus one run of each tier.
#[test]
fn tiers_hold_and_nobody_starves() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, 11))
        .tests(300)
        .quickcheck(invariants_hold as fn(Workload) -> TestResult);
}

#[test]
fn tiers_hold_without_progress_reports() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, 11))
        .tests(300)
        .quickcheck(invariants_hold_without_progress_reports as fn(Workload) -> TestResult);
}

/// With all slots taken and a flood of the highest tier, the lowest is still served within its
/// bound. Without ageing it is not, which shows that the check can fail.
#[test]
fn a_flood_of_the_highest_tier_starves_nobody() {
    let step = |tier| Step {
        tier,
        workspace: 0,
        tokens: 19,
        arrives: true,
        preemptible: false,
        patience_ms: 60_000,
        cancels: false,
    };
    let mut steps = vec![step(0), step(3)];
    steps.extend((0..200).map(|_| step(0)));
    let workload = Workload { slots: 1, steps };
    assert_eq!(run(&workload, Options::default()), None);
    let without = run(&workload, Options { ageing: false, ..Options::default() })
        .expect("strict priority starves the lowest tier");
    assert!(without.contains("tier 3 starves"), "{without}");
}

/// A workspace with many waiting requests gets no more than its share of the slots, by tokens.
#[test]
fn a_flooding_workspace_gets_its_share_only() {
    let mut simulation = Simulation::new(2, Options::default());
    let step = |workspace| Step {
        tier: 1,
        workspace,
        tokens: 9,
        arrives: true,
        preemptible: false,
        patience_ms: 60_000,
        cancels: false,
    };
    let mut finished: BTreeMap<u8, u32> = BTreeMap::new();
    for round in 0..600 {
        for _ in 0..3 {
            simulation.arrive(&step(0));
        }
        if round % 8 == 0 {
            simulation.arrive(&step(1));
        }
        let before: Vec<Ticket> =
            simulation.running.values().map(|(ticket, _)| ticket.clone()).collect();
        simulation.advance();
        let after: Vec<&Ticket> = simulation.running.values().map(|(ticket, _)| ticket).collect();
        let count = |tickets: &[&Ticket], name: &str| {
            tickets.iter().filter(|ticket| ticket.workspace.as_str() == name).count()
        };
        let before: Vec<&Ticket> = before.iter().collect();
        for (workspace, name) in [(0, "w0"), (1, "w1")] {
            let ended = count(&before, name).saturating_sub(count(&after, name)) as u32;
            *finished.entry(workspace).or_default() += ended;
        }
    }
    // 600 rounds of 10 ms on 2 slots serve 120 requests of 100 ms. Workspace 1 sends 75, which is
    // more than its half of 60.
    let left =
        simulation.waiting.values().filter(|ticket| ticket.workspace.as_str() == "w1").count();
    assert!(left <= 75 - 54, "workspace 1 got {} of its 60", 75 - left);
    assert_eq!(simulation.fault, None);
}
