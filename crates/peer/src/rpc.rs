//! The calls between hosts.

use jsonrpsee::{core::RpcResult, proc_macros::rpc};
use wasabi_config::{log::Entry, state::State};
use wasabi_core::{
    data,
    errors::Code,
    note::Server,
    units::{Incarnation, Revision},
};
use wasabi_policy::ticket::{Outcome, Ticket};

data! {
    /// How a host stands.
    pub struct Greeting {
        /// Which life of which host this is.
        pub incarnation: Incarnation,
        /// The configuration that is in force there.
        pub revision: Revision,
    }

    /// A ticket for the home of the cell that it names.
    pub struct Ask {
        /// Who asks.
        pub from: Incarnation,
        /// What is asked; its pool names the cell.
        pub ticket: Ticket,
    }

    /// A home's decision.
    pub enum Decided {
        /// The ticket may run.
        Granted {
            /// The grant's number, unique at the home.
            grant: u64,
            /// Where it runs.
            server: Server,
            /// How long the next one would wait, in milliseconds.
            wait_ms: u64,
        },
        /// The ticket is given up.
        Refused {
            /// Why.
            code: Code,
            /// When it helps to come back, in milliseconds.
            retry_ms: u64,
            /// How long the next one would wait, in milliseconds.
            wait_ms: u64,
        },
        /// Another host is the home now.
        Moved,
        /// The host is stopping and is nobody's home any more.
        Leaving,
    }

    /// A sign of life from the holder of some grants.
    pub struct Beat {
        /// Who holds them.
        pub from: Incarnation,
        /// Each grant's number, and the tokens generated since the last beat.
        pub grants: Vec<(u64, u64)>,
    }

    /// What a home says to a beat.
    #[derive(Default)]
    pub struct BeatAnswer {
        /// Grants that must stop.
        pub stop: Vec<u64>,
    }

    /// The end of a grant.
    pub struct Done {
        /// Who held it.
        pub from: Incarnation,
        /// Its number.
        pub grant: u64,
        /// The tokens generated since the last beat.
        pub tokens: u64,
        /// How it ended.
        pub outcome: Outcome,
    }

    /// News for a host whose configuration lags.
    pub enum News {
        /// The entries that it lacks; empty if there are none.
        Entries(Vec<Entry>),
        /// The whole state, for one that lags too far.
        Whole(Box<State>),
    }
}

/// The calls that every host answers.
#[rpc(server, client)]
pub trait Peer {
    /// Gets how the host stands.
    #[method(name = "hello")]
    async fn hello(&self, from: Greeting) -> RpcResult<Greeting>;

    /// Gets what follows `revision`.
    #[method(name = "news")]
    async fn news(&self, revision: Revision) -> RpcResult<News>;

    /// Asks the home of a cell for a grant; answers when it is decided.
    #[method(name = "ask")]
    async fn ask(&self, ask: Ask) -> RpcResult<Decided>;

    /// Tells a home that grants are still held.
    #[method(name = "beat")]
    async fn beat(&self, beat: Beat) -> RpcResult<BeatAnswer>;

    /// Gives a grant back.
    #[method(name = "done")]
    async fn done(&self, done: Done) -> RpcResult<()>;
}
