//! A host's view of the cluster: configuration, backend servers, peers, time, request counts and
//! the lease on the duties. Performs no I/O; callers pass the time in.
#![forbid(unsafe_code)]

pub mod announcement;
pub mod catalog;
pub mod cluster_clock;
pub mod counts;
pub mod era;
pub mod facts;
pub mod forwarders;
pub mod host_record;
pub mod lease;
pub mod link;
pub mod members;
pub mod origins;
pub mod peers;
pub mod renewal;
pub mod seals;
pub mod version_record;
