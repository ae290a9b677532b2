//! The home's side: the cells that this host dispatches, for itself and for those who ask.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use wasabi_config::cell::Cell as Config;
use wasabi_core::{
    errors::{Code, Result},
    note::Pool,
    time::Clock,
    units::{Incarnation, PoolId, Tokens},
};
use wasabi_entry::dispatch::{Asking, Dispatch as _, Grant, Local};
use wasabi_fleet::view::View;
use wasabi_peer::{
    homes::{Answering, Homes},
    rpc::{Ask, Beat, BeatAnswer, Decided, Done},
};
use wasabi_policy::ticket::{Outcome, Ticket};

use crate::{
    cell::{self, Cell},
    live::Live,
};

/// A grant whose holder has not been heard of for this long is taken back.
const GRANT_LIFE: Duration = Duration::from_secs(5);
/// A cell that nobody has asked this host for, and whose home is another, is given up after this.
const CELL_LIFE: Duration = Duration::from_secs(3);

/// The cells of this host.
pub struct Desks {
    clock: Arc<dyn Clock>,
    config: Arc<Config>,
    view: Arc<View>,
    live: Arc<Live>,
    local: Arc<Local>,
    /// Servers in a small cell.
    limit: usize,
    /// When each cell was last asked for here.
    asked: Mutex<HashMap<PoolId, Instant>>,
    grants: Mutex<Grants>,
}

#[derive(Default)]
struct Grants {
    next: u64,
    held: HashMap<(Incarnation, u64), Held>,
}

/// A grant that another host holds.
struct Held {
    grant: Grant,
    heard: Instant,
}

impl Desks {
    /// Gets a host without cells.
    pub fn new(
        clock: Arc<dyn Clock>,
        config: Arc<Config>,
        view: Arc<View>,
        live: Arc<Live>,
        local: Arc<Local>,
        limit: usize,
    ) -> Self {
        let (asked, grants) = Default::default();
        Self { clock, config, view, live, local, limit, asked, grants }
    }

    /// Returns the cells of a pool.
    pub fn cells(&self, pool: &Pool) -> Vec<Cell> {
        cell::of_pool(&pool.name, &self.view.servers(pool), self.limit)
    }

    /// Returns the cells of a pool by its name.
    pub fn cells_of(&self, pool: &PoolId) -> Vec<Cell> {
        let state = self.config.get();
        state.pools.get(pool).map_or_else(Vec::new, |slot| self.cells(&slot.object))
    }

    /// Asks this host's own desk; `ticket.pool` names the cell.
    pub fn ask_here(&self, ticket: Ticket) -> Asking<'_> {
        let new = self.asked.lock().insert(ticket.pool.clone(), self.clock.now()).is_none();
        if new {
            self.refresh();
        }
        self.local.ask(ticket)
    }

    /// Gives the desk the present servers of the cells that it dispatches; to be called whenever
    /// the configuration, the listings or the hosts change.
    pub fn refresh(&self) {
        // Looked up under the lock, so that of two calls at once the later one sets what is newer.
        let mut asked = self.asked.lock();
        let cells = self.all_cells();
        let hosts = self.live.hosts();
        let now = self.clock.now();
        asked.retain(|_, at| now.saturating_duration_since(*at) < CELL_LIFE);
        for cell in &cells {
            let home = cell::home(cell, &hosts);
            let mine = home.is_none_or(|host| self.live.is_me(host));
            if mine || asked.contains_key(&cell.name) {
                self.local.set_servers(&cell.name, &cell.servers);
            } else {
                self.local.give_up_pool(&cell.name);
            }
        }
        let known = self.local.with_desk(|desk| desk.pools());
        for name in known.iter().filter(|name| !cells.iter().any(|cell| cell.name == **name)) {
            self.local.give_up_pool(name);
        }
    }

    /// Takes back the grants whose holders have fallen silent.
    pub fn expire(&self) {
        let now = self.clock.now();
        let mut grants = self.grants.lock();
        let silent = |held: &Held| now.saturating_duration_since(held.heard) >= GRANT_LIFE;
        let names: Vec<_> =
            grants.held.iter().filter(|(_, held)| silent(held)).map(|(n, _)| n.clone()).collect();
        let expired: Vec<Held> = names.iter().filter_map(|n| grants.held.remove(n)).collect();
        drop(grants);
        for held in expired {
            held.grant.end(Outcome::Preempted);
        }
    }

    /// Returns how many grants other hosts hold.
    pub fn held(&self) -> usize {
        self.grants.lock().held.len()
    }

    fn all_cells(&self) -> Vec<Cell> {
        let state = self.config.get();
        state.pools.values().flat_map(|slot| self.cells(&slot.object)).collect()
    }

    fn keep(&self, from: Incarnation, grant: Grant) -> u64 {
        let heard = self.clock.now();
        let mut grants = self.grants.lock();
        grants.next += 1;
        let number = grants.next;
        grants.held.insert((from, number), Held { grant, heard });
        number
    }

    async fn answer(&self, ask: Ask) -> Decided {
        if self.live.is_leaving() {
            return Decided::Leaving;
        }
        let cell = ask.ticket.pool.clone();
        let tier = ask.ticket.tier;
        let decided: Result<Grant> = self.ask_here(ask.ticket).await;
        let wait = self.local.with_desk(|desk| desk.expected_wait(&cell, tier));
        let wait_ms = wait.as_millis() as u64;
        match decided {
            Ok(grant) => {
                let server = grant.server.clone();
                Decided::Granted { grant: self.keep(ask.from, grant), server, wait_ms }
            }
            Err(e) if e.code == Code::PeerUnavailable => Decided::Moved,
            Err(e) => {
                let retry = e.retry_after.unwrap_or_default();
                Decided::Refused { code: e.code, retry_ms: retry.as_millis() as u64, wait_ms }
            }
        }
    }
}

impl Homes for Desks {
    fn ask(&self, ask: Ask) -> Answering<'_> {
        Box::pin(self.answer(ask))
    }

    fn beat(&self, beat: Beat) -> BeatAnswer {
        let now = self.clock.now();
        let mut grants = self.grants.lock();
        let mut answer = BeatAnswer::default();
        for (number, tokens) in beat.grants {
            let Some(held) = grants.held.get_mut(&(beat.from.clone(), number)) else { continue };
            held.heard = now;
            held.grant.progress(Tokens(tokens));
            if held.grant.stop.is_cancelled() {
                answer.stop.push(number);
            }
        }
        answer
    }

    fn done(&self, done: Done) {
        let held = self.grants.lock().held.remove(&(done.from, done.grant));
        if let Some(held) = held {
            held.grant.progress(Tokens(done.tokens));
            held.grant.end(done.outcome);
        }
    }
}
