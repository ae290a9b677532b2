//! Test doubles for integration tests of `wasabirouter gateway`: the platform's object store and
//! duties interface, backend servers, callers, and a TCP proxy that injects network faults.
#![forbid(unsafe_code)]

pub mod caller;
pub mod cut;
pub mod duties;
pub mod fleet;
pub mod gateway;
pub mod link;
pub mod net;
pub mod process;
pub mod proxy;
pub mod rig;
pub mod scripted;
pub mod server;
pub mod soak;
pub mod store;
