//! Claims calls in the object API and records their outcomes there.

use std::{
    collections::{HashSet, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use rand::Rng as _;
use sha2::{Digest as _, Sha256};
use wasabi_core::{
    errors::{Code, Error, Ran, Result},
    io::{self, Condition, Object, Store},
    time::{self, Clock},
    units::{Version, WorkspaceId},
};
use wasabi_lease::failure_detector::{FailureDetector, Process};

use crate::record::{Progress, Record, StoredResponse};

const PREFIX: &str = "once/";
/// How long a record is kept after its claim.
const RETENTION: Duration = Duration::from_secs(24 * 3600);
/// The largest response body that is stored. Encoded as hexadecimal digits, it leaves room for the
/// rest of the record in an object of a megabyte.
const MAX_ANSWER_BYTES: usize = 450_000;
/// The most outcomes that wait with their responses for the store to be available again, and the
/// most abandoned claims.
const MAX_PENDING: usize = 1_000;
/// The most outcomes that wait at all; without its response one takes about half a kilobyte.
const MAX_PENDING_FACTS: usize = 50_000;
/// The retry delay stated to callers while the first request runs.
const RUNNING_RETRY_AFTER: Duration = Duration::from_secs(2);
/// The retry delay stated to callers while the store is not available.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(5);
/// How long a write that got no answer may still take effect.
const LATE_WRITE_LIMIT: Duration = Duration::from_secs(60);
/// Objects requested per list call.
const PAGE: usize = 100;

/// How to proceed with a call.
#[derive(Debug)]
pub enum ClaimResult {
    /// Run it, then record the outcome under the claim.
    Run(Claim),
    /// Return this response of an earlier run.
    Stored(StoredResponse),
}

/// The right to run one call once. Its outcome must be recorded with `record_ran`,
/// `record_not_run` or `record_unknown`.
#[derive(Debug)]
pub struct Claim {
    key: String,
    version: Version,
    record: Record,
}

/// The response of an earlier run, or why the call cannot be claimed.
enum Unclaimable {
    Stored(StoredResponse),
    Error(Error),
}

impl From<Error> for Unclaimable {
    fn from(e: Error) -> Self {
        Self::Error(e)
    }
}

/// The claims of all workspaces, as seen by one process.
pub struct Claims {
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
    failure_detector: Arc<dyn FailureDetector>,
    me: Process,
    /// Outcomes not yet known to be recorded; at most `MAX_PENDING_FACTS`, and those after the first
    /// `MAX_PENDING` without their responses.
    pending: Mutex<VecDeque<Claim>>,
    /// Claims abandoned because their write got no answer, and when; the write may still take
    /// effect.
    abandoned: Mutex<VecDeque<(Instant, Claim)>>,
    /// The tokens of this process's claims whose call may still be sent or whose outcome is not yet
    /// recorded.
    active: Mutex<HashSet<String>>,
}

impl Claims {
    /// Creates the claims of the process `me`.
    pub fn new(
        store: Arc<dyn Store>,
        clock: Arc<dyn Clock>,
        failure_detector: Arc<dyn FailureDetector>,
        me: Process,
    ) -> Self {
        let (pending, abandoned, active) = Default::default();
        Self { store, clock, failure_detector, me, pending, abandoned, active }
    }

    /// Claims a call, or finds the outcome of an earlier claim. Blocks.
    ///
    /// `key` is the idempotency key, which identifies the call within the workspace; `request` is
    /// the whole content, which must be the same for the same key. An error states whether the call
    /// ran, or that this is unknown; but if the record of an earlier claim cannot be read or
    /// decoded, it states `Ran::No` although the earlier call may have run.
    pub fn claim(&self, workspace: &WorkspaceId, key: &str, request: &[u8]) -> Result<ClaimResult> {
        let record = self.new_record(request);
        let key = format!("{PREFIX}{workspace}/{}", hex::encode(Sha256::digest(key)));
        let is_own = |found: &Object| is_claim(found, &record.token);
        let text = io::render(&record);
        match io::put_confirmed(&*self.store, &key, &text, Condition::Absent, is_own) {
            Ok(version) => Ok(ClaimResult::Run(Claim { key, version, record })),
            Err(e) if e.code == Code::StoreConflict => self.claim_existing(key, record),
            Err(e) => Err(self.abandon(key, record, &e)),
        }
    }

    /// Records that the call ran, with its response unless that is too large to store.
    pub fn record_ran(&self, claim: Claim, answer: StoredResponse) {
        let fits = answer.body_hex.len() / 2 <= MAX_ANSWER_BYTES;
        self.finish(claim, if fits { Progress::Ran(answer) } else { Progress::RanTooLarge });
    }

    /// Records that no byte of the call was sent.
    pub fn record_not_run(&self, claim: Claim) {
        self.finish(claim, Progress::NotRun);
    }

    /// Records that the call may have run.
    pub fn record_unknown(&self, claim: Claim) {
        self.finish(claim, Progress::Unknown);
    }

    /// Writes outcomes that could not be recorded at once, and clears abandoned claims; call it
    /// about every second.
    pub fn step(&self) -> Result<()> {
        let count = self.pending.lock().len();
        for _ in 0..count {
            let Some(claim) = self.pending.lock().pop_front() else { break };
            self.write_or_defer(claim)?;
        }
        self.clear_abandoned()
    }

    /// The number of outcomes that wait to be recorded.
    pub fn pending_outcomes(&self) -> usize {
        self.pending.lock().len()
    }

    /// Removes the expired records on the page after the key `after`; returns the key to continue
    /// after, empty at the end. Claims without an outcome are kept.
    pub fn remove_expired_page(&self, after: &str) -> Result<String> {
        let now_ms = time::unix_ms(self.clock.wall());
        let page = self.store.list(PREFIX, after, PAGE)?;
        for object in &page {
            let record: Record = io::parse(object)?;
            if record.expires_ms < now_ms && record.progress != Progress::Claimed {
                self.store.delete(&object.key, object.version)?;
            }
        }
        Ok(page.last().map_or_else(String::new, |last| last.key.clone()))
    }

    /// Creates a record for a new claim and marks the claim as active.
    fn new_record(&self, request: &[u8]) -> Record {
        let random: u128 = rand::rng().random();
        let token = format!("{random:032x}");
        self.active.lock().insert(token.clone());
        let expires_at = self.clock.wall() + RETENTION;
        Record {
            request: hex::encode(Sha256::digest(request)),
            token,
            owner: self.me.clone(),
            progress: Progress::Claimed,
            expires_ms: time::unix_ms(expires_at),
        }
    }

    /// Handles a call that was claimed before.
    fn claim_existing(&self, key: String, record: Record) -> Result<ClaimResult> {
        let existing = self.resolve_existing(&key, &record);
        match existing {
            Ok(Some(version)) => self.claim_again(key, version, record),
            Ok(None) => {
                self.deactivate(&record);
                Err(still_running_error())
            }
            Err(Unclaimable::Stored(answer)) => {
                self.deactivate(&record);
                Ok(ClaimResult::Stored(answer))
            }
            Err(Unclaimable::Error(e)) => {
                self.deactivate(&record);
                Err(e)
            }
        }
    }

    /// Returns the version that a new claim may replace, or `None` if another claim stands or the
    /// record is gone. Records that the call may have run if its owner has ended.
    fn resolve_existing(&self, key: &str, record: &Record) -> Result<Option<Version>, Unclaimable> {
        let found = self.store.get(key).map_err(|e| store_unavailable_error(&e))?;
        let Some(object) = found else { return Ok(None) };
        let old: Record = io::parse(&object)?;
        if old.request != record.request {
            return Err(Error::new(Code::OnceKeyReused, "").into());
        }
        match &old.progress {
            Progress::Ran(answer) => Err(Unclaimable::Stored(answer.clone())),
            Progress::RanTooLarge => Err(Error::new(Code::OnceTooLarge, "").ran(Ran::Yes).into()),
            Progress::Unknown => Err(unknown_outcome_error().into()),
            Progress::NotRun => Ok(Some(object.version)),
            Progress::Claimed if old.owner == self.me => {
                let active = self.active.lock().contains(&old.token);
                Ok((!active).then_some(object.version))
            }
            Progress::Claimed if self.failure_detector.has_ended(&old.owner) => {
                self.mark_unknown(key, object.version, old)?;
                Err(unknown_outcome_error().into())
            }
            Progress::Claimed => Ok(None),
        }
    }

    /// Replaces a claim whose call did not run.
    fn claim_again(&self, key: String, version: Version, record: Record) -> Result<ClaimResult> {
        let text = io::render(&record);
        let is_own = |found: &Object| is_claim(found, &record.token);
        match io::put_confirmed(&*self.store, &key, &text, Condition::At(version), is_own) {
            Ok(version) => Ok(ClaimResult::Run(Claim { key, version, record })),
            Err(e) if e.code == Code::StoreConflict => {
                self.deactivate(&record);
                Err(still_running_error())
            }
            Err(e) => Err(self.abandon(key, record, &e)),
        }
    }

    /// Records that the call may have run, as its owner has ended without an outcome.
    fn mark_unknown(&self, key: &str, version: Version, old: Record) -> Result<()> {
        let record = Record { progress: Progress::Unknown, ..old };
        self.write(&Claim { key: key.to_string(), version, record })
            .map_err(|_| still_running_error())
    }

    /// Sets the outcome of a claim and records it, now or in a later step if there is room to keep
    /// it.
    fn finish(&self, mut claim: Claim, progress: Progress) {
        claim.record.progress = progress;
        if let Err(e) = self.write_or_defer(claim) {
            log::warn!(code = e.code.number(); "recording the outcome of a call failed");
        }
    }

    /// Writes an outcome. A conflict is no error: the claim has been changed by another process,
    /// and that stands. After any other error the outcome is kept for later.
    fn write_or_defer(&self, claim: Claim) -> Result<()> {
        match self.write(&claim) {
            Err(e) if e.code != Code::StoreConflict => {
                self.defer(claim);
                Err(e)
            }
            _ => {
                self.deactivate(&claim.record);
                Ok(())
            }
        }
    }

    /// Gives up a claim whose write failed. If the write may still take effect, the claim is
    /// remembered so that it can be cleared, since its call will not be sent.
    fn abandon(&self, key: String, mut record: Record, lost: &Error) -> Error {
        self.deactivate(&record);
        if lost.may_have_written() {
            record.progress = Progress::NotRun;
            let claim = Claim { key, version: Version(0), record };
            let mut abandoned = self.abandoned.lock();
            abandoned.push_back((self.clock.now(), claim));
            let excess = abandoned.len().saturating_sub(MAX_PENDING);
            abandoned.drain(..excess);
        }
        store_unavailable_error(lost)
    }

    /// Marks a claim as no longer active in this process.
    fn deactivate(&self, record: &Record) {
        self.active.lock().remove(&record.token);
    }

    /// Keeps an outcome for the next step. From `MAX_PENDING` outcomes on only the fact that the call
    /// ran is kept, not its response.
    fn defer(&self, mut claim: Claim) {
        let mut pending = self.pending.lock();
        if pending.len() >= MAX_PENDING_FACTS {
            log::error!(key = claim.key.as_str(); "the outcome of a call is lost");
            return;
        }
        if pending.len() >= MAX_PENDING && matches!(claim.record.progress, Progress::Ran(_)) {
            claim.record.progress = Progress::RanTooLarge;
        }
        pending.push_back(claim);
    }

    /// Records `NotRun` for abandoned claims that did reach the store.
    fn clear_abandoned(&self) -> Result<()> {
        let count = self.abandoned.lock().len();
        for _ in 0..count {
            let Some((since, mut claim)) = self.abandoned.lock().pop_front() else { break };
            match self.store.get(&claim.key) {
                Ok(Some(object)) if is_claim(&object, &claim.record.token) => {
                    claim.version = object.version;
                    self.write_or_defer(claim)?;
                }
                found => {
                    let age = self.clock.now().saturating_duration_since(since);
                    if age < LATE_WRITE_LIMIT {
                        self.abandoned.lock().push_back((since, claim));
                    }
                    found?;
                }
            }
        }
        Ok(())
    }

    /// Writes the outcome over the claim, if the claim still stands.
    fn write(&self, claim: &Claim) -> Result<()> {
        let text = io::render(&claim.record);
        let is_own = |found: &Object| found.value == text;
        let condition = Condition::At(claim.version);
        io::put_confirmed(&*self.store, &claim.key, &text, condition, is_own).map(|_| ())
    }
}

/// Whether `object` is the unfinished claim with this token.
fn is_claim(object: &Object, token: &str) -> bool {
    let record = io::parse::<Record>(object);
    record.is_ok_and(|record| record.token == token && record.progress == Progress::Claimed)
}

fn still_running_error() -> Error {
    Error::new(Code::OnceRunning, "").ran(Ran::Unknown).retry_after(RUNNING_RETRY_AFTER)
}

fn unknown_outcome_error() -> Error {
    Error::new(Code::OnceUnknown, "").ran(Ran::Unknown)
}

fn store_unavailable_error(e: &Error) -> Error {
    Error::new(Code::OnceUnavailable, e.code.message()).retry_after(UNAVAILABLE_RETRY_AFTER)
}
