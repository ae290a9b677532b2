//! The waiting tickets of one class, with fair queueing among workspaces.
//!
//! Each workspace has a virtual time: the tokens charged to it, divided by its weight. The
//! workspace with the least virtual time is served next (start-time fair queueing). A request is
//! charged its expected tokens when it is served, so that a workspace is not served many times
//! before its first tokens count. Tokens beyond the expected ones are charged as they are
//! generated; expected tokens that were not generated are refunded at the end.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use wasabi_core::units::{ClassId, Tokens, WorkspaceId};

use crate::ticket::{TicketId, Waiting};

/// The queue of one class.
#[derive(Debug)]
pub struct ClassQueue {
    /// The class's name.
    pub name: ClassId,
    /// The class's tier.
    pub tier: u8,
    /// How long the class may go without service while it has waiting work.
    pub max_gap: Duration,
    /// When the class was last served, or last became non-empty if that is later.
    last_served: Instant,
    workspaces: BTreeMap<WorkspaceId, WorkspaceQueue>,
    /// The greatest virtual time at which a ticket was served. A workspace that becomes active
    /// starts at the lesser of this and the least virtual time of the waiting workspaces, or at its
    /// own virtual time if that is greater.
    virtual_now: f64,
    waiting_count: usize,
}

#[derive(Debug, Default)]
struct WorkspaceQueue {
    /// Tokens charged, divided by the weight.
    virtual_time: f64,
    weight: u32,
    /// Tickets that hold a server.
    running: usize,
    waiting: VecDeque<Waiting>,
}

impl ClassQueue {
    /// Creates an empty queue; its time without service counts from `now`.
    pub fn new(name: ClassId, tier: u8, max_gap: Duration, now: Instant) -> Self {
        let workspaces = BTreeMap::new();
        Self {
            name,
            tier,
            max_gap,
            last_served: now,
            workspaces,
            virtual_now: 0.0,
            waiting_count: 0,
        }
    }

    /// Returns how many tickets wait.
    pub fn len(&self) -> usize {
        self.waiting_count
    }

    /// Returns whether no ticket waits.
    pub fn is_empty(&self) -> bool {
        self.waiting_count == 0
    }

    /// Adds a ticket behind the others of its workspace; a resumed one goes ahead of them.
    pub fn push(&mut self, waiting: Waiting) {
        if self.is_empty() {
            self.last_served = self.last_served.max(waiting.since);
        }
        let entry_time = self.entry_virtual_time();
        let queue = self.workspaces.entry(waiting.ticket.workspace.clone()).or_default();
        if queue.waiting.is_empty() && queue.running == 0 {
            queue.virtual_time = queue.virtual_time.max(entry_time);
        }
        queue.weight = waiting.ticket.weight.max(1);
        if waiting.ticket.resumed {
            queue.waiting.push_front(waiting);
        } else {
            queue.waiting.push_back(waiting);
        }
        self.waiting_count += 1;
    }

    /// Returns the least virtual time at which a workspace that becomes active may start. It is no
    /// greater than that of any waiting workspace: otherwise the projected virtual time of the new
    /// workspace's tickets would be later, and they would be shed before those of the others.
    fn entry_virtual_time(&self) -> f64 {
        let waiting = self.workspaces.values().filter(|queue| !queue.waiting.is_empty());
        waiting.map(|queue| queue.virtual_time).fold(self.virtual_now, f64::min)
    }

    /// Removes the ticket to serve next and charges its workspace for the expected tokens.
    pub fn pop(&mut self, now: Instant) -> Option<Waiting> {
        let candidates = self.workspaces.values_mut().filter(|queue| !queue.waiting.is_empty());
        let queue = candidates.min_by(|a, b| a.virtual_time.total_cmp(&b.virtual_time))?;
        let waiting = queue.waiting.pop_front()?;
        queue.running += 1;
        let served_at = queue.virtual_time;
        queue.virtual_time += queue.virtual_cost(waiting.ticket.expected);
        self.virtual_now = self.virtual_now.max(served_at);
        self.waiting_count -= 1;
        self.last_served = now;
        Some(waiting)
    }

    /// Undoes a `pop` for which there was no server. `last_served` is the value before the `pop`;
    /// `virtual_now` keeps the value after it.
    pub fn undo_pop(&mut self, waiting: Waiting, last_served: Instant) {
        self.last_served = last_served;
        let queue = self.workspaces.entry(waiting.ticket.workspace.clone()).or_default();
        queue.running = queue.running.saturating_sub(1);
        queue.virtual_time -= queue.virtual_cost(waiting.ticket.expected);
        queue.waiting.push_front(waiting);
        self.waiting_count += 1;
    }

    /// Returns when the class was last served, or last became non-empty if that is later.
    pub fn last_served(&self) -> Instant {
        self.last_served
    }

    /// Returns the ticket that `pop_shed_candidate` would remove.
    pub fn peek_shed_candidate(&self) -> Option<&Waiting> {
        let candidates = self.workspaces.values().filter(|queue| !queue.waiting.is_empty());
        candidates
            .max_by(|a, b| a.projected_virtual_time().total_cmp(&b.projected_virtual_time()))?
            .waiting
            .back()
    }

    /// Removes the ticket to shed first: the last of the workspace with the greatest projected
    /// virtual time.
    pub fn pop_shed_candidate(&mut self) -> Option<Waiting> {
        let candidates = self.workspaces.values_mut().filter(|queue| !queue.waiting.is_empty());
        let queue = candidates
            .max_by(|a, b| a.projected_virtual_time().total_cmp(&b.projected_virtual_time()))?;
        let waiting = queue.waiting.pop_back()?;
        self.waiting_count -= 1;
        Some(waiting)
    }

    /// Removes the waiting ticket `id`; `None` if it does not wait.
    pub fn remove(&mut self, workspace: &WorkspaceId, id: TicketId) -> Option<Waiting> {
        let queue = self.workspaces.get_mut(workspace)?;
        let position = queue.waiting.iter().position(|waiting| waiting.id == id)?;
        self.waiting_count -= 1;
        queue.waiting.remove(position)
    }

    /// Charges a workspace for tokens beyond the expected ones.
    pub fn charge(&mut self, workspace: &WorkspaceId, tokens: Tokens) {
        if let Some(queue) = self.workspaces.get_mut(workspace) {
            queue.virtual_time += queue.virtual_cost(tokens);
        }
    }

    /// Records that a ticket of the workspace no longer holds a server, and refunds the charge for
    /// the `unused` tokens.
    pub fn release(&mut self, workspace: &WorkspaceId, unused: Tokens) {
        let Some(queue) = self.workspaces.get_mut(workspace) else { return };
        queue.virtual_time -= queue.virtual_cost(unused);
        queue.running = queue.running.saturating_sub(1);
        let idle = queue.running == 0 && queue.waiting.is_empty();
        if idle && queue.virtual_time <= self.virtual_now {
            self.workspaces.remove(workspace);
        }
    }

    /// Returns how far the class is past its bound without service; `None` if it is not.
    pub fn overdue(&self, now: Instant) -> Option<Duration> {
        if self.is_empty() {
            return None;
        }
        now.saturating_duration_since(self.last_served).checked_sub(self.max_gap)
    }

    /// Returns the sum of the expected tokens of the waiting tickets.
    pub fn expected_tokens(&self) -> f64 {
        let waiting = self.workspaces.values().flat_map(|queue| &queue.waiting);
        waiting.map(|waiting| waiting.ticket.expected.0 as f64).sum()
    }

    /// Returns workspace and id of the waiting tickets for which `matches` holds.
    pub fn select(&self, matches: impl Fn(&Waiting) -> bool) -> Vec<(WorkspaceId, TicketId)> {
        let waiting = self.workspaces.values().flat_map(|queue| &queue.waiting);
        let selected = waiting.filter(|waiting| matches(waiting));
        selected.map(|waiting| (waiting.ticket.workspace.clone(), waiting.id)).collect()
    }
}

impl WorkspaceQueue {
    fn virtual_cost(&self, tokens: Tokens) -> f64 {
        tokens.0 as f64 / f64::from(self.weight.max(1))
    }

    /// Returns the virtual time that the workspace would have if all its waiting tickets were
    /// served.
    fn projected_virtual_time(&self) -> f64 {
        let waiting: f64 = self.waiting.iter().map(|w| w.ticket.expected.0 as f64).sum();
        self.virtual_time + waiting / f64::from(self.weight.max(1))
    }
}
