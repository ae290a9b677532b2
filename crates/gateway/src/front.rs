//! The port that callers reach.

use std::{convert::Infallible, net::SocketAddr, pin::pin, rc::Rc, time::Duration};

use hyper::{
    Request,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{info, warn};
use tokio::net::{TcpListener, TcpStream};
use wasabi_platform::http;

use crate::{
    relay,
    site::{Open, Site},
};

/// Between two tries to bind a port that is still taken by the life before.
const BIND_PAUSE: Duration = Duration::from_millis(100);
/// After a failed accept, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How long a stopping host still takes connections: the balancer asks once a second and needs two
/// misses; callers that were on their way still arrive.
pub const STOP_NOTICE: Duration = Duration::from_millis(3_200);
/// How long a stopping host keeps idle connections, for the balancer to notice that it stops.
const CLOSE_IDLE_AFTER: Duration = Duration::from_millis(2_500);
/// How often a connection looks whether the host stops.
const STOP_POLL: Duration = Duration::from_millis(250);
/// How long connections wait for a host that has just started to learn the configuration, which
/// takes it one answer of the store. Callers give up on a host that does not read for a second.
const LEARN_TIME: Duration = Duration::from_millis(400);
const LEARN_POLL: Duration = Duration::from_millis(2);
/// The buffer of a connection beyond the largest head.
const BUFFER_BYTES: usize = 16 * 1024;

/// Binds a port, and tries again until it is free.
pub async fn bind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(e) => {
                let (port, cause) = (address.to_string(), e.to_string());
                warn!(address = port.as_str(), cause = cause.as_str(); "port not bound yet");
                tokio::time::sleep(BIND_PAUSE).await;
            }
        }
    }
}

/// Accepts connections for ever and runs `serve` on each.
pub async fn accept<F>(listener: TcpListener, mut serve: impl FnMut(TcpStream) -> F)
where
    F: Future<Output = ()> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve(stream));
            }
            Err(e) => {
                let cause = e.to_string();
                warn!(cause = cause.as_str(); "connection not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves callers; a stopping host takes no new connections once the balancer has noticed.
pub async fn run(state: Rc<Site>, listener: TcpListener) {
    let since = state.now();
    while !state.has_config_and_servers()
        && state.now().saturating_duration_since(since) < LEARN_TIME
    {
        tokio::time::sleep(LEARN_POLL).await;
    }
    let waited = state.now().saturating_duration_since(since);
    info!(knows = state.has_config_and_servers(), waited_ms = waited.as_millis() as u64; "callers are served");
    tokio::select! {
        () = accept(listener, |stream| caller(state.clone(), stream)) => {}
        () = stopped(&state, STOP_NOTICE) => {}
    }
}

/// Waits until the host has been stopping for `time`.
async fn stopped(state: &Site, time: Duration) {
    loop {
        let since = state.stopping_since.get();
        if since.is_some_and(|at| state.now().saturating_duration_since(at) >= time) {
            return;
        }
        tokio::time::sleep(STOP_POLL).await;
    }
}

async fn caller(state: Rc<Site>, stream: TcpStream) {
    let _open = Open::connection(&state);
    let limits = state.config().map(|(catalog, _)| catalog.limits).unwrap_or_default();
    // A caller may pause reading for as long as it may be idle.
    if http::prepare(&stream, limits.idle_timeout).is_err() {
        // The caller has gone already.
        return;
    }
    let service = {
        let state = state.clone();
        service_fn(move |request: Request<Incoming>| {
            let state = state.clone();
            async move {
                let mut answer = relay::serve(state.clone(), request).await;
                if state.stopping_since.get().is_some() {
                    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(answer)
            }
        })
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // Bounds both the wait for a head and the time between requests.
        .header_read_timeout(limits.idle_timeout)
        .auto_date_header(false)
        .max_buf_size(limits.max_head.0 as usize + BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    tokio::select! {
        ended = connection.as_mut() => return note(ended),
        () = stopped(&state, CLOSE_IDLE_AFTER) => connection.as_mut().graceful_shutdown(),
    }
    note(connection.await);
}

fn note(ended: hyper::Result<()>) {
    if ended.is_err() {
        metrics::counter!("wasabi_gateway_broken_connections_total").increment(1);
    }
}
