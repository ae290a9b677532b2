//! Leases on roles that one host at a time should hold, and evidence that a holder is gone.
#![forbid(unsafe_code)]

pub mod holder;
pub mod witness;
