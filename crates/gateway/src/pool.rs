//! Kept connections to backend servers.

use std::{
    cell::RefCell,
    collections::HashMap,
    io,
    rc::Rc,
    time::{Duration, Instant},
};

use wasabi_core::{member::Member, units::ServerId};
use wasabi_platform::http::{self, Connection};

/// A new connection is given up after this time; a live server accepts within milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A connection is not used again this long before the server would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);
/// How long an idle connection is kept if the server does not say.
const DEFAULT_KEEP: Duration = Duration::from_secs(5);

type Key = (ServerId, u64);

/// The connections by server and life of the server.
#[derive(Clone, Default)]
pub struct Pool(Rc<RefCell<HashMap<Key, Entry>>>);

#[derive(Default)]
struct Entry {
    idle: Vec<(Connection, Instant)>,
    /// Idle or in use.
    open: u32,
}

/// A connection in use; it is closed when it is dropped, unless it was given back.
pub struct Lease {
    pool: Pool,
    key: Key,
    connection: Option<Connection>,
    /// Whether the entry still counts it as open.
    counted: bool,
    /// Whether it carried a request before.
    pub reused: bool,
}

impl Pool {
    /// Takes a kept connection, or connects if fewer than `most` are open.
    pub async fn take(&self, now: Instant, member: &Member, most: u32) -> io::Result<Lease> {
        let key = (member.id.clone(), member.born_ms);
        if let Some(connection) = self.take_idle(now, &key) {
            let connection = Some(connection);
            return Ok(Lease { pool: self.clone(), key, connection, counted: true, reused: true });
        }
        {
            let mut entries = self.0.borrow_mut();
            let entry = entries.entry(key.clone()).or_default();
            if entry.open >= most {
                return Err(io::Error::other("connection limit"));
            }
            entry.open += 1;
        }
        let mut lease =
            Lease { pool: self.clone(), key, connection: None, counted: true, reused: false };
        metrics::counter!("wasabi_server_connections_total").increment(1);
        let connecting = http::connect(member.address);
        match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(connection) => lease.connection = Some(connection?),
            Err(_) => return Err(io::Error::from(io::ErrorKind::TimedOut)),
        }
        Ok(lease)
    }

    /// Closes idle connections to servers that are not listed.
    pub fn retain(&self, members: &[Member]) {
        let mut closed = Vec::new();
        for ((id, born), entry) in self.0.borrow_mut().iter_mut() {
            if !members.iter().any(|m| m.id == *id && m.born_ms == *born) {
                entry.open -= entry.idle.len() as u32;
                closed.append(&mut entry.idle);
            }
        }
        self.0.borrow_mut().retain(|_, entry| entry.open > 0);
    }

    fn take_idle(&self, now: Instant, key: &Key) -> Option<Connection> {
        let mut entries = self.0.borrow_mut();
        let entry = entries.get_mut(key)?;
        let before = entry.idle.len();
        entry.idle.retain(|(connection, _)| !connection.sender.is_closed());
        entry.open -= (before - entry.idle.len()) as u32;
        while let Some((connection, until)) = entry.idle.pop() {
            if now < until && connection.sender.is_ready() {
                return Some(connection);
            }
            entry.open -= 1;
        }
        None
    }

    fn put(&self, key: &Key, connection: Connection, until: Instant) {
        if let Some(entry) = self.0.borrow_mut().get_mut(key) {
            entry.idle.push((connection, until));
        }
    }

    fn closed(&self, key: &Key) {
        if let Some(entry) = self.0.borrow_mut().get_mut(key) {
            entry.open = entry.open.saturating_sub(1);
        }
    }
}

impl Lease {
    /// Returns the connection.
    pub fn connection(&mut self) -> &mut Connection {
        self.connection.as_mut().expect("a lease has its connection until it ends")
    }

    /// Keeps the connection for another request once it is idle in both directions.
    ///
    /// Bytes that follow the answer close it instead.
    pub fn give_back(mut self, now: Instant, keep: Option<Duration>) {
        let keep = keep.unwrap_or(DEFAULT_KEEP).saturating_sub(IDLE_MARGIN);
        let Some(mut connection) = self.connection.take() else { return };
        tokio::task::spawn_local(async move {
            // The rest of an upload may still be on its way.
            let ready = tokio::time::timeout(DEFAULT_KEEP, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) && !keep.is_zero() {
                self.counted = false;
                self.pool.put(&self.key, connection, now + keep);
            }
        });
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if self.counted {
            self.pool.closed(&self.key);
        }
    }
}
