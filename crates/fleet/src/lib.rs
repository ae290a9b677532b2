//! Elastic backend servers: the platform's list of them, orders to start and stop them, and
//! draining.
#![forbid(unsafe_code)]

pub mod commander;
pub mod intent;
pub mod plan;
pub mod publish;
pub mod view;
