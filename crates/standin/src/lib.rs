//! Stand-ins for the outside systems, for tests, examples and benchmarks; never shipped.
#![forbid(unsafe_code)]

pub mod batch;
pub mod caller;
pub mod chaos;
pub mod engine;
pub mod http;
pub mod model;
pub mod objects;
pub mod platform;
pub mod process;
pub mod proxy;
pub mod rig;
pub mod sample;
pub mod service;
pub mod slopes;
