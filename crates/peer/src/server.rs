//! Answers the calls of other hosts.

use std::{net::SocketAddr, sync::Arc};

use jsonrpsee::{
    core::{RpcResult, async_trait},
    server::{Server, ServerHandle},
};
use wasabi_config::cell::Cell;
use wasabi_core::{
    errors::{self, Result},
    units::{Incarnation, Revision},
};

use crate::rpc::{Greeting, News, PeerServer};

const MAX_CONNECTIONS: u32 = 512;
const MAX_MESSAGE_BYTES: u32 = 64 * 1024 * 1024;

/// This host, as its peers see it.
pub struct Host {
    incarnation: Incarnation,
    cell: Arc<Cell>,
}

impl Host {
    /// Gets the host's side of the calls.
    pub fn new(incarnation: Incarnation, cell: Arc<Cell>) -> Self {
        Self { incarnation, cell }
    }

    /// Returns how the host stands.
    pub fn greeting(&self) -> Greeting {
        let revision = self.cell.get().revision;
        Greeting { incarnation: self.incarnation.clone(), revision }
    }
}

#[async_trait]
impl PeerServer for Host {
    async fn hello(&self, _from: Greeting) -> RpcResult<Greeting> {
        Ok(self.greeting())
    }

    async fn news(&self, revision: Revision) -> RpcResult<News> {
        let entries = self.cell.after(revision).filter(|_| revision > Revision(0));
        Ok(match entries {
            Some(entries) => News::Entries(entries),
            None => News::Whole(Box::new((*self.cell.get()).clone())),
        })
    }
}

/// Listens at `address`; returns the address in use and the handle that keeps it open.
pub async fn listen(address: SocketAddr, host: Host) -> Result<(SocketAddr, ServerHandle)> {
    let config = jsonrpsee::server::ServerConfig::builder()
        .max_connections(MAX_CONNECTIONS)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .build();
    let server = Server::builder().set_config(config).build(address).await;
    let server = server.map_err(|e| errors::internal(format!("peer port: {e}")))?;
    let local = server.local_addr().map_err(|e| errors::internal(e.to_string()))?;
    Ok((local, server.start(host.into_rpc())))
}
