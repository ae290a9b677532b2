//! The limits of workspaces, over all hosts that ask one desk.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use wasabi_core::units::{TokenRate, Tokens, WorkspaceId};

use crate::ticket::Ticket;

const MINUTE_SECONDS: f64 = 60.0;
const WHEN_RUNNING: Duration = Duration::from_secs(1);

/// What the workspaces of a desk use.
#[derive(Debug, Default)]
pub struct Limits {
    workspaces: HashMap<WorkspaceId, Used>,
}

#[derive(Debug, Default)]
struct Used {
    /// Tickets that wait or run.
    tickets: u32,
    /// None until the workspace is known to have a token rate.
    bucket: Option<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    /// Tokens left; below 0 after a long answer.
    level: f64,
    /// When the level was right.
    at: Instant,
    rate: TokenRate,
}

impl Limits {
    /// Returns when to come back if the ticket's workspace has reached a limit, else `None`.
    pub fn reached(&mut self, now: Instant, ticket: &Ticket) -> Option<Duration> {
        let used = self.workspaces.entry(ticket.workspace.clone()).or_default();
        if ticket.max_running.is_some_and(|limit| used.tickets >= limit) {
            return Some(WHEN_RUNNING);
        }
        let rate = ticket.token_rate?;
        let bucket = used.bucket.get_or_insert_with(|| Bucket::full(now, rate));
        bucket.rate = rate;
        bucket.fill(now);
        (bucket.level <= 0.0)
            .then(|| Duration::from_secs_f64((1.0 - bucket.level) / bucket.per_second()))
    }

    /// Enters a ticket.
    pub fn enter(&mut self, workspace: &WorkspaceId) {
        self.workspaces.entry(workspace.clone()).or_default().tickets += 1;
    }

    /// Takes a ticket out.
    pub fn leave(&mut self, workspace: &WorkspaceId) {
        let Some(used) = self.workspaces.get_mut(workspace) else { return };
        used.tickets = used.tickets.saturating_sub(1);
        if used.tickets == 0 && used.bucket.is_none() {
            self.workspaces.remove(workspace);
        }
    }

    /// Takes tokens that were generated for a workspace.
    pub fn spend(&mut self, workspace: &WorkspaceId, tokens: Tokens) {
        let used = self.workspaces.get_mut(workspace);
        if let Some(bucket) = used.and_then(|used| used.bucket.as_mut()) {
            bucket.level -= tokens.0 as f64;
        }
    }
}

impl Bucket {
    /// A bucket holds a minute's tokens.
    fn full(now: Instant, rate: TokenRate) -> Self {
        Self { level: rate.0 as f64, at: now, rate }
    }

    fn per_second(&self) -> f64 {
        (self.rate.0 as f64 / MINUTE_SECONDS).max(f64::MIN_POSITIVE)
    }

    fn fill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.level = (self.level + passed * self.per_second()).min(self.rate.0 as f64);
        self.at = now;
    }
}
