//! Orders backend servers from the platform, as planned for each service.

use std::{collections::BTreeMap, time::Duration};

use futures_util::future::join_all;
use log::{info, warn};
use wasabi_core::{
    objects::{ScalingOrder, Verdict},
    units::{Epoch, PoolId},
};
use wasabi_policy::capacity::Planner;

use crate::{duties::duty, state::State};

/// How often orders are planned.
const TICK: Duration = Duration::from_millis(400);
/// Timeout of an order.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after an order that was rejected as busy or got no response.
const RETRY_PAUSE: Duration = Duration::from_millis(800);

/// Orders servers while this host holds the duties lease.
pub async fn run(state: &State) {
    let mut planners: BTreeMap<PoolId, Planner> = BTreeMap::new();
    let mut fence: Option<Epoch> = None;
    loop {
        tokio::time::sleep(TICK).await;
        let held = duty::fence(state);
        if held != fence {
            planners.values_mut().for_each(Planner::forget_orders);
            fence = held;
        }
        if held.is_none() {
            observe(state, &mut planners);
            continue;
        }
        for (service, demands) in make_plans(state, &mut planners) {
            // Sent concurrently, so that an order without a response does not delay the others of
            // the service.
            let orders = demands.iter().map(|demand| place_order(state, demand));
            let verdicts = join_all(orders).await;
            let now = state.now();
            let Some(planner) = planners.get_mut(&service) else { continue };
            for (demand, verdict) in demands.iter().zip(&verdicts) {
                match verdict {
                    Some(Verdict::Taken) => planner.record_accepted(now, demand),
                    // Taken to mean that no servers are available; if the lease was lost, its next
                    // renewal shows it.
                    Some(Verdict::Refused) => planner.record_refused(now, demand),
                    Some(Verdict::Busy) | None => {}
                }
            }
            if verdicts.iter().any(|verdict| matches!(verdict, Some(Verdict::Busy) | None)) {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Records where servers are, which the planners need once this host holds the lease.
fn observe(state: &State, planners: &mut BTreeMap<PoolId, Planner>) {
    for member in state.servers.borrow().get().iter() {
        let planner = planners.entry(member.service.clone()).or_default();
        planner.observe(std::slice::from_ref(member));
    }
}

/// Returns the orders to place now, by service.
fn make_plans(
    state: &State,
    planners: &mut BTreeMap<PoolId, Planner>,
) -> Vec<(PoolId, Vec<ScalingOrder>)> {
    let Some((catalog, _)) = state.config() else { return Vec::new() };
    let members = state.servers.borrow().get();
    let evacuated = state.servers.borrow().evacuated().clone();
    let now = state.now();
    let mut plans = Vec::new();
    for (name, service) in &catalog.services {
        let Some(scaling) = &service.scaling else { continue };
        let Ok(name) = name.parse::<PoolId>() else { continue };
        let servers: Vec<_> = members.iter().filter(|m| m.service == name).cloned().collect();
        let planner = planners.entry(name.clone()).or_default();
        planner.set_evacuated(evacuated.clone());
        let busy =
            state.balancers.borrow().get(&name).map_or(0.0, |balancer| balancer.prefill_share(now));
        let demands = planner.plan(now, &name, scaling, &servers, busy);
        plans.push((name, demands));
    }
    plans
}

/// Places an order; returns `None` if it got no response or this host has lost the lease.
async fn place_order(state: &State, demand: &ScalingOrder) -> Option<Verdict> {
    let call = duty::call(state, CALL_TIMEOUT, async |duties, authority| {
        Ok((duties.order(authority, demand).await?, authority.fence))
    });
    match call.await {
        Ok((verdict, fence)) => {
            // Whatever the verdict is.
            info!(service = demand.service.as_str(), domain = demand.domain.as_str(),
                count = demand.count, cheap = demand.reclaimable, fence = fence.0,
                verdict:? = verdict; "servers ordered");
            Some(verdict)
        }
        Err(e) => {
            let cause = e.to_string();
            warn!(service = demand.service.as_str(), domain = demand.domain.as_str(),
                cause = cause.as_str(); "server order not answered");
            None
        }
    }
}
