//! The waiting tickets of one class, shared fairly among workspaces.
//!
//! Each workspace carries a virtual time: the tokens generated for it, divided by its weight. The
//! workspace with the least virtual time is served next (start-time fair queueing). A request is
//! charged what it is expected to generate when it is served, so that a workspace is not served
//! many times before its first tokens count; the charge grows as more are generated, and what was
//! not generated is given back at the end.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use wasabi_core::units::{ClassId, Tokens, WorkspaceId};

use crate::ticket::{TicketId, Waiting};

/// The queue of one class.
#[derive(Debug)]
pub struct Class {
    /// The class's name.
    pub name: ClassId,
    /// The class's tier.
    pub tier: u8,
    /// How long the class may go without service while it has waiting work.
    pub max_gap: Duration,
    /// When the class was last served, or began to wait if that is later.
    last_served: Instant,
    shares: BTreeMap<WorkspaceId, Share>,
    /// The virtual time of the last service; a workspace that returns starts no earlier.
    virtual_now: f64,
    length: usize,
}

#[derive(Debug, Default)]
struct Share {
    /// Tokens charged, by weight.
    virtual_time: f64,
    weight: u32,
    /// Tickets that hold a server at the moment.
    running: usize,
    waiting: VecDeque<Waiting>,
}

impl Class {
    /// Gets an empty queue.
    pub fn new(name: ClassId, tier: u8, max_gap: Duration, now: Instant) -> Self {
        let shares = BTreeMap::new();
        Self { name, tier, max_gap, last_served: now, shares, virtual_now: 0.0, length: 0 }
    }

    /// Returns how many tickets wait.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether no ticket waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Adds a ticket; a resumed one goes ahead of its workspace's others.
    pub fn push(&mut self, waiting: Waiting) {
        if self.is_empty() {
            self.last_served = self.last_served.max(waiting.since);
        }
        let virtual_now = self.start();
        let share = self.shares.entry(waiting.ticket.workspace.clone()).or_default();
        if share.waiting.is_empty() && share.running == 0 {
            share.virtual_time = share.virtual_time.max(virtual_now);
        }
        share.weight = waiting.ticket.weight.max(1);
        if waiting.ticket.resumed {
            share.waiting.push_front(waiting);
        } else {
            share.waiting.push_back(waiting);
        }
        self.length += 1;
    }

    /// Returns the virtual time at which a workspace that returns starts: no later than that of any
    /// workspace that waits, or it would be given up before them.
    fn start(&self) -> f64 {
        let waiting = self.shares.values().filter(|share| !share.waiting.is_empty());
        waiting.map(|share| share.virtual_time).fold(self.virtual_now, f64::min)
    }

    /// Takes the ticket to serve next.
    pub fn pop(&mut self, now: Instant) -> Option<Waiting> {
        let candidates = self.shares.values_mut().filter(|share| !share.waiting.is_empty());
        let share = candidates.min_by(|a, b| a.virtual_time.total_cmp(&b.virtual_time))?;
        let waiting = share.waiting.pop_front()?;
        share.running += 1;
        let served_at = share.virtual_time;
        share.virtual_time += share.cost(waiting.ticket.expected);
        self.virtual_now = self.virtual_now.max(served_at);
        self.length -= 1;
        self.last_served = now;
        Some(waiting)
    }

    /// Puts back a ticket that was popped and found no server.
    pub fn unpop(&mut self, waiting: Waiting, last_served: Instant) {
        self.last_served = last_served;
        let share = self.shares.entry(waiting.ticket.workspace.clone()).or_default();
        share.running = share.running.saturating_sub(1);
        share.virtual_time -= share.cost(waiting.ticket.expected);
        share.waiting.push_front(waiting);
        self.length += 1;
    }

    /// Returns when the class was last served, or began to wait if that is later.
    pub fn last_served(&self) -> Instant {
        self.last_served
    }

    /// Returns the ticket that `pop_worst` would take.
    pub fn peek_worst(&self) -> Option<&Waiting> {
        let candidates = self.shares.values().filter(|share| !share.waiting.is_empty());
        candidates.max_by(|a, b| a.burden().total_cmp(&b.burden()))?.waiting.back()
    }

    /// Takes the ticket to give up first: the newest of the workspace furthest ahead of its share.
    pub fn pop_worst(&mut self) -> Option<Waiting> {
        let candidates = self.shares.values_mut().filter(|share| !share.waiting.is_empty());
        let share = candidates.max_by(|a, b| a.burden().total_cmp(&b.burden()))?;
        let waiting = share.waiting.pop_back()?;
        self.length -= 1;
        Some(waiting)
    }

    /// Takes out a ticket whose caller has gone.
    pub fn remove(&mut self, workspace: &WorkspaceId, id: TicketId) -> Option<Waiting> {
        let share = self.shares.get_mut(workspace)?;
        let position = share.waiting.iter().position(|waiting| waiting.id == id)?;
        self.length -= 1;
        share.waiting.remove(position)
    }

    /// Charges a workspace for tokens beyond those that were expected.
    pub fn charge(&mut self, workspace: &WorkspaceId, tokens: Tokens) {
        if let Some(share) = self.shares.get_mut(workspace) {
            share.virtual_time += share.cost(tokens);
        }
    }

    /// Notes that a ticket of the workspace no longer holds a server, and gives back the charge for
    /// the `unused` tokens.
    pub fn release(&mut self, workspace: &WorkspaceId, unused: Tokens) {
        let Some(share) = self.shares.get_mut(workspace) else { return };
        share.virtual_time -= share.cost(unused);
        share.running = share.running.saturating_sub(1);
        let idle = share.running == 0 && share.waiting.is_empty();
        if idle && share.virtual_time <= self.virtual_now {
            self.shares.remove(workspace);
        }
    }

    /// Returns how far the class is past its bound without service; `None` if it is not.
    pub fn overdue(&self, now: Instant) -> Option<Duration> {
        if self.is_empty() {
            return None;
        }
        now.saturating_duration_since(self.last_served).checked_sub(self.max_gap)
    }

    /// Returns the tokens expected of the tickets that wait.
    pub fn expected(&self) -> f64 {
        let waiting = self.shares.values().flat_map(|share| &share.waiting);
        waiting.map(|waiting| waiting.ticket.expected.0 as f64).sum()
    }

    /// Returns the numbers of the tickets for which `give_up` holds.
    pub fn select(&self, give_up: impl Fn(&Waiting) -> bool) -> Vec<(WorkspaceId, TicketId)> {
        let waiting = self.shares.values().flat_map(|share| &share.waiting);
        let chosen = waiting.filter(|waiting| give_up(waiting));
        chosen.map(|waiting| (waiting.ticket.workspace.clone(), waiting.id)).collect()
    }
}

impl Share {
    fn cost(&self, tokens: Tokens) -> f64 {
        tokens.0 as f64 / f64::from(self.weight.max(1))
    }

    /// The virtual time that the workspace would have if all its waiting tickets were served.
    fn burden(&self) -> f64 {
        let waiting: f64 = self.waiting.iter().map(|w| w.ticket.expected.0 as f64).sum();
        self.virtual_time + waiting / f64::from(self.weight.max(1))
    }
}
