//! Guards that undo on drop what a request, a connection or a placement has counted.

use std::{cell::Cell, rc::Rc, time::Duration};

use wasabi_core::units::PoolId;
use wasabi_policy::balancer::{Balancer, End, Placement};

use crate::state::State;

/// Counts a request or connection as open until it is dropped.
pub struct CountGuard {
    state: Rc<State>,
    counter: fn(&State) -> &Cell<usize>,
}

impl CountGuard {
    /// Counts into `running_requests`.
    pub fn request(state: &Rc<State>) -> Self {
        Self::new(state, |state| &state.running_requests)
    }

    /// Counts into `open_connections`.
    pub fn connection(state: &Rc<State>) -> Self {
        Self::new(state, |state| &state.open_connections)
    }

    fn new(state: &Rc<State>, counter: fn(&State) -> &Cell<usize>) -> Self {
        counter(state).update(|open| open + 1);
        Self { state: state.clone(), counter }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        (self.counter)(&self.state).update(|open| open - 1);
    }
}

/// Holds a request's place on a backend server; dropping it frees the place and reports `end`.
pub struct PlacementGuard {
    state: Rc<State>,
    service: PoolId,
    /// The server and the expectations that the request was placed with.
    pub placement: Placement,
    /// How the request ended; [`End::Abandoned`] until that is known.
    pub end: End,
}

impl PlacementGuard {
    /// Guards a place that the balancer of `service` has just assigned.
    pub fn new(state: Rc<State>, service: PoolId, placement: Placement) -> Self {
        Self { state, service, placement, end: End::Abandoned }
    }

    /// Returns the time from now until the request counts as stuck if it shows no progress.
    pub fn time_until_stuck(&self) -> Duration {
        let now = self.state.now();
        let balancers = self.state.balancers.borrow();
        let limit = balancers
            .get(&self.service)
            .map(|balancer| balancer.stuck_timeout(now, &self.placement));
        let waited = now.saturating_duration_since(self.placement.since);
        limit.map_or(Duration::MAX, |limit| limit.saturating_sub(waited))
    }

    /// Runs `action` on the balancer of the service.
    pub fn with_balancer(&self, action: impl FnOnce(&mut Balancer, &Placement)) {
        if let Some(balancer) = self.state.balancers.borrow_mut().get_mut(&self.service) {
            action(balancer, &self.placement);
        }
    }
}

impl Drop for PlacementGuard {
    fn drop(&mut self) {
        let (now, end) = (self.state.now(), self.end);
        self.with_balancer(|balancer, placement| balancer.end(now, placement, end));
    }
}
