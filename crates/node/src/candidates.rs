//! Which hosts stand for a role, so that the store is not read by every host for every role.
//!
//! Three hosts picked by rendezvous hashing look at a role's lease every time; all others look
//! seldom, in case those three are lost together.

use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash as _, Hasher as _},
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use wasabi_core::{io::Host, units::Role};

const CANDIDATES: usize = 3;
/// How many times less often than a candidate another host looks.
const SELDOM: u32 = 20;

/// When this host last looked at each role.
#[derive(Default)]
pub struct Candidates {
    looked: Mutex<HashMap<Role, Instant>>,
}

impl Candidates {
    /// Returns whether the host `me` should look at the lease of `role` now; candidates look every
    /// `pause`.
    pub fn is_due(
        &self,
        now: Instant,
        role: &Role,
        me: &str,
        hosts: &[Host],
        pause: Duration,
    ) -> bool {
        let mut looked = self.looked.lock();
        let passed = looked.get(role).map(|last| now.saturating_duration_since(*last));
        let due = is_candidate(role, me, hosts) || passed.is_none_or(|p| p >= pause * SELDOM);
        if due {
            looked.insert(role.clone(), now);
        }
        due
    }
}

fn is_candidate(role: &Role, me: &str, hosts: &[Host]) -> bool {
    let weight = |name: &str| {
        let mut hasher = DefaultHasher::new();
        (role, name).hash(&mut hasher);
        hasher.finish()
    };
    let mine = weight(me);
    let ahead = hosts.iter().filter(|host| host.name.as_str() != me && !host.leaving);
    ahead.filter(|host| weight(host.name.as_str()) > mine).count() < CANDIDATES
}
