//! Assignment of servers to requests: the [`Dispatch`] interface, and its implementation by the
//! scheduler of this host.

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
    scheduler::Scheduler,
    ticket::{Decision, Outcome, Ticket, TicketId},
};

/// A wait for a grant; dropping it withdraws the ticket.
pub type GrantFuture<'a> = Pin<Box<dyn Future<Output = Result<Grant>> + Send + 'a>>;

/// Assigns servers to requests.
pub trait Dispatch: Send + Sync {
    /// Queues a ticket and waits for a server.
    ///
    /// Errors: `Overloaded` with a retry time, as soon as it is clear that the ticket cannot be
    /// served in time; `LimitReached` if its workspace is at its limit; `ServerUnavailable` if the
    /// pool has no servers or no host schedules it; `PeerUnavailable` if this host stops scheduling
    /// it.
    fn request_grant(&self, ticket: Ticket) -> GrantFuture<'_>;
}

/// The scheduler's side of a grant: takes progress reports and the end of the request.
pub trait GrantHandle: Send + Sync {
    /// Reports how many tokens were generated since the last call.
    fn progress(&self, tokens: Tokens);

    /// Ends the grant and frees its capacity on the server.
    fn end(&self, outcome: Outcome);
}

/// Permission to run one request on a server; dropping it ends it with `Outcome::Done`.
pub struct Grant {
    /// The server that the request may run on.
    pub server: Server,
    /// Cancelled when the request must stop to make room for one of a higher tier.
    pub stop: CancellationToken,
    handle: Option<Box<dyn GrantHandle>>,
}

impl Grant {
    /// Creates a grant for `server`; `handle` is told of its progress and its end.
    pub fn new(server: Server, stop: CancellationToken, handle: Box<dyn GrantHandle>) -> Self {
        Self { server, stop, handle: Some(handle) }
    }

    /// Reports how many tokens were generated since the last call.
    pub fn progress(&self, tokens: Tokens) {
        if let Some(handle) = &self.handle {
            handle.progress(tokens);
        }
    }

    /// Ends the grant and frees its capacity on the server.
    pub fn end(mut self, outcome: Outcome) {
        if let Some(handle) = self.handle.take() {
            handle.end(outcome);
        }
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        if let Some(handle) = self.handle.take() {
            handle.end(Outcome::Done);
        }
    }
}

/// Assigns servers by the scheduler of this host, which all requests share.
pub struct LocalDispatch {
    shared: Arc<Shared>,
}

struct Shared {
    clock: Arc<dyn Clock>,
    inner: Mutex<Inner>,
}

struct Inner {
    scheduler: Scheduler,
    waiting: HashMap<TicketId, oneshot::Sender<Result<Grant>>>,
    /// The stop signals of the running grants.
    stops: HashMap<TicketId, CancellationToken>,
}

struct LocalHandle {
    shared: Arc<Shared>,
    id: TicketId,
}

/// Withdraws the ticket when the wait for it is dropped before a decision.
struct WaitGuard {
    shared: Arc<Shared>,
    id: TicketId,
}

impl LocalDispatch {
    /// Shares `scheduler` among the requests of this host.
    pub fn new(clock: Arc<dyn Clock>, scheduler: Scheduler) -> Self {
        let inner = Inner { scheduler, waiting: HashMap::new(), stops: HashMap::new() };
        Self { shared: Arc::new(Shared { clock, inner: Mutex::new(inner) }) }
    }

    /// Replaces the servers of a pool.
    pub fn set_servers(&self, pool: &PoolId, servers: &[Server]) {
        let now = self.shared.clock.now();
        self.shared.apply(|inner| inner.scheduler.set_servers(now, pool, servers));
    }

    /// Stops scheduling a pool; its waiting tickets are refused with `PeerUnavailable`.
    pub fn close_pool(&self, pool: &PoolId) {
        self.shared.apply(|inner| inner.scheduler.close_pool(pool));
    }

    /// Re-evaluates the waiting tickets as time passes. Call it several times a second.
    pub fn tick(&self) {
        let now = self.shared.clock.now();
        self.shared.apply(|inner| inner.scheduler.tick(now));
    }

    /// Calls `inspect` with the scheduler, which is locked meanwhile.
    pub fn with_scheduler<T>(&self, inspect: impl FnOnce(&Scheduler) -> T) -> T {
        inspect(&self.shared.inner.lock().scheduler)
    }
}

impl Dispatch for LocalDispatch {
    fn request_grant(&self, ticket: Ticket) -> GrantFuture<'_> {
        let now = self.shared.clock.now();
        let (sender, receiver) = oneshot::channel();
        let mut id = TicketId(0);
        self.shared.apply(|inner| {
            let (ticket_id, decisions) = inner.scheduler.arrive(now, ticket);
            id = ticket_id;
            inner.waiting.insert(id, sender);
            decisions
        });
        let guard = WaitGuard { shared: self.shared.clone(), id };
        Box::pin(async move {
            let decided = receiver.await;
            drop(guard);
            decided.unwrap_or_else(|_| Err(Error::new(Code::Stopping, "")))
        })
    }
}

impl Shared {
    /// Runs `event` under the lock and carries out the decisions that it returns.
    fn apply(self: &Arc<Self>, event: impl FnOnce(&mut Inner) -> Vec<Decision>) {
        let mut undelivered = Vec::new();
        {
            let mut inner = self.inner.lock();
            let decisions = event(&mut inner);
            for decision in decisions {
                undelivered.extend(self.carry_out(&mut inner, decision));
            }
        }
        // Dropping a grant that nobody waits for ends it, which takes the lock again.
        drop(undelivered);
    }

    /// Carries out a decision; returns a grant that nobody waits for any more.
    fn carry_out(self: &Arc<Self>, inner: &mut Inner, decision: Decision) -> Option<Result<Grant>> {
        match decision {
            Decision::Grant { ticket, server } => {
                let stop = CancellationToken::new();
                inner.stops.insert(ticket, stop.clone());
                let handle = LocalHandle { shared: self.clone(), id: ticket };
                let grant = Grant::new(server, stop, Box::new(handle));
                match inner.waiting.remove(&ticket) {
                    Some(sender) => sender.send(Ok(grant)).err(),
                    None => Some(Ok(grant)),
                }
            }
            Decision::Refuse { ticket, code, retry_after } => {
                if let Some(sender) = inner.waiting.remove(&ticket) {
                    let refused = Error::new(code, "").retry_after(retry_after);
                    let _ = sender.send(Err(refused));
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
            inner.scheduler.finish(now, id, outcome)
        });
    }
}

impl GrantHandle for LocalHandle {
    fn progress(&self, tokens: Tokens) {
        let now = self.shared.clock.now();
        self.shared.apply(|inner| inner.scheduler.progress(now, self.id, tokens));
    }

    fn end(&self, outcome: Outcome) {
        self.shared.finish(self.id, outcome);
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let was_waiting = self.shared.inner.lock().waiting.remove(&self.id).is_some();
        if was_waiting {
            self.shared.finish(self.id, Outcome::Done);
        }
    }
}
