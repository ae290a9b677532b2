//! HTTP adapters to the outside systems, one module each; `docs/PLATFORM.md` describes the formats.
#![forbid(unsafe_code)]

pub mod billing;
pub mod http;
pub mod provider;
pub mod roster;
pub mod store;
