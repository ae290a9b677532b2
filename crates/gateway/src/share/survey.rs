//! Reads of the servers and of the versions in service that requests wait for.
//!
//! That nothing else is in service can only be concluded from a read that was sent after the request whose
//! stream is concerned: an older list does not show what other hosts may have used since.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use log::info;
use tokio::sync::Notify;
use wasabi_core::errors::{self, Result};

use crate::{
    share::{refresh::read_servers, version_store},
    state::State,
};

/// How long a request waits for a read.
const MAX_WAIT: Duration = Duration::from_millis(400);
/// Timeout of a read.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The reads of one host, one at a time.
#[derive(Default)]
pub struct Survey {
    /// When the latest successful read was sent.
    sent: Cell<Option<Instant>>,
    /// Whether a read is in progress.
    running: Cell<bool>,
    /// Notified at the end of each read.
    ended: Notify,
}

/// Waits until a read that was sent no earlier than `since` has succeeded; returns whether one has in time.
pub async fn wait_since(state: &Rc<State>, since: Instant) -> bool {
    let survey = &state.survey;
    let waiting = async {
        loop {
            let ended = survey.ended.notified();
            if survey.sent.get() >= Some(since) {
                return;
            }
            if !survey.running.replace(true) {
                tokio::task::spawn_local(run(state.clone()));
            }
            ended.await;
        }
    };
    tokio::time::timeout(MAX_WAIT, waiting).await.is_ok()
}

async fn run(state: Rc<State>) {
    let sent = state.now();
    metrics::counter!("wasabi_gateway_surveys_total").increment(1);
    match read(&state, sent).await {
        Ok(()) => state.survey.sent.set(Some(sent)),
        Err(e) => {
            let cause = e.to_string();
            info!(cause = cause.as_str(); "versions in service not read");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
    state.survey.running.set(false);
    state.survey.ended.notify_waiters();
}

async fn read(state: &State, sent: Instant) -> Result<()> {
    let members = read_servers(state, READ_TIMEOUT);
    let versions = version_store::read(state);
    let (members, versions) = tokio::join!(members, versions);
    let (members, versions) = (members?, versions?);
    state.check_era();
    if !state.era.borrow().is_settled(state.now()) {
        return Err(errors::unavailable("the store was restored a moment ago"));
    }
    state.offer_servers(members, sent, "store");
    version_store::apply(state, &versions);
    Ok(())
}
