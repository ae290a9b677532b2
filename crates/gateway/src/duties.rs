//! The duties that one host at a time holds: usage reports and orders of servers.

use std::{rc::Rc, time::Duration};

use log::info;

use crate::state::State;

pub mod duty;
pub mod orders;
pub mod usage;

/// Wait after the start before trying to acquire the lease, so that peers have announced whether
/// one of them holds it and what they know.
const STARTUP_DELAY: Duration = Duration::from_millis(1_500);

/// Tries to acquire the lease, and performs the duties while this host holds it; returns at once on a
/// host without an address for the duties.
pub async fn run(state: Rc<State>) {
    if state.duty_api.is_none() {
        info!("no address for the duties; this host never takes them");
        return;
    }
    tokio::time::sleep(STARTUP_DELAY).await;
    tokio::join!(duty::maintain_lease(&state), usage::run(&state), orders::run(&state));
}
