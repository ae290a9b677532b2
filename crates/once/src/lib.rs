//! At-most-once execution of calls that may not be repeated.
//!
//! A call is claimed in the object API before any byte of it leaves, and its outcome is recorded
//! after. A claim bears a random token, so a host whose answer was lost can tell its own claim from
//! another's. A claim whose owner has ended without recording an outcome becomes `Unknown` and is
//! never run again.
#![forbid(unsafe_code)]

pub mod answer;
pub mod table;
