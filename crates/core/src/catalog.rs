//! One version of the configuration that a gateway serves: routes, services, workspaces and limits.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    data,
    units::{Bytes, Domain, PoolId, Revision, RouteId, Tokens, WorkspaceId},
};

data! {
    /// A whole configuration; a newer version replaces it entirely.
    #[derive(Default)]
    pub struct Catalog {
        /// Grows with each version, in uneven steps.
        pub version: Revision,
        /// The routes, in no order.
        pub routes: Vec<Route>,
        /// The services, by name.
        pub services: BTreeMap<String, Service>,
        /// What a caller may send and how long it may stay idle.
        pub limits: Limits,
        /// Each key with the workspace that holds it. Keys never appear in logs or dumps.
        pub keys: BTreeMap<String, Holder>,
        /// Whether the configuration names workspaces; without any, no request needs a key.
        pub keyed: bool,
    }

    /// The workspace that a key belongs to.
    pub struct Holder {
        /// The workspace's name.
        pub workspace: WorkspaceId,
        /// The workspace's rank, which goes before that of the route; 0 is the highest.
        pub rank: Option<u8>,
    }

    /// A route: which requests go to which service, and how.
    pub struct Route {
        /// The route's name.
        pub name: RouteId,
        /// The host name that callers use.
        pub host: String,
        /// The path prefix; begins and ends with a slash.
        pub path: String,
        /// What may be repeated.
        pub kind: Kind,
        /// The longest time that a request may take.
        pub timeout: Duration,
        /// The time within which an answer (for streams: its first event) is on time.
        pub target: Duration,
        /// For streams: the longest pause between events of a stream that is on time.
        pub target_gap: Option<Duration>,
        /// The rank of its requests; 0 is the highest.
        pub rank: u8,
        /// The services that serve it with their weights; never empty.
        pub backends: Vec<(PoolId, u32)>,
        /// How many backend servers one request may be sent to.
        pub max_attempts: u32,
        /// Whether callers need no key.
        pub open: bool,
    }

    /// What may be repeated on a route.
    #[derive(Copy, Eq)]
    pub enum Kind {
        /// Idempotent: may run more than once.
        Idempotent,
        /// Runs at most once.
        Once,
        /// A stream of events that runs at most once.
        Stream,
        /// A stream of events that another server may continue.
        ResumableStream,
    }

    /// A service: servers that do the same work.
    pub struct Service {
        /// How many connections one server takes from all hosts together.
        pub max_connections: u32,
        /// For services of language-model engines: the shape of an engine.
        pub engine: Option<Engine>,
        /// For services whose servers are ordered: the bounds.
        pub scaling: Option<Scaling>,
    }

    /// The shape of a language-model engine.
    #[derive(Copy)]
    pub struct Engine {
        /// How many requests it runs at a time.
        pub slots: u32,
        /// How many tokens of running and cached prompts its memory holds.
        pub memory: Tokens,
        /// How many tokens one event of a stream holds.
        pub event_tokens: u32,
    }

    /// The bounds within which servers of a service are ordered.
    pub struct Scaling {
        /// The fewest servers a domain.
        pub min: u32,
        /// The most servers a domain.
        pub max: u32,
        /// How long a new server takes before it serves.
        pub boot: Duration,
        /// The price of a reclaimable server as a share of the domain's price, if there are any.
        pub cheap_price: Option<f64>,
        /// The price of a server in each domain, per second.
        pub prices: BTreeMap<Domain, f64>,
    }

    /// What a caller may send and how long it may stay idle.
    #[derive(Copy)]
    pub struct Limits {
        /// The largest request head.
        pub max_head: Bytes,
        /// The largest request body.
        pub max_body: Bytes,
        /// How long a caller may take to send a head.
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
    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Returns whether a request that may have run can be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

impl Catalog {
    /// Finds the route of a request: that of its host with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let matching = |route: &&Route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(route.path.as_str())
        };
        self.routes.iter().filter(matching).max_by_key(|route| route.path.len())
    }
}

impl Route {
    /// Picks a service by the weights; `draw` is uniform in 0 to 1.
    pub fn pick(&self, draw: f64) -> &PoolId {
        let total: u32 = self.backends.iter().map(|(_, weight)| weight).sum();
        let mut left = draw * f64::from(total);
        for (service, weight) in &self.backends {
            left -= f64::from(*weight);
            if left < 0.0 {
                return service;
            }
        }
        &self.backends[self.backends.len() - 1].0
    }
}
