//! Test doubles of the platform for integration tests that run the gateway binary: the object
//! store, the duties interface, backend servers, callers, and a TCP proxy that injects network
//! faults.
#![forbid(unsafe_code)]

pub mod caller;
pub mod duties;
pub mod gateway;
pub mod net;
pub mod proxy;
pub mod rig;
pub mod scripted;
pub mod server;
pub mod soak;
pub mod store;
