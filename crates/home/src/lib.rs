//! Cell ownership: each cell of backend servers is dispatched by one host, its owner (home), and
//! the other hosts ask the owner for grants.
#![forbid(unsafe_code)]

pub mod ask;
pub mod cell;
pub mod desk;
pub mod link;
pub mod live;
