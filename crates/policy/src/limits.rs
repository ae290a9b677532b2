//! Limits of workspaces on concurrent tickets and on the token rate.
//!
//! They hold for all hosts together that send the tickets of a workspace to one scheduler.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use wasabi_core::units::{TokenRate, Tokens, WorkspaceId};

use crate::ticket::Ticket;

const SECONDS_PER_MINUTE: f64 = 60.0;
/// The delay before a retry at the limit of concurrent (waiting or running) tickets. It is fixed,
/// because it is not known when a ticket ends.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Enforces the limits of workspaces at one scheduler: counts their tickets and meters their
/// tokens. The limits themselves come with each ticket.
#[derive(Debug, Default)]
pub struct Limiter {
    workspaces: HashMap<WorkspaceId, WorkspaceUsage>,
}

#[derive(Debug, Default)]
struct WorkspaceUsage {
    /// Tickets that wait or run.
    tickets: u32,
    /// `None` until a ticket of the workspace has a token rate.
    bucket: Option<Bucket>,
}

/// A token bucket that holds the tokens of one minute.
#[derive(Debug)]
struct Bucket {
    /// Tokens left at `updated_at`; negative after a long answer, since tokens are spent as
    /// generated.
    level: f64,
    updated_at: Instant,
    rate: TokenRate,
}

impl Limiter {
    /// Returns the delay before a retry if the ticket's workspace has reached a limit, else `None`.
    /// Refills the workspace's token bucket up to `now`.
    pub fn check(&mut self, now: Instant, ticket: &Ticket) -> Option<Duration> {
        let usage = self.workspaces.entry(ticket.workspace.clone()).or_default();
        if ticket.max_running.is_some_and(|limit| usage.tickets >= limit) {
            return Some(CONCURRENCY_RETRY_AFTER);
        }
        let rate = ticket.token_rate?;
        let bucket = usage.bucket.get_or_insert_with(|| Bucket::full(now, rate));
        bucket.rate = rate;
        bucket.refill(now);
        (bucket.level <= 0.0)
            .then(|| Duration::from_secs_f64((1.0 - bucket.level) / bucket.tokens_per_second()))
    }

    /// Counts a ticket towards the limit of concurrent tickets.
    pub fn add_ticket(&mut self, workspace: &WorkspaceId) {
        self.workspaces.entry(workspace.clone()).or_default().tickets += 1;
    }

    /// Removes a ticket from the count.
    pub fn remove_ticket(&mut self, workspace: &WorkspaceId) {
        let Some(usage) = self.workspaces.get_mut(workspace) else { return };
        usage.tickets = usage.tickets.saturating_sub(1);
        if usage.tickets == 0 && usage.bucket.is_none() {
            self.workspaces.remove(workspace);
        }
    }

    /// Takes generated tokens from the workspace's bucket, if it has a token rate.
    pub fn spend(&mut self, workspace: &WorkspaceId, tokens: Tokens) {
        let usage = self.workspaces.get_mut(workspace);
        if let Some(bucket) = usage.and_then(|usage| usage.bucket.as_mut()) {
            bucket.level -= tokens.0 as f64;
        }
    }
}

impl Bucket {
    fn full(now: Instant, rate: TokenRate) -> Self {
        Self { level: rate.0 as f64, updated_at: now, rate }
    }

    fn tokens_per_second(&self) -> f64 {
        (self.rate.0 as f64 / SECONDS_PER_MINUTE).max(f64::MIN_POSITIVE)
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.level = (self.level + passed * self.tokens_per_second()).min(self.rate.0 as f64);
        self.updated_at = now;
    }
}
