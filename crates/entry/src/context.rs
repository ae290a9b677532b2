//! What every request needs, gathered once.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use parking_lot::Mutex;
use wasabi_config::cell::Cell;
use wasabi_core::{time::Clock, units::RouteId, units::WorkspaceId};
use wasabi_once::table::Table;
use wasabi_policy::{budget::Budget, estimate};
use wasabi_usage::counter::Counter;

use crate::{dispatch::Dispatch, running::Registry};

/// Time and size limits of the caller border.
#[derive(Clone, Debug)]
pub struct Options {
    /// For receiving the head of a request.
    pub head_time: Duration,
    /// For receiving a body.
    pub body_time: Duration,
    /// For a caller to take a part of the answer.
    pub write_time: Duration,
    /// For connecting to a backend server.
    pub connect_time: Duration,
    /// For the first part of a backend server's answer.
    pub first_time: Duration,
    /// Between parts of a backend server's answer.
    pub part_time: Duration,
    /// For the whole answer to a call that is not streamed.
    pub whole_time: Duration,
    /// The largest head, in bytes.
    pub max_head: usize,
    /// The largest answer that is not streamed, in bytes.
    pub max_answer: usize,
    /// Connections at a time.
    pub max_connections: usize,
    /// How often a request may be sent to another server after failures.
    pub max_retries: u32,
    /// Retries as a share of first tries.
    pub retry_share: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            head_time: Duration::from_secs(10),
            body_time: Duration::from_secs(30),
            write_time: Duration::from_secs(30),
            connect_time: Duration::from_secs(1),
            first_time: Duration::from_secs(15),
            part_time: Duration::from_secs(5),
            whole_time: Duration::from_secs(120),
            max_head: 32 * 1024,
            max_answer: 8 * 1024 * 1024,
            max_connections: 4_096,
            max_retries: 3,
            retry_share: 0.1,
        }
    }
}

/// What is known of the outside by the rest of the process.
#[derive(Debug, Default)]
pub struct Contact {
    isolated: AtomicBool,
    leaving: AtomicBool,
}

impl Contact {
    /// Notes whether the host has lost the store and every peer for too long.
    pub fn set_isolated(&self, isolated: bool) {
        self.isolated.store(isolated, Ordering::Relaxed);
    }

    /// Notes that the host is about to stop.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns whether the host is about to stop; callers are then told to close connections.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Returns whether the host has lost the store and every peer for too long.
    pub fn is_isolated(&self) -> bool {
        self.isolated.load(Ordering::Relaxed)
    }
}

/// What every request needs.
pub struct Context {
    /// Limits of the border.
    pub options: Options,
    /// The configuration in force.
    pub cell: Arc<Cell>,
    /// Gives servers to requests.
    pub dispatch: Arc<dyn Dispatch>,
    /// Counts usage.
    pub counter: Arc<Counter>,
    /// Claims of calls that may not be repeated.
    pub once: Arc<Table>,
    /// Requests that run.
    pub running: Arc<Registry>,
    /// Contact with the outside.
    pub contact: Arc<Contact>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Retries left.
    pub budget: Mutex<Budget>,
    /// Expected answer lengths in tokens.
    pub lengths: Mutex<estimate::Table<(RouteId, WorkspaceId)>>,
    /// Expected seconds from the grant to the first token, by route.
    pub first_token: Mutex<estimate::Table<RouteId>>,
    /// Expected seconds from the grant to the end of a whole answer, by route.
    pub whole: Mutex<estimate::Table<RouteId>>,
}
