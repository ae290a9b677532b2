//! Leases on roles that one host at a time holds, and evidence that a holder has ended.
#![forbid(unsafe_code)]

pub mod failure_detector;
pub mod holder;
