//! The bodies of backend servers' answers: where their events end, and whether they are whole.
#![forbid(unsafe_code)]

pub mod broken;
pub mod events;
