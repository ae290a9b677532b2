//! What hosts tell each other of their requests on the servers of one service.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use wasabi_core::units::ServerId;

/// What one host announces of its requests on one server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Requests that run there.
    pub running: u32,
    /// Those of them that are light streams.
    pub light: u32,
    /// Tokens of prompts and answers that they hold.
    pub tokens: u64,
    /// Prefill time in milliseconds that was placed there since the last announcement, by urgency.
    pub added_ms: BTreeMap<u8, f64>,
    /// The shared parts of prompts that the server has to read for the first time, placed there since
    /// the last announcement.
    pub parts: Vec<(u64, u32)>,
}

/// What some peers have not been told yet, by server; several announcements are told them as one.
#[derive(Debug, Default)]
pub struct Untold(BTreeMap<ServerId, Share>);

impl Share {
    /// Takes in a later announcement of the same host and server.
    pub fn absorb(&mut self, later: &Share) {
        self.running = later.running;
        self.light = later.light;
        self.tokens = later.tokens;
        for (urgency, ms) in &later.added_ms {
            *self.added_ms.entry(*urgency).or_default() += ms;
        }
        self.parts.extend_from_slice(&later.parts);
    }
}

impl Untold {
    /// Takes in an announcement that others get; servers that it leaves out run nothing any more.
    pub fn absorb(&mut self, shares: &[(ServerId, Share)]) {
        for share in self.0.values_mut() {
            (share.running, share.light, share.tokens) = (0, 0, 0);
        }
        for (server, share) in shares {
            self.0.entry(server.clone()).or_default().absorb(share);
        }
    }

    /// Returns the announcement of all that was absorbed, and begins anew.
    pub fn take(&mut self) -> Vec<(ServerId, Share)> {
        std::mem::take(&mut self.0).into_iter().collect()
    }
}
