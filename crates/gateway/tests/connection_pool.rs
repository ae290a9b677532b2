//! Tests of the pool of connections to backend servers, on real sockets.

use std::{
    net::{SocketAddr, TcpListener},
    time::Instant,
};

use wasabi_answer::evidence::Evidence;
use wasabi_core::member::{Member, Phase};
use wasabi_gateway::send::connection_pool::Pool;

fn member(address: SocketAddr) -> Member {
    Member {
        id: "a".parse().expect("a name"),
        born_ms: 1,
        service: "s".parse().expect("a name"),
        address,
        domain: "d".parse().expect("a name"),
        slots: 1,
        build: Default::default(),
        phase: Phase::Ready,
        reclaimable: false,
    }
}

/// Returns the evidence for a connection that has ended beside an idle one, of a server that accepts no more
/// connections and has closed the idle one or not.
async fn evidence_beside_an_idle_connection(closes_idle: bool) -> std::io::Result<Evidence> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let member = member(listener.local_addr()?);
    let pool = Pool::default();
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let now = Instant::now();
            let idle = pool.acquire(now, &member, 2, None).await?;
            let ended = pool.acquire(now, &member, 2, None).await?;
            let accepted = (listener.accept()?, listener.accept()?);
            idle.release(now, None);
            tokio::task::yield_now().await;
            drop(listener);
            let _open = (!closes_idle).then_some(accepted);
            Ok(ended.find_evidence(now, &member, None, None).await)
        })
        .await
}

/// On a busy host the connection's task has not run since.
#[tokio::test]
async fn an_idle_connection_that_the_server_has_just_closed_is_no_evidence() -> std::io::Result<()>
{
    assert_eq!(evidence_beside_an_idle_connection(true).await?, Evidence::Refused);
    Ok(())
}

/// As behind a link that has lost its end.
#[tokio::test]
async fn an_idle_connection_that_looks_open_and_does_not_answer_is_no_evidence()
-> std::io::Result<()> {
    assert_eq!(evidence_beside_an_idle_connection(false).await?, Evidence::Refused);
    Ok(())
}
