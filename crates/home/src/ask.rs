//! The asking side: finds the home of a cell and gets a grant from it.

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
use wasabi_entry::dispatch::{Asking, Dispatch, Grant};
use wasabi_policy::ticket::Ticket;

use crate::{
    cell::{self, Cell},
    desk::Desks,
    link::{Links, Reply},
    live::Live,
};

/// Tries at homes that moved or did not answer, before the request is refused.
const MAX_TRIES: usize = 8;
/// How long a hint on a cell's wait is believed.
const HINT_LIFE: Duration = Duration::from_secs(2);
/// A cell with the prompt's prefix is preferred unless it is busier than another by this.
const AFFINITY_WORTH: Duration = Duration::from_millis(200);
const TRY_PAUSE: Duration = Duration::from_millis(50);
const WHEN_UNAVAILABLE: Duration = Duration::from_secs(2);

/// Gives servers to this host's requests, from homes wherever they are.
pub struct Asker {
    clock: Arc<dyn Clock>,
    desks: Arc<Desks>,
    links: Arc<Links>,
    live: Arc<Live>,
    /// The wait that each cell's home last stated, and when.
    hints: Mutex<HashMap<PoolId, (Duration, Instant)>>,
}

impl Asker {
    /// Gets an asker that uses this host's `desks` where it is the home itself.
    pub fn new(
        clock: Arc<dyn Clock>,
        desks: Arc<Desks>,
        links: Arc<Links>,
        live: Arc<Live>,
    ) -> Self {
        Self { clock, desks, links, live, hints: Mutex::default() }
    }

    async fn ask_all(&self, ticket: Ticket) -> Result<Grant> {
        let cells = self.desks.cells_of(&ticket.pool);
        let unavailable = || {
            Error::new(Code::ServerUnavailable, "the pool has no servers")
                .retry_after(WHEN_UNAVAILABLE)
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

    /// Returns the two cells to try: the one of the prefix and the next, the better first.
    fn candidates<'a>(&self, cells: &'a [Cell], prefix: u64) -> Vec<&'a Cell> {
        let mut ordered = cell::by_affinity(cells, prefix);
        ordered.truncate(2);
        if let [first, second] = ordered[..]
            && self.hint(&first.name) > self.hint(&second.name) + AFFINITY_WORTH
        {
            ordered.swap(0, 1);
        }
        ordered
    }

    async fn ask_cell(&self, cell: &Cell, ticket: Ticket) -> Result<Grant> {
        for _ in 0..MAX_TRIES {
            let hosts = self.live.hosts();
            let home = cell::home(cell, &hosts).filter(|host| !self.live.is_me(host));
            let reply = match home {
                None => match self.desks.ask_here(ticket.clone()).await {
                    Err(e) if e.code == Code::PeerUnavailable => Reply::Moved,
                    decided => return decided,
                },
                Some(host) => self.links.ask(host, ticket.clone()).await,
            };
            match reply {
                Reply::Granted(grant, wait) => {
                    self.note_hint(&cell.name, wait);
                    return Ok(grant);
                }
                Reply::Refused(e, wait) => {
                    self.note_hint(&cell.name, wait);
                    return Err(e);
                }
                Reply::Moved => tokio::time::sleep(TRY_PAUSE).await,
                Reply::Silent => {
                    if let Some(host) = home {
                        self.live.suspect(&host.name);
                    }
                }
            }
        }
        Err(Error::new(Code::ServerUnavailable, "no home").retry_after(WHEN_UNAVAILABLE))
    }

    fn hint(&self, cell: &PoolId) -> Duration {
        let now = self.clock.now();
        let hints = self.hints.lock();
        let fresh =
            hints.get(cell).filter(|(_, at)| now.saturating_duration_since(*at) < HINT_LIFE);
        fresh.map_or(Duration::ZERO, |(wait, _)| *wait)
    }

    fn note_hint(&self, cell: &PoolId, wait: Duration) {
        self.hints.lock().insert(cell.clone(), (wait, self.clock.now()));
    }
}

impl Dispatch for Asker {
    fn ask(&self, ticket: Ticket) -> Asking<'_> {
        Box::pin(self.ask_all(ticket))
    }
}
