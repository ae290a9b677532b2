//! The configuration: release notes, the log of accepted ones, and the state they add up to.
#![forbid(unsafe_code)]

pub mod cell;
pub mod follow;
pub mod keys;
pub mod log;
pub mod parse;
pub mod snapshot;
pub mod state;
