//! Calls to other hosts.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use parking_lot::Mutex;
use wasabi_core::{
    errors::{Code, Error, Result},
    units::Revision,
};

use crate::rpc::{Greeting, News, PeerClient};

const MAX_MESSAGE_BYTES: u32 = 64 * 1024 * 1024;
/// Clients kept for hosts that were called lately.
const MAX_CLIENTS: usize = 64;

/// Links to other hosts, opened when needed.
pub struct Links {
    timeout: Duration,
    clients: Mutex<HashMap<SocketAddr, Arc<HttpClient>>>,
}

impl Links {
    /// Gets links on which a call takes at most `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self { timeout, clients: Mutex::default() }
    }

    /// Greets the host at `peer`.
    pub async fn hello(&self, peer: SocketAddr, from: Greeting) -> Result<Greeting> {
        self.client(peer)?.hello(from).await.map_err(|e| self.failed(peer, &e))
    }

    /// Gets what follows `revision` from the host at `peer`.
    pub async fn news(&self, peer: SocketAddr, revision: Revision) -> Result<News> {
        self.client(peer)?.news(revision).await.map_err(|e| self.failed(peer, &e))
    }

    fn client(&self, peer: SocketAddr) -> Result<Arc<HttpClient>> {
        let mut clients = self.clients.lock();
        if let Some(client) = clients.get(&peer) {
            return Ok(client.clone());
        }
        if clients.len() >= MAX_CLIENTS {
            clients.clear();
        }
        let client = HttpClientBuilder::default()
            .request_timeout(self.timeout)
            .max_response_size(MAX_MESSAGE_BYTES)
            .build(format!("http://{peer}"))
            .map_err(|e| Error::new(Code::PeerUnavailable, e.to_string()))?;
        let client = Arc::new(client);
        clients.insert(peer, client.clone());
        Ok(client)
    }

    fn failed(&self, peer: SocketAddr, e: &jsonrpsee::core::ClientError) -> Error {
        self.clients.lock().remove(&peer);
        Error::new(Code::PeerUnavailable, e.to_string())
    }
}
