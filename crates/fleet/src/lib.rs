//! Elastic backend servers: the platform's list of them, orders to start and stop them, and
//! draining.
#![forbid(unsafe_code)]

pub mod intent;
pub mod plan;
pub mod provisioner;
pub mod publish;
pub mod view;
