//! Detects processes that have ended.

use std::net::SocketAddr;

use wasabi_core::{data, units::Incarnation};

data! {
    /// A process and the address at which peers reach it.
    pub struct Process {
        /// The incarnation of the process.
        pub incarnation: Incarnation,
        /// The address of its peer interface.
        pub peer: SocketAddr,
    }
}

/// A failure detector without false positives: reports a process as ended only on evidence.
pub trait FailureDetector: Send + Sync {
    /// Whether there is evidence that the process has ended and cannot act any more.
    ///
    /// Silence is no evidence: a paused process is silent, and acts again when it resumes.
    fn has_ended(&self, process: &Process) -> bool;
}

/// A detector that never reports a process as ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct NeverDetects;

impl FailureDetector for NeverDetects {
    fn has_ended(&self, _process: &Process) -> bool {
        false
    }
}
