//! How many backend servers of a service to order, where and of which kind.
//!
//! Answers deadline rushes on servers that are paid by the second: reclaimable servers cost a
//! fraction, so they carry the load, spread over all failure domains; a few others stay, so that a
//! service whose reclaimable servers vanish still serves. While none are to be had in one domain, the
//! other domains get more of them, and under load dearer ones fill the gap.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use wasabi_core::{
    catalog::Scaling,
    member::{Member, Phase},
    objects::Demand,
    units::{Domain, PoolId},
};

/// The part of a domain's most servers that is ordered as reclaimable ones. Bursts of more than
/// twice the mean load last about as long as a server takes to boot, so the room has to be there.
const CHEAP_SHARE: f64 = 0.67;
/// Servers of the lasting kind that are kept in the domain where they cost least.
const KEPT_DEAR: u32 = 1;
/// An order that has not shown its effect is repeated after the boot time and this.
const REPEAT_AFTER: Duration = Duration::from_secs(4);
/// Servers announce themselves one by one; nothing is ordered before they have had time to.
const SETTLE: Duration = Duration::from_millis(2_000);
/// Dearer servers stand in for reclaimable ones from this share of time on that the engines spend on
/// prompts; below it the servers that are left serve the load without delay.
const BUSY: f64 = 0.6;
/// A refused order is tried again after this time.
const DRY_PAUSE: Duration = Duration::from_secs(3);

/// An order's subject: where, and whether for reclaimable servers.
type Subject = (Domain, bool);

/// The orders of one service.
#[derive(Debug, Default)]
pub struct Planner {
    /// When this host made its first plan since it holds the duties.
    since: Option<Instant>,
    /// Where servers of the service have been seen; all of them may vanish from a domain.
    domains: BTreeSet<Domain>,
    /// The last order of each subject and when it was given.
    ordered: BTreeMap<Subject, (u32, Instant)>,
    /// Subjects that were refused, until when they are left alone.
    refused: BTreeMap<Subject, Instant>,
    /// Domains where reclaimable servers were refused and are still missing.
    dry: BTreeSet<Domain>,
}

impl Planner {
    /// Takes in where servers are; hosts that do not hold the duties do so too.
    pub fn observe(&mut self, members: &[Member]) {
        self.domains.extend(members.iter().map(|member| member.domain.clone()));
    }

    /// Begins anew: what another holder ordered meanwhile is not known.
    pub fn begin(&mut self) {
        *self = Self { domains: std::mem::take(&mut self.domains), ..Self::default() };
    }

    /// Returns the orders to give now, while engines spend the share `busy` of their time on prompts.
    pub fn plan(
        &mut self,
        now: Instant,
        service: &PoolId,
        scaling: &Scaling,
        members: &[Member],
        busy: f64,
    ) -> Vec<Demand> {
        self.observe(members);
        let mut demands = Vec::new();
        let since = *self.since.get_or_insert(now);
        if now.saturating_duration_since(since) < SETTLE {
            return demands;
        }
        let cheapest = cheapest(scaling, members);
        let ready = |domain: &Domain, cheap: bool| {
            let fits =
                |m: &&Member| m.domain == *domain && m.cheap == cheap && m.phase == Phase::Ready;
            members.iter().filter(fits).count() as u32
        };
        let domains: Vec<Domain> = scaling
            .prices
            .keys()
            .filter(|domain| self.domains.contains(*domain))
            .cloned()
            .collect();
        self.dry.retain(|domain| {
            ready(domain, true) < calm(scaling, cheapest.as_ref() == Some(domain)).0
        });
        for domain in &domains {
            let site = Site {
                ready: (ready(domain, true), ready(domain, false)),
                is_cheapest: cheapest.as_ref() == Some(domain),
                is_dry: self.dry.contains(domain),
                is_stretched: !self.dry.is_empty(),
                is_busy: busy >= BUSY,
                dear_ordered: self.ordered.get(&(domain.clone(), false)).map(|(count, _)| *count),
            };
            let (cheap, dear) = wanted(scaling, site);
            for (kind, count) in [(true, cheap), (false, dear)] {
                let subject = (domain.clone(), kind);
                if self.is_due(now, &subject, count, ready(domain, kind), scaling.boot) {
                    demands.push(Demand {
                        service: service.clone(),
                        domain: domain.clone(),
                        count,
                        cheap: kind,
                    });
                }
            }
        }
        demands
    }

    /// Takes in that an order was taken.
    pub fn taken(&mut self, now: Instant, demand: &Demand) {
        let subject = (demand.domain.clone(), demand.cheap);
        self.refused.remove(&subject);
        self.ordered.insert(subject, (demand.count, now));
    }

    /// Takes in that an order was refused: none are to be had there at the moment.
    pub fn refused(&mut self, now: Instant, demand: &Demand) {
        self.refused.insert((demand.domain.clone(), demand.cheap), now + DRY_PAUSE);
        if demand.cheap {
            self.dry.insert(demand.domain.clone());
        }
    }

    fn is_due(
        &self,
        now: Instant,
        subject: &Subject,
        count: u32,
        ready: u32,
        boot: Duration,
    ) -> bool {
        if self.refused.get(subject).is_some_and(|until| now < *until) {
            return false;
        }
        match self.ordered.get(subject) {
            None => count != ready,
            Some((ordered, _)) if *ordered != count => true,
            Some((_, at)) => {
                ready != count && now.saturating_duration_since(*at) >= boot + REPEAT_AFTER
            }
        }
    }
}

/// One domain as the plan sees it.
#[derive(Clone, Copy, Debug)]
struct Site {
    /// Reclaimable and other servers that take work.
    ready: (u32, u32),
    is_cheapest: bool,
    /// Whether reclaimable ones were not to be had here and are still missing.
    is_dry: bool,
    /// Whether they are missing in some domain.
    is_stretched: bool,
    is_busy: bool,
    /// How many others this holder ordered last.
    dear_ordered: Option<u32>,
}

/// Returns how many reclaimable and other servers a domain has in calm times.
fn calm(scaling: &Scaling, is_cheapest: bool) -> (u32, u32) {
    // A few servers that stay, where they cost least, serve even if all others vanish.
    let kept = if is_cheapest { KEPT_DEAR.min(scaling.max) } else { 0 };
    let goal = (f64::from(scaling.max) * CHEAP_SHARE).ceil() as u32;
    (goal.max(scaling.min).min(scaling.max - kept), kept)
}

/// Returns how many reclaimable and other servers a domain should have.
fn wanted(scaling: &Scaling, site: Site) -> (u32, u32) {
    let (cheap_ready, dear_ready) = site.ready;
    if scaling.cheap_price.is_none() {
        return (0, dear_ready.clamp(scaling.min, scaling.max));
    }
    let (calm, kept) = calm(scaling, site.is_cheapest);
    let cheap_goal = if site.is_stretched && !site.is_dry { scaling.max - kept } else { calm };
    // The limit covers both kinds, so the others make room step by step.
    let cheap = cheap_goal.min(scaling.max.saturating_sub(dear_ready));
    let filling = match site.is_dry {
        // Those that were ordered while the engines were busy stay until the domain has its own.
        true if site.is_busy => calm.saturating_sub(cheap_ready).min(scaling.max - calm),
        true => site.dear_ordered.unwrap_or(0).min(scaling.max - calm),
        false => 0,
    };
    let enough = cheap_ready >= cheap.min(calm) && !site.is_dry;
    let standing = site.dear_ordered.unwrap_or(dear_ready);
    let dear = if enough { kept } else { standing.max(kept).max(filling) };
    (cheap, dear)
}

/// Returns the domain where a server costs least, among those that have any.
fn cheapest(scaling: &Scaling, members: &[Member]) -> Option<Domain> {
    let used = scaling
        .prices
        .iter()
        .filter(|(domain, _)| members.iter().any(|member| member.domain == **domain));
    used.min_by(|(_, a), (_, b)| a.total_cmp(b)).map(|(domain, _)| domain.clone())
}
