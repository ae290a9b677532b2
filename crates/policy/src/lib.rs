//! Admission and dispatch without I/O: events go in, decisions come out, time is passed in.
#![forbid(unsafe_code)]

pub mod balancer;
pub mod capacity;
pub mod failures;
pub mod limits;
pub mod load_report;
pub mod moving_average;
pub mod prefix_cache;
pub mod queue;
pub mod repeat_budget;
pub mod reservation;
pub mod retry_budget;
pub mod scheduler;
mod server_state;
pub mod servers;
pub mod stuck;
pub mod ticket;
pub mod wait_limit;
