//! Assignment of servers to requests: the [`Dispatch`] interface, and its implementation by the
//! scheduler of this host.

use std::{
    collections::HashMap,
    future::Future,
    pin::Pin,
    sync::Arc,
    time::{Duration, Instant},
};

use log::{info, warn};
use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use wasabi_core::{
    errors::{Code, Error, Result},
    note::Server,
    time::Clock,
    units::{PoolId, RequestRate, ServerId, Tokens},
};
use wasabi_policy::{
    facts::Facts,
    quarantine::{self, BrokenRun, Feature},
    scheduler::Scheduler,
    stated_limits,
    ticket::{Decision, Outcome, Ticket, TicketId},
};

/// The most servers whose limits one message between hosts reports.
const MAX_LIMIT_REPORTS: usize = 64;
/// The most broken runs that one message between hosts reports, the latest ones.
const MAX_RUN_REPORTS: usize = 64;
/// The start time of servers, of which the product's own interface says nothing.
const UNKNOWN_START: u64 = 0;

/// A wait for a grant; dropping it withdraws the ticket.
pub type GrantFuture<'a> = Pin<Box<dyn Future<Output = Result<Grant>> + Send + 'a>>;

/// Assigns servers to requests.
pub trait Dispatch: Send + Sync {
    /// Queues a ticket and waits for a server.
    ///
    /// Errors: `Overloaded` with a retry time, as soon as it is clear that the ticket cannot be
    /// served in time; `LimitReached` if its workspace is at its limit; `ServerUnavailable` if the
    /// pool has no servers or no host schedules it; `PeerUnavailable` if this host stops scheduling
    /// it; `Quarantined` if requests like it crash servers.
    fn request_grant(&self, ticket: Ticket) -> GrantFuture<'_>;
}

/// How a request has run on a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Run {
    /// It ended well, or generated for long enough.
    Sound,
    /// The server broke it off; the request was sent at that time.
    Broken(Instant),
}

/// The scheduler's side of a grant: takes progress reports and the end of the request.
pub trait GrantHandle: Send + Sync {
    /// Reports how many tokens were generated since the last call.
    fn progress(&self, tokens: Tokens);

    /// Reports what the server says of its limit in its answer to a request sent at `sent`.
    fn limit(&self, server: &ServerId, rate: Option<RequestRate>, sent: Instant);

    /// Reports how a request for a pool with these features has run on the server.
    fn run(&self, pool: &PoolId, server: &ServerId, features: &[Feature], run: Run);

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

    /// Reports what the server says of its limit in its answer to a request sent at `sent`.
    pub fn report_limit(&self, rate: Option<RequestRate>, sent: Instant) {
        if let Some(handle) = &self.handle {
            handle.limit(&self.server.name, rate, sent);
        }
    }

    /// Reports how a request for a pool with these features has run on the server.
    pub fn report_run(&self, pool: &PoolId, features: &[Feature], run: Run) {
        if let Some(handle) = &self.handle {
            handle.run(pool, &self.server.name, features, run);
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
    /// The limits that servers have named to this host or, as other hosts report, to them.
    limits: stated_limits::View,
    /// Requests that crash servers, as this host and others have seen.
    quarantine: quarantine::View,
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
        let (waiting, stops, limits) = Default::default();
        let quarantine = quarantine::View::new(rand::random());
        let inner = Inner { scheduler, waiting, stops, limits, quarantine };
        Self { shared: Arc::new(Shared { clock, inner: Mutex::new(inner) }) }
    }

    /// Replaces the servers of a pool.
    pub fn set_servers(&self, pool: &PoolId, servers: &[Server]) {
        let now = self.shared.clock.now();
        self.shared.apply(|inner| {
            let decisions = inner.scheduler.set_servers(now, pool, servers);
            inner.apply_limits(now);
            decisions
        });
    }

    /// Returns what this host knows of servers and requests, to be passed on to other hosts.
    pub fn facts(&self) -> Facts {
        let now = self.shared.clock.now();
        let inner = self.shared.inner.lock();
        Facts {
            limits: inner.limits.reports_following(now, None, MAX_LIMIT_REPORTS),
            evidence: inner.quarantine.all_evidence(now, MAX_RUN_REPORTS),
        }
    }

    /// Merges what another host knows of servers and requests.
    pub fn merge_facts(&self, facts: Facts) {
        if facts == Facts::default() {
            return;
        }
        let now = self.shared.clock.now();
        let mut inner = self.shared.inner.lock();
        inner.quarantine.merge(now, facts.evidence, Some(now));
        for report in facts.limits {
            let age = Duration::from_millis(report.age_ms);
            let at = now.checked_sub(age).unwrap_or(now);
            let stated = stated_limits::Statement { rate: report.rate, at };
            inner.limits.merge((report.server, report.born_ms), stated);
        }
        inner.apply_limits(now);
    }

    /// Records how a request for a pool with these features has run on a server.
    pub fn record_run(&self, pool: &PoolId, server: &ServerId, features: &[Feature], run: Run) {
        self.shared.record_run(pool, server, features, run);
    }

    /// Fails with `Quarantined` if requests like that of the ticket crash servers.
    pub fn check_quarantine(&self, ticket: &Ticket) -> Result<()> {
        self.shared.check_quarantine(&ticket.features)
    }

    /// Records what a server says of its limit in its answer to a request sent at `sent`.
    pub fn record_limit(&self, server: &ServerId, rate: Option<RequestRate>, sent: Instant) {
        self.shared.record_limit(server, rate, sent);
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
        if let Err(refused) = self.check_quarantine(&ticket) {
            return Box::pin(std::future::ready(Err(refused)));
        }
        let features = ticket.features.clone();
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
            let grant = decided.unwrap_or_else(|_| Err(Error::new(Code::Stopping, "")))?;
            // Others may have crashed servers while this one was queued.
            self.shared.check_quarantine(&features)?;
            self.shared.record_sent(&features);
            Ok(grant)
        })
    }
}

impl Inner {
    /// Gives the scheduler the limits that are known.
    fn apply_limits(&mut self, now: Instant) {
        for ((server, _), rate) in self.limits.stated() {
            self.scheduler.set_limit(now, server, rate);
        }
    }
}

impl Shared {
    fn record_limit(&self, server: &ServerId, rate: Option<RequestRate>, sent: Instant) {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        if inner.limits.record_answer(now, (server.clone(), UNKNOWN_START), rate, sent) {
            let per_second = rate.map(RequestRate::per_second);
            info!(server = server.as_str(), per_second = per_second; "backend server's limit changed");
            inner.apply_limits(now);
        }
    }

    fn record_run(&self, pool: &PoolId, server: &ServerId, features: &[Feature], run: Run) {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        match run {
            Run::Sound => inner.quarantine.record_sound(now, pool, features),
            Run::Broken(sent) => inner.quarantine.record_broken(BrokenRun {
                id: rand::random(),
                service: pool.clone(),
                server: server.clone(),
                sent,
                ended: now,
                features: features.to_vec(),
                controlled: false,
            }),
        }
    }

    fn check_quarantine(&self, features: &[Feature]) -> Result<()> {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        for change in inner.quarantine.refresh(now) {
            let (features, crashes) = (change.features.to_string(), change.quarantine);
            let crashes = crashes.map_or(0, |quarantine| quarantine.crashes);
            warn!(features = features.as_str(), crashes = crashes; "quarantine changed");
        }
        inner.quarantine.check(now, features).map_or(Ok(()), |refusal| Err(refusal.error()))
    }

    fn record_sent(&self, features: &[Feature]) {
        let now = self.clock.now();
        self.inner.lock().quarantine.record_sent(now, features);
    }

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

    fn limit(&self, server: &ServerId, rate: Option<RequestRate>, sent: Instant) {
        self.shared.record_limit(server, rate, sent);
    }

    fn run(&self, pool: &PoolId, server: &ServerId, features: &[Feature], run: Run) {
        self.shared.record_run(pool, server, features, run);
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
