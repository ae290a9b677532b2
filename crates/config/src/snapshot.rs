//! Snapshots of the state, split into parts that fit into objects of the object API.
//!
//! The parts are written before the manifest, so a manifest never names a missing part. The
//! manifest only moves to higher revisions.

use wasabi_core::{
    data,
    errors::{self, Result},
    io::{self, Condition, Store},
    units::Revision,
};

use crate::{log_key, state::State};

const MANIFEST_KEY: &str = "snapshot/head";
/// Below the limit of one megabyte for the text of an object.
const MAX_PART_BYTES: usize = 900_000;
/// Entries that stay in the log before the snapshot, for hosts that lag behind; also the most
/// entries that one snapshot removes from the log.
const RETAINED_ENTRIES: u64 = 200;

data! {
    /// The manifest of the newest complete snapshot.
    pub struct Manifest {
        /// The revision of the snapshot.
        pub revision: Revision,
        /// Number of parts.
        pub parts: usize,
    }
}

fn part_key(revision: Revision, part: usize) -> String {
    format!("snapshot/part/{:012}/{part:04}", revision.0)
}

/// Reads the newest snapshot, if there is one. Fails with `StoreConflict` if its parts are removed
/// meanwhile.
pub fn read(store: &dyn Store) -> Result<Option<State>> {
    let Some(object) = store.get(MANIFEST_KEY)? else { return Ok(None) };
    let manifest: Manifest = io::parse(&object)?;
    let mut text = String::new();
    for part in 0..manifest.parts {
        let key = part_key(manifest.revision, part);
        let Some(object) = store.get(&key)? else { return Err(errors::conflict(&key)) };
        text.push_str(&object.value);
    }
    let state = serde_json::from_str(&text).map_err(|e| errors::internal(e.to_string()))?;
    Ok(Some(state))
}

/// Writes `state` as the newest snapshot unless one at least as new exists, then removes the old
/// parts and up to `RETAINED_ENTRIES` old entries of the log.
pub fn write(store: &dyn Store, state: &State) -> Result<()> {
    let head = store.get(MANIFEST_KEY)?;
    let old: Option<Manifest> = head.as_ref().map(io::parse).transpose()?;
    if old.as_ref().is_some_and(|old| old.revision >= state.revision) {
        return Ok(());
    }
    let text = io::render(state);
    let parts = split(&text);
    for (i, part) in parts.iter().enumerate() {
        write_part(store, &part_key(state.revision, i), part)?;
    }
    let new = Manifest { revision: state.revision, parts: parts.len() };
    let condition = head.map_or(Condition::Absent, |object| Condition::At(object.version));
    store.put(MANIFEST_KEY, &io::render(&new), condition)?;
    if let Some(old) = old {
        remove_parts(store, old)?;
    }
    trim(store, state.revision)
}

/// Writes a part. One that exists with the same text counts as written, since the JSON text of a
/// revision is always the same; other text is a `StoreConflict`.
fn write_part(store: &dyn Store, key: &str, part: &str) -> Result<()> {
    io::put_confirmed(store, key, part, Condition::Absent, |found| found.value == part).map(|_| ())
}

fn split(text: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut rest = text;
    while rest.len() > MAX_PART_BYTES {
        let (part, after) = rest.split_at(rest.floor_char_boundary(MAX_PART_BYTES));
        parts.push(part);
        rest = after;
    }
    parts.push(rest);
    parts
}

fn remove_parts(store: &dyn Store, old: Manifest) -> Result<()> {
    for part in 0..old.parts {
        if let Some(object) = store.get(&part_key(old.revision, part))? {
            store.delete(&object.key, object.version)?;
        }
    }
    Ok(())
}

fn trim(store: &dyn Store, snapshot: Revision) -> Result<()> {
    let end = log_key::key(Revision(snapshot.0.saturating_sub(RETAINED_ENTRIES)));
    for object in store.list(log_key::PREFIX, "", RETAINED_ENTRIES as usize)? {
        if object.key >= end {
            break;
        }
        store.delete(&object.key, object.version)?;
    }
    Ok(())
}
