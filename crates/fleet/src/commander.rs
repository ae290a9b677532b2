//! Gives orders, one process at a time.
//!
//! The role is an exact lease: it changes hands only when its holder has given it back or there is
//! evidence that the holder has ended, so two processes that both believe they hold it never both
//! order. Each order is preceded by an intent. A new holder first settles the intents that stand
//! open: what the platform shows as taken is taken; the rest is abandoned, once messages that were
//! under way have had time to arrive, and never sent again. What remains possible: a message that
//! the network delivers even later starts a server too many, which then shows in the platform's
//! list and is drained like any surplus.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use wasabi_config::state::State;
use wasabi_core::{
    errors::{Code, Result},
    io::{Action, Order, Provider, Rented, Store},
    note::Pool,
    time::Clock,
    units::{Epoch, PoolId, ServerId},
};
use wasabi_lease::{holder::Lease, witness::Process};

use crate::{
    intent::{self, Intent, Progress},
    plan::{Demand, Options, Planner, Step, Stock},
    publish,
    view::Listing,
};

/// A taken order that shows no effect for this long has failed.
const BOOT_LIMIT: Duration = Duration::from_secs(900);

/// What the hosts say of the demand and of the servers that are being drained.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    /// The demand of each pool over all hosts.
    pub demand: BTreeMap<PoolId, Demand>,
    /// Servers that every host has stopped giving work to, and on which no request runs.
    pub idle: BTreeSet<ServerId>,
}

/// Orders servers while its process holds the role.
pub struct Commander {
    store: Arc<dyn Store>,
    provider: Arc<dyn Provider>,
    clock: Arc<dyn Clock>,
    lease: Arc<Lease>,
    me: Process,
    /// How long a message may be under way.
    flight: Duration,
    options: Options,
    /// Held from the look at the lease until the order has been answered.
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    /// The epoch whose inherited intents are settled.
    settled: Option<Epoch>,
    /// The number of the next intent of the epoch.
    next: u64,
    /// When each open intent was first seen by this process.
    open_since: BTreeMap<String, Instant>,
    planners: BTreeMap<PoolId, Planner>,
    /// Set once the role is given back.
    closed: bool,
}

impl Commander {
    /// Gets a commander that orders under `lease`.
    pub fn new(
        store: Arc<dyn Store>,
        provider: Arc<dyn Provider>,
        clock: Arc<dyn Clock>,
        lease: Arc<Lease>,
        me: Process,
        flight: Duration,
        options: Options,
    ) -> Self {
        let inner = Mutex::default();
        Self { store, provider, clock, lease, me, flight, options, inner }
    }

    /// Settles what is open, then gives at most one order a pool.
    pub fn step(&self, state: &State, reports: &Reports) -> Result<()> {
        let mut inner = self.inner.lock();
        let Some(epoch) = self.lease.epoch().filter(|_| !inner.closed) else { return Ok(()) };
        let intents = intent::all(&*self.store)?;
        let open = self.settle(&mut inner, &intents)?;
        if inner.settled != Some(epoch) {
            if open > 0 {
                return Ok(());
            }
            inner.settled = Some(epoch);
            inner.next = 0;
        }
        intent::trim(&*self.store, &intents)?;
        let rented = self.provider.servers()?;
        self.mark_done(&mut inner, &intents, &rented)?;
        let listings = publish::read(&*self.store)?;
        for slot in state.pools.values() {
            let pool = &slot.object;
            let listing = listings.get(&pool.name).map(|(_, listing)| listing.clone());
            let listing = listing.unwrap_or_default();
            self.step_pool(&mut inner, epoch, pool, reports, &rented, &listing, &intents)?;
        }
        Ok(())
    }

    /// Gives the role back; no order is under way afterwards.
    pub fn release(&self) -> Result<()> {
        self.inner.lock().closed = true;
        self.lease.release()
    }

    /// Returns how many intents stay open.
    fn settle(&self, inner: &mut Inner, intents: &[Intent]) -> Result<usize> {
        let now = self.clock.now();
        let mut left = 0;
        let open = intents.iter().filter(|intent| intent.record.progress == Progress::Open);
        for intent in open {
            let name = &intent.record.order.intent;
            let since = *inner.open_since.entry(name.clone()).or_insert(now);
            if self.provider.taken(name)? {
                intent::settle(&*self.store, intent, Progress::Taken)?;
            } else if now.saturating_duration_since(since) >= self.flight {
                intent::settle(&*self.store, intent, Progress::Abandoned)?;
            } else {
                left += 1;
                continue;
            }
            inner.open_since.remove(name);
        }
        Ok(left)
    }

    /// Marks taken orders whose effect shows, and gives up those that never show one.
    fn mark_done(&self, inner: &mut Inner, intents: &[Intent], rented: &[Rented]) -> Result<()> {
        let now = self.clock.now();
        let taken = intents.iter().filter(|intent| intent.record.progress == Progress::Taken);
        for intent in taken {
            let name = &intent.record.order.intent;
            let since = *inner.open_since.entry(name.clone()).or_insert(now);
            let progress = match &intent.record.order.action {
                _ if now.saturating_duration_since(since) >= BOOT_LIMIT => Progress::Abandoned,
                Action::Start { .. } if shows(rented, name) => Progress::Done,
                Action::Stop { server } if !rented.iter().any(|r| r.server.name == *server) => {
                    Progress::Done
                }
                _ => continue,
            };
            intent::settle(&*self.store, intent, progress)?;
            inner.open_since.remove(name);
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
        rented: &[Rented],
        listing: &Listing,
        intents: &[Intent],
    ) -> Result<()> {
        let rented: Vec<Rented> =
            rented.iter().filter(|rented| rented.pool == pool.name).cloned().collect();
        let leaving = listing
            .draining
            .iter()
            .find(|name| reports.idle.contains(*name) && !is_stopped(intents, name));
        if let Some(server) = leaving {
            let stop = Action::Stop { server: server.clone() };
            return self.order(inner, epoch, pool, stop);
        }
        let stock = Stock {
            coming: coming(intents, &rented, &pool.name),
            draining: &listing.draining,
            rented: &rented,
        };
        let demand = reports.demand.get(&pool.name).copied().unwrap_or_default();
        let now = self.clock.now();
        let planner = inner.planners.entry(pool.name.clone()).or_default();
        match planner.step(now, &self.options, pool, demand, &stock) {
            None => Ok(()),
            Some(Step::Drain(server)) => publish::drain(&*self.store, &pool.name, &server),
            Some(Step::Order(action)) => self.order(inner, epoch, pool, action),
        }
    }

    /// Writes the intent, looks at the lease once more, and sends the order.
    fn order(&self, inner: &mut Inner, epoch: Epoch, pool: &Pool, action: Action) -> Result<()> {
        inner.next += 1;
        let order = Order {
            intent: intent::name(epoch, inner.next),
            epoch,
            holder: self.me.incarnation.clone(),
            pool: pool.name.clone(),
            action,
        };
        let intent = intent::open(&*self.store, &order)?;
        self.lease.require()?;
        match self.provider.order(&order) {
            Ok(()) => intent::settle(&*self.store, &intent, Progress::Taken),
            Err(e) if e.code == Code::PlatformRefused => {
                if let Action::Start { domain, cheap: true } = &order.action {
                    let now = self.clock.now();
                    let planner = inner.planners.entry(pool.name.clone()).or_default();
                    planner.bar(now, &self.options, domain);
                }
                intent::settle(&*self.store, &intent, Progress::Refused)
            }
            Err(e) => Err(e),
        }
    }
}

/// Counts starts that were taken, or may have been, and do not show yet.
fn coming(intents: &[Intent], rented: &[Rented], pool: &PoolId) -> u32 {
    let starts = intents.iter().filter(|intent| {
        let order = &intent.record.order;
        let may_come = matches!(intent.record.progress, Progress::Open | Progress::Taken);
        may_come && order.pool == *pool && matches!(order.action, Action::Start { .. })
    });
    starts.filter(|intent| !shows(rented, &intent.record.order.intent)).count() as u32
}

fn shows(rented: &[Rented], intent: &str) -> bool {
    rented.iter().any(|rented| rented.intent.as_deref() == Some(intent))
}

fn is_stopped(intents: &[Intent], server: &ServerId) -> bool {
    intents.iter().any(|intent| {
        let stops =
            matches!(&intent.record.order.action, Action::Stop { server: s } if s == server);
        let progress = intent.record.progress;
        stops && matches!(progress, Progress::Open | Progress::Taken | Progress::Done)
    })
}
