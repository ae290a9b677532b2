//! Answers: whether their heads are valid, where their events end, whether they are whole, and how
//! they are passed on.
#![forbid(unsafe_code)]

pub mod body;
pub mod broken;
pub mod connection;
pub mod events;
pub mod evidence;
pub mod head_limit;
pub mod response_head;
pub mod whole;
