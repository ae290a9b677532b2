//! Receives requests of callers and writes their responses.

pub mod admit;
pub mod buffers;
pub mod listener;
pub mod peer_body;
pub mod request;
pub mod request_body;
pub mod request_log;
pub mod response;
pub mod slow_callers;
