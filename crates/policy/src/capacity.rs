//! Planning of how many backend servers of a service to order, by failure domain and kind.
//!
//! Load comes in bursts of requests with deadlines, and servers are paid by the second. Reclaimable
//! (spot) servers, which the platform may take back at short notice, cost a fraction of the price
//! of on-demand servers, so they carry the load, spread over all failure domains. A few on-demand
//! servers are kept, so that a service that loses its reclaimable servers still serves. While no
//! reclaimable servers are available in a domain, the other domains get more of them, and under
//! load on-demand servers are ordered in their place.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use wasabi_core::{
    catalog::Scaling,
    member::{Member, Phase},
    objects::ScalingOrder,
    units::{Domain, PoolId},
};

/// The share of a domain's maximum number of servers that is ordered as reclaimable ones. Bursts of
/// more than twice the mean load last about as long as a server takes to boot, so the capacity for
/// them must be there before they begin.
const RECLAIMABLE_SHARE: f64 = 0.67;
/// On-demand servers that are kept in the domain where they cost least.
const KEPT_ON_DEMAND: u32 = 1;
/// An order without the expected effect is repeated after the boot time plus this.
const ORDER_REPEAT_MARGIN: Duration = Duration::from_secs(4);
/// Nothing is ordered in this time after the first plan, since servers announce themselves one by
/// one.
const SETTLE_TIME: Duration = Duration::from_millis(2_000);
/// If engines spend at least this share of their time on prefill, on-demand servers replace
/// reclaimable ones that are not available; below it the remaining servers serve the load without
/// delay.
const BUSY_PREFILL_SHARE: f64 = 0.6;
/// A refused order is repeated after this time.
const REFUSED_ORDER_DELAY: Duration = Duration::from_secs(3);

/// The failure domain of an order, and whether it is for reclaimable servers.
type OrderKey = (Domain, bool);

/// The orders of one service.
#[derive(Debug, Default)]
pub struct Planner {
    /// When this host made its first plan since it became responsible for orders.
    first_plan_at: Option<Instant>,
    /// Domains where servers of the service have been seen, including those that have lost all.
    domains: BTreeSet<Domain>,
    /// The number of servers of the last accepted order of each key, and when it was accepted.
    ordered: BTreeMap<OrderKey, (u32, Instant)>,
    /// Keys whose order was refused, and until when it is not repeated.
    refused: BTreeMap<OrderKey, Instant>,
    /// Domains where reclaimable servers were refused and are still below the baseline.
    short_domains: BTreeSet<Domain>,
    /// Domains that the operator evacuates.
    evacuated: BTreeSet<Domain>,
}

impl Planner {
    /// Records the domains of servers; hosts that are not responsible for orders do so too, so that
    /// they know of domains that lose all servers before they take over.
    pub fn observe(&mut self, members: &[Member]) {
        self.domains.extend(members.iter().map(|member| member.domain.clone()));
    }

    /// Sets the domains that the operator evacuates: nothing is ordered there, and the others get up to their
    /// maximum meanwhile.
    pub fn set_evacuated(&mut self, evacuated: BTreeSet<Domain>) {
        self.evacuated = evacuated;
    }

    /// Forgets all orders when this host becomes responsible for them, since those that another
    /// host gave meanwhile are not known. The domains that were seen are kept.
    pub fn forget_orders(&mut self) {
        *self = Self { domains: std::mem::take(&mut self.domains), ..Self::default() };
    }

    /// Returns the orders to give now. `busy` is the share of time that engines spend on prefill.
    pub fn plan(
        &mut self,
        now: Instant,
        service: &PoolId,
        scaling: &Scaling,
        members: &[Member],
        busy: f64,
    ) -> Vec<ScalingOrder> {
        self.observe(members);
        let mut demands = Vec::new();
        let first_plan_at = *self.first_plan_at.get_or_insert(now);
        if now.saturating_duration_since(first_plan_at) < SETTLE_TIME {
            return demands;
        }
        let least_priced = least_priced_domain(scaling, members);
        let ready = |domain: &Domain, reclaimable: bool| {
            let fits = |m: &&Member| {
                m.domain == *domain && m.reclaimable == reclaimable && m.phase == Phase::Ready
            };
            members.iter().filter(fits).count() as u32
        };
        let domains: Vec<Domain> = scaling
            .prices
            .keys()
            .filter(|domain| self.domains.contains(*domain))
            .filter(|domain| !self.evacuated.contains(*domain))
            .cloned()
            .collect();
        let is_any_evacuated = self.evacuated.iter().any(|domain| self.domains.contains(domain));
        self.short_domains.retain(|domain| {
            ready(domain, true) < baseline(scaling, least_priced.as_ref() == Some(domain)).0
        });
        for domain in &domains {
            let state = DomainState {
                ready: (ready(domain, true), ready(domain, false)),
                is_least_priced: least_priced.as_ref() == Some(domain),
                is_short: self.short_domains.contains(domain),
                is_any_short: !self.short_domains.is_empty() || is_any_evacuated,
                is_busy: busy >= BUSY_PREFILL_SHARE,
                on_demand_ordered: self
                    .ordered
                    .get(&(domain.clone(), false))
                    .map(|(count, _)| *count),
            };
            let (reclaimable_count, on_demand_count) = target_counts(scaling, state);
            for (is_reclaimable, count) in [(true, reclaimable_count), (false, on_demand_count)] {
                let key = (domain.clone(), is_reclaimable);
                if self.is_due(now, &key, count, ready(domain, is_reclaimable), scaling.boot) {
                    demands.push(ScalingOrder {
                        service: service.clone(),
                        domain: domain.clone(),
                        count,
                        reclaimable: is_reclaimable,
                    });
                }
            }
        }
        demands
    }

    /// Records that an order was accepted.
    pub fn record_accepted(&mut self, now: Instant, demand: &ScalingOrder) {
        let key = (demand.domain.clone(), demand.reclaimable);
        self.refused.remove(&key);
        self.ordered.insert(key, (demand.count, now));
    }

    /// Records that an order was refused because no such servers are available there at present.
    pub fn record_refused(&mut self, now: Instant, demand: &ScalingOrder) {
        self.refused.insert((demand.domain.clone(), demand.reclaimable), now + REFUSED_ORDER_DELAY);
        if demand.reclaimable {
            self.short_domains.insert(demand.domain.clone());
        }
    }

    fn is_due(&self, now: Instant, key: &OrderKey, count: u32, ready: u32, boot: Duration) -> bool {
        if self.refused.get(key).is_some_and(|until| now < *until) {
            return false;
        }
        match self.ordered.get(key) {
            None => count != ready,
            Some((ordered, _)) if *ordered != count => true,
            Some((_, at)) => {
                ready != count && now.saturating_duration_since(*at) >= boot + ORDER_REPEAT_MARGIN
            }
        }
    }
}

/// The state of one domain on which its target numbers depend.
#[derive(Clone, Copy, Debug)]
struct DomainState {
    /// Numbers of reclaimable and on-demand servers that take new work.
    ready: (u32, u32),
    is_least_priced: bool,
    /// Whether reclaimable servers were refused here and are still below the baseline.
    is_short: bool,
    /// Whether that is so in any domain, or one is evacuated.
    is_any_short: bool,
    is_busy: bool,
    /// How many on-demand servers this host ordered last.
    on_demand_ordered: Option<u32>,
}

/// Returns the numbers of reclaimable and on-demand servers of a domain while there is no shortage.
fn baseline(scaling: &Scaling, is_least_priced: bool) -> (u32, u32) {
    // The domain with the least price keeps on-demand servers, so that the service survives the
    // loss of all reclaimable ones.
    let kept_on_demand = if is_least_priced { KEPT_ON_DEMAND.min(scaling.max) } else { 0 };
    let goal = (f64::from(scaling.max) * RECLAIMABLE_SHARE).ceil() as u32;
    (goal.max(scaling.min).min(scaling.max - kept_on_demand), kept_on_demand)
}

/// Returns the target numbers of reclaimable and on-demand servers of a domain.
fn target_counts(scaling: &Scaling, state: DomainState) -> (u32, u32) {
    let (reclaimable_ready, on_demand_ready) = state.ready;
    if scaling.reclaimable_price_ratio.is_none() {
        return (0, on_demand_ready.clamp(scaling.min, scaling.max));
    }
    let (base, kept_on_demand) = baseline(scaling, state.is_least_priced);
    let reclaimable_goal =
        if state.is_any_short && !state.is_short { scaling.max - kept_on_demand } else { base };
    // The maximum covers both kinds, so reclaimable servers replace on-demand ones step by step.
    let reclaimable = reclaimable_goal.min(scaling.max.saturating_sub(on_demand_ready));
    let substitutes = match state.is_short {
        true if state.is_busy => base.saturating_sub(reclaimable_ready).min(scaling.max - base),
        // Substitutes that were ordered under load stay until the domain has its reclaimable
        // servers.
        true => state.on_demand_ordered.unwrap_or(0).min(scaling.max - base),
        false => 0,
    };
    let has_baseline = reclaimable_ready >= reclaimable.min(base) && !state.is_short;
    let on_demand_now = state.on_demand_ordered.unwrap_or(on_demand_ready);
    let on_demand = if has_baseline {
        kept_on_demand
    } else {
        on_demand_now.max(kept_on_demand).max(substitutes)
    };
    (reclaimable, on_demand)
}

/// Returns the domain with the least price of a server, among those that have servers.
fn least_priced_domain(scaling: &Scaling, members: &[Member]) -> Option<Domain> {
    let used = scaling
        .prices
        .iter()
        .filter(|(domain, _)| members.iter().any(|member| member.domain == **domain));
    used.min_by(|(_, a), (_, b)| a.total_cmp(b)).map(|(domain, _)| domain.clone())
}
