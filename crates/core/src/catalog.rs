//! The configuration by which `wasabirouter gateway` handles requests, read from the platform's
//! store. `wasabirouter run` has the one in [`note`](crate::note) instead.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    data,
    units::{Bytes, Domain, PoolId, Region, RequestRate, Revision, RouteId, Tokens, WorkspaceId},
};

data! {
    /// One version of the configuration; a newer version replaces it entirely.
    #[derive(Default)]
    pub struct Catalog {
        /// Grows with each version, not always by one.
        pub version: Revision,
        /// The routes, in no particular order.
        pub routes: Vec<Route>,
        /// The services by name.
        pub services: BTreeMap<String, Service>,
        /// Limits on requests and on idle connections.
        pub limits: Limits,
        /// The workspace of each API key. The keys must not appear in logs or dumps.
        pub keys: BTreeMap<String, KeyOwner>,
        /// Whether requests need a key; false if the configuration has no list of workspaces.
        #[serde(rename = "keyed")]
        pub requires_keys: bool,
    }

    /// The workspace that owns a key.
    pub struct KeyOwner {
        /// The workspace that requests with the key run for.
        pub workspace: WorkspaceId,
        /// The workspace's priority, which overrides that of the route; 0 is the highest.
        pub rank: Option<u8>,
        /// The regions whose servers may run its requests; empty if all may.
        #[serde(default)]
        pub homes: BTreeSet<Region>,
    }

    /// A route: which services serve which requests, and under which limits.
    pub struct Route {
        /// The route's name.
        pub name: RouteId,
        /// The host name in requests, compared without regard to case.
        pub host: String,
        /// The path prefix; begins and ends with a slash.
        pub path: String,
        /// Whether responses are streams, and whether a request may be executed again.
        pub kind: Kind,
        /// The longest time that a request may take in all.
        pub timeout: Duration,
        /// The latency target of the whole response, or of the first event of a stream.
        pub target: Duration,
        /// For streams: the longest pause between events that still meets the target.
        pub target_gap: Option<Duration>,
        /// The priority of requests; 0 is the highest.
        pub rank: u8,
        /// The services that serve the route, with their weights; never empty.
        pub backends: Vec<(PoolId, u32)>,
        /// The maximum number of executions of one request; sends that a server turned away do
        /// not count.
        pub max_attempts: u32,
        /// Whether requests need no key.
        pub open: bool,
        /// The regions whose servers may run requests; empty if all may.
        #[serde(default)]
        pub homes: BTreeSet<Region>,
    }

    /// Whether responses are streams, and whether a request may be executed more than once.
    #[derive(Copy, Eq)]
    pub enum Kind {
        /// Idempotent; may be executed more than once.
        Idempotent,
        /// May be executed at most once.
        Once,
        /// A stream of events; may be executed at most once.
        Stream,
        /// A stream of events that another server may resume; may be executed more than once.
        ResumableStream,
    }

    /// A service: a group of interchangeable backend servers.
    pub struct Service {
        /// The maximum number of connections to one server, from all hosts together.
        pub max_connections: u32,
        /// The path at which a server tells whether it is healthy.
        #[serde(default)]
        pub health_path: String,
        /// The capacity of an engine, for services of language-model engines.
        pub engine: Option<Engine>,
        /// The scaling bounds, for services whose servers are ordered.
        pub scaling: Option<Scaling>,
        /// The requests a second that a server tolerates from all hosts together while it is cold, if
        /// that is limited.
        #[serde(default)]
        pub cold_rate: Option<RequestRate>,
    }

    /// The capacity of one language-model engine.
    #[derive(Copy)]
    pub struct Engine {
        /// How many requests the engine runs concurrently.
        pub slots: u32,
        /// How many tokens of running and cached prompts its memory holds.
        pub memory: Tokens,
        /// Number of tokens in one event of a stream.
        pub event_tokens: u32,
    }

    /// The bounds within which servers of a service are ordered, and their prices.
    pub struct Scaling {
        /// The minimum number of servers in each failure domain.
        pub min: u32,
        /// The maximum number of servers in each failure domain.
        pub max: u32,
        /// Time from an order until the new server takes requests.
        pub boot: Duration,
        /// The price of a reclaimable server as a fraction of the domain's price; `None` if the
        /// service has no reclaimable servers.
        #[serde(rename = "cheap_price")]
        pub reclaimable_price_ratio: Option<f64>,
        /// The price per second of a server in each failure domain.
        pub prices: BTreeMap<Domain, f64>,
    }

    /// Limits on requests and on idle connections.
    #[derive(Copy)]
    pub struct Limits {
        /// The maximum size of a request head.
        pub max_head: Bytes,
        /// The maximum size of a request body.
        pub max_body: Bytes,
        /// How long a caller may take to send a request head.
        pub head_timeout: Duration,
        /// How long a caller's connection may stay idle.
        pub idle_timeout: Duration,
    }
}

const DEFAULT_MAX_HEAD_BYTES: u64 = 16 * 1024;
const DEFAULT_MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(3);
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_head: Bytes(DEFAULT_MAX_HEAD_BYTES),
            max_body: Bytes(DEFAULT_MAX_BODY_BYTES),
            head_timeout: DEFAULT_HEAD_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        }
    }
}

impl Kind {
    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Returns whether a request that may have been executed can be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

impl Catalog {
    /// Returns the route of a request: of the routes for `host`, the one with the longest prefix of
    /// `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let matching = |route: &&Route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(route.path.as_str())
        };
        self.routes.iter().filter(matching).max_by_key(|route| route.path.len())
    }
}

impl Route {
    /// Picks a service at random by weight; `draw` is a uniform sample from 0 to 1.
    pub fn pick(&self, draw: f64) -> &PoolId {
        let total: u32 = self.backends.iter().map(|(_, weight)| weight).sum();
        let mut remaining = draw * f64::from(total);
        for (service, weight) in &self.backends {
            remaining -= f64::from(*weight);
            if remaining < 0.0 {
                return service;
            }
        }
        &self.backends[self.backends.len() - 1].0
    }
}
