//! Thin HTTP adapters to the outside systems, one a file; `docs/PLATFORM.md` gives the format.
#![forbid(unsafe_code)]

pub mod billing;
pub mod http;
pub mod provider;
pub mod roster;
pub mod store;
