//! One host's process: settings, parts joined, and an orderly stop.
#![forbid(unsafe_code)]

pub mod candidates;
pub mod evidence;
pub mod logs;
pub mod operator;
pub mod registry;
pub mod roster;
pub mod servers;
pub mod settings;
pub mod status;
pub mod stop;
pub mod tasks;
