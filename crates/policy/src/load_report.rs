//! Announcements by which hosts tell each other of their requests on the servers of one service.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use wasabi_core::units::ServerId;

/// What one host announces about its requests on one server.
///
/// It travels in a positional encoding: the order of the fields is part of the format.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that run there.
    pub running: u32,
    /// The light ones among them: those with short prompts.
    pub light: u32,
    /// Prompt tokens plus the maximum answer tokens of each of them.
    pub tokens: u64,
    /// Expected prefill milliseconds of the requests placed there since the last announcement, by
    /// urgency.
    pub added_ms: BTreeMap<u8, f64>,
    /// Id and tokens of the shared prompt parts, placed there since the last announcement, that the
    /// server was not expected to have cached.
    pub parts: Vec<(u64, u32)>,
}

/// Announcements that have not yet been sent to every peer, merged into one report for each server.
#[derive(Debug, Default)]
pub struct PendingReport(BTreeMap<ServerId, LoadReport>);

impl LoadReport {
    /// Merges a later announcement of the same host and server: counts are replaced, placements
    /// added.
    pub fn absorb(&mut self, later: &LoadReport) {
        self.running = later.running;
        self.light = later.light;
        self.tokens = later.tokens;
        for (urgency, ms) in &later.added_ms {
            *self.added_ms.entry(*urgency).or_default() += ms;
        }
        self.parts.extend_from_slice(&later.parts);
    }
}

impl PendingReport {
    /// Merges a later announcement; the host runs nothing any more on servers that it leaves out.
    pub fn absorb(&mut self, reports: &[(ServerId, LoadReport)]) {
        for report in self.0.values_mut() {
            (report.running, report.light, report.tokens) = (0, 0, 0);
        }
        for (server, report) in reports {
            self.0.entry(server.clone()).or_default().absorb(report);
        }
    }

    /// Returns the merged announcement, and leaves an empty one.
    pub fn take(&mut self) -> Vec<(ServerId, LoadReport)> {
        std::mem::take(&mut self.0).into_iter().collect()
    }
}
