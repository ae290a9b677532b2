//! The server side of the calls between hosts.

use std::{net::TcpListener, sync::Arc};

use jsonrpsee::{
    core::{RpcResult, async_trait},
    server::{Server, ServerHandle},
};
use wasabi_config::current::CurrentState;
use wasabi_core::{
    errors::{self, Result},
    units::{Incarnation, Revision},
};

use crate::{
    grants::GrantHandler,
    rpc::{
        GrantDecision, GrantRelease, GrantRequest, Greeting, Heartbeat, HeartbeatResponse,
        PeerServer, StateUpdate,
    },
};

const MAX_CONNECTIONS: u32 = 4_096;
const MAX_RESPONSE_BYTES: u32 = 64 * 1024 * 1024;

/// Serves the RPC methods of this host.
pub struct Service {
    incarnation: Incarnation,
    config: Arc<CurrentState>,
    grants: Arc<dyn GrantHandler>,
}

impl Service {
    /// Creates the RPC methods of the process `incarnation`.
    pub fn new(
        incarnation: Incarnation,
        config: Arc<CurrentState>,
        grants: Arc<dyn GrantHandler>,
    ) -> Self {
        Self { incarnation, config, grants }
    }

    /// Returns this host's identity, its revision and what it knows of servers and requests.
    pub fn greeting(&self) -> Greeting {
        let revision = self.config.get().revision;
        Greeting { incarnation: self.incarnation.clone(), revision, facts: self.grants.facts() }
    }
}

#[async_trait]
impl PeerServer for Service {
    async fn hello(&self, from: Greeting) -> RpcResult<Greeting> {
        self.grants.merge_facts(from.facts);
        Ok(self.greeting())
    }

    async fn state_update(&self, revision: Revision) -> RpcResult<StateUpdate> {
        let entries = self.config.entries_after(revision).filter(|_| revision > Revision(0));
        Ok(match entries {
            Some(entries) => StateUpdate::Entries(entries),
            None => StateUpdate::Whole(Box::new((*self.config.get()).clone())),
        })
    }

    async fn request_grant(&self, ask: GrantRequest) -> RpcResult<GrantDecision> {
        Ok(self.grants.request_grant(ask).await)
    }

    async fn heartbeat(&self, beat: Heartbeat) -> RpcResult<HeartbeatResponse> {
        Ok(self.grants.heartbeat(beat))
    }

    async fn release_grant(&self, done: GrantRelease) -> RpcResult<()> {
        self.grants.release_grant(done);
        Ok(())
    }
}

/// Serves calls on `listener` until the returned handle is dropped.
pub fn listen(listener: TcpListener, service: Service) -> Result<ServerHandle> {
    let config = jsonrpsee::server::ServerConfig::builder()
        .max_connections(MAX_CONNECTIONS)
        .max_response_body_size(MAX_RESPONSE_BYTES)
        .build();
    let server = Server::builder().set_config(config).build_from_tcp(listener);
    let server = server.map_err(|e| errors::internal(format!("peer port: {e}")))?;
    Ok(server.start(service.into_rpc()))
}
