//! The interface through which other hosts get grants from the owner of a cell.

use std::{future::Future, pin::Pin};

use wasabi_policy::facts::Facts;

use crate::rpc::{GrantDecision, GrantRelease, GrantRequest, Heartbeat, HeartbeatResponse};

/// The future of a decision; dropping it withdraws the ticket.
pub type DecisionFuture<'a> = Pin<Box<dyn Future<Output = GrantDecision> + Send + 'a>>;

/// Handles other hosts' requests for grants from the cells that this host owns.
pub trait GrantHandler: Send + Sync {
    /// Waits for the decision on a ticket.
    fn request_grant(&self, ask: GrantRequest) -> DecisionFuture<'_>;

    /// Handles a heartbeat from the holder of grants.
    fn heartbeat(&self, beat: Heartbeat) -> HeartbeatResponse;

    /// Returns what this host knows of servers and requests.
    fn facts(&self) -> Facts;

    /// Merges what another host knows of servers and requests.
    fn merge_facts(&self, facts: Facts);

    /// Releases a grant.
    fn release_grant(&self, done: GrantRelease);
}
