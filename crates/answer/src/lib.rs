//! The bodies of answers: where their events end, whether they are whole, and how they are passed on.
#![forbid(unsafe_code)]

pub mod body;
pub mod broken;
pub mod connection;
pub mod events;
pub mod evidence;
pub mod head_limit;
pub mod joined;
pub mod whole;
