//! The record of a host in the store, from which hosts find each other.

use std::net::SocketAddr;

use wasabi_core::{
    data,
    units::{Domain, HostId, Incarnation},
};

data! {
    /// A host as it announces itself.
    pub struct Host {
        /// The host.
        pub name: HostId,
        /// Which life of it.
        pub incarnation: Incarnation,
        /// Where it stands.
        pub domain: Domain,
        /// Where its peers reach it, over TCP and UDP.
        pub peer: SocketAddr,
    }
}
