//! The limits of requests that servers name: recorded from answers and peers, and shared out.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use log::info;
use wasabi_belief::members;
use wasabi_core::{member::Member, units::RequestRate};
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

    /// Records that a server may have turned cold: it did not answer, or says so. Does nothing for servers of
    /// services whose cold servers are not limited.
    pub fn mark_maybe_cold(&self, member: &Member, cause: &str) {
        let Some((catalog, _)) = self.config() else { return };
        let service = catalog.services.get(member.service.as_str());
        if service.and_then(|service| service.cold_rate).is_none() {
            return;
        }
        if self.servers.borrow_mut().mark_maybe_cold(self.now(), member) {
            info!(server = member.id.as_str(), born_ms = member.born_ms, cause = cause;
                "backend server may be cold");
            self.share_limits();
        }
    }

    /// Updates this host's parts of the limits of all servers: those that they name, and those of cold
    /// servers.
    pub fn share_limits(&self) {
        let now = self.now();
        let Some((catalog, _)) = self.config() else { return };
        let cold_bound = self.settings.borrow().cold_bound.unwrap_or_default();
        let cold_rates: BTreeMap<&str, RequestRate> = catalog
            .services
            .iter()
            .filter_map(|(name, service)| {
                Some((name.as_str(), cold_bound.rate(service.cold_rate?)))
            })
            .collect();
        if self.limits.borrow().is_empty() && cold_rates.is_empty() {
            return;
        }
        let others = self.peers.borrow().may_send(now).cloned().collect();
        let fleet = Fleet::new(self.settings.borrow().host.clone(), others);
        let (limits, servers) = (self.limits.borrow(), self.servers.borrow());
        let limit_of = |member: &Member| {
            let cold = cold_rates.get(member.service.as_str()).copied();
            let cold = cold.filter(|_| servers.is_cold(member));
            let stated = limits.limit(&members::instance(member));
            match (stated, cold) {
                (Some(stated), Some(cold)) if stated.per_second() > cold.per_second() => Some(cold),
                (stated, cold) => stated.or(cold),
            }
        };
        for balancer in self.balancers.borrow_mut().values_mut() {
            balancer.share_limits(now, &fleet, limit_of);
        }
    }
}
