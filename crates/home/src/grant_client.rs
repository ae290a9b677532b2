//! The requesting side: finds the owner of a cell and asks it for a grant.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use wasabi_core::{
    errors::{Code, Error, Result},
    time::Clock,
    units::PoolId,
};
use wasabi_entry::dispatch::{Dispatch, Grant, GrantFuture};
use wasabi_policy::ticket::Ticket;

use crate::{
    cell::{self, Cell},
    dispatcher::Dispatcher,
    live::LiveHosts,
    remote_grants::{RemoteGrants, Reply},
};

/// The most attempts at one cell. Only a changed or unavailable owner causes another attempt.
const MAX_ATTEMPTS: usize = 8;
/// The expected wait that an owner stated is disregarded after this time.
const EXPECTED_WAIT_VALIDITY: Duration = Duration::from_secs(2);
/// The cell with the best affinity to the prompt is preferred unless its expected wait is longer
/// than that of the next one by more than this.
const AFFINITY_MAX_EXTRA_WAIT: Duration = Duration::from_millis(200);
/// Pause before the next attempt when a cell's owner has changed.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// The retry delay stated to callers when no server or owner can be reached.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Obtains grants for this host's requests from the owners of cells, whether local or remote.
pub struct GrantClient {
    clock: Arc<dyn Clock>,
    dispatcher: Arc<Dispatcher>,
    remote_grants: Arc<RemoteGrants>,
    live: Arc<LiveHosts>,
    /// The expected wait that each cell's owner last stated, and when.
    expected_waits: Mutex<HashMap<PoolId, (Duration, Instant)>>,
}

impl GrantClient {
    /// Creates a client that uses `dispatcher` for the cells that this host owns.
    pub fn new(
        clock: Arc<dyn Clock>,
        dispatcher: Arc<Dispatcher>,
        remote_grants: Arc<RemoteGrants>,
        live: Arc<LiveHosts>,
    ) -> Self {
        Self { clock, dispatcher, remote_grants, live, expected_waits: Mutex::default() }
    }

    async fn ask_candidates(&self, ticket: Ticket) -> Result<Grant> {
        // An owner that has just taken the cell over may not know of it.
        self.dispatcher.check_quarantine(&ticket)?;
        let mut cells = self.dispatcher.cells_of(&ticket.pool);
        if let Some(build) = &ticket.build {
            cells.retain(|cell| cell.servers.iter().any(|server| server.build == *build));
        }
        let unavailable = || {
            Error::new(Code::ServerUnavailable, "the pool has no servers")
                .retry_after(UNAVAILABLE_RETRY_AFTER)
        };
        let candidates = self.candidates(&cells, ticket.prefix);
        let mut refused = None;
        for cell in candidates {
            let ticket = Ticket { pool: cell.name.clone(), ..ticket.clone() };
            match self.ask_cell(cell, ticket).await {
                Ok(grant) => return Ok(grant),
                Err(e) => refused = Some(e),
            }
        }
        Err(refused.unwrap_or_else(unavailable))
    }

    /// The at most two cells to try: those with the best affinity to `prefix`, the one with the
    /// shorter expected wait first if the difference is large.
    fn candidates<'a>(&self, cells: &'a [Cell], prefix: u64) -> Vec<&'a Cell> {
        let mut ordered = cell::by_affinity(cells, prefix);
        ordered.truncate(2);
        if let [first, second] = ordered[..]
            && self.expected_wait(&first.name)
                > self.expected_wait(&second.name) + AFFINITY_MAX_EXTRA_WAIT
        {
            ordered.swap(0, 1);
        }
        ordered
    }

    async fn ask_cell(&self, cell: &Cell, ticket: Ticket) -> Result<Grant> {
        for _ in 0..MAX_ATTEMPTS {
            let hosts = self.live.eligible_owners();
            let owner = cell::owner(cell, &hosts).filter(|host| !self.live.is_me(host));
            let reply = match owner {
                None => match self.dispatcher.ask_local(ticket.clone()).await {
                    Err(e) if e.code == Code::PeerUnavailable => Reply::Moved,
                    decided => return decided,
                },
                Some(host) => self.remote_grants.ask(host, ticket.clone()).await,
            };
            match reply {
                Reply::Granted(grant, wait) => {
                    self.record_expected_wait(&cell.name, wait);
                    return Ok(grant);
                }
                Reply::Refused(e, wait) => {
                    self.record_expected_wait(&cell.name, wait);
                    return Err(e);
                }
                Reply::Moved => tokio::time::sleep(RETRY_PAUSE).await,
                Reply::Unavailable => {
                    if let Some(host) = owner {
                        self.live.suspect(&host.name);
                    }
                }
            }
        }
        Err(Error::new(Code::ServerUnavailable, "no home").retry_after(UNAVAILABLE_RETRY_AFTER))
    }

    fn expected_wait(&self, cell: &PoolId) -> Duration {
        let now = self.clock.now();
        let expected_waits = self.expected_waits.lock();
        let fresh = expected_waits
            .get(cell)
            .filter(|(_, at)| now.saturating_duration_since(*at) < EXPECTED_WAIT_VALIDITY);
        fresh.map_or(Duration::ZERO, |(wait, _)| *wait)
    }

    fn record_expected_wait(&self, cell: &PoolId, wait: Duration) {
        self.expected_waits.lock().insert(cell.clone(), (wait, self.clock.now()));
    }
}

impl Dispatch for GrantClient {
    fn request_grant(&self, ticket: Ticket) -> GrantFuture<'_> {
        Box::pin(self.ask_candidates(ticket))
    }
}
