//! The log of accepted release notes in the object API.
//!
//! A note is accepted by the conditional create of the next entry, so two operators can never both
//! get the same revision. An entry carries a random token, by which an operator whose answer was
//! lost recognises its own entry.

use sha2::{Digest as _, Sha256};
use wasabi_core::{
    data,
    errors::{Code, Error, Result},
    io::{self, Condition, Object, Store},
    note::Note,
    units::Revision,
};

use crate::{
    snapshot,
    state::{Problem, State},
};

/// The prefix of the log's keys.
pub const PREFIX: &str = "live/log/";

const PAGE: usize = 200;

data! {
    /// One accepted note.
    pub struct Entry {
        /// The revision that the note became.
        pub revision: Revision,
        /// The note.
        pub note: Note,
        /// Milliseconds from the Unix epoch to the acceptance, by the operator's clock.
        pub accepted_ms: u64,
        /// Drawn by the process that wrote the entry.
        pub token: String,
    }

    /// How an accepted note was accepted.
    pub struct Receipt {
        /// The revision that the note is.
        pub revision: Revision,
        /// Whether it had been accepted before.
        pub repeated: bool,
    }
}

/// Why a note was not accepted.
#[derive(Clone, Debug)]
pub enum Refusal {
    /// The note itself is at fault; nothing was written.
    Problems(Vec<Problem>),
    /// The store failed; the note may have been accepted if the error says so.
    Store(Error),
}

impl From<Error> for Refusal {
    fn from(e: Error) -> Self {
        Self::Store(e)
    }
}

/// Returns the key of the entry for `revision`.
pub fn key(revision: Revision) -> String {
    format!("{PREFIX}{:012}", revision.0)
}

/// Returns the digest by which a repeated note is told from another with its identity.
pub fn digest(note: &Note) -> String {
    hex::encode(Sha256::digest(io::render(note)))
}

/// Reads an entry from its object.
pub fn entry(object: &Object) -> Result<Entry> {
    io::parse(object)
}

/// Gets the entries that follow `revision`, in order and without gaps, at most one page.
pub fn after(store: &dyn Store, revision: Revision) -> Result<Vec<Entry>> {
    let objects = store.list(PREFIX, &key(revision), PAGE)?;
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

/// Gets the present state from the snapshot and the entries that follow it.
pub fn load(store: &dyn Store) -> Result<State> {
    let mut state = snapshot::read(store)?.unwrap_or_default();
    catch_up(store, &mut state)?;
    Ok(state)
}

/// Applies the entries that follow `state`.
pub fn catch_up(store: &dyn Store, state: &mut State) -> Result<()> {
    loop {
        let entries = after(store, state.revision)?;
        if entries.is_empty() {
            return Ok(());
        }
        for entry in &entries {
            state.apply(entry.revision, &entry.note, digest(&entry.note))?;
        }
    }
}

/// Accepts `note` as the next revision, or finds that it had been accepted.
///
/// `token` must be unique to this call.
pub fn accept(
    store: &dyn Store,
    note: &Note,
    token: &str,
    accepted_ms: u64,
) -> Result<Receipt, Refusal> {
    accept_after(store, &mut load(store)?, note, token, accepted_ms)
}

/// Does as `accept`, from a state that was loaded before and may lag; brings it up to date.
pub fn accept_after(
    store: &dyn Store,
    state: &mut State,
    note: &Note,
    token: &str,
    accepted_ms: u64,
) -> Result<Receipt, Refusal> {
    loop {
        if let Some(found) = state.notes.get(&note.id) {
            return repeated(note, found.revision, &found.digest);
        }
        let problems = state.check(note);
        if !problems.is_empty() {
            return Err(Refusal::Problems(problems));
        }
        let revision = state.revision.next();
        let entry = Entry { revision, note: note.clone(), accepted_ms, token: token.to_string() };
        let mine = |found: &Object| self::entry(found).is_ok_and(|e| e.token == token);
        let text = io::render(&entry);
        match io::put_certain(store, &key(revision), &text, Condition::Absent, mine) {
            Ok(_) => return Ok(Receipt { revision, repeated: false }),
            Err(e) if e.code == Code::StoreConflict => catch_up(store, state)?,
            Err(e) => return Err(e.into()),
        }
    }
}

fn repeated(note: &Note, revision: Revision, accepted: &str) -> Result<Receipt, Refusal> {
    if digest(note) == accepted {
        return Ok(Receipt { revision, repeated: true });
    }
    let text = format!("another note with this identity is revision {revision}");
    let code = Code::NoteReused;
    Err(Refusal::Problems(vec![Problem { path: "id".to_string(), code, text }]))
}
