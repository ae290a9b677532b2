//! Backend servers as they announce themselves in the store.

use std::net::SocketAddr;

use crate::{
    data,
    units::{Build, Domain, PoolId, ServerId},
};

data! {
    /// A backend server's announcement.
    #[derive(Eq, Hash)]
    pub struct Member {
        /// The server's name; may stay the same after a restart.
        pub id: ServerId,
        /// Start of the server's process in milliseconds since the Unix epoch; 0 if not announced.
        pub born_ms: u64,
        /// The service that the server belongs to.
        pub service: PoolId,
        /// The address that the server listens on.
        pub address: SocketAddr,
        /// The version of the server's software. What servers of two versions generate does not fit
        /// together in one stream.
        #[serde(default)]
        pub build: Build,
        /// The failure domain of the server.
        pub domain: Domain,
        /// How many requests the server runs concurrently.
        pub slots: u32,
        /// Whether the server takes new requests.
        pub phase: Phase,
        /// Whether the platform may take the server back at short notice.
        #[serde(rename = "cheap")]
        pub reclaimable: bool,
    }

    /// Whether a server takes new requests.
    #[derive(Copy, Eq, Hash)]
    pub enum Phase {
        /// Takes new requests.
        Ready,
        /// Finishes its running requests and takes no new ones.
        Draining,
    }
}
