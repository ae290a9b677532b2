//! Backend servers that come and go: what the platform runs, what is ordered, what is given back.
#![forbid(unsafe_code)]

pub mod commander;
pub mod intent;
pub mod plan;
pub mod publish;
pub mod view;
