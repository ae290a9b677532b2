//! Decides, without I/O, which servers a pool should have.
//!
//! Scaling up follows the present demand at once, since a server takes long to boot. Scaling down
//! follows the highest demand of a while, so that a short lull does not give back what is needed
//! again. Losing the cheap servers of any one failure domain must leave enough for the upper tiers.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use wasabi_core::{
    data,
    io::{Action, Phase, Rented},
    note::{Elastic, Pool},
    units::{Domain, ServerId},
};

/// Tiers whose service must survive the loss of a domain's cheap servers.
const UPPER_TIERS: usize = 2;
const TIERS: usize = 4;

data! {
    /// The slots that requests hold or wait for, by tier.
    #[derive(Copy, Default)]
    pub struct Demand {
        /// From the highest tier to the lowest.
        pub tiers: [u32; TIERS],
    }
}

/// How a plan weighs.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Slots kept above the demand, as a share of it.
    pub spare: f64,
    /// Demand is taken as its highest of this time when scaling down.
    pub memory: Duration,
    /// How long a domain is passed over after it had no cheap server to give.
    pub barred: Duration,
}

impl Default for Options {
    fn default() -> Self {
        let memory = Duration::from_secs(300);
        Self { spare: 0.2, memory, barred: Duration::from_secs(60) }
    }
}

/// What a pool has.
#[derive(Clone, Debug)]
pub struct Stock<'a> {
    /// The servers that the platform shows.
    pub rented: &'a [Rented],
    /// Start orders that were taken and whose servers do not show yet.
    pub coming: u32,
    /// Servers that are being drained.
    pub draining: &'a [ServerId],
}

/// What to do next for a pool.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Give an order at once.
    Order(Action),
    /// Give this server no new work, and order its stop when it has none left.
    Drain(ServerId),
}

/// The plan of one pool.
#[derive(Debug, Default)]
pub struct Planner {
    /// Demand by time, the oldest first.
    seen: VecDeque<(Instant, Demand)>,
    /// Domains without cheap servers, until when.
    barred: BTreeMap<Domain, Instant>,
}

impl Demand {
    /// Returns the demand of all tiers.
    pub fn total(&self) -> u32 {
        self.tiers.iter().sum()
    }

    /// Returns the demand of the upper tiers.
    pub fn upper(&self) -> u32 {
        self.tiers[..UPPER_TIERS].iter().sum()
    }

    /// Adds the demand of `other`.
    pub fn add(&mut self, other: &Demand) {
        for (sum, tier) in self.tiers.iter_mut().zip(other.tiers) {
            *sum += tier;
        }
    }
}

impl Planner {
    /// Notes that `domain` had no cheap server to give.
    pub fn bar(&mut self, now: Instant, options: &Options, domain: &Domain) {
        self.barred.insert(domain.clone(), now + options.barred);
    }

    /// Returns the next step for `pool`, if any.
    pub fn step(
        &mut self,
        now: Instant,
        options: &Options,
        pool: &Pool,
        demand: Demand,
        stock: &Stock<'_>,
    ) -> Option<Step> {
        let elastic = pool.elastic.as_ref()?;
        self.observe(now, options, demand);
        let slots = slots_of_one(pool, stock);
        let base: u32 = pool.servers.iter().map(|server| server.slots).sum();
        let wanted = |demand: u32| {
            let slots_wanted = f64::from(demand) * (1.0 + options.spare) - f64::from(base);
            let servers = (slots_wanted / f64::from(slots)).ceil().max(0.0) as u32;
            servers.clamp(elastic.min, elastic.max)
        };
        let have = present(stock).count() as u32 + stock.coming;
        if have < wanted(demand.total()) {
            return Some(Step::Order(self.start(now, elastic, demand, stock, base)));
        }
        let peak = self.seen.iter().map(|(_, demand)| demand.total()).max().unwrap_or(0);
        if stock.coming == 0 && have > wanted(peak) {
            return surplus(stock).map(Step::Drain);
        }
        None
    }

    fn observe(&mut self, now: Instant, options: &Options, demand: Demand) {
        self.seen.push_back((now, demand));
        let old = |(at, _): &(Instant, Demand)| now.saturating_duration_since(*at) > options.memory;
        while self.seen.front().is_some_and(old) {
            self.seen.pop_front();
        }
        self.barred.retain(|_, until| *until > now);
    }

    fn start(
        &self,
        now: Instant,
        elastic: &Elastic,
        demand: Demand,
        stock: &Stock<'_>,
        base: u32,
    ) -> Action {
        let count = |domain: &Domain| {
            present(stock).filter(|rented| rented.server.domain == *domain).count()
        };
        let barred = |domain: &&Domain| self.barred.get(*domain).is_some_and(|end| *end > now);
        let open = elastic.domains.iter().filter(|domain| !barred(domain));
        let cheap = open.min_by_key(|domain| count(domain));
        let safe = survives_loss(stock, base) >= demand.upper();
        match cheap {
            Some(domain) if elastic.cheap && safe => {
                Action::Start { domain: domain.clone(), cheap: true }
            }
            _ => {
                let domain = elastic.domains.iter().min_by_key(|domain| count(domain));
                let domain = domain.expect("an elastic pool names a domain").clone();
                Action::Start { domain, cheap: false }
            }
        }
    }
}

/// The servers that serve or will.
fn present<'a>(stock: &'a Stock<'_>) -> impl Iterator<Item = &'a Rented> {
    stock.rented.iter().filter(|rented| {
        rented.phase != Phase::Leaving && !stock.draining.contains(&rented.server.name)
    })
}

fn slots_of_one(pool: &Pool, stock: &Stock<'_>) -> u32 {
    let rented = stock.rented.iter().map(|rented| &rented.server);
    rented.chain(&pool.servers).map(|server| server.slots).next().unwrap_or(1).max(1)
}

/// Returns the slots left when the domain with the most cheap servers loses them.
fn survives_loss(stock: &Stock<'_>, base: u32) -> u32 {
    let mut cheap: BTreeMap<&Domain, u32> = BTreeMap::new();
    let mut all = base;
    for rented in present(stock) {
        all += rented.server.slots;
        if rented.server.cheap {
            *cheap.entry(&rented.server.domain).or_default() += rented.server.slots;
        }
    }
    all - cheap.values().max().copied().unwrap_or(0)
}

/// Picks the server to give back: a dear one if there is one, from the fullest domain.
fn surplus(stock: &Stock<'_>) -> Option<ServerId> {
    let count =
        |domain: &Domain| present(stock).filter(|rented| rented.server.domain == *domain).count();
    let chosen = present(stock).filter(|rented| rented.phase == Phase::Live);
    let chosen = chosen.max_by_key(|rented| {
        (!rented.server.cheap, count(&rented.server.domain), &rented.server.name)
    });
    chosen.map(|rented| rented.server.name.clone())
}
