//! Limits which hosts check the lease of a role, so that not every host reads the store for every
//! role.
//!
//! Three candidates, chosen by rendezvous hashing, check a role's lease each time. All other hosts
//! check it rarely, in case the three are lost together.

use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash as _, Hasher as _},
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use wasabi_core::{io::Host, units::Role};

const CANDIDATES_PER_ROLE: usize = 3;
/// A host that is no candidate checks a lease after this many intervals.
const NON_CANDIDATE_INTERVALS: u32 = 20;

/// When this host last checked the lease of each role.
#[derive(Default)]
pub struct LeaseChecks {
    last_checks: Mutex<HashMap<Role, Instant>>,
}

impl LeaseChecks {
    /// Returns whether the host `own_name` should check the lease of `role` at `now`, and if so,
    /// records the check. Candidates always should; other hosts after 20 times `interval`.
    pub fn take_due(
        &self,
        now: Instant,
        role: &Role,
        own_name: &str,
        hosts: &[Host],
        interval: Duration,
    ) -> bool {
        let mut last_checks = self.last_checks.lock();
        let elapsed = last_checks.get(role).map(|last| now.saturating_duration_since(*last));
        let due = is_candidate(role, own_name, hosts)
            || elapsed.is_none_or(|elapsed| elapsed >= interval * NON_CANDIDATE_INTERVALS);
        if due {
            last_checks.insert(role.clone(), now);
        }
        due
    }
}

fn is_candidate(role: &Role, own_name: &str, hosts: &[Host]) -> bool {
    let weight = |name: &str| {
        let mut hasher = DefaultHasher::new();
        (role, name).hash(&mut hasher);
        hasher.finish()
    };
    let own_weight = weight(own_name);
    let others = hosts.iter().filter(|host| host.name.as_str() != own_name && !host.leaving);
    others.filter(|host| weight(host.name.as_str()) > own_weight).count() < CANDIDATES_PER_ROLE
}
