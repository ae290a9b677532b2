//! Release notes and the configuration objects that they add, change and withdraw.

use std::net::SocketAddr;

use crate::{
    data,
    units::{
        Build, Bytes, ClassId, Domain, KeyId, NoteId, PoolId, Revision, RouteId, ServerId,
        TokenRate, WorkspaceId,
    },
};

data! {
    /// A release note: a set of changes that takes effect entirely or not at all.
    #[serde(deny_unknown_fields)]
    pub struct Note {
        /// Chosen by the operator. Applying the same note again has no effect.
        pub id: NoteId,
        /// The revision on which the operator based the note; objects written since then conflict.
        pub base: Revision,
        /// Objects that must not exist yet.
        #[serde(default)]
        pub added: Objects,
        /// New forms of objects that must exist.
        #[serde(default)]
        pub changed: Objects,
        /// Names of objects to remove, which must exist.
        #[serde(default)]
        pub withdrawn: Names,
    }

    /// Configuration objects by kind.
    #[derive(Default)]
    #[serde(deny_unknown_fields, default)]
    pub struct Objects {
        /// Request classes.
        pub classes: Vec<Class>,
        /// Workspaces.
        pub workspaces: Vec<Workspace>,
        /// Workspace keys.
        pub keys: Vec<Key>,
        /// Pools of backend servers.
        pub pools: Vec<Pool>,
        /// Routes that callers use.
        pub routes: Vec<Route>,
    }

    /// Names of configuration objects by kind.
    #[derive(Default)]
    #[serde(deny_unknown_fields, default)]
    pub struct Names {
        /// Request classes.
        pub classes: Vec<ClassId>,
        /// Workspaces.
        pub workspaces: Vec<WorkspaceId>,
        /// Workspace keys.
        pub keys: Vec<KeyId>,
        /// Pools of backend servers.
        pub pools: Vec<PoolId>,
        /// Routes.
        pub routes: Vec<RouteId>,
    }

    /// A request class: its latency target and its tier.
    #[serde(deny_unknown_fields)]
    pub struct Class {
        /// The class's name.
        pub name: ClassId,
        /// The service tier; 0 is the highest, `MAX_TIER` the lowest.
        pub tier: u8,
        /// The latency target of the class.
        pub target: Target,
        /// How long the class may go without service while requests of it wait, in milliseconds.
        pub max_gap_ms: u64,
    }

    /// A latency target, in milliseconds.
    #[serde(rename_all = "snake_case", deny_unknown_fields)]
    pub enum Target {
        /// For streamed responses.
        Stream {
            /// Time until the first token.
            first_token_ms: u64,
            /// Time between two tokens.
            inter_token_ms: u64,
        },
        /// For responses delivered as a whole.
        Whole {
            /// Time until the end of the response.
            answer_ms: u64,
        },
    }

    /// A workspace: its share of the capacity and its limits.
    #[serde(deny_unknown_fields)]
    pub struct Workspace {
        /// The workspace's name.
        pub name: WorkspaceId,
        /// Its share within a class relative to other workspaces; at least 1.
        #[serde(default = "one")]
        pub weight: u32,
        /// How many of its requests may wait or run in one cell, a group of a pool's servers to
        /// which one host assigns requests; `None` means no limit.
        #[serde(default)]
        pub max_running: Option<u32>,
        /// How many tokens per minute it may use in one cell; `None` means no limit.
        #[serde(default)]
        pub token_rate: Option<TokenRate>,
    }

    /// A workspace key. Its secret is shown to the operator once and is not stored.
    #[serde(deny_unknown_fields)]
    pub struct Key {
        /// The public part of the key.
        pub name: KeyId,
        /// The workspace that requests with the key run for.
        pub workspace: WorkspaceId,
        /// The SHA-256 digest of the whole key, as 64 lower-case hexadecimal digits.
        pub digest: String,
    }

    /// A pool of backend servers that serve the same model or service.
    #[serde(deny_unknown_fields)]
    pub struct Pool {
        /// The pool's name.
        pub name: PoolId,
        /// The model served by the pool's engines; `None` for a plain service.
        #[serde(default)]
        pub model: Option<String>,
        /// The configured servers; a server that is no longer listed gets no new requests.
        #[serde(default)]
        pub servers: Vec<Server>,
        /// Bounds for ordering more servers; `None` means that none are ordered.
        #[serde(default)]
        pub elastic: Option<ScalingBounds>,
    }

    /// The bounds within which servers of a pool are ordered and stopped.
    #[serde(deny_unknown_fields)]
    pub struct ScalingBounds {
        /// The minimum number of ordered servers, over all failure domains.
        pub min: u32,
        /// The maximum number of ordered servers, over all failure domains.
        pub max: u32,
        /// The failure domains in which servers may be ordered.
        pub domains: Vec<Domain>,
        /// Whether reclaimable servers may be ordered, which the platform may take back at short
        /// notice.
        #[serde(default, rename = "cheap")]
        pub reclaimable: bool,
    }

    /// A backend server.
    #[serde(deny_unknown_fields)]
    pub struct Server {
        /// The server's name.
        pub name: ServerId,
        /// The address that the server listens on.
        pub address: SocketAddr,
        /// The version of the server's software. A stream goes on only at the version that began it.
        #[serde(default, skip_serializing_if = "Build::is_empty")]
        pub build: Build,
        /// The failure domain of the server.
        pub domain: Domain,
        /// Whether the platform may take the server back at short notice.
        #[serde(default, rename = "cheap")]
        pub reclaimable: bool,
        /// How many requests the server runs concurrently; at least 1.
        pub slots: u32,
    }

    /// A route: which pools serve which requests, and how.
    #[serde(deny_unknown_fields)]
    pub struct Route {
        /// The route's name.
        pub name: RouteId,
        /// The path prefix of the route: absolute, and matched by whole segments.
        pub path: String,
        /// The class of requests on the route.
        pub class: ClassId,
        /// The pools that serve the route; if they serve models, the request body names the model.
        pub pools: Vec<PoolId>,
        /// Whether requests need no key.
        #[serde(default)]
        pub open: bool,
        /// Whether a request may be executed more than once.
        #[serde(default = "yes")]
        pub repeatable: bool,
        /// The maximum size of a request body.
        #[serde(default = "body_limit")]
        pub max_body: Bytes,
    }
}

/// The number of the lowest service tier.
pub const MAX_TIER: u8 = 3;

const DEFAULT_MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;

fn one() -> u32 {
    1
}

fn yes() -> bool {
    true
}

fn body_limit() -> Bytes {
    Bytes(DEFAULT_MAX_BODY_BYTES)
}
