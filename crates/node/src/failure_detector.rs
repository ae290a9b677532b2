//! Finds evidence that a process has ended.
//!
//! There are two kinds of evidence. If another incarnation of the host answers at the process's
//! address, the old one has ended, since a host runs one process. If the platform has removed the
//! host from its list and kept it off for a while, it has ended too: the platform removes only
//! hosts that it has ended. A missing answer alone is no evidence.

use std::{sync::Arc, time::Duration};

use tokio::runtime::Handle;
use wasabi_core::units::Incarnation;
use wasabi_lease::failure_detector::{FailureDetector, Process};
use wasabi_peer::{client::PeerClients, rpc::Greeting};

use crate::host_list::HostList;

/// Finds evidence by asking the host itself, then by the platform's list.
pub struct HostFailureDetector {
    /// Runs the calls to peers.
    pub runtime: Handle,
    /// Connections to other hosts.
    pub peer_clients: Arc<PeerClients>,
    /// The host list.
    pub host_list: Arc<HostList>,
    /// The incarnation of this process.
    pub own_incarnation: Incarnation,
    /// How long a host must be missing from the list to count as removed.
    pub min_absence: Duration,
}

impl HostFailureDetector {
    /// Returns the incarnation that answers at the process's address, if any does. Blocks until the
    /// call ends.
    fn incarnation_at_address(&self, process: &Process) -> Option<Incarnation> {
        let greeting = Greeting {
            incarnation: self.own_incarnation.clone(),
            revision: Default::default(),
            facts: Default::default(),
        };
        let call = self.peer_clients.hello(process.peer, greeting);
        self.runtime.block_on(call).ok().map(|answer| answer.incarnation)
    }
}

impl FailureDetector for HostFailureDetector {
    fn has_ended(&self, process: &Process) -> bool {
        if process.incarnation == self.own_incarnation {
            return false;
        }
        match self.incarnation_at_address(process) {
            Some(found) if found == process.incarnation => false,
            Some(found) if found.host() == process.incarnation.host() => true,
            _ => self.host_list.is_removed(process.incarnation.host(), self.min_absence),
        }
    }
}
