//! The gateway process, one per entry host: accepts callers' requests, places them on backend
//! servers and relays the responses. All tasks run on one thread.
#![forbid(unsafe_code)]

pub mod admit;
pub mod attempt;
pub mod buffers;
pub mod cause;
pub mod closed_end;
pub mod connection_pool;
pub mod continuation;
pub mod duty;
pub mod echo;
pub mod envelope;
pub mod events;
pub mod facts;
pub mod gossip;
pub mod guard;
pub mod handover;
pub mod history;
pub mod incoming;
pub mod lateness;
pub mod limits;
pub mod link_watch;
pub mod listener;
pub mod operator;
pub mod orders;
pub mod origin;
pub mod origin_store;
pub mod peer_body;
pub mod peer_fetch;
pub mod peer_relay;
pub mod placement;
pub mod quarantine;
pub mod refresh;
pub mod relay;
pub mod request;
pub mod request_log;
pub mod response;
pub mod restore;
pub mod run;
pub mod sending;
pub mod settings;
pub mod state;
pub mod stream;
pub mod usage;
