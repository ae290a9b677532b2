//! What hosts that share servers tell each other of them and of requests.

use wasabi_core::data;

use crate::{quarantine::Evidence, stated_limits};

data! {
    /// A part of what a host knows.
    #[derive(Default)]
    pub struct Facts {
        /// What servers have said of their limits.
        #[serde(default)]
        pub limits: Vec<stated_limits::Report>,
        /// Evidence on requests that crash servers.
        #[serde(default)]
        pub evidence: Evidence,
    }
}
