//! The calls between hosts.

use jsonrpsee::{core::RpcResult, proc_macros::rpc};
use wasabi_config::{log::Entry, state::State};
use wasabi_core::{
    data,
    units::{Incarnation, Revision},
};

data! {
    /// How a host stands.
    pub struct Greeting {
        /// Which life of which host this is.
        pub incarnation: Incarnation,
        /// The configuration that is in force there.
        pub revision: Revision,
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
}
