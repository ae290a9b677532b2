//! The table of claims, kept in the object API.

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
use wasabi_lease::witness::{Process, Witness};

use crate::answer::{Answer, Progress, Record};

const PREFIX: &str = "once/";
/// How long the outcome of a call is kept.
const RETENTION: Duration = Duration::from_secs(24 * 3600);
/// Leaves room for the record around the answer in an object of a megabyte.
const MAX_ANSWER_BYTES: usize = 450_000;
/// Outcomes that wait for the store to come back.
const MAX_WAITING: usize = 1_000;
const WHEN_RUNNING: Duration = Duration::from_secs(2);
const WHEN_AWAY: Duration = Duration::from_secs(5);
/// How long a write whose answer was lost may still arrive.
const LATE: Duration = Duration::from_secs(60);
const PAGE: usize = 100;

/// What to do with a call.
#[derive(Debug)]
pub enum Begin {
    /// Run it, then record the outcome with the claim.
    Run(Claim),
    /// Return this answer; the call ran before.
    Stored(Answer),
}

/// The right to run one call once.
#[derive(Debug)]
pub struct Claim {
    key: String,
    version: Version,
    record: Record,
}

/// What became of a call that was claimed before.
enum Decided {
    Stored(Answer),
    Error(Error),
}

impl From<Error> for Decided {
    fn from(e: Error) -> Self {
        Self::Error(e)
    }
}

/// The claims of all workspaces, as one host sees them.
pub struct Table {
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
    witness: Arc<dyn Witness>,
    me: Process,
    /// Outcomes not yet known to be recorded; bounded.
    waiting: Mutex<VecDeque<Claim>>,
    /// Claims that were given up when their answer was lost; they may reach the store late.
    withdrawn: Mutex<VecDeque<(Instant, Claim)>>,
    /// The tokens of this process's claims that may still be sent or are not yet recorded.
    active: Mutex<HashSet<String>>,
}

impl Table {
    /// Gets the table as `me` sees it.
    pub fn new(
        store: Arc<dyn Store>,
        clock: Arc<dyn Clock>,
        witness: Arc<dyn Witness>,
        me: Process,
    ) -> Self {
        let (waiting, withdrawn, active) = Default::default();
        Self { store, clock, witness, me, waiting, withdrawn, active }
    }

    /// Claims a call, or finds what became of it. Blocks.
    ///
    /// `request` is everything that makes the call what it is. Every error states truly whether the
    /// call ran.
    pub fn begin(&self, workspace: &WorkspaceId, key: &str, request: &[u8]) -> Result<Begin> {
        let record = self.record(request);
        let key = format!("{PREFIX}{workspace}/{}", hex::encode(Sha256::digest(key)));
        let mine = |found: &Object| is_claim(found, &record.token);
        let text = io::render(&record);
        match io::put_certain(&*self.store, &key, &text, Condition::Absent, mine) {
            Ok(version) => Ok(Begin::Run(Claim { key, version, record })),
            Err(e) if e.code == Code::StoreConflict => self.look(key, record),
            Err(e) => Err(self.withdraw(key, record, &e)),
        }
    }

    /// Records that the call ran and what it answered.
    pub fn ran(&self, claim: Claim, answer: Answer) {
        let fits = answer.body_hex.len() / 2 <= MAX_ANSWER_BYTES;
        self.end(claim, if fits { Progress::Ran(answer) } else { Progress::RanTooLarge });
    }

    /// Records that no byte of the call left.
    pub fn not_run(&self, claim: Claim) {
        self.end(claim, Progress::NotRun);
    }

    /// Records that the call may have run.
    pub fn unknown(&self, claim: Claim) {
        self.end(claim, Progress::Unknown);
    }

    /// Writes outcomes that could not be recorded at once; to be called every second or so.
    pub fn step(&self) -> Result<()> {
        let count = self.waiting.lock().len();
        for _ in 0..count {
            let Some(claim) = self.waiting.lock().pop_front() else { break };
            self.settle(claim)?;
        }
        self.clear_withdrawn()
    }

    /// Returns how many outcomes wait to be recorded.
    pub fn waiting(&self) -> usize {
        self.waiting.lock().len()
    }

    /// Removes records that have expired, one page after `after`; returns where to go on.
    pub fn clean(&self, after: &str) -> Result<String> {
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

    fn record(&self, request: &[u8]) -> Record {
        let random: u128 = rand::rng().random();
        let token = format!("{random:032x}");
        self.active.lock().insert(token.clone());
        let kept_until = self.clock.wall() + RETENTION;
        Record {
            request: hex::encode(Sha256::digest(request)),
            token,
            owner: self.me.clone(),
            progress: Progress::Claimed,
            expires_ms: time::unix_ms(kept_until),
        }
    }

    /// Decides on a call that was claimed before.
    fn look(&self, key: String, record: Record) -> Result<Begin> {
        let decided = self.decide(&key, &record);
        match decided {
            Ok(Some(version)) => self.claim_again(key, version, record),
            Ok(None) => {
                self.forget(&record);
                Err(running())
            }
            Err(Decided::Stored(answer)) => {
                self.forget(&record);
                Ok(Begin::Stored(answer))
            }
            Err(Decided::Error(e)) => {
                self.forget(&record);
                Err(e)
            }
        }
    }

    /// Returns the version to claim over, or `None` while another claim stands.
    fn decide(&self, key: &str, record: &Record) -> Result<Option<Version>, Decided> {
        let found = self.store.get(key).map_err(|e| away(&e))?;
        let Some(object) = found else { return Ok(None) };
        let old: Record = io::parse(&object)?;
        if old.request != record.request {
            return Err(Error::new(Code::OnceKeyReused, "").into());
        }
        match &old.progress {
            Progress::Ran(answer) => Err(Decided::Stored(answer.clone())),
            Progress::RanTooLarge => Err(Error::new(Code::OnceTooLarge, "").ran(Ran::Yes).into()),
            Progress::Unknown => Err(unknown().into()),
            Progress::NotRun => Ok(Some(object.version)),
            Progress::Claimed if old.owner == self.me => {
                let active = self.active.lock().contains(&old.token);
                Ok((!active).then_some(object.version))
            }
            Progress::Claimed if self.witness.is_gone(&old.owner) => {
                self.mark_unknown(key, object.version, old)?;
                Err(unknown().into())
            }
            Progress::Claimed => Ok(None),
        }
    }

    fn claim_again(&self, key: String, version: Version, record: Record) -> Result<Begin> {
        let text = io::render(&record);
        let mine = |found: &Object| is_claim(found, &record.token);
        match io::put_certain(&*self.store, &key, &text, Condition::At(version), mine) {
            Ok(version) => Ok(Begin::Run(Claim { key, version, record })),
            Err(e) if e.code == Code::StoreConflict => {
                self.forget(&record);
                Err(running())
            }
            Err(e) => Err(self.withdraw(key, record, &e)),
        }
    }

    /// The owner has ended without an outcome, so the call may have run.
    fn mark_unknown(&self, key: &str, version: Version, old: Record) -> Result<()> {
        let record = Record { progress: Progress::Unknown, ..old };
        self.write(&Claim { key: key.to_string(), version, record }).map_err(|_| running())
    }

    fn end(&self, mut claim: Claim, progress: Progress) {
        claim.record.progress = progress;
        if let Err(e) = self.settle(claim) {
            log::warn!(code = e.code.number(); "the outcome of a call waits to be recorded");
        }
    }

    /// Records an outcome, or keeps it for later.
    fn settle(&self, claim: Claim) -> Result<()> {
        match self.write(&claim) {
            Err(e) if e.code != Code::StoreConflict => {
                self.keep(claim);
                Err(e)
            }
            _ => {
                self.forget(&claim.record);
                Ok(())
            }
        }
    }

    /// A claim whose answer was lost may stand in the store although nothing will be sent for it.
    fn withdraw(&self, key: String, mut record: Record, lost: &Error) -> Error {
        self.forget(&record);
        if lost.may_have_written() {
            record.progress = Progress::NotRun;
            let claim = Claim { key, version: Version(0), record };
            let mut withdrawn = self.withdrawn.lock();
            withdrawn.push_back((self.clock.now(), claim));
            let excess = withdrawn.len().saturating_sub(MAX_WAITING);
            withdrawn.drain(..excess);
        }
        away(lost)
    }

    fn forget(&self, record: &Record) {
        self.active.lock().remove(&record.token);
    }

    fn keep(&self, claim: Claim) {
        let mut waiting = self.waiting.lock();
        if waiting.len() < MAX_WAITING {
            waiting.push_back(claim);
        }
    }

    /// Writes `NotRun` over withdrawn claims that stand in the store.
    fn clear_withdrawn(&self) -> Result<()> {
        let count = self.withdrawn.lock().len();
        for _ in 0..count {
            let Some((since, mut claim)) = self.withdrawn.lock().pop_front() else { break };
            match self.store.get(&claim.key) {
                Ok(Some(object)) if is_claim(&object, &claim.record.token) => {
                    claim.version = object.version;
                    self.settle(claim)?;
                }
                found => {
                    let age = self.clock.now().saturating_duration_since(since);
                    if age < LATE {
                        self.withdrawn.lock().push_back((since, claim));
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
        let mine = |found: &Object| found.value == text;
        let condition = Condition::At(claim.version);
        io::put_certain(&*self.store, &claim.key, &text, condition, mine).map(|_| ())
    }
}

fn is_claim(object: &Object, token: &str) -> bool {
    let record = io::parse::<Record>(object);
    record.is_ok_and(|record| record.token == token && record.progress == Progress::Claimed)
}

fn running() -> Error {
    Error::new(Code::OnceRunning, "").ran(Ran::Unknown).retry_after(WHEN_RUNNING)
}

fn unknown() -> Error {
    Error::new(Code::OnceUnknown, "").ran(Ran::Unknown)
}

fn away(e: &Error) -> Error {
    Error::new(Code::OnceUnavailable, e.code.meaning()).retry_after(WHEN_AWAY)
}
