//! Counts the requests that run on each server, whatever desk sent them there.

use std::{collections::HashMap, sync::Arc};

use parking_lot::Mutex;
use wasabi_core::units::{ServerId, Tokens};
use wasabi_policy::ticket::{Outcome, Ticket};

use crate::dispatch::{Asking, Dispatch, Grant, Seat};

/// Requests of this host by server.
#[derive(Default)]
pub struct Busy {
    counts: Mutex<HashMap<ServerId, u32>>,
}

/// A dispatch that counts what it grants.
pub struct Counted {
    inner: Arc<dyn Dispatch>,
    busy: Arc<Busy>,
}

struct CountedSeat {
    grant: Mutex<Option<Grant>>,
    server: ServerId,
    busy: Arc<Busy>,
}

impl Busy {
    /// Returns how many requests of this host run on `server`.
    pub fn on(&self, server: &ServerId) -> u32 {
        self.counts.lock().get(server).copied().unwrap_or(0)
    }

    fn enter(&self, server: &ServerId) {
        *self.counts.lock().entry(server.clone()).or_default() += 1;
    }

    fn leave(&self, server: &ServerId) {
        let mut counts = self.counts.lock();
        let Some(count) = counts.get_mut(server) else { return };
        *count -= 1;
        if *count == 0 {
            counts.remove(server);
        }
    }
}

impl Counted {
    /// Counts in `busy` what `inner` grants.
    pub fn new(inner: Arc<dyn Dispatch>, busy: Arc<Busy>) -> Self {
        Self { inner, busy }
    }
}

impl Dispatch for Counted {
    fn ask(&self, ticket: Ticket) -> Asking<'_> {
        Box::pin(async move {
            let grant = self.inner.ask(ticket).await?;
            let (server, stop) = (grant.server.clone(), grant.stop.clone());
            self.busy.enter(&server.name);
            let seat = CountedSeat {
                grant: Mutex::new(Some(grant)),
                server: server.name.clone(),
                busy: self.busy.clone(),
            };
            Ok(Grant::new(server, stop, Box::new(seat)))
        })
    }
}

impl Seat for CountedSeat {
    fn progress(&self, tokens: Tokens) {
        if let Some(grant) = self.grant.lock().as_ref() {
            grant.progress(tokens);
        }
    }

    fn end(&self, outcome: Outcome) {
        if let Some(grant) = self.grant.lock().take() {
            grant.end(outcome);
            self.busy.leave(&self.server);
        }
    }
}
