//! Evidence about other processes.

use std::net::SocketAddr;

use wasabi_core::{data, units::Incarnation};

data! {
    /// A process, and where it can be asked.
    pub struct Process {
        /// Which life of which host.
        pub incarnation: Incarnation,
        /// Where its peers reach it.
        pub peer: SocketAddr,
    }
}

/// Finds out whether a process can still act.
pub trait Witness: Send + Sync {
    /// Returns whether there is evidence that the process has ended.
    ///
    /// Silence is no evidence: a paused process is silent and acts again when it goes on.
    fn is_gone(&self, process: &Process) -> bool;
}

/// A witness that never has evidence.
#[derive(Clone, Copy, Debug, Default)]
pub struct Nobody;

impl Witness for Nobody {
    fn is_gone(&self, _process: &Process) -> bool {
        false
    }
}
