//! Calls between the hosts of the router.
#![forbid(unsafe_code)]

pub mod gossip;
pub mod grants;
pub mod link;
pub mod rpc;
pub mod server;
