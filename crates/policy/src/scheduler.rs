//! Admission and scheduling of the tickets of several pools.
//!
//! Order of service: first a class that has gone without service for longer than its bound, then
//! the highest tier. Order of shedding: always the lowest tier first. Age thus moves a class
//! forward in the order of service but never decides what is shed, so a lower tier is served within
//! its bound without a higher one being shed for it; a ticket of a higher tier waits for at most
//! one more ticket for each overdue class.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use wasabi_core::{
    errors::Code,
    note::Server,
    units::{ClassId, PoolId, RequestRate, ServerId, Tokens, WorkspaceId},
};

use crate::{
    limits::Limiter,
    queue,
    servers::{Pick, Selection, Servers},
    ticket::{Decision, Outcome, Ticket, TicketId, Waiting},
};

const TIERS: usize = wasabi_core::note::MAX_TIER as usize + 1;
/// Tokens after the first report of a request over which its token interval is measured.
const TOKEN_INTERVAL_SAMPLE: Tokens = Tokens(8);
/// Tiers from this number on may use servers that were ejected as soon as these are probed; higher
/// tiers use them only after a delay.
const FIRST_LOWER_TIER: u8 = 2;
/// The retry delay stated for a request whose software version no server has.
const VERSION_GONE_RETRY_AFTER: Duration = Duration::from_secs(2);
/// The upper bound of an expected wait.
const MAX_EXPECTED_WAIT_S: f64 = 86_400.0;

/// Options of a scheduler.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The most tickets of a pool that may wait; the excess is shed.
    pub max_waiting: usize,
    /// Seconds that a slot is occupied for each token, until that is observed.
    pub default_slot_seconds_per_token: f64,
    /// Whether a class past its bound without service goes first; off only for comparisons.
    pub ageing: bool,
    /// Whether tickets are ordered by tier, class and workspace; otherwise they are served first
    /// in, first out, which is only for comparisons.
    pub by_class: bool,
    /// How a server is picked among those with a free slot.
    pub pick: Pick,
}

impl Default for Options {
    fn default() -> Self {
        let (ageing, by_class, pick) = (true, true, Pick::Affinity);
        Self { max_waiting: 4_096, default_slot_seconds_per_token: 0.03, ageing, by_class, pick }
    }
}

/// The queues, running tickets and servers of several pools.
///
/// It does no I/O: each event returns the decisions that the caller must carry out.
#[derive(Debug, Default)]
pub struct Scheduler {
    options: Options,
    pools: BTreeMap<PoolId, Pool>,
    limits: Limiter,
    /// Every ticket that waits or runs.
    tickets: HashMap<TicketId, TicketEntry>,
    last_id: TicketId,
}

/// The pool and the workspace of a ticket.
#[derive(Debug)]
struct TicketEntry {
    pool: PoolId,
    workspace: WorkspaceId,
}

#[derive(Debug, Default)]
struct Pool {
    servers: Servers,
    classes: BTreeMap<ClassId, queue::ClassQueue>,
    running: BTreeMap<TicketId, Running>,
}

#[derive(Debug)]
struct Running {
    ticket: Ticket,
    server: ServerId,
    since: Instant,
    tokens: Tokens,
    /// Tokens that were charged to the workspace; at least `tokens`.
    charged: Tokens,
    /// When its first tokens were reported, and how many; the token interval is measured from then
    /// on, since the time to the first tokens says nothing of it.
    first_progress: Option<(Instant, Tokens)>,
    /// Whether its token interval has been recorded.
    interval_recorded: bool,
    /// Whether it was told to stop.
    preempted: bool,
}

impl Scheduler {
    /// Creates a scheduler without pools.
    pub fn new(options: Options) -> Self {
        Self { options, ..Self::default() }
    }

    /// Replaces the servers of a pool; servers that are left out get no new work.
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

    /// Sets the limit of requests that a server takes, in all pools.
    pub fn set_limit(&mut self, now: Instant, server: &ServerId, rate: Option<RequestRate>) {
        self.pools.values_mut().for_each(|pool| pool.servers.set_limit(now, server, rate));
    }

    /// Stops scheduling a pool: waiting tickets are refused with `PeerUnavailable` and no delay,
    /// running ones go on. The pool itself is removed if none run.
    pub fn close_pool(&mut self, name: &PoolId) -> Vec<Decision> {
        let Some(pool) = self.pools.get_mut(name) else { return Vec::new() };
        pool.servers.set(&[]);
        let mut decisions = Vec::new();
        for class in pool.classes.values_mut() {
            while let Some(waiting) = class.pop_shed_candidate() {
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
        self.remove_refused(&decisions);
        decisions
    }

    /// Returns the pools that `set_servers` or `arrive` named and `close_pool` has not removed.
    pub fn pools(&self) -> Vec<PoolId> {
        self.pools.keys().cloned().collect()
    }

    /// Enqueues a new ticket, or refuses it at its workspace's limit; the decision on it may come
    /// with a later event. A resumed ticket is not limited again.
    pub fn arrive(&mut self, now: Instant, ticket: Ticket) -> (TicketId, Vec<Decision>) {
        self.last_id += TicketId(1);
        let id = self.last_id;
        if !ticket.resumed
            && let Some(retry_after) = self.limits.check(now, &ticket)
        {
            let code = Code::LimitReached;
            return (id, vec![Decision::Refuse { ticket: id, code, retry_after }]);
        }
        self.limits.add_ticket(&ticket.workspace);
        let entry = TicketEntry { pool: ticket.pool.clone(), workspace: ticket.workspace.clone() };
        self.tickets.insert(id, entry);
        let ticket = if self.options.by_class { ticket } else { ticket.into_fifo() };
        let pool = self.pools.entry(ticket.pool.clone()).or_default();
        pool.enqueue(Waiting { id, ticket, since: now });
        let mut decisions = pool.dispatch(now, self.options);
        decisions.extend(pool.preempt_lower_tiers(now));
        decisions.extend(pool.shed(now, self.options));
        self.remove_refused(&decisions);
        (id, decisions)
    }

    /// Records tokens that a running ticket has generated since the last call.
    ///
    /// If the server turns out to be a straggler and another one has room, the preemptible tickets
    /// on it are preempted.
    pub fn progress(&mut self, now: Instant, id: TicketId, tokens: Tokens) -> Vec<Decision> {
        let Some(entry) = self.tickets.get(&id) else { return Vec::new() };
        self.limits.spend(&entry.workspace, tokens);
        let Some(pool) = self.pools.get_mut(&entry.pool) else { return Vec::new() };
        let Some(running) = pool.running.get_mut(&id) else { return Vec::new() };
        running.tokens += tokens;
        let beyond = running.tokens.0.saturating_sub(running.charged.0);
        running.charged += Tokens(beyond);
        let (first_at, first) = *running.first_progress.get_or_insert((now, running.tokens));
        let seen = Tokens(running.tokens.0 - first.0);
        let interval_due = !running.interval_recorded && seen >= TOKEN_INTERVAL_SAMPLE;
        running.interval_recorded |= interval_due;
        let server = running.server.clone();
        let took = now.saturating_duration_since(first_at);
        if let Some(class) = pool.classes.get_mut(&running.ticket.class) {
            class.charge(&running.ticket.workspace, Tokens(beyond));
        }
        if interval_due
            && pool.servers.record_token_interval(now, &server, seen, took)
            && pool.servers.has_room(now)
        {
            return pool.preempt_server(&server);
        }
        Vec::new()
    }

    /// Ends a ticket, whether it waits or runs.
    pub fn finish(&mut self, now: Instant, id: TicketId, outcome: Outcome) -> Vec<Decision> {
        let Some(entry) = self.tickets.remove(&id) else { return Vec::new() };
        self.limits.remove_ticket(&entry.workspace);
        let Some(pool) = self.pools.get_mut(&entry.pool) else { return Vec::new() };
        pool.end(now, id, outcome);
        let decisions = pool.dispatch(now, self.options);
        self.remove_refused(&decisions);
        decisions
    }

    /// Dispatches, preempts and sheds tickets of all pools as is due at `now`; to be called several
    /// times a second.
    pub fn tick(&mut self, now: Instant) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for pool in self.pools.values_mut() {
            decisions.extend(pool.dispatch(now, self.options));
            decisions.extend(pool.preempt_lower_tiers(now));
            decisions.extend(pool.shed(now, self.options));
        }
        self.remove_refused(&decisions);
        decisions
    }

    /// Returns how long a new ticket of `tier` is expected to wait in `pool`; 0 for unknown pools.
    pub fn expected_wait(&self, pool: &PoolId, tier: u8) -> Duration {
        self.pools.get(pool).map_or(Duration::ZERO, |pool| pool.expected_wait(tier, self.options))
    }

    /// Returns name, tier and number of waiting tickets of each class of `pool`.
    pub fn waiting(&self, pool: &PoolId) -> Vec<(ClassId, u8, usize)> {
        let Some(pool) = self.pools.get(pool) else { return Vec::new() };
        pool.classes.values().map(|class| (class.name.clone(), class.tier, class.len())).collect()
    }

    /// Returns the number of tickets of `pool` that run or wait, by tier from the highest.
    pub fn tickets_by_tier(&self, pool: &PoolId) -> [u32; TIERS] {
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

    /// Returns name, running tickets and slots of each server of `pool`, and whether it is healthy.
    pub fn servers(&self, pool: &PoolId) -> Vec<(ServerId, u32, u32, bool)> {
        self.pools.get(pool).map_or_else(Vec::new, |pool| pool.servers.view())
    }

    fn remove_refused(&mut self, decisions: &[Decision]) {
        for decision in decisions {
            if let Decision::Refuse { ticket, .. } = decision
                && let Some(entry) = self.tickets.remove(ticket)
            {
                self.limits.remove_ticket(&entry.workspace);
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
            queue::ClassQueue::new(ticket.class.clone(), ticket.tier, ticket.max_gap, waiting.since)
        });
        class.tier = ticket.tier;
        class.max_gap = ticket.max_gap;
        class.push(waiting);
    }

    /// Assigns free slots to waiting tickets. A ticket that needs a software version without a free
    /// slot holds up no other one.
    fn dispatch(&mut self, now: Instant, options: Options) -> Vec<Decision> {
        let mut decisions = self.refuse_without_build();
        let mut held_back: Vec<(ClassId, Waiting, Instant)> = Vec::new();
        while let Some(class) = self.next_class(now, options) {
            let Some(class) = self.classes.get_mut(&class) else { break };
            let served_before = class.last_served();
            let Some(waiting) = class.pop(now) else { break };
            let wanted = Selection {
                pick: options.pick,
                upper_tier: waiting.ticket.tier < FIRST_LOWER_TIER,
                prefix: waiting.ticket.prefix,
                avoid: waiting.ticket.avoid.as_ref(),
                build: waiting.ticket.build.as_ref(),
            };
            let Some(server) = self.servers.acquire(now, &wanted) else {
                if waiting.ticket.build.is_some() {
                    held_back.push((class.name.clone(), waiting, served_before));
                    continue;
                }
                class.undo_pop(waiting, served_before);
                break;
            };
            let ticket = waiting.id;
            let running = Running {
                charged: waiting.ticket.expected,
                ticket: waiting.ticket,
                server: server.name.clone(),
                since: now,
                tokens: Tokens(0),
                first_progress: None,
                interval_recorded: false,
                preempted: false,
            };
            self.running.insert(ticket, running);
            decisions.push(Decision::Grant { ticket, server });
        }
        while let Some((class, waiting, served_before)) = held_back.pop() {
            if let Some(class) = self.classes.get_mut(&class) {
                let last_served = class.last_served().min(served_before);
                class.undo_pop(waiting, last_served);
            }
        }
        decisions
    }

    /// Refuses the waiting tickets whose software version no listed server has.
    fn refuse_without_build(&mut self) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let servers = &self.servers;
        let is_gone = |waiting: &Waiting| {
            waiting.ticket.build.as_ref().is_some_and(|build| !servers.has_build(build))
        };
        for class in self.classes.values_mut() {
            for (workspace, ticket) in class.select(is_gone) {
                class.remove(&workspace, ticket);
                let (code, retry_after) = (Code::ServerUnavailable, VERSION_GONE_RETRY_AFTER);
                decisions.push(Decision::Refuse { ticket, code, retry_after });
            }
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

    /// Preempts one running ticket of a lower tier for each waiting ticket of a higher one.
    ///
    /// Tickets that are already stopping are counted towards that.
    fn preempt_lower_tiers(&mut self, now: Instant) -> Vec<Decision> {
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
                let Some(ticket) = self.mark_victim(now, tier) else { return decisions };
                decisions.push(Decision::Preempt { ticket });
            }
        }
        decisions
    }

    /// Marks a ticket below `tier` for preemption: of the lowest running tier the one that has run
    /// for the shortest time, since stopping it wastes least.
    fn mark_victim(&mut self, now: Instant, tier: u8) -> Option<TicketId> {
        let lower = self.running.iter_mut().filter(|(_, running)| running.ticket.tier > tier);
        let lower = lower.filter(|(_, running)| running.is_preemptible());
        let (id, running) = lower.max_by_key(|(_, running)| {
            let age = now.saturating_duration_since(running.since);
            (running.ticket.tier, std::cmp::Reverse(age))
        })?;
        running.preempted = true;
        Some(*id)
    }

    /// Preempts the preemptible tickets on a server, so that they resume elsewhere.
    fn preempt_server(&mut self, server: &ServerId) -> Vec<Decision> {
        let there = self.running.iter_mut().filter(|(_, running)| running.server == *server);
        let movable = there.filter(|(_, running)| running.is_preemptible());
        movable
            .map(|(id, running)| {
                running.preempted = true;
                Decision::Preempt { ticket: *id }
            })
            .collect()
    }

    /// Refuses tickets that can no longer meet their target, from the lowest tier up, and then the
    /// excess over `max_waiting`.
    ///
    /// Late tickets of a tier are refused only if no ticket of a lower one waits or could be
    /// preempted.
    fn shed(&mut self, now: Instant, options: Options) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for tier in (0..=wasabi_core::note::MAX_TIER).rev() {
            let wait = self.expected_wait(tier, options);
            let seconds_per_token = self.seconds_per_token(options);
            decisions.extend(self.shed_tier(now, tier, wait, seconds_per_token));
            if self.has_displaceable_tickets(tier) {
                break;
            }
        }
        decisions.extend(self.shed_excess(options));
        decisions
    }

    /// Returns whether tickets of `tier` wait, or are running and preemptible or stopping already;
    /// higher tiers are then not shed.
    fn has_displaceable_tickets(&self, tier: u8) -> bool {
        let any_waiting =
            self.classes.values().any(|class| class.tier == tier && !class.is_empty());
        let any_running =
            self.running.values().any(|r| r.ticket.tier == tier && r.ticket.preemptible);
        any_waiting || any_running
    }

    fn shed_tier(
        &mut self,
        now: Instant,
        tier: u8,
        wait: Duration,
        seconds_per_token: f64,
    ) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for class in self.classes.values_mut().filter(|class| class.tier == tier) {
            let late = |waiting: &Waiting| {
                let waited = now.saturating_duration_since(waiting.since);
                !waiting.ticket.resumed && waited > waiting.ticket.patience
            };
            for (workspace, id) in class.select(late) {
                class.remove(&workspace, id);
                decisions.push(refuse(id, wait));
            }
            decisions.extend(shed_late(class, wait, seconds_per_token));
        }
        decisions
    }

    fn shed_excess(&mut self, options: Options) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let mut waiting: usize = self.classes.values().map(queue::ClassQueue::len).sum();
        while waiting > options.max_waiting {
            let filled = self.classes.values_mut().filter(|class| !class.is_empty());
            let Some(class) = filled.max_by_key(|class| class.tier) else { break };
            let Some(candidate) = class.pop_shed_candidate() else { break };
            decisions.push(refuse(candidate.id, candidate.ticket.patience));
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
                self.servers.record_success(&running.server, running.tokens, took);
            }
            Outcome::Failed => self.servers.record_failure(now, &running.server),
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

    /// Returns the time until a new ticket of `tier` is served: the tokens expected of the waiting
    /// tickets of this and higher tiers, at the rate of the whole pool.
    fn expected_wait(&self, tier: u8, options: Options) -> Duration {
        let before = self.classes.values().filter(|class| class.tier <= tier);
        let tokens: f64 = before.map(queue::ClassQueue::expected_tokens).sum();
        Duration::from_secs_f64((tokens * self.seconds_per_token(options)).min(MAX_EXPECTED_WAIT_S))
    }

    /// Returns the seconds per token that all slots of the pool together take.
    fn seconds_per_token(&self, options: Options) -> f64 {
        let slots = f64::from(self.servers.slots().max(1));
        self.servers.median_slot_seconds_per_token(options.default_slot_seconds_per_token) / slots
    }
}

/// Refuses tickets of a class until the expected wait of the rest is within their patience.
///
/// `wait` is the expected wait of a ticket that would be added behind all of them.
fn shed_late(
    class: &mut queue::ClassQueue,
    wait: Duration,
    seconds_per_token: f64,
) -> Vec<Decision> {
    let mut decisions = Vec::new();
    let mut remaining_s = wait.as_secs_f64();
    while let Some(candidate) = class.peek_shed_candidate() {
        if candidate.ticket.resumed || remaining_s <= candidate.ticket.patience.as_secs_f64() {
            break;
        }
        let Some(candidate) = class.pop_shed_candidate() else { break };
        let after = Duration::from_secs_f64(remaining_s).saturating_sub(candidate.ticket.patience);
        remaining_s -= seconds_per_token * candidate.ticket.expected.0 as f64;
        decisions.push(refuse(candidate.id, after));
    }
    decisions
}

fn refuse(ticket: TicketId, after: Duration) -> Decision {
    let retry_after = after.max(Duration::from_secs(1));
    Decision::Refuse { ticket, code: Code::Overloaded, retry_after }
}
