//! Intents: a write-ahead log of the orders that the provisioner sends to the platform.

use std::time::Duration;

use wasabi_core::{
    data,
    errors::{Code, Result},
    io::{self, Action, Condition, Object, Order, ProvisionedServer, Store},
    units::{Epoch, Version},
};

/// An accepted order whose effect does not show within this time is abandoned.
pub const EFFECT_TIMEOUT: Duration = Duration::from_secs(900);
/// The prefix of the keys of intents.
pub const PREFIX: &str = "fleet/intent/";

/// Objects requested per list call.
const PAGE: usize = 200;
/// How many intents are kept; beyond this the oldest ones that are not open are removed.
const RETAINED_INTENTS: usize = 100;

data! {
    /// The state of an intent.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Progress {
        /// The order may have been sent, and its outcome is not known.
        Open,
        /// The platform accepted the order.
        Taken,
        /// The platform accepted the order, and its list shows the effect.
        Done,
        /// The platform refused the order.
        Refused,
        /// Either the order is not known to have arrived in time, or it was accepted and not marked
        /// as done in time. It is not sent again.
        Abandoned,
    }

    /// An intent as it is stored.
    pub struct Record {
        /// The order; its `intent` is the name of this record.
        pub order: Order,
        /// The state.
        pub progress: Progress,
    }
}

/// An intent record and the version at which it was read or written.
#[derive(Clone, Debug)]
pub struct Intent {
    /// The version, on which the next write is conditional.
    pub version: Version,
    /// The record.
    pub record: Record,
}

impl Record {
    /// The outcome of an accepted order that has had its effect or has waited for it for too long;
    /// `None` while it may still come.
    pub fn outcome(&self, rented: &[ProvisionedServer], waited: Duration) -> Option<Progress> {
        if self.shows_effect(rented) {
            return Some(Progress::Done);
        }
        (waited >= EFFECT_TIMEOUT).then_some(Progress::Abandoned)
    }

    /// Whether the platform's list shows the effect of the order.
    pub fn shows_effect(&self, rented: &[ProvisionedServer]) -> bool {
        match &self.order.action {
            Action::Start { .. } => {
                let intent = Some(self.order.intent.as_str());
                rented.iter().any(|rented| rented.intent.as_deref() == intent)
            }
            Action::Stop { server } => rented.iter().all(|rented| rented.server.name != *server),
        }
    }
}

/// The name of an epoch's intent with this number. Names sort in the order in which the orders are
/// sent.
pub fn name(epoch: Epoch, number: u64) -> String {
    format!("{:010}-{number:08}", epoch.0)
}

/// Stores an open intent for `order`, which must not be sent before.
pub fn open(store: &dyn Store, order: &Order) -> Result<Intent> {
    let record = Record { order: order.clone(), progress: Progress::Open };
    let text = io::render(&record);
    let is_own = |found: &Object| found.value == text;
    let key = format!("{PREFIX}{}", order.intent);
    let version = io::put_confirmed(store, &key, &text, Condition::Absent, is_own)?;
    Ok(Intent { version, record })
}

/// Records the outcome of an intent. Has no effect if another process has recorded one.
pub fn record_outcome(store: &dyn Store, intent: &Intent, progress: Progress) -> Result<()> {
    let record = Record { progress, ..intent.record.clone() };
    let text = io::render(&record);
    let is_own = |found: &Object| found.value == text;
    let key = format!("{PREFIX}{}", record.order.intent);
    let written = io::put_confirmed(store, &key, &text, Condition::At(intent.version), is_own);
    match written {
        Err(e) if e.code != Code::StoreConflict => Err(e),
        _ => Ok(()),
    }
}

/// Reads all intents, the oldest first.
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

/// Removes the oldest intents that are not open, if more than `RETAINED_INTENTS` are stored.
pub fn trim(store: &dyn Store, intents: &[Intent]) -> Result<()> {
    let resolved = intents.iter().filter(|intent| intent.record.progress != Progress::Open);
    let excess = intents.len().saturating_sub(RETAINED_INTENTS);
    for intent in resolved.take(excess) {
        let key = format!("{PREFIX}{}", intent.record.order.intent);
        store.delete(&key, intent.version)?;
    }
    Ok(())
}
