//! The keys of log entries.

use wasabi_core::units::Revision;

/// The key prefix of log entries.
pub const PREFIX: &str = "live/log/";

/// Returns the key of the log entry for `revision`.
pub fn key(revision: Revision) -> String {
    format!("{PREFIX}{:012}", revision.0)
}
