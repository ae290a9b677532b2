//! Admission and dispatch without I/O: events go in, decisions come out, time is passed in.
#![forbid(unsafe_code)]

pub mod budget;
pub mod desk;
pub mod estimate;
pub mod limits;
pub mod queue;
pub mod servers;
pub mod ticket;
