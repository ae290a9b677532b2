//! The RPC methods between hosts and their messages.

use jsonrpsee::{core::RpcResult, proc_macros::rpc};
use wasabi_config::{log::Entry, state::State};
use wasabi_core::{
    data,
    errors::Code,
    note::Server,
    units::{Incarnation, Revision},
};
use wasabi_policy::{
    facts::Facts,
    ticket::{Outcome, Ticket},
};

data! {
    /// A host's identity and the revision of its configuration.
    pub struct Greeting {
        /// The process that runs on the host.
        pub incarnation: Incarnation,
        /// The revision in force on the host.
        pub revision: Revision,
        /// What the host knows of servers and requests.
        #[serde(flatten)]
        pub facts: Facts,
    }

    /// A request for a grant, sent to the owner of the cell that the ticket names.
    pub struct GrantRequest {
        /// The process that asks.
        pub from: Incarnation,
        /// The ticket; its field `pool` holds the name of the cell, which is that of the pool only
        /// if the pool has a single cell.
        pub ticket: Ticket,
        /// What the process knows of servers and requests.
        #[serde(flatten)]
        pub facts: Facts,
    }

    /// The owner's decision on a ticket.
    pub enum GrantDecision {
        /// The ticket is granted.
        Granted {
            /// The number of the grant, unique at the owner.
            grant: u64,
            /// The backend server that runs the request.
            server: Server,
            /// How long the next ticket would wait, in milliseconds.
            wait_ms: u64,
        },
        /// The ticket is refused.
        Refused {
            /// The error for the caller.
            code: Code,
            /// How long to wait before a retry, in milliseconds.
            retry_ms: u64,
            /// How long the next ticket would wait, in milliseconds.
            wait_ms: u64,
        },
        /// Another host owns the cell now.
        Moved,
        /// The host is stopping and does not own any cell any more.
        Leaving,
    }

    /// A heartbeat for the grants that a process holds.
    pub struct Heartbeat {
        /// The process that holds the grants.
        pub from: Incarnation,
        /// The number of each grant, with the tokens generated since the last heartbeat.
        pub grants: Vec<(u64, u64)>,
        /// What the process knows of servers and requests.
        #[serde(flatten)]
        pub facts: Facts,
    }

    /// The owner's response to a heartbeat.
    #[derive(Default)]
    pub struct HeartbeatResponse {
        /// The numbers of grants whose requests must stop.
        pub stop: Vec<u64>,
    }

    /// The release of a grant.
    pub struct GrantRelease {
        /// The process that held the grant.
        pub from: Incarnation,
        /// The number of the grant.
        pub grant: u64,
        /// The tokens generated since the last heartbeat.
        pub tokens: u64,
        /// How the request ended.
        pub outcome: Outcome,
        /// What the process knows of servers and requests.
        #[serde(flatten)]
        pub facts: Facts,
    }

    /// Configuration changes for a host that lags behind.
    pub enum StateUpdate {
        /// The log entries that the host lacks; may be empty.
        Entries(Vec<Entry>),
        /// The whole state, for a host that lags too far behind.
        Whole(Box<State>),
    }
}

/// The RPC methods that every host serves.
#[rpc(server, client)]
pub trait Peer {
    /// Returns the host's identity and revision.
    #[method(name = "hello")]
    async fn hello(&self, from: Greeting) -> RpcResult<Greeting>;

    /// Returns the configuration changes after `revision`, or the whole state for revision 0 and
    /// for a host that lags too far behind.
    #[method(name = "news")]
    async fn state_update(&self, revision: Revision) -> RpcResult<StateUpdate>;

    /// Asks the owner of a cell for a grant; returns when the ticket is decided.
    #[method(name = "ask")]
    async fn request_grant(&self, ask: GrantRequest) -> RpcResult<GrantDecision>;

    /// Tells a cell owner which grants are still held.
    #[method(name = "beat")]
    async fn heartbeat(&self, beat: Heartbeat) -> RpcResult<HeartbeatResponse>;

    /// Releases a grant.
    #[method(name = "done")]
    async fn release_grant(&self, done: GrantRelease) -> RpcResult<()>;
}
