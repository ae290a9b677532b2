//! Plain types and traits that every other crate of the router builds on.
#![forbid(unsafe_code)]

pub mod errors;
pub mod io;
pub mod macros;
pub mod note;
pub mod time;
pub mod units;
