//! Plain data types and traits shared by all crates of the router.
#![forbid(unsafe_code)]

pub mod call;
pub mod catalog;
pub mod catalog_check;
pub mod catalog_diff;
pub mod digest;
pub mod errors;
pub mod format;
pub mod io;
pub mod macros;
pub mod member;
pub mod note;
pub mod objects;
pub mod time;
pub mod units;
