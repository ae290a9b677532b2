//! Usage accounting: every host counts and flushes its counts to the store; one host seals them
//! into usage windows and reports each window once.
#![forbid(unsafe_code)]

pub mod counter;
pub mod flush;
pub mod window;
