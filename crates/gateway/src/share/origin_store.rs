//! What outlasts the hosts of where streams began, in case they all end at the same moment: the versions
//! that were in service, and while there are several, the streams of each host.
//!
//! With a single version every stream has begun there, so nothing is written for each stream.

use std::{
    collections::BTreeSet,
    rc::Rc,
    time::{Duration, Instant},
};

use log::{info, warn};
use rand::Rng as _;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;
use wasabi_belief::{
    origins::{Group, Origin},
    version_record::Record,
};
use wasabi_core::{
    errors::{self, Error, Result},
    objects::Written,
    units::Version,
};

use crate::{share::refresh::with_timeout, state::State};

/// The object kind of the record of versions; with [`VERSIONS_NAME`] it identifies it.
const VERSIONS_KIND: &str = "stream-versions";
const VERSIONS_NAME: &str = "services";
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
/// The range of the random delay, for each live host, before a change of the versions is written. Hosts
/// that come later find it done.
const CHANGE_SPREAD_PER_HOST: Duration = Duration::from_millis(10);
/// A version that has not been listed for this long is recorded as gone.
const GONE_AFTER: Duration = Duration::from_secs(3);
/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// The least pause after a failed write; at most twice as long.
const FAILURE_PAUSE: Duration = Duration::from_millis(700);
/// How often a host that starts tries to read what is stored.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// How long a stream that is taken up waits until that is read.
const READ_WAIT: Duration = Duration::from_millis(400);
const READ_POLL: Duration = Duration::from_millis(20);

/// An object as this host last wrote or read it.
#[derive(Default)]
struct Stored<T> {
    version: Option<Version>,
    value: T,
}

/// Reads what earlier hosts have stored, and keeps it current until the process ends.
pub async fn run(state: Rc<State>) {
    let mut versions = loop {
        match read_all(&state).await {
            Ok(versions) => break versions,
            Err(e) => {
                let cause = e.to_string();
                info!(cause = cause.as_str(); "stored streams not read yet");
                tokio::time::sleep(READ_RETRY_PAUSE).await;
            }
        }
    };
    state.stored_origins_read.set(true);
    let mut streams = Stored::<Vec<Group>>::default();
    let mut written_at: Option<Instant> = None;
    loop {
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
            if let Err(e) = record_streams(&state, &mut streams).await {
                pause_after_failure("streams", &e).await;
            }
        }
        let is_recorded = state.versions_recorded.get();
        tokio::time::sleep(if is_recorded { PERIOD } else { START_PERIOD }).await;
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

/// Reads the versions, and the streams if there may be several.
async fn read_all(state: &State) -> Result<Versions> {
    let versions = Versions { stored: read_record(state).await?, ..Versions::default() };
    apply_versions(state, &versions.stored.value);
    let inherited = versions.stored.value.ages(now_ms(state)).map(|(origin, _)| origin);
    state.inherited_versions.replace(Some(inherited.collect()));
    state.record_builds();
    if !state.origins.borrow().has_several_versions(state.now()) {
        return Ok(versions);
    }
    let records = with_timeout(state.objects.list(STREAMS_KIND), CALL_TIMEOUT).await?;
    let own = state.settings.borrow().host.to_string();
    let mut known = 0;
    for record in records {
        let groups: Vec<Group> = match decode(record.value) {
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
    Ok(versions)
}

/// Reads the record of versions.
pub async fn read_versions(state: &State) -> Result<Record> {
    Ok(read_record(state).await?.value)
}

/// Takes over the versions that a record has.
pub fn apply_versions(state: &State, record: &Record) {
    let (now, now_ms) = (state.now(), now_ms(state));
    for (origin, age) in record.ages(now_ms) {
        state.origins.borrow_mut().record_listed_before(now, origin, age);
    }
    state.set_recorded_versions(record.present());
}

async fn read_record(state: &State) -> Result<Stored<Record>> {
    let read = state.objects.read(VERSIONS_KIND, VERSIONS_NAME);
    match with_timeout(read, CALL_TIMEOUT).await? {
        None => Ok(Stored::default()),
        Some(record) => Ok(Stored { version: Some(record.version), value: decode(record.value)? }),
    }
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

/// The record of versions, as this host last wrote or read it.
#[derive(Default)]
struct Versions {
    stored: Stored<Record>,
    /// Since when a version of the record is not listed.
    missing_since: Option<Instant>,
    /// The digest of the list of servers that the record agreed with.
    agreed: Option<u64>,
}

impl Versions {
    /// Writes the versions if those listed are not the recorded ones. A version is recorded as gone only
    /// once it has been missing for a while, since hosts learn of a change at different times.
    async fn update(&mut self, state: &State) -> Result<()> {
        let digest = state.servers.borrow().digest_age(state.now()).map(|(digest, _)| digest);
        if digest.is_some() && digest == self.agreed {
            return Ok(());
        }
        self.agreed = None;
        if self.expected(state).is_none() {
            self.agreed = digest.filter(|_| self.missing_since.is_none());
            return Ok(());
        }
        let spread = CHANGE_SPREAD_PER_HOST * state.live_hosts() as u32;
        tokio::time::sleep(spread.mul_f64(rand::rng().random())).await;
        self.stored = read_record(state).await?;
        if let Some(expected) = self.expected(state) {
            let updated = self.stored.value.updated(&expected, now_ms(state));
            write(state, (VERSIONS_KIND, VERSIONS_NAME), &mut self.stored, updated).await?;
        }
        state.set_recorded_versions(self.stored.value.present());
        Ok(())
    }

    /// Returns whether all versions that this host knows are recorded as listed.
    fn include_listed(&self, state: &State) -> bool {
        let listed = state.listed_versions();
        !listed.is_empty() && listed.is_subset(&self.stored.value.present())
    }

    /// Returns what should be recorded as listed, if that is not what is.
    fn expected(&mut self, state: &State) -> Option<BTreeSet<Origin>> {
        let (recorded, listed) = (self.stored.value.present(), state.listed_versions());
        // An empty list: nothing is known of the servers yet.
        if recorded.is_subset(&listed) || listed.is_empty() {
            self.missing_since = None;
            return (!listed.is_empty() && listed != recorded).then_some(listed);
        }
        let now = state.now();
        let since = *self.missing_since.get_or_insert(now);
        if now.saturating_duration_since(since) >= GONE_AFTER {
            return Some(listed);
        }
        let all: BTreeSet<Origin> = recorded.union(&listed).cloned().collect();
        (all != recorded).then_some(all)
    }
}

/// Writes the streams of this host if they have changed.
async fn record_streams(state: &State, stored: &mut Stored<Vec<Group>>) -> Result<()> {
    let streams = state.origins.borrow_mut().own_streams(state.now());
    if streams == stored.value {
        return Ok(());
    }
    let host = state.settings.borrow().host.to_string();
    write(state, (STREAMS_KIND, &host), stored, streams).await
}

/// Writes an object: creates it, or replaces it at the version that this host knows. If another write came
/// first, the next call replaces that.
async fn write<T: Serialize>(
    state: &State,
    (kind, name): (&str, &str),
    stored: &mut Stored<T>,
    value: T,
) -> Result<()> {
    let json = serde_json::to_value(&value).map_err(|e| errors::internal(e.to_string()))?;
    let call = match stored.version {
        None => state.objects.create(kind, name, json),
        Some(version) => state.objects.replace(kind, name, version, json),
    };
    match with_timeout(call, CALL_TIMEOUT).await? {
        Written::Done(version) => *stored = Stored { version: Some(version), value },
        Written::Conflict(found) => stored.version = found.map(|record| record.version),
    }
    metrics::counter!("wasabi_gateway_origin_writes_total", "kind" => kind.to_string())
        .increment(1);
    Ok(())
}

async fn pause_after_failure(what: &'static str, error: &Error) {
    metrics::counter!("wasabi_store_failures_total").increment(1);
    let cause = error.to_string();
    warn!(what = what, cause = cause.as_str(); "not stored");
    tokio::time::sleep(FAILURE_PAUSE.mul_f64(1.0 + rand::rng().random::<f64>())).await;
}

fn now_ms(state: &State) -> u64 {
    state.time_of_day.borrow().now_ms(state.now())
}

fn decode<T: DeserializeOwned>(value: Value) -> Result<T> {
    serde_json::from_value(value).map_err(|e| errors::internal(format!("stored object: {e}")))
}
