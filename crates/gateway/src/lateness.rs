//! How late this process runs: without processor time, or while it is suspended, it reads requests,
//! deadlines and closed connections late.

use std::{rc::Rc, time::Duration};

use log::{info, warn};

use crate::state::State;

/// How often lateness is measured.
const PERIOD: Duration = Duration::from_millis(200);
/// From this lateness on it is logged; callers who leave expect to be noticed within half a second.
const LOGGED_FROM: Duration = Duration::from_millis(400);

/// Measures lateness until the process ends; logs when it begins and ends, not each time.
pub async fn run(state: Rc<State>) {
    let mut late = false;
    loop {
        let begun = state.now();
        tokio::time::sleep(PERIOD).await;
        let lateness = state.now().saturating_duration_since(begun).saturating_sub(PERIOD);
        metrics::histogram!("wasabi_gateway_lateness_seconds").record(lateness.as_secs_f64());
        if (lateness >= LOGGED_FROM) == late {
            continue;
        }
        late = !late;
        let (running, callers) = (state.running_requests.get(), state.open_connections.get());
        match late {
            true => warn!(late_ms = lateness.as_millis() as u64, running = running,
                connections = callers; "process runs late"),
            false => info!(running = running, connections = callers; "process is on time again"),
        }
    }
}
