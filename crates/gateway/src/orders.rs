//! Orders of backend servers.

use std::{collections::BTreeMap, time::Duration};

use futures_util::future::join_all;
use log::{info, warn};
use wasabi_core::{
    objects::{Demand, Verdict},
    units::{Epoch, PoolId},
};
use wasabi_policy::capacity::Planner;

use crate::{duty, follow::timely, site::Site};

/// How often the plans are looked at.
const TICK: Duration = Duration::from_millis(400);
/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// After an order that got no answer.
const RETRY_PAUSE: Duration = Duration::from_millis(800);

/// Orders servers while this host holds the duties.
pub async fn run(state: &Site) {
    if state.duties.is_none() {
        return;
    }
    let mut planners: BTreeMap<PoolId, Planner> = BTreeMap::new();
    let mut fence: Option<Epoch> = None;
    loop {
        tokio::time::sleep(TICK).await;
        let held = duty::authority(state).map(|authority| authority.fence);
        if held != fence {
            planners.values_mut().for_each(Planner::begin);
            fence = held;
        }
        if held.is_none() {
            observe(state, &mut planners);
            continue;
        }
        for (service, demands) in plans(state, &mut planners) {
            // One that is not answered does not hold up the others.
            let orders = demands.iter().map(|demand| order(state, demand));
            let verdicts = join_all(orders).await;
            let now = state.now();
            let Some(planner) = planners.get_mut(&service) else { continue };
            for (demand, verdict) in demands.iter().zip(&verdicts) {
                match verdict {
                    Some(Verdict::Taken) => planner.taken(now, demand),
                    // A lost lease shows at its next renewal; here it means that none are to be had.
                    Some(Verdict::Refused) => planner.refused(now, demand),
                    Some(Verdict::Busy) | None => {}
                }
            }
            if verdicts.iter().any(|verdict| matches!(verdict, Some(Verdict::Busy) | None)) {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Lets the planners know where servers are, for the time when this host holds the duties.
fn observe(state: &Site, planners: &mut BTreeMap<PoolId, Planner>) {
    for member in state.members.borrow().get().iter() {
        let planner = planners.entry(member.service.clone()).or_default();
        planner.observe(std::slice::from_ref(member));
    }
}

fn plans(state: &Site, planners: &mut BTreeMap<PoolId, Planner>) -> Vec<(PoolId, Vec<Demand>)> {
    let Some((catalog, _)) = state.config() else { return Vec::new() };
    let members = state.members.borrow().get();
    let now = state.now();
    let mut plans = Vec::new();
    for (name, service) in &catalog.services {
        let Some(scaling) = &service.scaling else { continue };
        let Ok(name) = name.parse::<PoolId>() else { continue };
        let own: Vec<_> = members.iter().filter(|m| m.service == name).cloned().collect();
        let planner = planners.entry(name.clone()).or_default();
        let busy = state.boards.borrow().get(&name).map_or(0.0, |board| board.duty(now));
        let demands = planner.plan(now, &name, scaling, &own, busy);
        plans.push((name, demands));
    }
    plans
}

/// Gives an order; returns the verdict, if it was answered.
async fn order(state: &Site, demand: &Demand) -> Option<Verdict> {
    let (Some(duties), Some(authority)) = (&state.duties, duty::authority(state)) else {
        return None;
    };
    match timely(duties.order(&authority, demand), CALL_TIMEOUT).await {
        Ok(verdict) => {
            info!(service = demand.service.as_str(), domain = demand.domain.as_str(),
                count = demand.count, cheap = demand.cheap, fence = authority.fence.0,
                verdict:? = verdict; "servers ordered");
            Some(verdict)
        }
        Err(e) => {
            let cause = e.to_string();
            warn!(service = demand.service.as_str(), domain = demand.domain.as_str(),
                cause = cause.as_str(); "order not answered");
            None
        }
    }
}
