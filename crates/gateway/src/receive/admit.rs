//! Admission: finds a request's route, checks its key, and checks that the configuration was proven
//! current recently enough.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use rand::Rng as _;
use wasabi_core::{
    call::RequestHead,
    catalog::{Catalog, Route},
    errors::{Code, Error, Result},
    units::{PoolId, Region, WorkspaceId},
};
use wasabi_policy::wait_limit;

use crate::{receive::response, state::State};

/// A request is denied only by a configuration whose proof is younger: an older copy may lack a
/// route or key that was added meanwhile.
const MAX_DENIAL_PROOF_AGE: Duration = Duration::from_millis(1_500);
/// `Retry-After` while the configuration is missing or its proof is too old.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// The result of admitting a request.
#[derive(Clone, Debug)]
pub struct Admission {
    /// The configuration that the request was admitted by.
    pub catalog: Arc<Catalog>,
    /// The route that matched.
    pub route: Route,
    /// The service to run it, drawn among the route's services.
    pub service: PoolId,
    /// The workspace of the key; none on routes without a key.
    pub workspace: Option<WorkspaceId>,
    /// The priority of the workspace, or else of the route, for logs and metrics; 0 is the highest.
    pub rank: u8,
    /// The priority that placement and engines use; 0 is the most urgent.
    pub urgency: u8,
    /// The regions whose servers may run the request, by its route and its workspace; `None` if all may.
    pub homes: Option<BTreeSet<Region>>,
    /// The caller's key if the route needs one; checked again before each send.
    key: Option<String>,
}

/// Admits a request, or fails with the reason why it may not run.
pub fn admit(state: &State, host: &str, path: &str, head: &RequestHead) -> Result<Admission> {
    let Some((catalog, age)) = state.config() else {
        return Err(response::retry_later(Code::NotReady, "no configuration yet", RETRY_AFTER));
    };
    let deny = |code: Code| match age < MAX_DENIAL_PROOF_AGE {
        true => Error::new(code, ""),
        false => {
            let detail = format!("the configuration was proven {} ms ago", age.as_millis());
            response::retry_later(Code::Isolated, detail, RETRY_AFTER)
        }
    };
    let route = catalog.route(host, path).ok_or_else(|| deny(Code::RouteUnknown))?.clone();
    let needs_key = catalog.requires_keys && !route.open;
    let key_owner = match (&head.key, needs_key) {
        (_, false) => None,
        (None, true) => return Err(deny(Code::KeyMissing)),
        (Some(key), true) => {
            Some(catalog.keys.get(key).ok_or_else(|| deny(Code::KeyUnknown))?.clone())
        }
    };
    let random = rand::rng().random();
    let rank = key_owner.as_ref().and_then(|key_owner| key_owner.rank);
    let homes = homes(&route.homes, key_owner.as_ref().map(|owner| &owner.homes));
    let admission = Admission {
        homes,
        service: route.pick(random).clone(),
        rank: rank.unwrap_or(route.rank),
        urgency: wait_limit::urgency(rank, route.rank),
        workspace: key_owner.map(|key_owner| key_owner.workspace),
        key: head.key.clone().filter(|_| needs_key),
        route,
        catalog,
    };
    check_key(state, &admission)?;
    Ok(admission)
}

/// Returns the regions that both a route and a workspace allow; a set that is empty allows all.
fn homes(
    route: &BTreeSet<Region>,
    workspace: Option<&BTreeSet<Region>>,
) -> Option<BTreeSet<Region>> {
    let workspace = workspace.filter(|homes| !homes.is_empty());
    match (route.is_empty(), workspace) {
        (true, None) => None,
        (true, Some(homes)) => Some(homes.clone()),
        (false, None) => Some(route.clone()),
        (false, Some(homes)) => Some(route.intersection(homes).cloned().collect()),
    }
}

/// Chooses the service at which a stream began, instead of the one that was drawn.
///
/// Errors: `ServerUnavailable` if the route does not lead there any more.
pub fn choose_service(admission: &mut Admission, service: &PoolId) -> Result<()> {
    if !admission.route.backends.iter().any(|(backend, _)| backend == service) {
        let detail = "the route does not lead to the service that began the stream";
        return Err(response::retry_later(Code::ServerUnavailable, detail, RETRY_AFTER));
    }
    admission.service = service.clone();
    Ok(())
}

/// Fails unless the key of a request is in force by a recent enough proof; passes if the route
/// needs no key.
///
/// Called at admission, at each placement and right before each send, since the process may have
/// been suspended in between.
pub fn check_key(state: &State, admission: &Admission) -> Result<()> {
    let Some(key) = &admission.key else { return Ok(()) };
    let Some((catalog, age)) = state.config() else {
        return Err(response::retry_later(Code::NotReady, "no configuration yet", RETRY_AFTER));
    };
    if !catalog.keys.contains_key(key) {
        return Err(Error::new(Code::KeyWithdrawn, ""));
    }
    if age >= state.settings.borrow().bounds.max_key_proof_age() {
        let detail = format!("keys were proven {} ms ago", age.as_millis());
        return Err(response::retry_later(Code::Isolated, detail, RETRY_AFTER));
    }
    Ok(())
}
