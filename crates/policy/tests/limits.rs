//! Limits of waits and retry delays, the shared budget of repeats, and orders of servers.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use wasabi_core::{
    catalog::{Catalog, Kind, Route, Scaling},
    member::{Member, Phase},
};
use wasabi_policy::{
    capacity::Planner,
    repeat_budget::{Bounds, Budget},
    wait_limit,
};

const SECOND: Duration = Duration::from_secs(1);

fn route(kind: Kind) -> Route {
    Route {
        name: "r".parse().expect("a name"),
        host: "h".to_string(),
        path: "/".to_string(),
        kind,
        timeout: SECOND * 5,
        target: Duration::from_millis(500),
        target_gap: None,
        rank: 1,
        backends: vec![("s".parse().expect("a name"), 1)],
        max_attempts: 1,
        open: false,
        homes: Default::default(),
    }
}

#[test]
fn a_first_attempt_waits_within_its_target_and_a_retry_longer() {
    let stream = route(Kind::Stream);
    assert!(wait_limit::max_wait(&Catalog::default(), &stream, SECOND * 5, false) < stream.target);
    assert!(wait_limit::max_wait(&Catalog::default(), &stream, SECOND * 3, true) > stream.target);
    assert!(!wait_limit::looks_like_retry(Duration::from_millis(4_300), SECOND * 5));
    assert!(wait_limit::looks_like_retry(Duration::from_millis(3_400), SECOND * 5));
}

#[test]
fn retry_delays_end_while_the_caller_still_has_time() {
    for draw in [0.0, 0.5, 0.999] {
        let wait =
            wait_limit::late_retry_delay(SECOND * 9, Duration::from_millis(425), SECOND * 3, draw);
        assert!(wait <= SECOND, "callers wait for at most a third of the time left: {wait:?}");
        let soon = wait_limit::late_retry_delay(
            Duration::from_millis(450),
            Duration::from_millis(425),
            SECOND * 5,
            draw,
        );
        assert!(soon >= Duration::from_millis(300) && soon < SECOND, "{soon:?}");
    }
}

#[test]
fn urgency_follows_the_workspace_then_the_route() {
    let order =
        [(Some(0), 0), (Some(0), 1), (Some(0), 2), (Some(1), 0), (Some(1), 1), (Some(2), 0)];
    let levels = order.map(|(workspace, route)| wait_limit::urgency(workspace, route));
    assert!(levels.windows(2).all(|pair| pair[0] < pair[1]), "{levels:?}");
    assert!(wait_limit::urgency(None, 0) < wait_limit::urgency(None, 1));
    assert_eq!(wait_limit::urgency(Some(200), 7), 9);
}

fn bounds() -> Bounds {
    Bounds { ratio: 0.2, allowance: 50.0, window: SECOND * 10 }
}

#[test]
fn all_hosts_together_keep_the_budget_in_every_window() {
    let start = Instant::now();
    let hosts = 7;
    let mut budgets: Vec<Budget> = (0..hosts).map(|_| Budget::new(start, bounds())).collect();
    let mut repeats: Vec<(u64, u32)> = Vec::new();
    let mut firsts: Vec<u64> = Vec::new();
    for ms in (0..60_000).step_by(50) {
        let now = start + Duration::from_millis(ms);
        for repeat_budget in &mut budgets {
            repeat_budget.record_first_send(now);
            firsts.push(ms);
            // All requests fail, and each would be repeated three times.
            let granted = (0..3).filter(|_| repeat_budget.try_repeat(now, hosts)).count() as u32;
            repeats.push((ms, granted));
        }
    }
    for end in (10_000..60_000_u64).step_by(500) {
        let within = |ms: u64| ms > end - 10_000 && ms <= end;
        let repeated: u32 = repeats.iter().filter(|(ms, _)| within(*ms)).map(|(_, n)| n).sum();
        let first = firsts.iter().filter(|ms| within(**ms)).count();
        assert!(f64::from(repeated) <= first as f64 * 0.2 + 50.0, "at {end}: {repeated}");
    }
}

#[test]
fn a_restarted_host_has_no_allowance_for_one_window() {
    let start = Instant::now();
    let mut repeat_budget = Budget::new(start, bounds());
    let granted = (0..50).filter(|_| repeat_budget.try_repeat(start, 1)).count();
    assert!(granted <= 1, "{granted}");
    let later = start + SECOND * 11;
    let granted = (0..50).filter(|_| repeat_budget.try_repeat(later, 1)).count();
    assert!(granted > 20 && granted <= 50, "{granted}");
}

fn scaling(price_ratio: Option<f64>) -> Scaling {
    let prices = [("d1", 0.85), ("d2", 1.2), ("d3", 1.0)];
    let prices = prices.map(|(domain, price)| (domain.parse().expect("a name"), price));
    Scaling {
        min: 1,
        max: 6,
        boot: SECOND * 4,
        reclaimable_price_ratio: price_ratio,
        prices: prices.into(),
    }
}

fn members(on_demand: u32, reclaimable: u32) -> Vec<Member> {
    let member = |domain: &str, i: u32, reclaimable: bool| Member {
        id: format!("{domain}-{i}-{reclaimable}").parse().expect("a name"),
        born_ms: 1,
        service: "s".parse().expect("a name"),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: domain.parse().expect("a name"),
        slots: 64,
        build: Default::default(),
        phase: Phase::Ready,
        reclaimable,
    };
    let domain = |domain: &'static str| {
        let on_demand_servers = (0..on_demand).map(move |i| member(domain, i, false));
        on_demand_servers.chain((0..reclaimable).map(move |i| member(domain, i, true)))
    };
    ["d1", "d2", "d3"].into_iter().flat_map(domain).collect()
}

type Orders = BTreeMap<(String, bool), u32>;

fn plan(planner: &mut Planner, now: Instant, scaling: &Scaling, members: &[Member]) -> Orders {
    let service = "s".parse().expect("a name");
    let demands = planner.plan(now, &service, scaling, members, 0.2);
    demands.iter().for_each(|demand| planner.record_accepted(now, demand));
    demands.into_iter().map(|d| ((d.domain.to_string(), d.reclaimable), d.count)).collect()
}

#[test]
fn on_demand_servers_are_released_once_reclaimable_ones_are_ready() {
    let start = Instant::now();
    let mut planner = Planner::default();
    let scaling = scaling(Some(0.15));
    assert!(
        plan(&mut planner, start, &scaling, &members(1, 0)).is_empty(),
        "servers have not had time to announce themselves"
    );
    let now = start + SECOND * 3;
    let orders = plan(&mut planner, now, &scaling, &members(3, 0));
    assert!(orders.values().all(|count| *count == 3));
    assert!(
        orders.keys().all(|(_, reclaimable)| *reclaimable),
        "no on-demand server is released yet: {orders:?}"
    );
    let now = now + SECOND * 5;
    let orders = plan(&mut planner, now, &scaling, &members(3, 3));
    let on_demand = |domain: &str| orders.get(&(domain.to_string(), false)).copied();
    assert_eq!((on_demand("d1"), on_demand("d2"), on_demand("d3")), (Some(1), Some(0), Some(0)));
}

/// All plans are made at the instant of the first one.
#[test]
fn nothing_is_ordered_at_the_first_plan() {
    let start = Instant::now();
    let mut planner = Planner::default();
    let scaling = scaling(Some(0.15));
    for (on_demand, reclaimable) in [(6, 0), (3, 3), (0, 6), (1, 5), (5, 1)] {
        let now = start + SECOND * 10;
        let orders = plan(&mut planner, now, &scaling, &members(on_demand, reclaimable));
        assert!(orders.is_empty(), "{orders:?}");
    }
}

/// After its orders were refused, a service orders nothing for a while, and then orders again.
#[test]
fn refused_orders_are_repeated_after_a_delay() {
    let start = Instant::now();
    let mut planner = Planner::default();
    let scaling = scaling(Some(0.15));
    let service = "s".parse().expect("a name");
    planner.plan(start, &service, &scaling, &members(3, 0), 0.2);
    let now = start + SECOND * 3;
    let demands = planner.plan(now, &service, &scaling, &members(3, 0), 0.2);
    demands.iter().for_each(|demand| planner.record_refused(now, demand));
    let again = planner.plan(now + SECOND, &service, &scaling, &members(3, 0), 0.2);
    assert!(again.is_empty(), "{again:?}");
    let later = planner.plan(now + SECOND * 4, &service, &scaling, &members(3, 0), 0.2);
    assert!(!later.is_empty());
}

#[test]
fn a_service_without_reclaimable_servers_is_left_as_it_is() {
    let start = Instant::now();
    let mut planner = Planner::default();
    plan(&mut planner, start, &scaling(None), &members(3, 0));
    let orders = plan(&mut planner, start + SECOND * 3, &scaling(None), &members(3, 0));
    assert!(orders.is_empty(), "{orders:?}");
}

/// The servers of `members(on_demand, reclaimable)` without those of one domain.
fn without(domain: &str, on_demand: u32, reclaimable: u32) -> Vec<Member> {
    let all = members(on_demand, reclaimable).into_iter();
    all.filter(|member| member.domain.as_str() != domain).collect()
}

/// All servers of a domain are reclaimed, and another host becomes responsible for orders. It must
/// know of the domain although no server is left there.
#[test]
fn a_domain_that_lost_all_servers_gets_new_ones_from_a_host_that_takes_over_orders() {
    let start = Instant::now();
    let scaling = scaling(Some(0.15));
    let mut planner = Planner::default();
    planner.observe(&members(0, 5));
    planner.forget_orders();
    plan(&mut planner, start, &scaling, &without("d3", 0, 5));
    let orders = plan(&mut planner, start + SECOND * 3, &scaling, &without("d3", 0, 5));
    assert_eq!(orders.get(&("d3".to_string(), true)), Some(&5), "{orders:?}");
}

/// No reclaimable servers are available in one domain: the other domains get more, and under load
/// on-demand servers are ordered in that domain. Both end when reclaimable servers are available
/// again.
#[test]
fn a_shortage_in_one_domain_is_compensated() {
    let start = Instant::now();
    let scaling = scaling(Some(0.15));
    let service = "s".parse().expect("a name");
    for (busy, on_demand) in [(0.3, None), (0.9, Some(1))] {
        let mut planner = Planner::default();
        planner.observe(&members(0, 5));
        planner.plan(start, &service, &scaling, &without("d3", 0, 5), busy);
        let now = start + SECOND * 3;
        for demand in planner.plan(now, &service, &scaling, &without("d3", 0, 5), busy) {
            if demand.domain.as_str() == "d3" {
                planner.record_refused(now, &demand);
            } else {
                planner.record_accepted(now, &demand);
            }
        }
        let now = now + SECOND;
        let demands = planner.plan(now, &service, &scaling, &without("d3", 0, 5), busy);
        let count = |domain: &str, reclaimable: bool| {
            let mut of = demands
                .iter()
                .filter(|d| d.domain.as_str() == domain && d.reclaimable == reclaimable);
            of.next().map(|demand| demand.count)
        };
        assert_eq!((count("d2", true), count("d3", true)), (Some(6), None), "{demands:?}");
        assert_eq!(count("d3", false), on_demand, "{demands:?}");
        for demand in &demands {
            if demand.reclaimable {
                planner.record_refused(now, demand);
            } else {
                planner.record_accepted(now, demand);
            }
        }
        let mut refusals = 0;
        for tick in 1..40 {
            let now = now + SECOND * tick / 3;
            // The load varies, and the other domains have no more reclaimable servers either.
            let busy = if tick % 2 == 0 { 0.1 } else { busy };
            for demand in planner.plan(now, &service, &scaling, &without("d3", 0, 5), busy) {
                match (demand.domain.as_str(), demand.reclaimable) {
                    (_, true) => {
                        refusals += 1;
                        planner.record_refused(now, &demand);
                    }
                    ("d3", false) => {
                        assert_eq!(
                            Some(demand.count),
                            on_demand,
                            "the order of on-demand servers stays"
                        );
                        planner.record_accepted(now, &demand);
                    }
                    _ => planner.record_accepted(now, &demand),
                }
            }
        }
        assert!(
            (3..=15).contains(&refusals),
            "{refusals} refused orders in 13 s for three domains"
        );
        let later = now + SECOND * 20;
        let orders =
            plan(&mut planner, later, &scaling, &members(u32::from(on_demand.is_some()), 5));
        let ended = on_demand.map(|_| 0);
        assert_eq!(orders.get(&("d3".to_string(), false)).copied(), ended, "{orders:?}");
    }
}

/// Both kinds together stay within the maximum of a domain, as they are and as they are ordered.
#[test]
fn a_domain_is_never_ordered_more_than_its_maximum() {
    let start = Instant::now();
    let mut planner = Planner::default();
    let scaling = scaling(Some(0.15));
    for (step, (on_demand, reclaimable)) in
        [(6, 0), (3, 3), (0, 6), (1, 5), (5, 1), (6, 0), (2, 2)].into_iter().enumerate()
    {
        let now = start + SECOND * (10 * step as u32);
        let present = members(on_demand, reclaimable);
        let mut orders = plan(&mut planner, now, &scaling, &present);
        orders.extend(plan(&mut planner, now + SECOND * 5, &scaling, &present));
        for domain in ["d1", "d2", "d3"] {
            let of = |kind| orders.get(&(domain.to_string(), kind)).copied();
            let both = of(false).unwrap_or(on_demand) + of(true).unwrap_or(reclaimable);
            assert!(both <= scaling.max, "{both} after {on_demand} and {reclaimable}: {orders:?}");
        }
    }
}

/// Guards against orders for servers that may get nothing, and against a service that is short of
/// servers elsewhere meanwhile.
#[test]
fn nothing_is_ordered_in_a_domain_that_is_evacuated() {
    let start = Instant::now();
    let mut planner = Planner::default();
    let scaling = scaling(Some(0.15));
    plan(&mut planner, start, &scaling, &members(0, 4));
    let now = start + SECOND * 3;
    planner.set_evacuated(["d2".parse().expect("a name")].into());
    let mut all = members(0, 4);
    all.iter_mut().filter(|m| m.domain.as_str() == "d2").for_each(|m| m.phase = Phase::Draining);
    let orders = plan(&mut planner, now, &scaling, &all);
    assert!(orders.keys().all(|(domain, _)| domain != "d2"), "{orders:?}");
    assert!(orders.get(&("d3".to_string(), true)).is_some_and(|count| *count > 4), "{orders:?}");
    planner.set_evacuated(Default::default());
    let orders = plan(&mut planner, now + SECOND * 9, &scaling, &members(0, 4));
    assert!(orders.keys().any(|(domain, _)| domain == "d2"), "{orders:?}");
}
