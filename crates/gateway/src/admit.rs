//! Whether a request may run at all: its route, its key, and how fresh the evidence is.

use std::{sync::Arc, time::Duration};

use rand::Rng as _;
use wasabi_core::{
    call::Head,
    catalog::{Catalog, Route},
    errors::{Code, Error, Result},
    units::{PoolId, WorkspaceId},
};
use wasabi_policy::patience;

use crate::{answer, site::Site};

/// A configuration that was proven within this time is good enough to deny a request by it; with
/// an older one, the route or key may have been added since.
const DENIAL_PROOF: Duration = Duration::from_millis(1_500);
/// When to come back to a host that has to find out first.
const LEARNING: Duration = Duration::from_millis(500);

/// A request that may run.
#[derive(Clone, Debug)]
pub struct Permit {
    /// The configuration that allowed it.
    pub catalog: Arc<Catalog>,
    /// Its route.
    pub route: Route,
    /// The service that runs it.
    pub service: PoolId,
    /// The workspace that it runs for.
    pub workspace: Option<WorkspaceId>,
    /// Its rank; 0 is the highest.
    pub rank: u8,
    /// How urgent engines take it for; 0 is the most urgent.
    pub urgency: u8,
    /// The key that it came with; checked again before each send.
    key: Option<String>,
}

/// Returns the permit of a request, or why it gets none.
pub fn admit(state: &Site, host: &str, path: &str, head: &Head) -> Result<Permit> {
    let Some((catalog, age)) = state.config() else {
        return Err(answer::come_back(Code::NotReady, "no configuration yet", LEARNING));
    };
    let deny = |code: Code| match age < DENIAL_PROOF {
        true => Error::new(code, ""),
        false => {
            let detail = format!("the configuration was proven {} ms ago", age.as_millis());
            answer::come_back(Code::Isolated, detail, LEARNING)
        }
    };
    let route = catalog.route(host, path).ok_or_else(|| deny(Code::RouteUnknown))?.clone();
    let keyed = catalog.keyed && !route.open;
    let holder = match (&head.key, keyed) {
        (_, false) => None,
        (None, true) => return Err(deny(Code::KeyMissing)),
        (Some(key), true) => {
            Some(catalog.keys.get(key).ok_or_else(|| deny(Code::KeyUnknown))?.clone())
        }
    };
    let draw = rand::rng().random();
    let rank = holder.as_ref().and_then(|holder| holder.rank);
    let permit = Permit {
        service: route.pick(draw).clone(),
        rank: rank.unwrap_or(route.rank),
        urgency: patience::urgency(rank, route.rank),
        workspace: holder.map(|holder| holder.workspace),
        key: head.key.clone().filter(|_| keyed),
        route,
        catalog,
    };
    recheck(state, &permit)?;
    Ok(permit)
}

/// Returns whether the key of a permit is still in force, by a proof that is fresh enough.
///
/// Called right before each send: the process may have been suspended since the permit was given.
pub fn recheck(state: &Site, permit: &Permit) -> Result<()> {
    let Some(key) = &permit.key else { return Ok(()) };
    let Some((catalog, age)) = state.config() else {
        return Err(answer::come_back(Code::NotReady, "no configuration yet", LEARNING));
    };
    if !catalog.keys.contains_key(key) {
        return Err(Error::new(Code::KeyWithdrawn, ""));
    }
    if age >= state.settings.borrow().bounds.max_key_proof_age() {
        let detail = format!("keys were proven {} ms ago", age.as_millis());
        return Err(answer::come_back(Code::Isolated, detail, LEARNING));
    }
    Ok(())
}
