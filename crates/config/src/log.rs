//! The log of accepted release notes in the object API.
//!
//! A note is accepted by a conditional create of the next entry, so two operators can never both
//! get the same revision. Each entry carries a random token, by which the writer recognises its own
//! entry if the response to the write was lost.

use sha2::{Digest as _, Sha256};
use wasabi_core::{
    data,
    errors::{Code, Error, Result},
    io::{self, Condition, Object, Store},
    note::Note,
    units::Revision,
};

use crate::{
    log_key, snapshot,
    state::{Problem, State},
};

/// Limit of one list call.
const PAGE_ENTRIES: usize = 200;

data! {
    /// A log entry: one accepted note.
    pub struct Entry {
        /// The revision of the entry.
        pub revision: Revision,
        /// The accepted note.
        pub note: Note,
        /// Time of acceptance by the operator's clock, in milliseconds since the Unix epoch.
        pub accepted_ms: u64,
        /// A random value drawn by the process that wrote the entry.
        pub token: String,
    }

    /// The result of an accepted note.
    pub struct Receipt {
        /// The revision of the note's log entry.
        pub revision: Revision,
        /// Whether the note had been accepted by an earlier call.
        pub repeated: bool,
    }
}

/// Why a note was not accepted.
#[derive(Clone, Debug)]
pub enum AcceptError {
    /// The note is invalid or conflicts with the state; nothing was written.
    Problems(Vec<Problem>),
    /// The store or the decoding of its objects failed. If [`Error::may_have_written`] holds, the
    /// note may have been accepted.
    Store(Error),
}

impl From<Error> for AcceptError {
    fn from(e: Error) -> Self {
        Self::Store(e)
    }
}

/// Returns the digest that distinguishes a repeated note from another note with the same id.
pub fn digest(note: &Note) -> String {
    hex::encode(Sha256::digest(io::render(note)))
}

/// Decodes a log entry.
pub fn entry(object: &Object) -> Result<Entry> {
    io::parse(object)
}

/// Reads up to `PAGE_ENTRIES` entries that follow `revision`, in order and up to the first gap.
pub fn page_after(store: &dyn Store, revision: Revision) -> Result<Vec<Entry>> {
    let objects = store.list(log_key::PREFIX, &log_key::key(revision), PAGE_ENTRIES)?;
    let mut entries = Vec::with_capacity(objects.len());
    let mut expected = revision.next();
    for object in &objects {
        let entry = entry(object)?;
        if entry.revision != expected {
            break;
        }
        expected = expected.next();
        entries.push(entry);
    }
    Ok(entries)
}

/// Loads the current state: the newest snapshot and all entries that follow it.
pub fn load(store: &dyn Store) -> Result<State> {
    let mut state = snapshot::read(store)?.unwrap_or_default();
    catch_up(store, &mut state)?;
    Ok(state)
}

/// Applies all entries that follow `state`.
pub fn catch_up(store: &dyn Store, state: &mut State) -> Result<()> {
    loop {
        let entries = page_after(store, state.revision)?;
        if entries.is_empty() {
            return Ok(());
        }
        for entry in &entries {
            state.apply(entry.revision, &entry.note, digest(&entry.note))?;
        }
    }
}

/// Accepts `note` as the next revision, or finds that it was accepted before.
///
/// `token` must be unique to this call.
pub fn accept(
    store: &dyn Store,
    note: &Note,
    token: &str,
    accepted_ms: u64,
) -> Result<Receipt, AcceptError> {
    accept_from(store, &mut load(store)?, note, token, accepted_ms)
}

/// Like [`accept`], but starts from a state loaded earlier. If another note is accepted first, the
/// state is brought up to date and the note is checked again.
pub fn accept_from(
    store: &dyn Store,
    state: &mut State,
    note: &Note,
    token: &str,
    accepted_ms: u64,
) -> Result<Receipt, AcceptError> {
    loop {
        if let Some(found) = state.notes.get(&note.id) {
            return repeat_receipt(note, found.revision, &found.digest);
        }
        let problems = state.check(note);
        if !problems.is_empty() {
            return Err(AcceptError::Problems(problems));
        }
        let revision = state.revision.next();
        let entry = Entry { revision, note: note.clone(), accepted_ms, token: token.to_string() };
        let is_own = |found: &Object| self::entry(found).is_ok_and(|e| e.token == token);
        let text = io::render(&entry);
        match io::put_confirmed(store, &log_key::key(revision), &text, Condition::Absent, is_own) {
            Ok(_) => return Ok(Receipt { revision, repeated: false }),
            Err(e) if e.code == Code::StoreConflict => catch_up(store, state)?,
            Err(e) => return Err(e.into()),
        }
    }
}

fn repeat_receipt(note: &Note, revision: Revision, accepted: &str) -> Result<Receipt, AcceptError> {
    if digest(note) == accepted {
        return Ok(Receipt { revision, repeated: true });
    }
    let text = format!("another note with this identity is revision {revision}");
    let code = Code::NoteReused;
    Err(AcceptError::Problems(vec![Problem { path: "id".to_string(), code, text }]))
}
