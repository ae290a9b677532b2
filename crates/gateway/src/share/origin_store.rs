//! What outlasts the hosts of where streams began, in case they all end at the same moment: the versions
//! that were in service, and while there are several, the streams of each host.
//!
//! With a single version every stream has begun there, so nothing is written for each stream.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use log::{info, warn};
use rand::Rng as _;
use wasabi_belief::origins::Group;
use wasabi_core::errors::{Error, Result};

use crate::{
    share::{
        refresh::with_timeout,
        stored::{self, Stored},
        version_store::Versions,
    },
    state::State,
};

/// The object kind of the streams of each host; the name is the host's.
const STREAMS_KIND: &str = "stream-origins";
/// How often it is checked whether something has to be written, and the period of writing streams in a
/// small fleet.
const PERIOD: Duration = Duration::from_millis(250);
/// The same until this host has found its versions recorded; callers wait for that.
const START_PERIOD: Duration = Duration::from_millis(20);
/// In a large fleet the period of writing streams is this long for each host, so that all hosts together
/// write at most 200 times a second.
const PERIOD_PER_HOST: Duration = Duration::from_millis(5);
/// Timeout of the list of all hosts' streams.
const LIST_TIMEOUT: Duration = Duration::from_millis(900);
/// The least pause after a failed call; at most twice as long.
const FAILURE_PAUSE: Duration = Duration::from_millis(700);
/// How often a host that starts tries to read what is stored.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// How long a stream that is taken up waits until that is read.
const READ_WAIT: Duration = Duration::from_millis(400);
const READ_POLL: Duration = Duration::from_millis(20);

/// Reads what earlier hosts have stored, and keeps it current until the process ends.
pub async fn run(state: Rc<State>) {
    let mut versions = loop {
        match Versions::read(&state).await {
            Ok(versions) => break versions,
            Err(e) => pause_after_failed_read(&e).await,
        }
    };
    let mut streams = Stored::new(STREAMS_KIND, state.settings.borrow().host.to_string());
    let mut streams_read = false;
    let mut written_at: Option<Instant> = None;
    loop {
        let restored = state.store_restored.notified();
        if !streams_read && (has_several_versions(&state) || state.may_lack_versions()) {
            match read_streams(&state).await {
                Ok(()) => streams_read = true,
                Err(e) => {
                    pause_after_failed_read(&e).await;
                    continue;
                }
            }
        }
        // Without a list of servers there may be versions that the record lacks.
        let is_listed = state.servers.borrow().digest_age(state.now()).is_some();
        if streams_read || is_listed {
            state.stored_origins_read.set(true);
        }
        if let Err(e) = versions.update(&state).await {
            pause_after_failure("versions", &e).await;
        }
        if versions.include_listed(&state) {
            state.versions_recorded.set(true);
        }
        let now = state.now();
        let period = (PERIOD_PER_HOST * state.live_hosts() as u32).max(PERIOD);
        let due = written_at.is_none_or(|at| now.saturating_duration_since(at) >= period);
        if due && state.origins.borrow().has_several_versions(now) {
            written_at = Some(now);
            if let Err(e) = write_streams(&state, &mut streams).await {
                pause_after_failure("streams", &e).await;
            }
        }
        let is_recorded = state.versions_recorded.get();
        tokio::select! {
            () = tokio::time::sleep(if is_recorded { PERIOD } else { START_PERIOD }) => {}
            () = restored => {}
        }
    }
}

/// Waits until what earlier hosts have stored is read; returns whether it is.
pub async fn wait_read(state: &State) -> bool {
    let since = state.now();
    while !state.stored_origins_read.get() {
        if state.now().saturating_duration_since(since) >= READ_WAIT {
            return false;
        }
        tokio::time::sleep(READ_POLL).await;
    }
    true
}

/// Whether servers of several versions of one service have been in service lately, as far as this host knows.
fn has_several_versions(state: &State) -> bool {
    state.record_builds();
    state.origins.borrow().has_several_versions(state.now())
}

/// Reads the streams that all hosts have stored.
async fn read_streams(state: &State) -> Result<()> {
    let records = with_timeout(state.objects.list(STREAMS_KIND), LIST_TIMEOUT).await?;
    let own = state.settings.borrow().host.to_string();
    let mut known = 0;
    for record in records {
        let groups: Vec<Group> = match stored::decode(record.value) {
            Ok(groups) => groups,
            Err(e) => {
                let cause = e.to_string();
                warn!(host = record.name.as_str(), cause = cause.as_str(); "stored streams not understood");
                continue;
            }
        };
        known += merge(state, groups, record.name == own);
    }
    info!(streams = known; "stored streams read");
    Ok(())
}

/// Takes over stored streams; those of this host's earlier process are stored again. Returns their number.
fn merge(state: &State, groups: Vec<Group>, is_own: bool) -> usize {
    let mut known = 0;
    for group in groups {
        known += group.streams.len();
        for stream in group.streams.into_iter().map(u64::from_be_bytes) {
            match is_own {
                true => state.record_origin(stream, group.origin.clone()),
                false => state.merge_origin(stream, group.origin.clone()),
            }
        }
    }
    known
}

/// Writes the streams of this host if the store lacks some.
async fn write_streams(state: &State, stored: &mut Stored<Vec<Group>>) -> Result<()> {
    let streams = state.origins.borrow_mut().own_streams(state.now());
    let is_stored = match stored.value() {
        None => streams.is_empty(),
        Some(value) => *value == streams && stored.is_current(state, Duration::MAX),
    };
    if !is_stored {
        stored.write(state, streams).await?;
    }
    Ok(())
}

async fn pause_after_failed_read(error: &Error) {
    let cause = error.to_string();
    info!(cause = cause.as_str(); "stored streams not read yet");
    tokio::time::sleep(READ_RETRY_PAUSE).await;
}

async fn pause_after_failure(what: &'static str, error: &Error) {
    metrics::counter!("wasabi_store_failures_total").increment(1);
    let cause = error.to_string();
    warn!(what = what, cause = cause.as_str(); "not stored");
    tokio::time::sleep(FAILURE_PAUSE.mul_f64(1.0 + rand::rng().random::<f64>())).await;
}
