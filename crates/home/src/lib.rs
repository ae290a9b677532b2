//! Homes: each cell of backend servers is dispatched by one host at a time, and all others ask it.
#![forbid(unsafe_code)]

pub mod ask;
pub mod cell;
pub mod desk;
pub mod link;
pub mod live;
