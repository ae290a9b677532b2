//! Cell ownership: each cell of backend servers is dispatched by one host, its owner, and
//! the other hosts ask the owner for grants.
#![forbid(unsafe_code)]

pub mod cell;
pub mod dispatcher;
pub mod grant_client;
pub mod live;
pub mod remote_grants;
