//! The desk: admits the tickets of some pools and gives them servers.
//!
//! Order of service: first a class that is past its bound without service, then the highest tier.
//! Order of giving up: always the lowest tier. Age thus moves a class forward in the order of
//! service and never decides who is given up, so a lower tier is served within its bound without a
//! higher one being given up for it; a higher-tier ticket waits one service longer at most for each
//! overdue class.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use wasabi_core::{
    errors::Code,
    note::Server,
    units::{ClassId, PoolId, ServerId, Tokens, WorkspaceId},
};

use crate::{
    limits::Limits,
    queue,
    servers::{Pick, Servers},
    ticket::{Decision, Outcome, Ticket, TicketId, Waiting},
};

const TIERS: usize = wasabi_core::note::MAX_TIER as usize + 1;
/// Tokens, after the first ones seen, from which the pace of a request is taken.
const PACE_TOKENS: Tokens = Tokens(8);
/// The first of the lower tiers.
const LOWER_TIERS: u8 = 2;
const MAX_WAIT_SECONDS: f64 = 86_400.0;

/// What a desk may be told about itself.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// How many tickets of a pool may wait.
    pub max_waiting: usize,
    /// Seconds that a token takes before any was observed.
    pub default_interval: f64,
    /// Whether a class past its bound goes first; off only to compare.
    pub ageing: bool,
    /// Whether tiers, classes and workspaces count at all; off only to compare.
    pub classes: bool,
    /// How a server is picked.
    pub pick: Pick,
}

impl Default for Options {
    fn default() -> Self {
        let (ageing, classes, pick) = (true, true, Pick::Affinity);
        Self { max_waiting: 4_096, default_interval: 0.03, ageing, classes, pick }
    }
}

/// The state of one home.
#[derive(Debug, Default)]
pub struct Desk {
    options: Options,
    pools: BTreeMap<PoolId, Pool>,
    limits: Limits,
    /// Every ticket that waits or runs.
    places: HashMap<TicketId, Place>,
    next: TicketId,
}

/// Where a ticket is, and for whom.
#[derive(Debug)]
struct Place {
    pool: PoolId,
    workspace: WorkspaceId,
}

#[derive(Debug, Default)]
struct Pool {
    servers: Servers,
    classes: BTreeMap<ClassId, queue::Class>,
    running: BTreeMap<TicketId, Running>,
}

#[derive(Debug)]
struct Running {
    ticket: Ticket,
    server: ServerId,
    since: Instant,
    tokens: Tokens,
    /// Tokens that the workspace was charged; at least `tokens`.
    charged: Tokens,
    /// When its first tokens were seen, and how many they were; what it waited for them says
    /// nothing of its pace.
    begun: Option<(Instant, Tokens)>,
    /// Whether its pace was taken in while it ran.
    paced: bool,
    /// Set once it was told to stop.
    preempted: bool,
}

impl Desk {
    /// Gets a desk without pools.
    pub fn new(options: Options) -> Self {
        Self { options, ..Self::default() }
    }

    /// Sets the servers of a pool; those left out get no new work.
    pub fn set_servers(
        &mut self,
        now: Instant,
        pool: &PoolId,
        servers: &[Server],
    ) -> Vec<Decision> {
        let pool = self.pools.entry(pool.clone()).or_default();
        pool.servers.set(servers);
        pool.dispatch(now, self.options)
    }

    /// Stops dispatching a pool: what waits is refused as moved, what runs goes on.
    pub fn give_up_pool(&mut self, name: &PoolId) -> Vec<Decision> {
        let Some(pool) = self.pools.get_mut(name) else { return Vec::new() };
        pool.servers.set(&[]);
        let mut decisions = Vec::new();
        for class in pool.classes.values_mut() {
            while let Some(waiting) = class.pop_worst() {
                let (ticket, retry_after) = (waiting.id, Duration::ZERO);
                decisions.push(Decision::Refuse {
                    ticket,
                    code: Code::PeerUnavailable,
                    retry_after,
                });
            }
        }
        if pool.running.is_empty() {
            self.pools.remove(name);
        }
        self.forget_refused(&decisions);
        decisions
    }

    /// Returns the pools that have servers or tickets.
    pub fn pools(&self) -> Vec<PoolId> {
        self.pools.keys().cloned().collect()
    }

    /// Takes a new ticket; the decision on it may come at once or from a later event.
    pub fn arrive(&mut self, now: Instant, ticket: Ticket) -> (TicketId, Vec<Decision>) {
        self.next += TicketId(1);
        let id = self.next;
        if !ticket.resumed
            && let Some(retry_after) = self.limits.reached(now, &ticket)
        {
            let code = Code::LimitReached;
            return (id, vec![Decision::Refuse { ticket: id, code, retry_after }]);
        }
        self.limits.enter(&ticket.workspace);
        let place = Place { pool: ticket.pool.clone(), workspace: ticket.workspace.clone() };
        self.places.insert(id, place);
        let ticket = if self.options.classes { ticket } else { ticket.plain() };
        let pool = self.pools.entry(ticket.pool.clone()).or_default();
        pool.enqueue(Waiting { id, ticket, since: now });
        let mut decisions = pool.dispatch(now, self.options);
        decisions.extend(pool.make_room(now));
        decisions.extend(pool.give_up(now, self.options));
        self.forget_refused(&decisions);
        (id, decisions)
    }

    /// Takes in tokens that a running ticket has generated since the last call.
    ///
    /// When that shows the server to be a straggler, its requests are moved to others.
    pub fn progress(&mut self, now: Instant, id: TicketId, tokens: Tokens) -> Vec<Decision> {
        let Some(place) = self.places.get(&id) else { return Vec::new() };
        self.limits.spend(&place.workspace, tokens);
        let Some(pool) = self.pools.get_mut(&place.pool) else { return Vec::new() };
        let Some(running) = pool.running.get_mut(&id) else { return Vec::new() };
        running.tokens += tokens;
        let beyond = running.tokens.0.saturating_sub(running.charged.0);
        running.charged += Tokens(beyond);
        let (begun, before) = *running.begun.get_or_insert((now, running.tokens));
        let seen = Tokens(running.tokens.0 - before.0);
        let pace_due = !running.paced && seen >= PACE_TOKENS;
        running.paced |= pace_due;
        let server = running.server.clone();
        let took = now.saturating_duration_since(begun);
        if let Some(class) = pool.classes.get_mut(&running.ticket.class) {
            class.charge(&running.ticket.workspace, Tokens(beyond));
        }
        if pace_due && pool.servers.paced(now, &server, seen, took) && pool.servers.has_room() {
            return pool.move_away(&server);
        }
        Vec::new()
    }

    /// Ends a ticket, whether it waits or runs.
    pub fn finish(&mut self, now: Instant, id: TicketId, outcome: Outcome) -> Vec<Decision> {
        let Some(place) = self.places.remove(&id) else { return Vec::new() };
        self.limits.leave(&place.workspace);
        let Some(pool) = self.pools.get_mut(&place.pool) else { return Vec::new() };
        pool.end(now, id, outcome);
        let decisions = pool.dispatch(now, self.options);
        self.forget_refused(&decisions);
        decisions
    }

    /// Looks again at what waits; to be called several times a second.
    pub fn tick(&mut self, now: Instant) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for pool in self.pools.values_mut() {
            decisions.extend(pool.dispatch(now, self.options));
            decisions.extend(pool.make_room(now));
            decisions.extend(pool.give_up(now, self.options));
        }
        self.forget_refused(&decisions);
        decisions
    }

    /// Returns how long a new ticket of `tier` would wait in `pool`.
    pub fn expected_wait(&self, pool: &PoolId, tier: u8) -> Duration {
        self.pools.get(pool).map_or(Duration::ZERO, |pool| pool.wait(tier, self.options))
    }

    /// Returns the waiting tickets of each class of `pool`.
    pub fn waiting(&self, pool: &PoolId) -> Vec<(ClassId, u8, usize)> {
        let Some(pool) = self.pools.get(pool) else { return Vec::new() };
        pool.classes.values().map(|class| (class.name.clone(), class.tier, class.len())).collect()
    }

    /// Returns the tickets of `pool` that run or wait, by tier from the highest.
    pub fn demand(&self, pool: &PoolId) -> [u32; TIERS] {
        let mut tiers = [0; TIERS];
        let Some(pool) = self.pools.get(pool) else { return tiers };
        for class in pool.classes.values() {
            tiers[usize::from(class.tier).min(TIERS - 1)] += class.len() as u32;
        }
        for running in pool.running.values() {
            tiers[usize::from(running.ticket.tier).min(TIERS - 1)] += 1;
        }
        tiers
    }

    /// Returns name, running, slots and fitness of each server of `pool`.
    pub fn servers(&self, pool: &PoolId) -> Vec<(ServerId, u32, u32, bool)> {
        self.pools.get(pool).map_or_else(Vec::new, |pool| pool.servers.view())
    }

    fn forget_refused(&mut self, decisions: &[Decision]) {
        for decision in decisions {
            if let Decision::Refuse { ticket, .. } = decision
                && let Some(place) = self.places.remove(ticket)
            {
                self.limits.leave(&place.workspace);
            }
        }
    }
}

impl Running {
    fn is_preemptible(&self) -> bool {
        self.ticket.preemptible && !self.preempted
    }
}

impl Pool {
    fn enqueue(&mut self, waiting: Waiting) {
        let ticket = &waiting.ticket;
        let class = self.classes.entry(ticket.class.clone()).or_insert_with(|| {
            queue::Class::new(ticket.class.clone(), ticket.tier, ticket.max_gap, waiting.since)
        });
        class.tier = ticket.tier;
        class.max_gap = ticket.max_gap;
        class.push(waiting);
    }

    /// Gives free servers to waiting tickets.
    fn dispatch(&mut self, now: Instant, options: Options) -> Vec<Decision> {
        let mut decisions = Vec::new();
        while let Some(class) = self.next_class(now, options) {
            let Some(class) = self.classes.get_mut(&class) else { break };
            let served_before = class.last_served();
            let Some(waiting) = class.pop(now) else { break };
            let avoid = waiting.ticket.avoid.as_ref();
            let upper = waiting.ticket.tier < LOWER_TIERS;
            let Some(server) =
                self.servers.take(now, options.pick, upper, waiting.ticket.prefix, avoid)
            else {
                class.unpop(waiting, served_before);
                break;
            };
            let ticket = waiting.id;
            let running = Running {
                charged: waiting.ticket.expected,
                ticket: waiting.ticket,
                server: server.name.clone(),
                since: now,
                tokens: Tokens(0),
                begun: None,
                paced: false,
                preempted: false,
            };
            self.running.insert(ticket, running);
            decisions.push(Decision::Grant { ticket, server });
        }
        decisions
    }

    fn next_class(&self, now: Instant, options: Options) -> Option<ClassId> {
        let waiting = || self.classes.values().filter(|class| !class.is_empty());
        let overdue = waiting().filter_map(|class| Some((class.overdue(now)?, &class.name)));
        if let Some((_, name)) = overdue.max().filter(|_| options.ageing) {
            return Some(name.clone());
        }
        waiting().min_by_key(|class| class.tier).map(|class| class.name.clone())
    }

    /// Preempts lower tiers so that each waiting ticket of a higher one gets a server.
    fn make_room(&mut self, now: Instant) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let tiers: Vec<(u8, usize)> =
            self.classes.values().map(|class| (class.tier, class.len())).collect();
        let mut stopping = self.running.values().filter(|running| running.preempted).count();
        for tier in 0..=wasabi_core::note::MAX_TIER {
            let wanted: usize = tiers.iter().filter(|(t, _)| *t == tier).map(|(_, n)| n).sum();
            for _ in 0..wanted {
                if stopping > 0 {
                    stopping -= 1;
                    continue;
                }
                let Some(ticket) = self.victim(now, tier) else { return decisions };
                decisions.push(Decision::Preempt { ticket });
            }
        }
        decisions
    }

    /// Marks the running ticket of the lowest tier below `tier` that wastes least.
    fn victim(&mut self, now: Instant, tier: u8) -> Option<TicketId> {
        let lower = self.running.iter_mut().filter(|(_, running)| running.ticket.tier > tier);
        let lower = lower.filter(|(_, running)| running.is_preemptible());
        let (id, running) = lower.max_by_key(|(_, running)| {
            let age = now.saturating_duration_since(running.since);
            (running.ticket.tier, std::cmp::Reverse(age))
        })?;
        running.preempted = true;
        Some(*id)
    }

    /// Stops what runs on a server and can go on elsewhere.
    fn move_away(&mut self, server: &ServerId) -> Vec<Decision> {
        let there = self.running.iter_mut().filter(|(_, running)| running.server == *server);
        let movable = there.filter(|(_, running)| running.is_preemptible());
        movable
            .map(|(id, running)| {
                running.preempted = true;
                Decision::Preempt { ticket: *id }
            })
            .collect()
    }

    /// Refuses what can no longer meet its target, from the lowest tier up.
    ///
    /// A tier is touched only when nothing of a lower one waits or could be preempted.
    fn give_up(&mut self, now: Instant, options: Options) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for tier in (0..=wasabi_core::note::MAX_TIER).rev() {
            let ahead = self.wait(tier, options);
            let pace = self.pace(options);
            decisions.extend(self.give_up_tier(now, tier, ahead, pace));
            if self.holds_back(tier) {
                break;
            }
        }
        decisions.extend(self.give_up_excess(options));
        decisions
    }

    /// Returns whether tickets of `tier` wait, or run and can stop or are stopping; that protects
    /// higher tiers.
    fn holds_back(&self, tier: u8) -> bool {
        let waits = self.classes.values().any(|class| class.tier == tier && !class.is_empty());
        let runs = self.running.values().any(|r| r.ticket.tier == tier && r.ticket.preemptible);
        waits || runs
    }

    fn give_up_tier(
        &mut self,
        now: Instant,
        tier: u8,
        ahead: Duration,
        pace: f64,
    ) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for class in self.classes.values_mut().filter(|class| class.tier == tier) {
            let late = |waiting: &Waiting| {
                let waited = now.saturating_duration_since(waiting.since);
                !waiting.ticket.resumed && waited > waiting.ticket.patience
            };
            for (workspace, id) in class.select(late) {
                class.remove(&workspace, id);
                decisions.push(refuse(id, ahead));
            }
            decisions.extend(shorten(class, ahead, pace));
        }
        decisions
    }

    fn give_up_excess(&mut self, options: Options) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let mut waiting: usize = self.classes.values().map(queue::Class::len).sum();
        while waiting > options.max_waiting {
            let filled = self.classes.values_mut().filter(|class| !class.is_empty());
            let Some(class) = filled.max_by_key(|class| class.tier) else { break };
            let Some(worst) = class.pop_worst() else { break };
            decisions.push(refuse(worst.id, worst.ticket.patience));
            waiting -= 1;
        }
        decisions
    }

    fn end(&mut self, now: Instant, id: TicketId, outcome: Outcome) {
        let Some(running) = self.running.remove(&id) else {
            self.remove_waiting(id);
            return;
        };
        self.servers.release(&running.server);
        if let Some(class) = self.classes.get_mut(&running.ticket.class) {
            let unused = running.charged.0.saturating_sub(running.tokens.0);
            class.release(&running.ticket.workspace, Tokens(unused));
        }
        match outcome {
            Outcome::Done => {
                let took = now.saturating_duration_since(running.since);
                self.servers.succeeded(&running.server, running.tokens, took);
            }
            Outcome::Failed => self.servers.failed(now, &running.server),
            Outcome::Preempted => {}
        }
    }

    fn remove_waiting(&mut self, id: TicketId) {
        for class in self.classes.values_mut() {
            let workspaces: Vec<(WorkspaceId, TicketId)> = class.select(|w| w.id == id);
            for (workspace, id) in workspaces {
                class.remove(&workspace, id);
            }
        }
    }

    /// Returns the time until the work that goes before a new ticket of `tier` is under way.
    fn wait(&self, tier: u8, options: Options) -> Duration {
        let before = self.classes.values().filter(|class| class.tier <= tier);
        let tokens: f64 = before.map(queue::Class::expected).sum();
        Duration::from_secs_f64((tokens * self.pace(options)).min(MAX_WAIT_SECONDS))
    }

    /// Returns the seconds that the pool as a whole takes for a token.
    fn pace(&self, options: Options) -> f64 {
        let slots = f64::from(self.servers.slots().max(1));
        self.servers.typical_service(options.default_interval) / slots
    }
}

/// Refuses the worst tickets of a class until the wait for the rest is within their patience.
///
/// `pace` is the seconds that the pool takes for a token.
fn shorten(class: &mut queue::Class, ahead: Duration, pace: f64) -> Vec<Decision> {
    let mut decisions = Vec::new();
    let mut left = ahead.as_secs_f64();
    while let Some(worst) = class.peek_worst() {
        if worst.ticket.resumed || left <= worst.ticket.patience.as_secs_f64() {
            break;
        }
        let Some(worst) = class.pop_worst() else { break };
        let after = Duration::from_secs_f64(left).saturating_sub(worst.ticket.patience);
        left -= pace * worst.ticket.expected.0 as f64;
        decisions.push(refuse(worst.id, after));
    }
    decisions
}

fn refuse(ticket: TicketId, after: Duration) -> Decision {
    let retry_after = after.max(Duration::from_secs(1));
    Decision::Refuse { ticket, code: Code::Overloaded, retry_after }
}
