//! Evidence that a process has ended.
//!
//! There are two kinds. Another incarnation of the same host answers where the process listened: a
//! host runs one process, so the old one has ended. Or the platform has taken the host off its list
//! and kept it off for a while: it says so only of hosts that it has ended. Silence alone is none.

use std::{sync::Arc, time::Duration};

use tokio::runtime::Handle;
use wasabi_core::units::Incarnation;
use wasabi_lease::witness::{Process, Witness};
use wasabi_peer::{link::Links, rpc::Greeting};

use crate::roster::Known;

/// Asks the host itself, then the platform's list.
pub struct Evidence {
    /// Runs the calls to peers.
    pub runtime: Handle,
    /// Links to other hosts.
    pub links: Arc<Links>,
    /// The host list.
    pub roster: Arc<Known>,
    /// This process.
    pub me: Incarnation,
    /// How long a host must be missing from the list.
    pub settle: Duration,
}

impl Evidence {
    /// Gets the incarnation that answers at the process's address, if any does. Blocks.
    fn ask(&self, process: &Process) -> Option<Incarnation> {
        let greeting = Greeting { incarnation: self.me.clone(), revision: Default::default() };
        let asking = self.links.hello(process.peer, greeting);
        self.runtime.block_on(asking).ok().map(|answer| answer.incarnation)
    }
}

impl Witness for Evidence {
    fn is_gone(&self, process: &Process) -> bool {
        if process.incarnation == self.me {
            return false;
        }
        match self.ask(process) {
            Some(found) if found == process.incarnation => false,
            Some(found) if found.host() == process.incarnation.host() => true,
            _ => self.roster.is_removed(process.incarnation.host(), self.settle),
        }
    }
}
