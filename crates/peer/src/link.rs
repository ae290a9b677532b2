//! Calls to other hosts.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use parking_lot::Mutex;
use wasabi_core::{
    errors::{Code, Error, Result},
    units::Revision,
};

use crate::rpc::{Ask, Beat, BeatAnswer, Decided, Done, Greeting, News, PeerClient};

const MAX_MESSAGE_BYTES: u32 = 64 * 1024 * 1024;
/// A ticket never waits longer.
const LONGEST_WAIT: Duration = Duration::from_secs(3_600);
/// Clients kept for hosts that were called lately.
const MAX_CLIENTS: usize = 64;

/// Links to other hosts, opened when needed.
pub struct Links {
    timeout: Duration,
    clients: Mutex<HashMap<(SocketAddr, Duration), Arc<HttpClient>>>,
}

impl Links {
    /// Gets links on which a call takes at most `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self { timeout, clients: Mutex::default() }
    }

    /// Greets the host at `peer`.
    pub async fn hello(&self, peer: SocketAddr, from: Greeting) -> Result<Greeting> {
        self.client(peer, self.timeout)?.hello(from).await.map_err(|e| self.failed(peer, &e))
    }

    /// Gets what follows `revision` from the host at `peer`.
    pub async fn news(&self, peer: SocketAddr, revision: Revision) -> Result<News> {
        self.client(peer, self.timeout)?.news(revision).await.map_err(|e| self.failed(peer, &e))
    }

    /// Asks the home at `peer`; takes as long as the home needs to decide.
    pub async fn ask(&self, peer: SocketAddr, ask: Ask) -> Result<Decided> {
        self.client(peer, LONGEST_WAIT)?.ask(ask).await.map_err(|e| self.failed(peer, &e))
    }

    /// Tells the home at `peer` that grants are still held.
    pub async fn beat(&self, peer: SocketAddr, beat: Beat) -> Result<BeatAnswer> {
        self.client(peer, self.timeout)?.beat(beat).await.map_err(|e| self.failed(peer, &e))
    }

    /// Gives a grant back to the home at `peer`.
    pub async fn done(&self, peer: SocketAddr, done: Done) -> Result<()> {
        self.client(peer, self.timeout)?.done(done).await.map_err(|e| self.failed(peer, &e))
    }

    fn client(&self, peer: SocketAddr, timeout: Duration) -> Result<Arc<HttpClient>> {
        let mut clients = self.clients.lock();
        if let Some(client) = clients.get(&(peer, timeout)) {
            return Ok(client.clone());
        }
        if clients.len() >= MAX_CLIENTS {
            clients.clear();
        }
        let client = Arc::new(self.build(peer, timeout)?);
        clients.insert((peer, timeout), client.clone());
        Ok(client)
    }

    fn build(&self, peer: SocketAddr, timeout: Duration) -> Result<HttpClient> {
        HttpClientBuilder::default()
            .request_timeout(timeout)
            .max_response_size(MAX_MESSAGE_BYTES)
            .build(format!("http://{peer}"))
            .map_err(|e| Error::new(Code::PeerUnavailable, e.to_string()))
    }

    fn failed(&self, peer: SocketAddr, e: &jsonrpsee::core::ClientError) -> Error {
        self.clients.lock().retain(|(known, _), _| *known != peer);
        Error::new(Code::PeerUnavailable, e.to_string())
    }
}
