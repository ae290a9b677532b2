//! Counts this host's requests that run on each server, whichever host's scheduler granted them.

use std::{collections::HashMap, sync::Arc, time::Instant};

use parking_lot::Mutex;
use wasabi_core::units::{PoolId, RequestRate, ServerId, Tokens};
use wasabi_policy::{
    quarantine::Feature,
    ticket::{Outcome, Ticket},
};

use crate::dispatch::{Dispatch, Grant, GrantFuture, GrantHandle, Run};

/// Number of this host's running requests by server.
#[derive(Default)]
pub struct InFlightCounts {
    counts: Mutex<HashMap<ServerId, u32>>,
}

/// Wraps a [`Dispatch`] and counts each grant from the moment it is given until it ends.
pub struct CountingDispatch {
    inner: Arc<dyn Dispatch>,
    in_flight: Arc<InFlightCounts>,
}

struct CountedHandle {
    grant: Mutex<Option<Grant>>,
    server: ServerId,
    in_flight: Arc<InFlightCounts>,
}

impl InFlightCounts {
    /// Returns how many requests of this host run on `server`; 0 if it is unknown.
    pub fn count(&self, server: &ServerId) -> u32 {
        self.counts.lock().get(server).copied().unwrap_or(0)
    }

    fn increment(&self, server: &ServerId) {
        *self.counts.lock().entry(server.clone()).or_default() += 1;
    }

    fn decrement(&self, server: &ServerId) {
        let mut counts = self.counts.lock();
        let Some(count) = counts.get_mut(server) else { return };
        *count -= 1;
        if *count == 0 {
            counts.remove(server);
        }
    }
}

impl CountingDispatch {
    /// Wraps `inner`; its grants are counted in `in_flight`.
    pub fn new(inner: Arc<dyn Dispatch>, in_flight: Arc<InFlightCounts>) -> Self {
        Self { inner, in_flight }
    }
}

impl Dispatch for CountingDispatch {
    fn request_grant(&self, ticket: Ticket) -> GrantFuture<'_> {
        Box::pin(async move {
            let grant = self.inner.request_grant(ticket).await?;
            let (server, stop) = (grant.server.clone(), grant.stop.clone());
            self.in_flight.increment(&server.name);
            let handle = CountedHandle {
                grant: Mutex::new(Some(grant)),
                server: server.name.clone(),
                in_flight: self.in_flight.clone(),
            };
            Ok(Grant::new(server, stop, Box::new(handle)))
        })
    }
}

impl GrantHandle for CountedHandle {
    fn progress(&self, tokens: Tokens) {
        if let Some(grant) = self.grant.lock().as_ref() {
            grant.progress(tokens);
        }
    }

    fn limit(&self, _server: &ServerId, rate: Option<RequestRate>, sent: Instant) {
        if let Some(grant) = self.grant.lock().as_ref() {
            grant.report_limit(rate, sent);
        }
    }

    fn run(&self, pool: &PoolId, _server: &ServerId, features: &[Feature], run: Run) {
        if let Some(grant) = self.grant.lock().as_ref() {
            grant.report_run(pool, features, run);
        }
    }

    fn end(&self, outcome: Outcome) {
        if let Some(grant) = self.grant.lock().take() {
            grant.end(outcome);
            self.in_flight.decrement(&self.server);
        }
    }
}
