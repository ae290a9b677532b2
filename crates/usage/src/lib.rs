//! Usage: counted on every host, flushed often, sealed into windows, reported once.
#![forbid(unsafe_code)]

pub mod counter;
pub mod flush;
pub mod window;
