//! Grants from cells that other hosts own: requested, kept alive by heartbeats, and returned.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use parking_lot::Mutex;
use tokio::{runtime::Handle, sync::watch};
use tokio_util::sync::CancellationToken;
use wasabi_core::{
    errors::Error,
    io::Host,
    units::{HostId, Incarnation, PoolId, RequestRate, ServerId, Tokens},
};
use wasabi_entry::dispatch::{Grant, GrantHandle, LocalDispatch, Run};
use wasabi_peer::{
    client,
    rpc::{GrantDecision, GrantRelease, GrantRequest, Heartbeat},
};
use wasabi_policy::{
    quarantine::Feature,
    ticket::{Outcome, Ticket},
};

/// After this many heartbeats have failed in a row, an owner counts as unavailable.
const MISSED_HEARTBEATS_LIMIT: u32 = 2;

/// An owner without grants or waiting requests here is forgotten when as many have failed.
const FORGOTTEN_AFTER_HEARTBEATS: u32 = 100;

/// The outcome of asking another host for a grant.
pub enum Reply {
    /// A grant, and the expected wait for the next one in the cell.
    Granted(Grant, Duration),
    /// The owner refused the request; the error, and the expected wait in the cell.
    Refused(Error, Duration),
    /// The host does not own the cell any more.
    Moved,
    /// The host does not answer, or is stopping.
    Unavailable,
}

/// Requests and holds grants at the other hosts that own cells.
pub struct RemoteGrants {
    runtime: Handle,
    me: Incarnation,
    clients: Arc<client::PeerClients>,
    /// Knows what this host has learned of servers and requests.
    local: Arc<LocalDispatch>,
    owners: Mutex<HashMap<HostId, Arc<Owner>>>,
}

/// Another host, as an owner of cells.
struct Owner {
    host: Host,
    /// Grants that this host holds there, by number.
    grants: Mutex<HashMap<u64, Arc<HeldGrant>>>,
    /// Number of requests that wait for its decision.
    waiting: AtomicU64,
    /// Heartbeats that failed in a row; waiting requests watch it.
    missed_heartbeats: watch::Sender<u32>,
}

struct HeldGrant {
    /// Tokens generated since the last heartbeat.
    tokens: AtomicU64,
    stop: CancellationToken,
}

/// The handle of a grant that another host issued.
struct RemoteHandle {
    remote_grants: Arc<RemoteGrants>,
    owner: Arc<Owner>,
    number: u64,
    held: Arc<HeldGrant>,
}

impl RemoteGrants {
    /// Creates an empty set for the incarnation `me`. The messages that release grants are sent on
    /// `runtime`.
    pub fn new(
        runtime: Handle,
        me: Incarnation,
        clients: Arc<client::PeerClients>,
        local: Arc<LocalDispatch>,
    ) -> Arc<Self> {
        Arc::new(Self { runtime, me, clients, local, owners: Mutex::default() })
    }

    /// Asks `host` for a grant. Gives up with `Unavailable` once `MISSED_HEARTBEATS_LIMIT`
    /// heartbeats in a row have failed, those before the call included.
    pub async fn ask(self: &Arc<Self>, host: &Host, ticket: Ticket) -> Reply {
        let owner = self.owner(host);
        owner.waiting.fetch_add(1, Ordering::Relaxed);
        let _guard = WaitingGuard(&owner);
        let ask = GrantRequest { from: self.me.clone(), ticket, facts: self.local.facts() };
        let mut missed = owner.missed_heartbeats.subscribe();
        let decided = tokio::select! {
            decided = self.clients.request_grant(host.peer, ask) => decided,
            _ = missed.wait_for(|count| *count >= MISSED_HEARTBEATS_LIMIT)
                => return Reply::Unavailable,
        };
        match decided {
            Ok(GrantDecision::Granted { grant, server, wait_ms }) => {
                let held =
                    Arc::new(HeldGrant { tokens: AtomicU64::new(0), stop: Default::default() });
                owner.grants.lock().insert(grant, held.clone());
                let stop = held.stop.clone();
                let (remote_grants, owner) = (self.clone(), owner.clone());
                let handle = RemoteHandle { remote_grants, owner, number: grant, held };
                let wait = Duration::from_millis(wait_ms);
                Reply::Granted(Grant::new(server, stop, Box::new(handle)), wait)
            }
            Ok(GrantDecision::Refused { code, retry_ms, wait_ms }) => {
                let error = Error::new(code, "").retry_after(Duration::from_millis(retry_ms));
                Reply::Refused(error, Duration::from_millis(wait_ms))
            }
            Ok(GrantDecision::Moved) => Reply::Moved,
            Ok(GrantDecision::Leaving) => Reply::Unavailable,
            Err(_) => Reply::Unavailable,
        }
    }

    /// Sends a heartbeat to every owner that this host holds grants from or waits for, and to those that
    /// have missed one until they answer; call it several times a second.
    pub async fn send_heartbeats(&self) {
        let due: Vec<Arc<Owner>> = {
            let mut owners = self.owners.lock();
            owners
                .retain(|_, owner| !owner.is_idle() || owner.missed() < FORGOTTEN_AFTER_HEARTBEATS);
            let due = owners.values().filter(|owner| !owner.is_idle() || owner.missed() > 0);
            due.cloned().collect()
        };
        // At the same time, since an owner that does not answer takes the time limit of a call.
        join_all(due.iter().map(|owner| self.send_heartbeat(owner))).await;
    }

    async fn send_heartbeat(&self, owner: &Owner) {
        let grants: Vec<(u64, u64)> = {
            let grants = owner.grants.lock();
            grants
                .iter()
                .map(|(number, held)| (*number, held.tokens.swap(0, Ordering::Relaxed)))
                .collect()
        };
        let heartbeat = Heartbeat { from: self.me.clone(), grants, facts: self.local.facts() };
        match self.clients.heartbeat(owner.host.peer, heartbeat).await {
            Ok(answer) => {
                owner.missed_heartbeats.send_replace(0);
                let grants = owner.grants.lock();
                for number in answer.stop {
                    if let Some(held) = grants.get(&number) {
                        held.stop.cancel();
                    }
                }
            }
            Err(_) => owner.missed_heartbeats.send_modify(|missed| *missed += 1),
        }
    }

    /// Finds or adds the entry of an owner. A host that has the same name and another address is
    /// another owner, which replaces the former one.
    fn owner(&self, host: &Host) -> Arc<Owner> {
        let mut owners = self.owners.lock();
        let known = owners.get(&host.name).filter(|owner| owner.host.peer == host.peer);
        if let Some(owner) = known {
            return owner.clone();
        }
        let owner = Arc::new(Owner {
            host: host.clone(),
            grants: Mutex::default(),
            waiting: AtomicU64::new(0),
            missed_heartbeats: watch::Sender::new(0),
        });
        owners.insert(host.name.clone(), owner.clone());
        owner
    }
}

impl Owner {
    /// The heartbeats that failed in a row.
    fn missed(&self) -> u32 {
        *self.missed_heartbeats.borrow()
    }

    fn is_idle(&self) -> bool {
        self.grants.lock().is_empty() && self.waiting.load(Ordering::Relaxed) == 0
    }
}

/// Counts a request as waiting for its owner's decision until dropped.
struct WaitingGuard<'a>(&'a Owner);

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

impl GrantHandle for RemoteHandle {
    fn progress(&self, tokens: Tokens) {
        self.held.tokens.fetch_add(tokens.0, Ordering::Relaxed);
    }

    fn limit(&self, server: &ServerId, rate: Option<RequestRate>, sent: Instant) {
        self.remote_grants.local.record_limit(server, rate, sent);
    }

    fn run(&self, pool: &PoolId, server: &ServerId, features: &[Feature], run: Run) {
        self.remote_grants.local.record_run(pool, server, features, run);
    }

    fn end(&self, outcome: Outcome) {
        self.owner.grants.lock().remove(&self.number);
        let tokens = self.held.tokens.swap(0, Ordering::Relaxed);
        let from = self.remote_grants.me.clone();
        let facts = self.remote_grants.local.facts();
        let done = GrantRelease { from, grant: self.number, tokens, outcome, facts };
        let (remote_grants, peer) = (self.remote_grants.clone(), self.owner.host.peer);
        // If the message is lost, the grant expires at its owner.
        self.remote_grants
            .runtime
            .spawn(async move { remote_grants.clients.release_grant(peer, done).await });
    }
}
