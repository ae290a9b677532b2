//! Grants held at other hosts: asked for, kept alive by beats, and given back.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use parking_lot::Mutex;
use tokio::{runtime::Handle, sync::watch};
use tokio_util::sync::CancellationToken;
use wasabi_core::{
    errors::Error,
    io::Host,
    units::{HostId, Incarnation, Tokens},
};
use wasabi_entry::dispatch::{Grant, Seat};
use wasabi_peer::{
    link,
    rpc::{Ask, Beat, Decided, Done},
};
use wasabi_policy::ticket::{Outcome, Ticket};

/// Beats that may fail in a row before a home counts as silent.
const MAX_MISSED: u32 = 2;

/// What came of asking a home.
pub enum Reply {
    /// A grant, and the home's expected wait for the next.
    Granted(Grant, Duration),
    /// The home gave the request up; its expected wait.
    Refused(Error, Duration),
    /// The host is not the cell's home any more.
    Moved,
    /// The host does not answer, or is stopping.
    Silent,
}

/// This host's dealings with the homes on other hosts.
pub struct Links {
    runtime: Handle,
    me: Incarnation,
    calls: Arc<link::Links>,
    homes: Mutex<HashMap<HostId, Arc<Home>>>,
}

/// One other host, as a home.
struct Home {
    host: Host,
    /// Grants that this host holds there, by number.
    grants: Mutex<HashMap<u64, Arc<Held>>>,
    /// Requests that wait for its decision.
    waiting: AtomicU64,
    /// Beats missed in a row; asks that wait look at it.
    missed: watch::Sender<u32>,
}

struct Held {
    /// Tokens generated since the last beat.
    tokens: AtomicU64,
    stop: CancellationToken,
}

struct RemoteSeat {
    links: Arc<Links>,
    home: Arc<Home>,
    number: u64,
    held: Arc<Held>,
}

impl Links {
    /// Gets the dealings of `me`, whose calls run on `runtime`.
    pub fn new(runtime: Handle, me: Incarnation, calls: Arc<link::Links>) -> Arc<Self> {
        Arc::new(Self { runtime, me, calls, homes: Mutex::default() })
    }

    /// Asks the home on `host`.
    pub async fn ask(self: &Arc<Self>, host: &Host, ticket: Ticket) -> Reply {
        let home = self.home(host);
        home.waiting.fetch_add(1, Ordering::Relaxed);
        let _waits = Waits(&home);
        let ask = Ask { from: self.me.clone(), ticket };
        let mut missed = home.missed.subscribe();
        let decided = tokio::select! {
            decided = self.calls.ask(host.peer, ask) => decided,
            _ = missed.wait_for(|missed| *missed >= MAX_MISSED) => return Reply::Silent,
        };
        match decided {
            Ok(Decided::Granted { grant, server, wait_ms }) => {
                let held = Arc::new(Held { tokens: AtomicU64::new(0), stop: Default::default() });
                home.grants.lock().insert(grant, held.clone());
                let stop = held.stop.clone();
                let (links, home) = (self.clone(), home.clone());
                let seat = RemoteSeat { links, home, number: grant, held };
                let wait = Duration::from_millis(wait_ms);
                Reply::Granted(Grant::new(server, stop, Box::new(seat)), wait)
            }
            Ok(Decided::Refused { code, retry_ms, wait_ms }) => {
                let error = Error::new(code, "").retry_after(Duration::from_millis(retry_ms));
                Reply::Refused(error, Duration::from_millis(wait_ms))
            }
            Ok(Decided::Moved) => Reply::Moved,
            Ok(Decided::Leaving) => Reply::Silent,
            Err(_) => Reply::Silent,
        }
    }

    /// Beats at every home that this host has dealings with; to be called several times a second.
    pub async fn beat(&self) {
        let homes: Vec<Arc<Home>> = self.homes.lock().values().cloned().collect();
        for home in homes {
            if home.is_idle() {
                continue;
            }
            self.beat_at(&home).await;
        }
    }

    async fn beat_at(&self, home: &Home) {
        let grants: Vec<(u64, u64)> = {
            let grants = home.grants.lock();
            grants.iter().map(|(n, held)| (*n, held.tokens.swap(0, Ordering::Relaxed))).collect()
        };
        let beat = Beat { from: self.me.clone(), grants };
        match self.calls.beat(home.host.peer, beat).await {
            Ok(answer) => {
                home.missed.send_replace(0);
                let grants = home.grants.lock();
                for number in answer.stop {
                    if let Some(held) = grants.get(&number) {
                        held.stop.cancel();
                    }
                }
            }
            Err(_) => home.missed.send_modify(|missed| *missed += 1),
        }
    }

    /// A host that was replaced under its name is another home.
    fn home(&self, host: &Host) -> Arc<Home> {
        let mut homes = self.homes.lock();
        let known = homes.get(&host.name).filter(|home| home.host.peer == host.peer);
        if let Some(home) = known {
            return home.clone();
        }
        let home = Arc::new(Home {
            host: host.clone(),
            grants: Mutex::default(),
            waiting: AtomicU64::new(0),
            missed: watch::Sender::new(0),
        });
        homes.insert(host.name.clone(), home.clone());
        home
    }
}

impl Home {
    fn is_idle(&self) -> bool {
        self.grants.lock().is_empty() && self.waiting.load(Ordering::Relaxed) == 0
    }
}

struct Waits<'a>(&'a Home);

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Seat for RemoteSeat {
    fn progress(&self, tokens: Tokens) {
        self.held.tokens.fetch_add(tokens.0, Ordering::Relaxed);
    }

    fn end(&self, outcome: Outcome) {
        self.home.grants.lock().remove(&self.number);
        let tokens = self.held.tokens.swap(0, Ordering::Relaxed);
        let from = self.links.me.clone();
        let done = Done { from, grant: self.number, tokens, outcome };
        let (links, peer) = (self.links.clone(), self.home.host.peer);
        // A message that is lost is made up for by the grant's expiry at the home.
        self.links.runtime.spawn(async move { links.calls.done(peer, done).await });
    }
}
