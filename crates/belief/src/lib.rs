//! What a host believes, on what evidence and for how long. No I/O; time is passed in.
#![forbid(unsafe_code)]

pub mod beat;
pub mod catalog;
pub mod counts;
pub mod fleet;
pub mod lease;
pub mod members;
pub mod peers;
pub mod truth;
