//! Sends requests to backend servers, or hands them to a peer that reaches these.

pub mod attempt;
pub mod cause;
pub mod closed_end;
pub mod connection_pool;
pub mod continuation;
pub mod event_gaps;
pub mod events;
pub mod handover;
pub mod history;
pub mod identity;
pub mod link_watch;
pub mod origin;
pub mod overload;
pub mod peer_relay;
pub mod placement;
pub mod quarantine;
pub mod relay;
pub mod sending;
pub mod stream;
