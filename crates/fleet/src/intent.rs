//! Intents: what a holder was about to order, written down before the order is sent.

use wasabi_core::{
    data,
    errors::{Code, Result},
    io::{self, Condition, Object, Order, Store},
    units::{Epoch, Version},
};

/// The prefix of the keys of intents.
pub const PREFIX: &str = "fleet/intent/";

const PAGE: usize = 200;
/// Settled intents that are kept, the newest ones.
const KEPT: usize = 100;

data! {
    /// How an intent stands.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Progress {
        /// The order may be on its way.
        Open,
        /// The platform took the order.
        Taken,
        /// The platform took the order, and its list shows the effect.
        Done,
        /// The platform did not take the order.
        Refused,
        /// The order did not arrive within the time that messages take, and is not sent again.
        Abandoned,
    }

    /// An intent's record.
    pub struct Record {
        /// The order, whose `intent` is the record's own name.
        pub order: Order,
        /// How it stands.
        pub progress: Progress,
    }
}

/// An intent as it was read or written.
#[derive(Clone, Debug)]
pub struct Intent {
    /// The version of the record.
    pub version: Version,
    /// The record.
    pub record: Record,
}

/// Returns the name of the intent `number` of an epoch.
pub fn name(epoch: Epoch, number: u64) -> String {
    format!("{:010}-{number:08}", epoch.0)
}

/// Writes an open intent for `order`.
pub fn open(store: &dyn Store, order: &Order) -> Result<Intent> {
    let record = Record { order: order.clone(), progress: Progress::Open };
    let text = io::render(&record);
    let mine = |found: &Object| found.value == text;
    let key = format!("{PREFIX}{}", order.intent);
    let version = io::put_certain(store, &key, &text, Condition::Absent, mine)?;
    Ok(Intent { version, record })
}

/// Notes how an intent ended.
pub fn settle(store: &dyn Store, intent: &Intent, progress: Progress) -> Result<()> {
    let record = Record { progress, ..intent.record.clone() };
    let text = io::render(&record);
    let mine = |found: &Object| found.value == text;
    let key = format!("{PREFIX}{}", record.order.intent);
    let written = io::put_certain(store, &key, &text, Condition::At(intent.version), mine);
    match written {
        Err(e) if e.code != Code::StoreConflict => Err(e),
        _ => Ok(()),
    }
}

/// Gets all intents, oldest first.
pub fn all(store: &dyn Store) -> Result<Vec<Intent>> {
    let mut intents = Vec::new();
    let mut after = String::new();
    loop {
        let page = store.list(PREFIX, &after, PAGE)?;
        let Some(last) = page.last() else { return Ok(intents) };
        after = last.key.clone();
        for object in &page {
            intents.push(Intent { version: object.version, record: io::parse(object)? });
        }
    }
}

/// Removes old intents that are settled.
pub fn trim(store: &dyn Store, intents: &[Intent]) -> Result<()> {
    let settled = intents.iter().filter(|intent| intent.record.progress != Progress::Open);
    let excess = intents.len().saturating_sub(KEPT);
    for intent in settled.take(excess) {
        let key = format!("{PREFIX}{}", intent.record.order.intent);
        store.delete(&key, intent.version)?;
    }
    Ok(())
}
