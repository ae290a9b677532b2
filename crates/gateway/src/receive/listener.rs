//! The HTTP port for callers, and how it closes when the host stops.

use std::{convert::Infallible, net::SocketAddr, pin::pin, rc::Rc, time::Duration};

use hyper::{
    Request,
    body::Incoming,
    header::{self, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioTimer;
use log::{info, warn};
use tokio::net::{TcpListener, TcpStream};
use wasabi_answer::connection::Connection;
use wasabi_platform::http;

use crate::{guard::CountGuard, receive::slow_callers::Watched, send::relay, state::State};

/// Pause between attempts to bind a port that the previous process may still hold.
const BIND_PAUSE: Duration = Duration::from_millis(100);
/// Pause after a failed accept, for example for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How long a stopping host still accepts connections: the load balancer probes once a second and
/// needs two failures, and connections already on their way still arrive.
pub const ACCEPT_WHILE_STOPPING: Duration = Duration::from_millis(3_200);
/// How long a stopping host keeps idle connections, so that the load balancer can notice the stop.
const CLOSE_IDLE_AFTER: Duration = Duration::from_millis(2_500);
/// How often a connection checks whether the host is stopping.
const STOP_CHECK_PERIOD: Duration = Duration::from_millis(250);
/// The longest delay of accepting after the start while configuration or servers are unknown. Both
/// are read from the store at the same time, which takes one response; callers give up on a host
/// that does not read for a second.
const STARTUP_WAIT: Duration = Duration::from_millis(400);
/// How often a starting host checks whether they are known.
const STARTUP_POLL: Duration = Duration::from_millis(2);
/// Size of a connection's read buffer beyond the largest allowed HTTP head.
const EXTRA_BUFFER_BYTES: usize = 16 * 1024;

/// Binds a TCP port, retrying until it succeeds.
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

/// Accepts connections for ever and spawns a local task with `serve` for each.
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

/// Accepts callers until the host has been stopping for [`ACCEPT_WHILE_STOPPING`]; connections that
/// are open then are still served.
pub async fn run(state: Rc<State>, listener: TcpListener) {
    let since = state.now();
    while !state.may_start_serving() && state.now().saturating_duration_since(since) < STARTUP_WAIT
    {
        tokio::time::sleep(STARTUP_POLL).await;
    }
    let waited = state.now().saturating_duration_since(since);
    info!(knows = state.has_config_and_servers(), waited_ms = waited.as_millis() as u64;
        "accepting callers");
    tokio::select! {
        () = accept(listener, |stream| serve_connection(state.clone(), stream)) => {}
        () = stopping_for(&state, ACCEPT_WHILE_STOPPING) => {}
    }
}

/// Waits until the host has been stopping for `duration`.
async fn stopping_for(state: &State, duration: Duration) {
    loop {
        let since = state.stopping_since.get();
        if since.is_some_and(|at| state.now().saturating_duration_since(at) >= duration) {
            return;
        }
        tokio::time::sleep(STOP_CHECK_PERIOD).await;
    }
}

/// Serves one caller's connection; once the host is stopping, responses close it.
async fn serve_connection(state: Rc<State>, stream: TcpStream) {
    let _connection = CountGuard::connection(&state);
    let limits = state.config().map(|(catalog, _)| catalog.limits).unwrap_or_default();
    // A caller may stop reading a response for as long as a connection may be idle.
    if http::set_socket_options(&stream, limits.idle_timeout).is_err() {
        // The caller has already closed the connection.
        return;
    }
    http::limit_send_buffer(&stream);
    let (connection, resetter) = Connection::new(stream);
    let (connection, end) = Watched::new(&state, connection);
    let service = {
        let state = state.clone();
        service_fn(move |request: Request<Incoming>| {
            let state = state.clone();
            resetter.observe(request.version());
            async move {
                let mut response = relay::serve(state.clone(), request, None).await;
                if state.sheds_connections() {
                    response
                        .headers_mut()
                        .insert(header::CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(response)
            }
        })
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // Limits both the time to receive a head and the idle time between requests.
        .header_read_timeout(limits.idle_timeout)
        .auto_date_header(false)
        .max_buf_size(limits.max_head.0 as usize + EXTRA_BUFFER_BYTES)
        .serve_connection(connection, service);
    let mut connection = pin!(connection);
    tokio::select! {
        ended = connection.as_mut() => return count_broken(ended),
        // Closes the connection, so that its response is incomplete.
        () = end.cancelled() => return,
        () = stopping_for(&state, CLOSE_IDLE_AFTER) => connection.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        ended = connection => count_broken(ended),
        () = end.cancelled() => {}
    }
}

fn count_broken(ended: hyper::Result<()>) {
    if ended.is_err() {
        metrics::counter!("wasabi_gateway_broken_connections_total").increment(1);
    }
}
