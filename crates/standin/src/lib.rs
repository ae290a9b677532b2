//! Stand-ins for the external systems, with fault injection, and helpers that run real host
//! processes against them. For tests, examples and benchmarks; never shipped.
#![forbid(unsafe_code)]

pub mod batch;
pub mod caller;
pub mod chaos;
pub mod engine;
pub mod faulty_store;
pub mod http;
pub mod objects;
pub mod platform;
pub mod process;
pub mod proxy;
pub mod rig;
pub mod sample;
pub mod service;
pub mod slopes;
