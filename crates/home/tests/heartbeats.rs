//! Owners of cells that miss heartbeats for a while.

use std::{
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::Duration,
};

use tokio::runtime::Handle;
use wasabi_config::current::CurrentState;
use wasabi_core::{
    io::Host,
    note::Server,
    time::System,
    units::{HostId, Tokens},
};
use wasabi_entry::dispatch::LocalDispatch;
use wasabi_home::remote_grants::{RemoteGrants, Reply};
use wasabi_peer::{
    client::PeerClients,
    grants::{DecisionFuture, GrantHandler},
    rpc::{GrantDecision, GrantRelease, GrantRequest, Heartbeat, HeartbeatResponse},
    server::{self, Service},
};
use wasabi_policy::{
    facts::Facts,
    scheduler::{Options, Scheduler},
    ticket::Ticket,
};

/// Grants every ticket.
struct Owner;

impl GrantHandler for Owner {
    fn request_grant(&self, _ask: GrantRequest) -> DecisionFuture<'_> {
        let server = Server {
            name: "s".parse().expect("a name"),
            address: "127.0.0.1:1".parse().expect("an address"),
            build: Default::default(),
            domain: "d".parse().expect("a name"),
            reclaimable: false,
            slots: 1,
        };
        Box::pin(async { GrantDecision::Granted { grant: 1, server, wait_ms: 0 } })
    }

    fn heartbeat(&self, _beat: Heartbeat) -> HeartbeatResponse {
        HeartbeatResponse::default()
    }

    fn facts(&self) -> Facts {
        Facts::default()
    }

    fn merge_facts(&self, _: Facts) {}

    fn release_grant(&self, _done: GrantRelease) {}
}

fn ticket() -> Ticket {
    Ticket {
        pool: "pool".parse().expect("a name"),
        class: "c".parse().expect("a name"),
        tier: 0,
        workspace: "w".parse().expect("a name"),
        weight: 1,
        max_running: None,
        token_rate: None,
        max_gap: Duration::from_secs(1),
        patience: Duration::from_secs(1),
        expected: Tokens(1),
        preemptible: false,
        avoid: None,
        prefix: 0,
        features: Vec::new(),
        build: None,
        resumed: false,
    }
}

/// Serves the owner's calls at `address` until the handle is stopped.
fn serve(address: SocketAddr) -> anyhow::Result<jsonrpsee::server::ServerHandle> {
    let service = Service::new("owner:1".parse()?, Arc::<CurrentState>::default(), Arc::new(Owner));
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(server::listen(listener, service)?)
}

#[tokio::test]
async fn an_owner_that_missed_heartbeats_is_available_again_once_it_answers() -> anyhow::Result<()>
{
    // Serving ends with its connections, so the owner that is away is one that nobody serves.
    let address = {
        let reserved = TcpListener::bind(("127.0.0.1", 0))?;
        reserved.local_addr()?
    };
    let name: HostId = "owner".parse()?;
    let host = Host { name, domain: "d".parse()?, peer: address, leaving: false };
    let clients = Arc::new(PeerClients::new(Duration::from_millis(300)));
    let scheduler = Scheduler::new(Options::default());
    let local = Arc::new(LocalDispatch::new(Arc::new(System), scheduler));
    let grants = RemoteGrants::new(Handle::current(), "me:1".parse()?, clients, local);
    let serving = serve(address)?;
    let Reply::Granted(grant, _) = grants.ask(&host, ticket()).await else {
        anyhow::bail!("the owner grants every ticket");
    };
    serving.stop()?;
    serving.stopped().await;
    // While this host holds a grant there, it sends heartbeats, and none is answered.
    for _ in 0..3 {
        grants.send_heartbeats().await;
    }
    assert!(matches!(grants.ask(&host, ticket()).await, Reply::Unavailable));
    drop(grant);
    let serving = serve(address)?;
    grants.send_heartbeats().await;
    let again = grants.ask(&host, ticket()).await;
    assert!(matches!(again, Reply::Granted(..)), "it answers again");
    serving.stop()?;
    Ok(())
}
