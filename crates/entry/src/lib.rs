//! The caller-facing HTTP front end: validates requests, obtains a server for each from the
//! scheduler, and relays the answer.
#![forbid(unsafe_code)]

pub mod at_most_once;
pub mod backend_call;
pub mod body;
pub mod buffered;
pub mod chat;
pub mod context;
pub mod dispatch;
pub mod head;
pub mod in_flight;
pub mod job;
pub mod key;
pub mod listener;
pub mod prepare;
pub mod request_end;
pub mod response;
pub mod running;
pub mod serve;
pub mod sse;
pub mod stream;
