//! The limits of requests that servers name: recorded from answers and peers, and shared out.

use std::time::{Duration, Instant};

use log::info;
use wasabi_belief::members;
use wasabi_core::units::RequestRate;
use wasabi_policy::{pace::Fleet, stated_limits};

use crate::state::State;

impl State {
    /// Records the limit that an instance names in its answer to a request sent at `sent`, or that it
    /// names none.
    pub fn record_limit(
        &self,
        instance: members::Instance,
        rate: Option<RequestRate>,
        sent: Instant,
    ) {
        let now = self.now();
        if self.limits.borrow_mut().record_answer(now, instance.clone(), rate, sent) {
            self.apply_limit(&instance, "answer", Duration::ZERO);
        }
    }

    /// Logs a limit that has changed; `source` says from whom the host knows it, `age` how long ago
    /// the server stated it.
    fn apply_limit(&self, instance: &members::Instance, source: &str, age: Duration) {
        let rate = self.limits.borrow().limit(instance).map(RequestRate::per_second);
        info!(server = instance.0.as_str(), born_ms = instance.1, per_second = rate,
            source = source, age_ms = age.as_millis() as u64; "backend server's limit changed");
        self.share_limits();
    }

    /// Applies what a peer has heard of an instance's limit.
    pub fn merge_limit(&self, instance: members::Instance, stated: stated_limits::Statement) {
        if self.limits.borrow_mut().merge(instance.clone(), stated) {
            let age = self.now().saturating_duration_since(stated.at);
            self.apply_limit(&instance, "peer", age);
        }
    }

    /// Updates this host's parts of the limits of all servers.
    pub fn share_limits(&self) {
        if self.limits.borrow().is_empty() {
            return;
        }
        let now = self.now();
        let others = self.peers.borrow().may_send(now).cloned().collect();
        let fleet = Fleet::new(self.settings.borrow().host.clone(), others);
        let limits = self.limits.borrow();
        for balancer in self.balancers.borrow_mut().values_mut() {
            balancer.share_limits(now, &fleet, |member| limits.limit(&members::instance(member)));
        }
    }
}
