//! How a request gets a server: the interface, and the desk of this host behind it.

use std::{collections::HashMap, future::Future, pin::Pin, sync::Arc};

use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use wasabi_core::{
    errors::{Code, Error, Result},
    note::Server,
    time::Clock,
    units::{PoolId, Tokens},
};
use wasabi_policy::{
    desk::Desk,
    ticket::{Decision, Outcome, Ticket, TicketId},
};

/// The wait for a grant; dropping it takes the ticket back.
pub type Asking<'a> = Pin<Box<dyn Future<Output = Result<Grant>> + Send + 'a>>;

/// Gives servers to requests.
pub trait Dispatch: Send + Sync {
    /// Asks for a server.
    ///
    /// Errors: `Overloaded` with the time to come back, given as soon as it is decided.
    fn ask(&self, ticket: Ticket) -> Asking<'_>;
}

/// A granted place on a server, as the desk that gave it sees it.
pub trait Seat: Send + Sync {
    /// Tells how many tokens were generated since the last call.
    fn progress(&self, tokens: Tokens);

    /// Gives the place back.
    fn end(&self, outcome: Outcome);
}

/// The right to run one request on a server; dropping it gives the place back.
pub struct Grant {
    /// Where the request may run.
    pub server: Server,
    /// Set when the request has to stop for one of a higher tier.
    pub stop: CancellationToken,
    seat: Option<Box<dyn Seat>>,
}

impl Grant {
    /// Gets a grant for `server`.
    pub fn new(server: Server, stop: CancellationToken, seat: Box<dyn Seat>) -> Self {
        Self { server, stop, seat: Some(seat) }
    }

    /// Tells how many tokens were generated since the last call.
    pub fn progress(&self, tokens: Tokens) {
        if let Some(seat) = &self.seat {
            seat.progress(tokens);
        }
    }

    /// Gives the place back.
    pub fn end(mut self, outcome: Outcome) {
        if let Some(seat) = self.seat.take() {
            seat.end(outcome);
        }
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        if let Some(seat) = self.seat.take() {
            seat.end(Outcome::Done);
        }
    }
}

/// The desk of this host, shared by its requests.
pub struct Local {
    shared: Arc<Shared>,
}

struct Shared {
    clock: Arc<dyn Clock>,
    inner: Mutex<Inner>,
}

struct Inner {
    desk: Desk,
    waiting: HashMap<TicketId, oneshot::Sender<Result<Grant>>>,
    stops: HashMap<TicketId, CancellationToken>,
}

struct LocalSeat {
    shared: Arc<Shared>,
    id: TicketId,
}

/// Takes the ticket back when the wait for it is dropped.
struct Pending {
    shared: Arc<Shared>,
    id: TicketId,
}

impl Local {
    /// Shares `desk`.
    pub fn new(clock: Arc<dyn Clock>, desk: Desk) -> Self {
        let inner = Inner { desk, waiting: HashMap::new(), stops: HashMap::new() };
        Self { shared: Arc::new(Shared { clock, inner: Mutex::new(inner) }) }
    }

    /// Sets the servers of a pool.
    pub fn set_servers(&self, pool: &PoolId, servers: &[Server]) {
        let now = self.shared.clock.now();
        self.shared.apply(|inner| inner.desk.set_servers(now, pool, servers));
    }

    /// Stops dispatching a pool; what waits is refused with `PeerUnavailable`.
    pub fn give_up_pool(&self, pool: &PoolId) {
        self.shared.apply(|inner| inner.desk.give_up_pool(pool));
    }

    /// Looks again at what waits; to be called several times a second.
    pub fn tick(&self) {
        let now = self.shared.clock.now();
        self.shared.apply(|inner| inner.desk.tick(now));
    }

    /// Calls `look` with the desk.
    pub fn with_desk<T>(&self, look: impl FnOnce(&Desk) -> T) -> T {
        look(&self.shared.inner.lock().desk)
    }
}

impl Dispatch for Local {
    fn ask(&self, ticket: Ticket) -> Asking<'_> {
        let now = self.shared.clock.now();
        let (sender, receiver) = oneshot::channel();
        let mut id = TicketId(0);
        self.shared.apply(|inner| {
            let (arrived, decisions) = inner.desk.arrive(now, ticket);
            id = arrived;
            inner.waiting.insert(id, sender);
            decisions
        });
        let pending = Pending { shared: self.shared.clone(), id };
        Box::pin(async move {
            let decided = receiver.await;
            drop(pending);
            decided.unwrap_or_else(|_| Err(Error::new(Code::Stopping, "")))
        })
    }
}

impl Shared {
    fn apply(self: &Arc<Self>, event: impl FnOnce(&mut Inner) -> Vec<Decision>) {
        let mut refused_grants = Vec::new();
        {
            let mut inner = self.inner.lock();
            let decisions = event(&mut inner);
            for decision in decisions {
                refused_grants.extend(self.carry_out(&mut inner, decision));
            }
        }
        // A grant that nobody waits for gives its place back, which needs the lock.
        drop(refused_grants);
    }

    /// Returns a grant that could not be handed over.
    fn carry_out(self: &Arc<Self>, inner: &mut Inner, decision: Decision) -> Option<Result<Grant>> {
        match decision {
            Decision::Grant { ticket, server } => {
                let stop = CancellationToken::new();
                inner.stops.insert(ticket, stop.clone());
                let seat = LocalSeat { shared: self.clone(), id: ticket };
                let grant = Grant::new(server, stop, Box::new(seat));
                match inner.waiting.remove(&ticket) {
                    Some(waiting) => waiting.send(Ok(grant)).err(),
                    None => Some(Ok(grant)),
                }
            }
            Decision::Refuse { ticket, code, retry_after } => {
                if let Some(waiting) = inner.waiting.remove(&ticket) {
                    let refused = Error::new(code, "").retry_after(retry_after);
                    let _ = waiting.send(Err(refused));
                }
                None
            }
            Decision::Preempt { ticket } => {
                if let Some(stop) = inner.stops.get(&ticket) {
                    stop.cancel();
                }
                None
            }
        }
    }

    fn finish(self: &Arc<Self>, id: TicketId, outcome: Outcome) {
        let now = self.clock.now();
        self.apply(|inner| {
            inner.stops.remove(&id);
            inner.desk.finish(now, id, outcome)
        });
    }
}

impl Seat for LocalSeat {
    fn progress(&self, tokens: Tokens) {
        let now = self.shared.clock.now();
        self.shared.apply(|inner| inner.desk.progress(now, self.id, tokens));
    }

    fn end(&self, outcome: Outcome) {
        self.shared.finish(self.id, outcome);
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        let waits = self.shared.inner.lock().waiting.remove(&self.id).is_some();
        if waits {
            self.shared.finish(self.id, Outcome::Done);
        }
    }
}
