//! The owner's side: the cells that this host dispatches, for its own requests and for other hosts.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use wasabi_config::current::CurrentState;
use wasabi_core::{
    errors::{Code, Result},
    note::Pool,
    time::Clock,
    units::{Incarnation, PoolId, Tokens},
};
use wasabi_entry::dispatch::{Dispatch as _, Grant, GrantFuture, LocalDispatch};
use wasabi_fleet::view::View;
use wasabi_peer::{
    grants::{DecisionFuture, GrantHandler},
    rpc::{GrantDecision, GrantRelease, GrantRequest, Heartbeat, HeartbeatResponse},
};
use wasabi_policy::{
    facts::Facts,
    ticket::{Outcome, Ticket},
};

use crate::{
    cell::{self, Cell},
    live::LiveHosts,
};

/// A grant is revoked when its holder has not sent a heartbeat for this long.
const GRANT_TIMEOUT: Duration = Duration::from_secs(5);
/// This host stops dispatching another owner's cell after this long without a request for it.
const CELL_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Dispatches the cells that this host owns, and for a while those of other owners that it was
/// asked for.
pub struct Dispatcher {
    clock: Arc<dyn Clock>,
    config: Arc<CurrentState>,
    view: Arc<View>,
    live: Arc<LiveHosts>,
    local: Arc<LocalDispatch>,
    /// A pool with at most this many servers is one cell.
    single_cell_limit: usize,
    /// When each cell was last asked for on this host.
    last_asked: Mutex<HashMap<PoolId, Instant>>,
    /// Grants that other hosts hold.
    grants: Mutex<Grants>,
}

#[derive(Default)]
struct Grants {
    /// The number of the last grant issued.
    last_number: u64,
    /// Grants by holder and number.
    by_id: HashMap<(Incarnation, u64), IssuedGrant>,
}

/// A grant that another host holds.
struct IssuedGrant {
    grant: Grant,
    /// When the last heartbeat for it arrived.
    heard_at: Instant,
}

impl Dispatcher {
    /// Creates a dispatcher without cells; a pool with at most `single_cell_limit` servers is one
    /// cell.
    pub fn new(
        clock: Arc<dyn Clock>,
        config: Arc<CurrentState>,
        view: Arc<View>,
        live: Arc<LiveHosts>,
        local: Arc<LocalDispatch>,
        single_cell_limit: usize,
    ) -> Self {
        let (last_asked, grants) = Default::default();
        Self { clock, config, view, live, local, single_cell_limit, last_asked, grants }
    }

    /// The cells of a pool, with the servers that may get new work.
    pub fn cells(&self, pool: &Pool) -> Vec<Cell> {
        cell::partition(&pool.name, &self.view.servers(pool), self.single_cell_limit)
    }

    /// The cells of the pool of this name; none if it is not configured.
    pub fn cells_of(&self, pool: &PoolId) -> Vec<Cell> {
        let state = self.config.get();
        state.pools.get(pool).map_or_else(Vec::new, |slot| self.cells(&slot.object))
    }

    /// Asks this host's scheduler for a grant, whether or not this host owns the cell;
    /// `ticket.pool` names the cell.
    pub fn ask_local(&self, ticket: Ticket) -> GrantFuture<'_> {
        let is_new = self.last_asked.lock().insert(ticket.pool.clone(), self.clock.now()).is_none();
        if is_new {
            self.refresh();
        }
        self.local.request_grant(ticket)
    }

    /// Gives this host's scheduler the present servers of the cells that this host dispatches, and
    /// closes the other cells, which refuses the tickets that wait in them. Call it whenever the
    /// configuration, the server listings or the hosts change.
    pub fn refresh(&self) {
        // The cells are computed under the lock, so that of two concurrent calls the one that
        // applies its result last has the newer state.
        let mut last_asked = self.last_asked.lock();
        let cells = self.all_cells();
        let hosts = self.live.eligible_owners();
        let now = self.clock.now();
        last_asked.retain(|_, at| now.saturating_duration_since(*at) < CELL_IDLE_TIMEOUT);
        for cell in &cells {
            let owner = cell::owner(cell, &hosts);
            let is_own = owner.is_none_or(|host| self.live.is_me(host));
            if is_own || last_asked.contains_key(&cell.name) {
                self.local.set_servers(&cell.name, &cell.servers);
            } else {
                self.local.close_pool(&cell.name);
            }
        }
        let known = self.local.with_scheduler(|scheduler| scheduler.pools());
        for name in known.iter().filter(|name| !cells.iter().any(|cell| cell.name == **name)) {
            self.local.close_pool(name);
        }
    }

    /// Revokes the grants whose holders have not sent a heartbeat for `GRANT_TIMEOUT`.
    pub fn expire(&self) {
        let now = self.clock.now();
        let mut grants = self.grants.lock();
        let is_silent =
            |issued: &IssuedGrant| now.saturating_duration_since(issued.heard_at) >= GRANT_TIMEOUT;
        let keys: Vec<_> = grants
            .by_id
            .iter()
            .filter(|(_, issued)| is_silent(issued))
            .map(|(key, _)| key.clone())
            .collect();
        let expired: Vec<IssuedGrant> =
            keys.iter().filter_map(|key| grants.by_id.remove(key)).collect();
        drop(grants);
        for issued in expired {
            issued.grant.end(Outcome::Preempted);
        }
    }

    /// Fails with `Quarantined` if requests like that of the ticket crash servers, as far as this host
    /// knows.
    pub fn check_quarantine(&self, ticket: &Ticket) -> Result<()> {
        self.local.check_quarantine(ticket)
    }

    /// The number of grants that other hosts hold.
    pub fn issued_grant_count(&self) -> usize {
        self.grants.lock().by_id.len()
    }

    fn all_cells(&self) -> Vec<Cell> {
        let state = self.config.get();
        state.pools.values().flat_map(|slot| self.cells(&slot.object)).collect()
    }

    /// Stores a grant for its holder `from`; returns the grant's number.
    fn register(&self, from: Incarnation, grant: Grant) -> u64 {
        let heard_at = self.clock.now();
        let mut grants = self.grants.lock();
        grants.last_number += 1;
        let number = grants.last_number;
        grants.by_id.insert((from, number), IssuedGrant { grant, heard_at });
        number
    }

    async fn answer(&self, ask: GrantRequest) -> GrantDecision {
        if self.live.can_hand_over() {
            return GrantDecision::Leaving;
        }
        self.local.merge_facts(ask.facts);
        let cell = ask.ticket.pool.clone();
        let tier = ask.ticket.tier;
        let decided: Result<Grant> = self.ask_local(ask.ticket).await;
        let wait = self.local.with_scheduler(|scheduler| scheduler.expected_wait(&cell, tier));
        let wait_ms = wait.as_millis() as u64;
        match decided {
            Ok(grant) => {
                let server = grant.server.clone();
                GrantDecision::Granted { grant: self.register(ask.from, grant), server, wait_ms }
            }
            Err(e) if e.code == Code::PeerUnavailable => GrantDecision::Moved,
            Err(e) => {
                let retry = e.retry_after.unwrap_or_default();
                GrantDecision::Refused { code: e.code, retry_ms: retry.as_millis() as u64, wait_ms }
            }
        }
    }
}

impl GrantHandler for Dispatcher {
    fn request_grant(&self, ask: GrantRequest) -> DecisionFuture<'_> {
        Box::pin(self.answer(ask))
    }

    fn heartbeat(&self, beat: Heartbeat) -> HeartbeatResponse {
        self.local.merge_facts(beat.facts);
        let now = self.clock.now();
        let mut grants = self.grants.lock();
        let mut answer = HeartbeatResponse::default();
        for (number, tokens) in beat.grants {
            let Some(issued) = grants.by_id.get_mut(&(beat.from.clone(), number)) else { continue };
            issued.heard_at = now;
            issued.grant.progress(Tokens(tokens));
            if issued.grant.stop.is_cancelled() {
                answer.stop.push(number);
            }
        }
        answer
    }

    fn facts(&self) -> Facts {
        self.local.facts()
    }

    fn merge_facts(&self, facts: Facts) {
        self.local.merge_facts(facts);
    }

    fn release_grant(&self, done: GrantRelease) {
        self.local.merge_facts(done.facts);
        let issued = self.grants.lock().by_id.remove(&(done.from, done.grant));
        if let Some(issued) = issued {
            issued.grant.progress(Tokens(done.tokens));
            issued.grant.end(done.outcome);
        }
    }
}
