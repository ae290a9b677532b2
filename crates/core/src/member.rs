//! Backend servers as they announce themselves in the store.

use std::{collections::BTreeSet, net::SocketAddr};

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

    /// The announced servers, and which of them are restricted.
    #[derive(Default)]
    pub struct Listing {
        /// The servers.
        pub members: Vec<Member>,
        /// The restrictions on them.
        pub restrictions: Restrictions,
    }

    /// Restrictions on servers that are in service otherwise.
    #[derive(Default, Eq, Hash)]
    pub struct Restrictions {
        /// Servers that have started a moment ago and tolerate only a low request rate.
        pub cold: BTreeSet<ServerId>,
        /// Failure domains whose servers get no requests because the operator evacuates them.
        pub evacuated: BTreeSet<Domain>,
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

impl From<Vec<Member>> for Listing {
    fn from(members: Vec<Member>) -> Self {
        Self { members, restrictions: Restrictions::default() }
    }
}

impl Restrictions {
    /// Returns whether nothing is restricted.
    pub fn is_empty(&self) -> bool {
        self.cold.is_empty() && self.evacuated.is_empty()
    }
}
