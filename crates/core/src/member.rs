//! Backend servers as they announce themselves.

use std::net::SocketAddr;

use crate::{
    data,
    units::{Domain, PoolId, ServerId},
};

data! {
    /// What a backend server says of itself.
    #[derive(Eq, Hash)]
    pub struct Member {
        /// Its id; a server that starts again may keep it.
        pub id: ServerId,
        /// When this life of it began, in milliseconds since 1970; 0 if it does not say.
        pub born_ms: u64,
        /// The service that it belongs to.
        pub service: PoolId,
        /// Where it listens.
        pub address: SocketAddr,
        /// The failure domain that it stands in.
        pub domain: Domain,
        /// How many requests it runs at a time.
        pub slots: u32,
        /// Whether it takes new work or is about to leave.
        pub phase: Phase,
        /// Whether the platform may take it away at short notice.
        pub cheap: bool,
    }

    /// Whether a server takes new work.
    #[derive(Copy, Eq, Hash)]
    pub enum Phase {
        /// It takes new work.
        Ready,
        /// It finishes what it has and leaves.
        Draining,
    }
}
