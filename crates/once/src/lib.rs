//! At-most-once execution of calls that may not be repeated.
//!
//! A call is claimed in the object API before any byte of it is sent, and its outcome is recorded
//! afterwards. A claim carries a random token, so that a host which got no answer to its write can
//! tell its own claim from another's. A claim whose owner has ended without recording an outcome
//! becomes `Unknown`, and its call is never run again.
#![forbid(unsafe_code)]

pub mod claims;
pub mod record;
