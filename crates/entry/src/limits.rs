//! The limits of workspaces on this host.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use wasabi_core::{
    errors::{Code, Error, Result},
    note::Workspace,
    units::{TokenRate, Tokens, WorkspaceId},
};

const MINUTE_SECONDS: f64 = 60.0;
const WHEN_RUNNING: Duration = Duration::from_secs(1);

/// Token buckets of the workspaces that have a token rate.
#[derive(Default)]
pub struct Limits {
    buckets: Mutex<HashMap<WorkspaceId, Bucket>>,
}

struct Bucket {
    /// Tokens left; below 0 after a long answer.
    level: f64,
    /// When the level was right.
    at: Instant,
    rate: TokenRate,
}

impl Limits {
    /// Decides whether `workspace`, with `running` requests on this host, may start one more.
    pub fn admit(&self, now: Instant, workspace: &Workspace, running: u32) -> Result<()> {
        if workspace.max_running.is_some_and(|limit| running > limit) {
            return Err(Error::new(Code::LimitReached, "max_running").retry_after(WHEN_RUNNING));
        }
        let Some(rate) = workspace.token_rate else { return Ok(()) };
        let mut buckets = self.buckets.lock();
        let bucket =
            buckets.entry(workspace.name.clone()).or_insert_with(|| Bucket::full(now, rate));
        bucket.rate = rate;
        bucket.fill(now);
        if bucket.level > 0.0 {
            return Ok(());
        }
        let wait = Duration::from_secs_f64(1.0 - bucket.level / bucket.per_second());
        Err(Error::new(Code::LimitReached, "token_rate").retry_after(wait))
    }

    /// Takes tokens that were delivered to a workspace.
    pub fn spend(&self, workspace: &WorkspaceId, tokens: Tokens) {
        if let Some(bucket) = self.buckets.lock().get_mut(workspace) {
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
