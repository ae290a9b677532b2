//! Calls between the hosts of the router.
#![forbid(unsafe_code)]

pub mod homes;
pub mod link;
pub mod rpc;
pub mod server;
pub mod spread;
