//! State shared by all requests of a host.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use parking_lot::Mutex;
use wasabi_config::current::CurrentState;
use wasabi_core::{time::Clock, units::RouteId, units::WorkspaceId};
use wasabi_once::claims::Claims;
use wasabi_policy::{moving_average, retry_budget::Budget};
use wasabi_usage::counter::Counter;

use crate::{dispatch::Dispatch, running::Registry};

/// Time, size and retry limits of the caller-facing front end.
#[derive(Clone, Debug)]
pub struct Options {
    /// Time limit for receiving the head of a request.
    pub head_timeout: Duration,
    /// Time limit for receiving the body of a request.
    pub body_timeout: Duration,
    /// Time limit for a caller to accept a part of a streamed answer.
    pub write_timeout: Duration,
    /// Time limit for connecting to a backend server.
    pub connect_timeout: Duration,
    /// Time limit for the head, and again for the first bytes, of a streamed answer from a backend
    /// server.
    pub first_part_timeout: Duration,
    /// Longest time between two reads of a streamed answer from a backend server.
    pub part_timeout: Duration,
    /// Time limit for the head, and again for the body, of an answer that is not streamed.
    pub answer_timeout: Duration,
    /// Largest request head, in bytes.
    pub max_head: usize,
    /// Largest answer that is not streamed, in bytes.
    pub max_answer: usize,
    /// Most connections from callers at a time.
    pub max_connections: usize,
    /// Most retries of a request.
    pub max_retries: u32,
    /// Allowed ratio of retries to first attempts, over all requests.
    pub retry_share: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            write_timeout: Duration::from_secs(30),
            connect_timeout: Duration::from_secs(1),
            first_part_timeout: Duration::from_secs(15),
            part_timeout: Duration::from_secs(5),
            answer_timeout: Duration::from_secs(120),
            max_head: 32 * 1024,
            max_answer: 8 * 1024 * 1024,
            max_connections: 4_096,
            max_retries: 3,
            retry_share: 0.1,
        }
    }
}

/// Flags that the rest of the process sets for the handling of requests.
#[derive(Debug, Default)]
pub struct HostState {
    isolated: AtomicBool,
    leaving: AtomicBool,
}

impl HostState {
    /// Sets whether the host has lost contact with the store and most peers for too long.
    pub fn set_isolated(&self, isolated: bool) {
        self.isolated.store(isolated, Ordering::Relaxed);
    }

    /// Marks the host as stopping, which cannot be undone.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns whether the host is stopping; responses then carry `connection: close`.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Returns whether the host has lost contact with the store and most peers for too long;
    /// requests that need a key are then refused.
    pub fn is_isolated(&self) -> bool {
        self.isolated.load(Ordering::Relaxed)
    }
}

/// State shared by all requests of a host.
pub struct Context {
    /// Limits of the front end.
    pub options: Options,
    /// The configuration in force.
    pub config: Arc<CurrentState>,
    /// Assigns servers to requests.
    pub dispatch: Arc<dyn Dispatch>,
    /// Usage of each workspace.
    pub counter: Arc<Counter>,
    /// Idempotency records of calls that must not run twice.
    pub claims: Arc<Claims>,
    /// The running requests.
    pub running: Arc<Registry>,
    /// Whether the host is isolated or stopping.
    pub host_state: Arc<HostState>,
    /// Clock for all time measurements.
    pub clock: Arc<dyn Clock>,
    /// Retry budget of the host.
    pub budget: Mutex<Budget>,
    /// Expected answer length in tokens, by route and workspace.
    pub answer_lengths: Mutex<moving_average::Table<(RouteId, WorkspaceId)>>,
    /// Expected seconds from the grant to the first token, by route.
    pub first_token_seconds: Mutex<moving_average::Table<RouteId>>,
    /// Expected seconds from the grant to the end of an answer that is not streamed, by route.
    pub answer_seconds: Mutex<moving_average::Table<RouteId>>,
}
