//! Configuration: release notes, the log of accepted notes, and the state that results from it.
#![forbid(unsafe_code)]

pub mod current;
pub mod follow;
pub mod keys;
pub mod log;
pub mod log_key;
pub mod parse;
pub mod snapshot;
pub mod state;
