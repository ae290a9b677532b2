//! How many backend servers of a service to order, where and of which kind.
//!
//! Answers deadline rushes on servers that are paid by the second: reclaimable servers cost a
//! fraction, so they carry the load, spread over all failure domains; a few others stay in each
//! domain, so that a domain whose reclaimable servers vanish still serves.

use std::{
    collections::BTreeMap,
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
/// A refused order is tried again after this time.
const DRY_PAUSE: Duration = Duration::from_secs(3);

/// An order's subject: where, and whether for reclaimable servers.
type Subject = (Domain, bool);

/// The orders of one service.
#[derive(Debug, Default)]
pub struct Planner {
    /// When the first plan was made.
    since: Option<Instant>,
    /// The last order of each subject and when it was given.
    ordered: BTreeMap<Subject, (u32, Instant)>,
    /// Subjects that were refused, until when they are left alone.
    dry: BTreeMap<Subject, Instant>,
}

impl Planner {
    /// Returns the orders to give now.
    pub fn plan(
        &mut self,
        now: Instant,
        service: &PoolId,
        scaling: &Scaling,
        members: &[Member],
    ) -> Vec<Demand> {
        let mut demands = Vec::new();
        let since = *self.since.get_or_insert(now);
        if now.saturating_duration_since(since) < SETTLE {
            return demands;
        }
        let cheapest = cheapest(scaling, members);
        for domain in scaling.prices.keys() {
            let here: Vec<&Member> = members.iter().filter(|m| m.domain == *domain).collect();
            if here.is_empty() && !self.ordered.keys().any(|(known, _)| known == domain) {
                continue;
            }
            let ready = |cheap: bool| {
                let fits = |m: &&&Member| m.cheap == cheap && m.phase == Phase::Ready;
                here.iter().filter(fits).count() as u32
            };
            let (cheap, dear) =
                self.wanted(now, domain, scaling, ready(true), ready(false), cheapest.as_ref());
            for (kind, count) in [(true, cheap), (false, dear)] {
                let subject = (domain.clone(), kind);
                if self.is_due(now, &subject, count, ready(kind), scaling.boot) {
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
        self.dry.remove(&subject);
        self.ordered.insert(subject, (demand.count, now));
    }

    /// Takes in that an order was refused: none are to be had there at the moment.
    pub fn refused(&mut self, now: Instant, demand: &Demand) {
        self.dry.insert((demand.domain.clone(), demand.cheap), now + DRY_PAUSE);
    }

    /// Returns how many reclaimable and other servers a domain should have.
    fn wanted(
        &self,
        now: Instant,
        domain: &Domain,
        scaling: &Scaling,
        cheap_ready: u32,
        dear_ready: u32,
        cheapest: Option<&Domain>,
    ) -> (u32, u32) {
        if scaling.cheap_price.is_none() {
            return (0, dear_ready.clamp(scaling.min, scaling.max));
        }
        let goal = (f64::from(scaling.max) * CHEAP_SHARE).ceil() as u32;
        // A few servers that stay, where they cost least, serve even if all others vanish.
        let kept = if cheapest == Some(domain) { KEPT_DEAR.min(scaling.max) } else { 0 };
        let goal = goal.max(scaling.min).min(scaling.max - kept);
        let dry = self.dry.get(&(domain.clone(), true)).is_some_and(|until| now < *until);
        // The limit covers both kinds, so the others make room step by step.
        let cheap = goal.min(scaling.max.saturating_sub(dear_ready));
        let enough = cheap_ready >= cheap && !dry;
        let dear = if enough { kept } else { dear_ready.max(kept) };
        (cheap, dear)
    }

    fn is_due(
        &self,
        now: Instant,
        subject: &Subject,
        count: u32,
        ready: u32,
        boot: Duration,
    ) -> bool {
        if self.dry.get(subject).is_some_and(|until| now < *until) {
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

/// Returns the domain where a server costs least, among those that have any.
fn cheapest(scaling: &Scaling, members: &[Member]) -> Option<Domain> {
    let used = scaling
        .prices
        .iter()
        .filter(|(domain, _)| members.iter().any(|member| member.domain == **domain));
    used.min_by(|(_, a), (_, b)| a.total_cmp(b)).map(|(domain, _)| domain.clone())
}
