//! The formats of what hosts send each other and store, so that older and newer builds can run side by
//! side. `docs/PLATFORM-RUN.md` lists them.
//!
//! A format that only adds (fields with a default, or bytes at the end) gets the next number: builds that do
//! not know the addition read the rest. One that older builds would misread gets a number from
//! [`FIRST_OTHER_LAYOUT`] on, and is left unread by them.

use serde_json::{Map, Value};

use crate::{
    data,
    errors::{self, Result},
};

data! {
    /// The number of a format; 0 if none is stated, as by builds from before there were numbers.
    #[derive(Copy, Default, Eq, PartialOrd, Ord)]
    pub struct Format(pub u8);
}

/// What a host sends to its peers in datagrams.
pub const ANNOUNCEMENT: Format = Format(2);
/// What it says of a request that it hands to a peer.
pub const HANDOVER: Format = Format(1);
/// What a peer may fetch from it.
pub const PAGE: Format = Format(2);
/// The objects of the router's own kinds in the store.
pub const STORED: Format = Format(1);
/// From this number on, a format that this build does not know cannot be read.
const FIRST_OTHER_LAYOUT: u8 = 128;
/// The field that states the format of a JSON object.
const FIELD: &str = "format";

impl Format {
    /// Whether this build understands what it knows of the content. It knows all up to `known`.
    pub fn is_readable(self, known: Self) -> bool {
        self <= known || self.0 < FIRST_OTHER_LAYOUT
    }

    /// Fails if this build does not understand `what`, which has this format.
    pub fn check(self, known: Self, what: &str) -> Result<()> {
        match self.is_readable(known) {
            true => Ok(()),
            false => Err(errors::unavailable(format!("{what}: format {} is newer", self.0))),
        }
    }

    /// Returns the format that a JSON value states: an object itself, an array by its elements.
    pub fn of(value: &Value) -> Self {
        match value {
            Value::Object(fields) => fields.get(FIELD).map(Self::number).unwrap_or_default(),
            Value::Array(items) => items.iter().map(Self::of).max().unwrap_or_default(),
            _ => Self::default(),
        }
    }

    /// A number that is too large belongs to a format that this build does not know.
    fn number(stated: &Value) -> Self {
        Self(stated.as_u64().and_then(|number| u8::try_from(number).ok()).unwrap_or(u8::MAX))
    }

    /// Returns the JSON value with a statement of this format.
    pub fn stamp(self, mut value: Value) -> Value {
        let state = |fields: &mut Map<String, Value>| {
            fields.insert(FIELD.to_string(), Value::from(self.0));
        };
        match &mut value {
            Value::Object(fields) => state(fields),
            Value::Array(items) => {
                items.iter_mut().filter_map(Value::as_object_mut).for_each(state)
            }
            _ => {}
        }
        value
    }
}
