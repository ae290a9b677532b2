//! The process of one host: its settings, the wiring of its components, its background tasks and
//! its graceful shutdown.
#![forbid(unsafe_code)]

pub mod candidates;
pub mod components;
pub mod failure_detector;
pub mod host;
pub mod host_list;
pub mod operator;
pub mod servers;
pub mod settings;
pub mod status;
pub mod store_contact;
pub mod tasks;
