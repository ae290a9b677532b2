//! A request to be placed, and what becomes of it.

use std::time::{Duration, Instant};

use wasabi_core::{
    call::Prompt,
    member::Member,
    units::{Build, ServerId},
};

use crate::engine_speed::Speed;

/// A request to be placed.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// The prompt, for requests to engines.
    pub prompt: Option<&'a Prompt>,
    /// The longest acceptable wait for the first event or the response.
    pub max_wait: Duration,
    /// The longest time between events that its caller tolerates, if it is a stream that has such a target.
    pub target_gap: Option<Duration>,
    /// The priority for engines: 0 is the most urgent, 9 the least.
    pub urgency: u8,
    /// The only software version that may run it, if it goes on with what a server generated.
    pub build: Option<&'a Build>,
    /// Software versions that may not run it.
    pub excluded: &'a [Build],
    /// Servers that have failed this request; used only if no other one is ready.
    pub avoid: &'a [ServerId],
    /// Servers that have refused this request; never used.
    pub refused: &'a [ServerId],
}

impl PlacementRequest<'_> {
    /// Returns whether the software version of a server may run the request.
    pub fn accepts(&self, server: &Member) -> bool {
        self.build.is_none_or(|build| server.build == *build)
            && !self.excluded.contains(&server.build)
    }
}

/// A request's slot on a server; released by `Balancer::end`.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The server, as it was announced at the time of placement.
    pub member: Member,
    /// When the request was placed.
    pub since: Instant,
    /// The expected time until the first event; zero on plain servers.
    pub expected_wait: Duration,
    /// The expected time between events; zero on plain servers.
    pub expected_gap: Duration,
    /// Requests that were known to run there, itself included.
    pub running: u32,
    /// The expected prefill time in milliseconds.
    pub prefill_ms: f64,
    /// The factors of the engine that the expectations are based on.
    pub speed: Speed,
    /// The priority for the engine: 0 is the most urgent, 9 the least.
    pub urgency: u8,
    /// Whether its prompt is short, see `server_state::MAX_LIGHT_PREFILL_MS`.
    pub light: bool,
    /// Tokens of its prompt and its longest answer, which it may hold in the engine's memory.
    pub tokens: u64,
}

/// Why a request was not placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No server of the service, or of the version that the request needs, takes new work.
    NoServer,
    /// All servers that take new work are paused or at their limits; the time until the first one
    /// takes a request.
    Paused(Duration),
    /// No server has room for it, has not refused it and is expected to serve it within its max wait. Holds the
    /// least expected wait plus failure penalty of the servers, whether they have room or not;
    /// while announcements are stale, the wait is multiplied by the latency ratio. Servers that the
    /// request avoids are left out if there are others.
    NoServerInTime(Duration),
}

/// How a request ended at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The server sent the whole response.
    Served,
    /// The server refused it without running it.
    Rejected,
    /// The server failed it.
    Failed,
    /// The caller disconnected, the request's time ran out, a stuck request moved to another
    /// server, or the placement was dropped before the request was sent.
    Abandoned,
}
