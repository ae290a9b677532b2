//! Admission and dispatch without I/O: events go in, decisions come out, time is passed in.
//!
//! Two independent parts choose servers: [`scheduler`] queues the tickets of pools and grants them
//! slots by class and workspace, with [`ticket`], [`queue`], [`servers`] and [`limits`];
//! [`balancer`] places the requests of a service at once or refuses them, with `server_state`, `server_speed`,
//! [`engine_speed`], [`load_report`], [`reservation`], [`prefix_cache`], [`failures`], [`pause`],
//! [`stuck`] and [`wait_limit`].
//! [`overload`] decides who is refused first when a service is short of capacity, by [`fair_share`], and when
//! callers return, by [`return_times`].
//! [`capacity`] plans how many servers to order; [`repeat_budget`] and [`retry_budget`] bound
//! repeated sends; [`quarantine`] finds requests that crash servers; [`slow_callers`] ends connections whose callers
//! do not read.
#![forbid(unsafe_code)]

pub mod balancer;
mod brittle;
pub mod capacity;
pub mod engine_speed;
pub mod facts;
pub mod failures;
pub mod fair_share;
pub mod limits;
pub mod load_report;
pub mod moving_average;
pub mod overload;
pub mod pace;
pub mod pause;
pub mod placement;
pub mod prefix_cache;
pub mod quarantine;
pub mod queue;
pub mod repeat_budget;
pub mod reservation;
pub mod retry_budget;
pub mod return_times;
pub mod scheduler;
mod server_speed;
mod server_state;
pub mod servers;
pub mod slow_callers;
pub mod stated_limits;
pub mod stuck;
pub mod ticket;
pub mod wait_limit;
