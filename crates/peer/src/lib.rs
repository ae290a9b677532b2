//! Calls between the hosts of the router.
#![forbid(unsafe_code)]

pub mod client;
pub mod gossip;
pub mod grants;
pub mod rpc;
pub mod server;
