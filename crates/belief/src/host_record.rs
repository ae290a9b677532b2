//! The record that each host keeps in the store for peer discovery.

use std::net::SocketAddr;

use wasabi_core::{
    data,
    units::{Domain, HostId, Incarnation},
};

data! {
    /// A host's record in the store.
    pub struct Host {
        /// The host's name.
        pub name: HostId,
        /// The process incarnation that wrote the record.
        pub incarnation: Incarnation,
        /// The host's failure domain.
        pub domain: Domain,
        /// The address at which peers reach it, over TCP and UDP.
        pub peer: SocketAddr,
        /// Whether its build keeps streams to established versions, see
        /// [`keeps_to_established`](crate::origins::keeps_to_established).
        #[serde(default)]
        pub keeps_to_established: bool,
    }
}
