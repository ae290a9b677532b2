//! The client side of the calls between hosts.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use parking_lot::Mutex;
use wasabi_core::{
    errors::{Code, Error, Result},
    units::Revision,
};

use crate::rpc::{
    GrantDecision, GrantRelease, GrantRequest, Greeting, Heartbeat, HeartbeatResponse, PeerClient,
    StateUpdate,
};

const MAX_RESPONSE_BYTES: u32 = 64 * 1024 * 1024;
/// The time limit of calls that wait for a decision; no ticket waits longer.
const GRANT_REQUEST_TIMEOUT: Duration = Duration::from_secs(3_600);
/// Clients kept for reuse; all are discarded to make room for one more.
const MAX_CLIENTS: usize = 64;

/// Clients for other hosts, created on first use.
pub struct PeerClients {
    timeout: Duration,
    clients: Mutex<HashMap<(SocketAddr, Duration), Arc<HttpClient>>>,
}

impl PeerClients {
    /// Creates clients whose calls take at most `timeout`, except for `request_grant`.
    pub fn new(timeout: Duration) -> Self {
        Self { timeout, clients: Mutex::default() }
    }

    /// Sends this host's greeting to the host at `peer` and returns that of the other.
    pub async fn hello(&self, peer: SocketAddr, from: Greeting) -> Result<Greeting> {
        self.client(peer, self.timeout)?.hello(from).await.map_err(|e| self.on_error(peer, &e))
    }

    /// Requests the configuration changes after `revision` from the host at `peer`.
    pub async fn state_update(&self, peer: SocketAddr, revision: Revision) -> Result<StateUpdate> {
        self.client(peer, self.timeout)?
            .state_update(revision)
            .await
            .map_err(|e| self.on_error(peer, &e))
    }

    /// Sends a ticket to the cell owner at `peer` and waits for the decision.
    pub async fn request_grant(
        &self,
        peer: SocketAddr,
        ask: GrantRequest,
    ) -> Result<GrantDecision> {
        self.client(peer, GRANT_REQUEST_TIMEOUT)?
            .request_grant(ask)
            .await
            .map_err(|e| self.on_error(peer, &e))
    }

    /// Tells the cell owner at `peer` which grants are still held.
    pub async fn heartbeat(&self, peer: SocketAddr, beat: Heartbeat) -> Result<HeartbeatResponse> {
        self.client(peer, self.timeout)?.heartbeat(beat).await.map_err(|e| self.on_error(peer, &e))
    }

    /// Releases a grant at the cell owner at `peer`.
    pub async fn release_grant(&self, peer: SocketAddr, done: GrantRelease) -> Result<()> {
        self.client(peer, self.timeout)?
            .release_grant(done)
            .await
            .map_err(|e| self.on_error(peer, &e))
    }

    fn client(&self, peer: SocketAddr, timeout: Duration) -> Result<Arc<HttpClient>> {
        let mut clients = self.clients.lock();
        if let Some(client) = clients.get(&(peer, timeout)) {
            return Ok(client.clone());
        }
        if clients.len() >= MAX_CLIENTS {
            clients.clear();
        }
        let client = Arc::new(self.build_client(peer, timeout)?);
        clients.insert((peer, timeout), client.clone());
        Ok(client)
    }

    fn build_client(&self, peer: SocketAddr, timeout: Duration) -> Result<HttpClient> {
        HttpClientBuilder::default()
            .request_timeout(timeout)
            .max_response_size(MAX_RESPONSE_BYTES)
            .build(format!("http://{peer}"))
            .map_err(|e| Error::new(Code::PeerUnavailable, e.to_string()))
    }

    /// Discards the clients for `peer`, so that the next call opens a new connection.
    fn on_error(&self, peer: SocketAddr, e: &jsonrpsee::core::ClientError) -> Error {
        self.clients.lock().retain(|(address, _), _| *address != peer);
        Error::new(Code::PeerUnavailable, e.to_string())
    }
}
