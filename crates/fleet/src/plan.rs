//! Autoscaling policy: decides which servers a pool should have. Performs no I/O.
//!
//! Scaling up follows the present demand at once, since a server takes long to boot. Scaling down
//! follows the peak demand of a recent period, so that a short lull does not give up servers that
//! are needed again soon. Reclaimable servers can vanish at any time: if those of any one failure
//! domain are lost, enough slots must remain for the upper tiers.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use wasabi_core::{
    data,
    io::{Action, Phase, ProvisionedServer},
    note::{Pool, ScalingBounds},
    units::{Domain, ServerId},
};

/// How many of the highest tiers must still be served after the loss of a domain's reclaimable
/// servers.
const UPPER_TIERS: usize = 2;
const TIERS: usize = 4;

data! {
    /// The number of slots that requests hold or wait for, by tier.
    #[derive(Copy, Default)]
    pub struct Demand {
        /// From the highest tier to the lowest.
        pub tiers: [u32; TIERS],
    }
}

/// Parameters of the planner.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Spare slots, as a fraction of the demand.
    pub spare: f64,
    /// Scaling down follows the peak demand of this period.
    pub peak_window: Duration,
    /// How long no reclaimable server is ordered in a domain after such an order was refused.
    pub exclusion_period: Duration,
}

impl Default for Options {
    fn default() -> Self {
        let peak_window = Duration::from_secs(300);
        Self { spare: 0.2, peak_window, exclusion_period: Duration::from_secs(60) }
    }
}

/// The elastic servers that a pool has.
#[derive(Clone, Debug)]
pub struct Inventory<'a> {
    /// The servers in the platform's list.
    pub rented: &'a [ProvisionedServer],
    /// Start orders that were or may have been accepted and whose servers are not listed yet.
    pub pending_starts: u32,
    /// Servers that are being drained.
    pub draining: &'a [ServerId],
}

/// What to do next for a pool.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Send this order.
    Order(Action),
    /// Give this server no new work, and order its stop once it is idle.
    Drain(ServerId),
}

/// Plans for one pool.
#[derive(Debug, Default)]
pub struct Planner {
    /// Recent demand, the oldest first.
    demand_history: VecDeque<(Instant, Demand)>,
    /// Domains in which no reclaimable server is ordered until the time given.
    excluded_until: BTreeMap<Domain, Instant>,
}

impl Demand {
    /// The demand of all tiers, in slots.
    pub fn total(&self) -> u32 {
        self.tiers.iter().sum()
    }

    /// The demand of the two highest tiers, in slots.
    pub fn upper(&self) -> u32 {
        self.tiers[..UPPER_TIERS].iter().sum()
    }

    /// Adds the demand of `other`, tier by tier.
    pub fn add(&mut self, other: &Demand) {
        for (sum, tier) in self.tiers.iter_mut().zip(other.tiers) {
            *sum += tier;
        }
    }
}

impl Planner {
    /// Records that an order for a reclaimable server in `domain` was refused; none is ordered
    /// there for the exclusion period.
    pub fn exclude_domain(&mut self, now: Instant, options: &Options, domain: &Domain) {
        self.excluded_until.insert(domain.clone(), now + options.exclusion_period);
    }

    /// The next step for `pool`, if any; none for a pool that is not elastic. `demand` is recorded
    /// for later scaling down.
    pub fn step(
        &mut self,
        now: Instant,
        options: &Options,
        pool: &Pool,
        demand: Demand,
        inventory: &Inventory<'_>,
    ) -> Option<Step> {
        let elastic = pool.elastic.as_ref()?;
        self.observe(now, options, demand);
        let slots = slots_per_server(pool, inventory);
        let fixed_slots: u32 = pool.servers.iter().map(|server| server.slots).sum();
        let wanted = |demand: u32| {
            let slots_wanted = f64::from(demand) * (1.0 + options.spare) - f64::from(fixed_slots);
            let servers = (slots_wanted / f64::from(slots)).ceil().max(0.0) as u32;
            servers.clamp(elastic.min, elastic.max)
        };
        let have = active(inventory).count() as u32 + inventory.pending_starts;
        if have < wanted(demand.total()) {
            return Some(Step::Order(self.start_action(
                now,
                elastic,
                demand,
                inventory,
                fixed_slots,
            )));
        }
        let peak = self.demand_history.iter().map(|(_, demand)| demand.total()).max().unwrap_or(0);
        if inventory.pending_starts == 0 && have > wanted(peak) {
            return select_surplus(inventory).map(Step::Drain);
        }
        None
    }

    fn observe(&mut self, now: Instant, options: &Options, demand: Demand) {
        self.demand_history.push_back((now, demand));
        let is_old =
            |(at, _): &(Instant, Demand)| now.saturating_duration_since(*at) > options.peak_window;
        while self.demand_history.front().is_some_and(is_old) {
            self.demand_history.pop_front();
        }
        self.excluded_until.retain(|_, until| *until > now);
    }

    /// Selects what to start: a reclaimable server if the pool allows it, a domain is not excluded
    /// and the present servers meet the upper tiers' demand after the loss of a domain's
    /// reclaimable servers; otherwise an on-demand one. The domain is the one with the fewest
    /// servers; excluded domains get no reclaimable server.
    fn start_action(
        &self,
        now: Instant,
        elastic: &ScalingBounds,
        demand: Demand,
        inventory: &Inventory<'_>,
        fixed_slots: u32,
    ) -> Action {
        let count = |domain: &Domain| {
            active(inventory).filter(|rented| rented.server.domain == *domain).count()
        };
        let is_excluded =
            |domain: &&Domain| self.excluded_until.get(*domain).is_some_and(|end| *end > now);
        let allowed = elastic.domains.iter().filter(|domain| !is_excluded(domain));
        let preferred = allowed.min_by_key(|domain| count(domain));
        let safe = slots_after_domain_loss(inventory, fixed_slots) >= demand.upper();
        match preferred {
            Some(domain) if elastic.reclaimable && safe => {
                Action::Start { domain: domain.clone(), reclaimable: true }
            }
            _ => {
                let domain = elastic.domains.iter().min_by_key(|domain| count(domain));
                let domain = domain.expect("an elastic pool names a domain").clone();
                Action::Start { domain, reclaimable: false }
            }
        }
    }
}

/// The servers that get new requests, or will once they have booted.
fn active<'a>(inventory: &'a Inventory<'_>) -> impl Iterator<Item = &'a ProvisionedServer> {
    inventory.rented.iter().filter(|rented| {
        rented.phase != Phase::Leaving && !inventory.draining.contains(&rented.server.name)
    })
}

/// The slots of one server, taken from any server of the pool; 1 if it has none.
fn slots_per_server(pool: &Pool, inventory: &Inventory<'_>) -> u32 {
    let rented = inventory.rented.iter().map(|rented| &rented.server);
    rented.chain(&pool.servers).map(|server| server.slots).next().unwrap_or(1).max(1)
}

/// The slots left when the domain with the most slots on reclaimable servers loses these servers.
fn slots_after_domain_loss(inventory: &Inventory<'_>, fixed_slots: u32) -> u32 {
    let mut reclaimable_slots: BTreeMap<&Domain, u32> = BTreeMap::new();
    let mut all = fixed_slots;
    for rented in active(inventory) {
        all += rented.server.slots;
        if rented.server.reclaimable {
            *reclaimable_slots.entry(&rented.server.domain).or_default() += rented.server.slots;
        }
    }
    all - reclaimable_slots.values().max().copied().unwrap_or(0)
}

/// Selects the server to drain: an on-demand one if possible, from the domain with the most
/// servers.
fn select_surplus(inventory: &Inventory<'_>) -> Option<ServerId> {
    let count = |domain: &Domain| active(inventory).filter(|r| r.server.domain == *domain).count();
    let chosen = active(inventory).filter(|rented| rented.phase == Phase::Live);
    let chosen = chosen.max_by_key(|rented| {
        (!rented.server.reclaimable, count(&rented.server.domain), &rented.server.name)
    });
    chosen.map(|rented| rented.server.name.clone())
}
