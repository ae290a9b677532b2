//! Release notes and the objects that they add, change and withdraw.

use std::net::SocketAddr;

use crate::{
    data,
    units::{
        Bytes, ClassId, Domain, KeyId, NoteId, PoolId, Revision, RouteId, ServerId, TokenRate,
        WorkspaceId,
    },
};

data! {
    /// A release note: what it lists takes effect whole or not at all.
    #[serde(deny_unknown_fields)]
    pub struct Note {
        /// The operator's name for the note; applying the same note again changes nothing.
        pub id: NoteId,
        /// The revision that the operator saw when writing the note.
        pub base: Revision,
        /// Objects that must not exist yet.
        #[serde(default)]
        pub added: Objects,
        /// Objects that must exist.
        #[serde(default)]
        pub changed: Objects,
        /// Names of objects that must exist.
        #[serde(default)]
        pub withdrawn: Names,
    }

    /// Whole objects by kind.
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

    /// Names of objects by kind.
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

    /// A request class: what is promised, and what gives way to what.
    #[serde(deny_unknown_fields)]
    pub struct Class {
        /// The class's name.
        pub name: ClassId,
        /// 0 is the highest tier; at most `MAX_TIER`.
        pub tier: u8,
        /// What the class promises.
        pub target: Target,
        /// How long the class may go without service while it has waiting work, in milliseconds.
        pub max_gap_ms: u64,
    }

    /// The latency that a class promises, in milliseconds.
    #[serde(rename_all = "snake_case", deny_unknown_fields)]
    pub enum Target {
        /// For streams: until the first token, and between tokens.
        Stream {
            /// Until the first token.
            first_token_ms: u64,
            /// Between one token and the next.
            inter_token_ms: u64,
        },
        /// For whole answers.
        Whole {
            /// Until the end of the answer.
            answer_ms: u64,
        },
    }

    /// A workspace: a customer's share and limits.
    #[serde(deny_unknown_fields)]
    pub struct Workspace {
        /// The workspace's name.
        pub name: WorkspaceId,
        /// Its share of a class relative to the others; at least 1.
        #[serde(default = "one")]
        pub weight: u32,
        /// How many of its requests may wait or run in one cell at a time; none means no limit.
        #[serde(default)]
        pub max_running: Option<u32>,
        /// How many tokens a minute it may use in one cell; none means no limit.
        #[serde(default)]
        pub token_rate: Option<TokenRate>,
    }

    /// A workspace key; its secret is shown once and never kept.
    #[serde(deny_unknown_fields)]
    pub struct Key {
        /// The public part of the key.
        pub name: KeyId,
        /// The workspace that requests with this key run for.
        pub workspace: WorkspaceId,
        /// The SHA-256 of the whole key, 64 hexadecimal digits.
        pub digest: String,
    }

    /// A pool of backend servers that serve the same thing.
    #[serde(deny_unknown_fields)]
    pub struct Pool {
        /// The pool's name.
        pub name: PoolId,
        /// The model that the pool's engines serve; none for a plain service.
        #[serde(default)]
        pub model: Option<String>,
        /// The servers; one that is left out gets no new work.
        #[serde(default)]
        pub servers: Vec<Server>,
        /// How many more servers may be ordered; none means that none are.
        #[serde(default)]
        pub elastic: Option<Elastic>,
    }

    /// The bounds within which a pool's servers are ordered and given back.
    #[serde(deny_unknown_fields)]
    pub struct Elastic {
        /// The least number of ordered servers.
        pub min: u32,
        /// The greatest number of ordered servers.
        pub max: u32,
        /// Where they may stand.
        pub domains: Vec<Domain>,
        /// Whether cheap servers, which can vanish at any time, may be ordered.
        #[serde(default)]
        pub cheap: bool,
    }

    /// A backend server.
    #[serde(deny_unknown_fields)]
    pub struct Server {
        /// The server's name.
        pub name: ServerId,
        /// Where it listens.
        pub address: SocketAddr,
        /// The failure domain that it stands in.
        pub domain: Domain,
        /// Whether it is cheap and can vanish at any time.
        #[serde(default)]
        pub cheap: bool,
        /// How many requests it runs at a time; at least 1.
        pub slots: u32,
    }

    /// A route: which calls go to which pool, and how.
    #[serde(deny_unknown_fields)]
    pub struct Route {
        /// The route's name.
        pub name: RouteId,
        /// The path prefix that the route takes; whole segments, beginning with a slash.
        pub path: String,
        /// The class of its requests.
        pub class: ClassId,
        /// The pools that serve it; for models, the pool of the model that the body names.
        pub pools: Vec<PoolId>,
        /// Whether callers need no key.
        #[serde(default)]
        pub open: bool,
        /// Whether a call may be run more than once.
        #[serde(default = "yes")]
        pub repeatable: bool,
        /// The largest body taken.
        #[serde(default = "body_limit")]
        pub max_body: Bytes,
    }
}

/// The lowest service tier.
pub const MAX_TIER: u8 = 3;

const BODY_LIMIT_BYTES: u64 = 4 * 1024 * 1024;

fn one() -> u32 {
    1
}

fn yes() -> bool {
    true
}

fn body_limit() -> Bytes {
    Bytes(BODY_LIMIT_BYTES)
}
