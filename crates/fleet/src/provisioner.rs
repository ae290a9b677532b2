//! Orders servers from the platform, one process at a time.
//!
//! The role is held under a lease whose takeover needs evidence: it changes hands only when its
//! holder has released it or there is evidence that the holder has ended, so a paused former holder
//! never orders beside a new one. Each order is preceded by an intent. A new holder first resolves
//! the open intents: an order that the platform shows as taken is recorded as taken; any other is
//! abandoned once messages in transit have had time to arrive, and is never sent again. A message
//! that the network delivers even later can still start one server too many; it then appears in the
//! platform's list and is drained like any surplus.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use wasabi_config::state::State;
use wasabi_core::{
    errors::{Code, Result},
    io::{Action, Order, Provider, ProvisionedServer, Store},
    note::Pool,
    time::Clock,
    units::{Epoch, PoolId, ServerId},
};
use wasabi_lease::{failure_detector::Process, holder::Lease};

use crate::{
    intent::{self, Intent, Progress},
    plan::{Demand, Inventory, Options, Planner, Step},
    publish,
    view::Listing,
};

/// What all hosts together report about demand and draining servers.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    /// The demand for each pool, summed over all hosts.
    pub demand: BTreeMap<PoolId, Demand>,
    /// Draining servers that get no new work from any host and run no request.
    pub drained: BTreeSet<ServerId>,
}

/// Orders servers while this process holds the role.
pub struct Provisioner {
    store: Arc<dyn Store>,
    provider: Arc<dyn Provider>,
    clock: Arc<dyn Clock>,
    lease: Arc<Lease>,
    me: Process,
    /// How long a message to the platform may be in transit.
    max_transit: Duration,
    options: Options,
    /// Locked from the check of the lease until the order has been answered.
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    /// The epoch in which all inherited intents have been resolved.
    resolved_in: Option<Epoch>,
    /// The number of the last intent of the epoch.
    last_number: u64,
    /// When this process first saw each intent in its present state, open or taken.
    first_seen: BTreeMap<String, Instant>,
    planners: BTreeMap<PoolId, Planner>,
    /// Set once the role has been released.
    released: bool,
}

impl Provisioner {
    /// Creates a provisioner that orders under `lease`; `max_transit` is how long a message to the
    /// platform may be in transit.
    pub fn new(
        store: Arc<dyn Store>,
        provider: Arc<dyn Provider>,
        clock: Arc<dyn Clock>,
        lease: Arc<Lease>,
        me: Process,
        max_transit: Duration,
        options: Options,
    ) -> Self {
        let inner = Mutex::default();
        Self { store, provider, clock, lease, me, max_transit, options, inner }
    }

    /// Resolves open intents, then sends at most one order or marks one server as draining per
    /// pool. Sends nothing while intents inherited from a former epoch are open, and does nothing
    /// if the lease is not held.
    pub fn step(&self, state: &State, reports: &Reports) -> Result<()> {
        let mut inner = self.inner.lock();
        let Some(epoch) = self.lease.epoch().filter(|_| !inner.released) else { return Ok(()) };
        let intents = intent::all(&*self.store)?;
        let open = self.resolve_open(&mut inner, &intents)?;
        if inner.resolved_in != Some(epoch) {
            if open > 0 {
                return Ok(());
            }
            inner.resolved_in = Some(epoch);
            inner.last_number = 0;
        }
        intent::trim(&*self.store, &intents)?;
        let rented = self.provider.servers()?;
        self.resolve_accepted(&mut inner, &intents, &rented)?;
        let listings = publish::read(&*self.store)?;
        for slot in state.pools.values() {
            let pool = &slot.object;
            let listing = listings.get(&pool.name).map(|(_, listing)| listing.clone());
            let listing = listing.unwrap_or_default();
            self.step_pool(&mut inner, epoch, pool, reports, &rented, &listing, &intents)?;
        }
        Ok(())
    }

    /// Releases the role. Waits for an order in progress; none is sent afterwards.
    pub fn release(&self) -> Result<()> {
        self.inner.lock().released = true;
        self.lease.release()
    }

    /// Resolves the open intents whose outcome is known or whose time is over; returns how many
    /// stay open.
    fn resolve_open(&self, inner: &mut Inner, intents: &[Intent]) -> Result<usize> {
        let now = self.clock.now();
        let mut still_open = 0;
        let open = intents.iter().filter(|intent| intent.record.progress == Progress::Open);
        for intent in open {
            let name = &intent.record.order.intent;
            let since = *inner.first_seen.entry(name.clone()).or_insert(now);
            if self.provider.is_accepted(name)? {
                intent::record_outcome(&*self.store, intent, Progress::Taken)?;
            } else if now.saturating_duration_since(since) >= self.max_transit {
                intent::record_outcome(&*self.store, intent, Progress::Abandoned)?;
            } else {
                still_open += 1;
                continue;
            }
            inner.first_seen.remove(name);
        }
        Ok(still_open)
    }

    /// Marks as done the accepted orders whose effect shows, and as abandoned those that this process
    /// first saw accepted `EFFECT_TIMEOUT` ago or earlier.
    fn resolve_accepted(
        &self,
        inner: &mut Inner,
        intents: &[Intent],
        rented: &[ProvisionedServer],
    ) -> Result<()> {
        let now = self.clock.now();
        let taken = intents.iter().filter(|intent| intent.record.progress == Progress::Taken);
        for intent in taken {
            let name = &intent.record.order.intent;
            let since = *inner.first_seen.entry(name.clone()).or_insert(now);
            let waited = now.saturating_duration_since(since);
            let Some(progress) = intent.record.outcome(rented, waited) else { continue };
            intent::record_outcome(&*self.store, intent, progress)?;
            inner.first_seen.remove(name);
        }
        Ok(())
    }

    #[expect(clippy::too_many_arguments, reason = "one pool's whole situation")]
    fn step_pool(
        &self,
        inner: &mut Inner,
        epoch: Epoch,
        pool: &Pool,
        reports: &Reports,
        rented: &[ProvisionedServer],
        listing: &Listing,
        intents: &[Intent],
    ) -> Result<()> {
        let rented: Vec<ProvisionedServer> =
            rented.iter().filter(|rented| rented.pool == pool.name).cloned().collect();
        let stoppable = listing
            .draining
            .iter()
            .find(|name| reports.drained.contains(*name) && !has_stop_order(intents, name));
        if let Some(server) = stoppable {
            let stop = Action::Stop { server: server.clone() };
            return self.order(inner, epoch, pool, stop);
        }
        let inventory = Inventory {
            pending_starts: pending_starts(intents, &rented, &pool.name),
            draining: &listing.draining,
            rented: &rented,
        };
        let demand = reports.demand.get(&pool.name).copied().unwrap_or_default();
        let now = self.clock.now();
        let planner = inner.planners.entry(pool.name.clone()).or_default();
        match planner.step(now, &self.options, pool, demand, &inventory) {
            None => Ok(()),
            Some(Step::Drain(server)) => publish::mark_draining(&*self.store, &pool.name, &server),
            Some(Step::Order(action)) => self.order(inner, epoch, pool, action),
        }
    }

    /// Writes the intent, checks the lease again, and sends the order.
    fn order(&self, inner: &mut Inner, epoch: Epoch, pool: &Pool, action: Action) -> Result<()> {
        inner.last_number += 1;
        let order = Order {
            intent: intent::name(epoch, inner.last_number),
            epoch,
            holder: self.me.incarnation.clone(),
            pool: pool.name.clone(),
            action,
        };
        let intent = intent::open(&*self.store, &order)?;
        self.lease.require()?;
        match self.provider.order(&order) {
            Ok(()) => intent::record_outcome(&*self.store, &intent, Progress::Taken),
            Err(e) if e.code == Code::PlatformRefused => {
                if let Action::Start { domain, reclaimable: true } = &order.action {
                    let now = self.clock.now();
                    let planner = inner.planners.entry(pool.name.clone()).or_default();
                    planner.exclude_domain(now, &self.options, domain);
                }
                intent::record_outcome(&*self.store, &intent, Progress::Refused)
            }
            Err(e) => Err(e),
        }
    }
}

/// Counts the start orders of `pool` that were or may have been accepted and whose servers are not
/// listed yet.
fn pending_starts(intents: &[Intent], rented: &[ProvisionedServer], pool: &PoolId) -> u32 {
    let starts = intents.iter().filter(|intent| {
        let order = &intent.record.order;
        let is_pending = matches!(intent.record.progress, Progress::Open | Progress::Taken);
        is_pending && order.pool == *pool && matches!(order.action, Action::Start { .. })
    });
    starts.filter(|intent| !intent.record.shows_effect(rented)).count() as u32
}

/// Whether a stop of `server` is open, or was accepted.
fn has_stop_order(intents: &[Intent], server: &ServerId) -> bool {
    intents.iter().any(|intent| {
        let is_stop =
            matches!(&intent.record.order.action, Action::Stop { server: s } if s == server);
        let progress = intent.record.progress;
        is_stop && matches!(progress, Progress::Open | Progress::Taken | Progress::Done)
    })
}
