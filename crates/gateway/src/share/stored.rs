//! Copies of objects in the store that this host has written or read.

use std::time::{Duration, Instant};

use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;
use wasabi_core::{
    errors::{self, Result},
    objects::Written,
    units::{Era, Version},
};

use crate::{share::refresh::with_timeout, state::State};

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// An object of one of the router's own kinds, with a copy of what this host last wrote or read.
///
/// The copy may be relied on only while [`Stored::is_current`]: a restore of the store takes back what was
/// written, and gives versions out again.
pub struct Stored<T> {
    kind: &'static str,
    name: String,
    copy: Option<Copy<T>>,
}

struct Copy<T> {
    /// The store's era before the call that showed or wrote the object.
    era: Option<Era>,
    /// When that call was sent.
    sent: Instant,
    /// The object's version; `None` if there is no object.
    version: Option<Version>,
    /// The object's value; `None` if it is not known.
    value: Option<T>,
}

impl<T: Clone + Serialize + DeserializeOwned> Stored<T> {
    /// Creates the copy of an object that has not been read yet.
    pub fn new(kind: &'static str, name: impl Into<String>) -> Self {
        Self { kind, name: name.into(), copy: None }
    }

    /// Whether the copy is of the store's present era, and not older than `max_age`.
    pub fn is_current(&self, state: &State, max_age: Duration) -> bool {
        let (era, now) = (state.store_era(), state.now());
        self.copy.as_ref().is_some_and(|copy| {
            copy.era == era && now.saturating_duration_since(copy.sent) < max_age
        })
    }

    /// The value that this host last wrote or read, if the object exists and its value is known.
    pub fn value(&self) -> Option<&T> {
        self.copy.as_ref()?.value.as_ref()
    }

    /// Reads the object.
    pub async fn read(&mut self, state: &State) -> Result<()> {
        let (era, sent) = (state.store_era(), state.now());
        let record = with_timeout(state.objects.read(self.kind, &self.name), CALL_TIMEOUT).await?;
        let version = record.as_ref().map(|record| record.version);
        let value = record.map(|record| decode(record.value)).transpose()?;
        // Before the first answer no era is known, and none can have ended.
        let era = era.or_else(|| state.store_era());
        self.copy = Some(Copy { era, sent, version, value });
        Ok(())
    }

    /// Writes the object: creates it, or replaces it at the version that this host knows. Returns whether
    /// that succeeded; if another write came first, the next call replaces that.
    ///
    /// After an error the object has to be taken for unknown.
    pub async fn write(&mut self, state: &State, value: T) -> Result<bool> {
        let json = serde_json::to_value(&value).map_err(|e| errors::internal(e.to_string()))?;
        let (era, sent) = (state.store_era(), state.now());
        // A version of an earlier era may have been given out again.
        let known = self.copy.take().filter(|copy| copy.era == era);
        let call = match known.and_then(|copy| copy.version) {
            None => state.objects.create(self.kind, &self.name, json),
            Some(version) => state.objects.replace(self.kind, &self.name, version, json),
        };
        let written = with_timeout(call, CALL_TIMEOUT).await?;
        metrics::counter!("wasabi_gateway_origin_writes_total", "kind" => self.kind).increment(1);
        let (version, value) = match written {
            Written::Done(version) => (Some(version), Some(value)),
            Written::Conflict(found) => (found.map(|record| record.version), None),
        };
        let is_done = value.is_some();
        self.copy = Some(Copy { era, sent, version, value });
        Ok(is_done)
    }
}

/// Decodes the value of a stored object.
pub fn decode<T: DeserializeOwned>(value: Value) -> Result<T> {
    serde_json::from_value(value).map_err(|e| errors::internal(format!("stored object: {e}")))
}
