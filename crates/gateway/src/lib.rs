//! The gateway process, one per entry host: accepts callers' requests, places them on backend
//! servers and relays the responses. All tasks run on one thread.
#![forbid(unsafe_code)]

pub mod duties;
pub mod guard;
pub mod lateness;
pub mod operator;
pub mod receive;
pub mod run;
pub mod send;
pub mod settings;
pub mod share;
pub mod state;
