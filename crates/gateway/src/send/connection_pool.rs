//! A pool of HTTP connections to backend servers.

use std::{
    cell::RefCell,
    collections::HashMap,
    io,
    net::IpAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use wasabi_answer::evidence::Evidence;
use wasabi_core::{errors::Result, member::Member, units::ServerId};
use wasabi_platform::{
    http::{self, Connection},
    report,
};

/// Timeout of connecting; a live server accepts within milliseconds.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a server may take for the answer that shows that it lives, also on lossy links.
const EVIDENCE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// An idle connection is no longer used this long before the server would close it.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_000);
/// The keep-alive time assumed of a server that states none. Also the timeout for a released
/// connection to become ready.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(5);

/// A server's id and the start time of its incarnation, in milliseconds since 1970.
type ServerKey = (ServerId, u64);

/// The connections by server and incarnation of the server.
#[derive(Clone, Default)]
pub struct Pool(Rc<RefCell<HashMap<ServerKey, ServerConnections>>>);

/// How a connection was opened.
#[derive(Clone, Copy, Debug)]
pub struct Opened {
    /// When connecting began.
    pub at: Instant,
    /// What the process at its other end has said of itself.
    pub identity: Identity,
}

/// Which process is at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Identity {
    /// It has not been asked.
    Unasked,
    /// It does not say when it started.
    Unstated,
    /// The one that the list describes.
    Listed,
}

/// A connection that is not in use.
struct Idle {
    connection: Connection,
    opened: Opened,
    /// After this time it must not be used.
    expires: Instant,
}

#[derive(Default)]
struct ServerConnections {
    idle: Vec<Idle>,
    /// Idle connections and those in use.
    open: u32,
}

/// A connection in use; dropping it closes it, unless it was released to the pool.
pub struct PooledConnection {
    pool: Pool,
    key: ServerKey,
    connection: Option<Connection>,
    /// How it was opened.
    pub opened: Opened,
    /// Whether dropping this has to take it off the count of open connections.
    counted: bool,
    /// Whether it has carried a request before.
    pub reused: bool,
}

impl Pool {
    /// Returns an idle connection, or connects if fewer than `limit` are open.
    ///
    /// `source` is the address of this host from which it connects, if that is fixed. At the limit it
    /// fails with `ErrorKind::Other`.
    pub async fn acquire(
        &self,
        now: Instant,
        member: &Member,
        limit: u32,
        source: Option<IpAddr>,
    ) -> io::Result<PooledConnection> {
        let key = (member.id.clone(), member.born_ms);
        if let Some(Idle { connection, opened, .. }) = self.take_idle(now, &key) {
            return Ok(PooledConnection {
                pool: self.clone(),
                key,
                connection: Some(connection),
                opened,
                counted: true,
                reused: true,
            });
        }
        {
            let mut servers = self.0.borrow_mut();
            let server = servers.entry(key.clone()).or_default();
            if server.open >= limit {
                return Err(io::Error::other("connection limit"));
            }
            server.open += 1;
        }
        let mut pooled = PooledConnection {
            pool: self.clone(),
            key,
            connection: None,
            opened: Opened { at: now, identity: Identity::Unasked },
            counted: true,
            reused: false,
        };
        match connect(member, source).await {
            Some(connection) => pooled.connection = Some(connection?),
            None => return Err(io::Error::from(io::ErrorKind::TimedOut)),
        }
        Ok(pooled)
    }

    /// Closes idle connections to servers that are not among `members`.
    pub fn retain(&self, members: &[Member]) {
        let mut closed = Vec::new();
        for ((id, born), server) in self.0.borrow_mut().iter_mut() {
            if !members.iter().any(|m| m.id == *id && m.born_ms == *born) {
                server.open -= server.idle.len() as u32;
                closed.append(&mut server.idle);
            }
        }
        self.0.borrow_mut().retain(|_, server| server.open > 0);
    }

    fn take_idle(&self, now: Instant, key: &ServerKey) -> Option<Idle> {
        let mut servers = self.0.borrow_mut();
        let server = servers.get_mut(key)?;
        let idle_before = server.idle.len();
        server.idle.retain(|idle| !idle.connection.is_closed());
        server.open -= (idle_before - server.idle.len()) as u32;
        while let Some(idle) = server.idle.pop() {
            if now < idle.expires && idle.connection.is_ready() {
                return Some(idle);
            }
            server.open -= 1;
        }
        None
    }

    fn return_idle(&self, key: &ServerKey, idle: Idle) {
        if let Some(server) = self.0.borrow_mut().get_mut(key) {
            server.idle.push(idle);
        }
    }

    fn record_closed(&self, key: &ServerKey) {
        if let Some(server) = self.0.borrow_mut().get_mut(key) {
            server.open = server.open.saturating_sub(1);
        }
    }
}

/// Opens a connection; `None` if that takes too long.
async fn connect(member: &Member, source: Option<IpAddr>) -> Option<io::Result<Connection>> {
    metrics::counter!("wasabi_server_connections_total").increment(1);
    let options = http::ConnectOptions { source, resets: false };
    tokio::time::timeout(CONNECT_TIMEOUT, http::connect(member.address, options)).await.ok()
}

impl PooledConnection {
    /// Returns the connection. Panics if connecting has not succeeded, which [`Pool::acquire`]
    /// rules out.
    pub fn inner(&mut self) -> &mut Connection {
        self.connection.as_mut().expect("a pooled connection is present until released")
    }

    /// Returns the connection to the pool once it is idle in both directions.
    ///
    /// `keep_alive` is how long the server keeps it. If the server sends more than the response,
    /// the connection is closed.
    pub fn release(mut self, now: Instant, keep_alive: Option<Duration>) {
        let keep_alive = keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE).saturating_sub(KEEP_ALIVE_MARGIN);
        let Some(mut connection) = self.connection.take() else { return };
        tokio::task::spawn_local(async move {
            // The rest of the request's body may still be being sent.
            let ready = tokio::time::timeout(DEFAULT_KEEP_ALIVE, connection.ready()).await;
            if matches!(ready, Ok(true)) && !keep_alive.is_zero() {
                self.counted = false;
                let (opened, expires) = (self.opened, now + keep_alive);
                self.pool.return_idle(&self.key, Idle { connection, opened, expires });
            }
        });
    }

    /// Looks for evidence that the server lives, which has ended this connection: an answer that it gives
    /// afterwards. That a connection looks open is none, since on lossy links its end may not have arrived. If no
    /// idle one is open, a new one takes the place of this one in the pool.
    pub async fn find_evidence(
        mut self,
        now: Instant,
        member: &Member,
        keep_alive: Option<Duration>,
        source: Option<IpAddr>,
    ) -> Evidence {
        while let Some(mut idle) = self.pool.take_idle(now, &self.key) {
            // It belongs to the same process, whatever that says of itself.
            if ask(&mut idle.connection, member).await.is_some_and(|answer| answer.is_ok()) {
                self.pool.return_idle(&self.key, idle);
                return Evidence::Open;
            }
            self.pool.record_closed(&self.key);
        }
        let connected = connect(member, source).await;
        let evidence = match Evidence::of_connecting(connected.as_ref()) {
            Evidence::Accepted => Evidence::Unidentified,
            other => other,
        };
        let Some(Ok(mut connection)) = connected else { return evidence };
        let evidence = match ask(&mut connection, member).await {
            None => return Evidence::Unanswered,
            // A server resets connections above the number that it serves.
            Some(Err(_)) => return evidence,
            Some(Ok(Some(born_ms))) if member.born_ms > 0 => {
                if born_ms != member.born_ms {
                    return Evidence::Replaced;
                }
                Evidence::Accepted
            }
            Some(Ok(_)) => evidence,
        };
        self.connection = Some(connection);
        self.opened = Opened { at: now, identity: Identity::Unasked };
        self.release(now, keep_alive);
        evidence
    }
}

/// Asks a server for its report, for the sake of an answer; `None` if it takes too long.
async fn ask(connection: &mut Connection, member: &Member) -> Option<Result<Option<u64>>> {
    let asking = report::born_ms(connection, member.address);
    tokio::time::timeout(EVIDENCE_TIMEOUT, asking).await.ok()
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if self.counted {
            self.pool.record_closed(&self.key);
        }
    }
}
