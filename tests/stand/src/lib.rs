//! Stand-ins for the users' platform, for tests that run the real program: the store, the
//! interface for duties, backend servers, callers, and a proxy that harms connections.
#![forbid(unsafe_code)]

pub mod caller;
pub mod duties;
pub mod gateway;
pub mod net;
pub mod proxy;
pub mod raw;
pub mod rig;
pub mod server;
pub mod soak;
pub mod store;
