//! Calls between the hosts of the router: gossip of the configuration, and grants.
//!
//! A cell is a group of a pool's backend servers; its owner is the host that assigns requests to
//! them. A host that has a request for a cell sends a ticket, which describes the request, to the
//! owner. The owner answers with a grant, which names the server that runs the request, or refuses.
#![forbid(unsafe_code)]

pub mod client;
pub mod gossip;
pub mod grants;
pub mod rpc;
pub mod server;
