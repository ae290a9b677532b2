//! The HTTP server for callers: accepts connections and serves requests on them.

use std::{convert::Infallible, sync::Arc, time::Duration};

use hyper::{Request, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioTimer;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    time,
};
use tokio_util::sync::CancellationToken;
use wasabi_answer::connection::Connection;

use crate::{context::Context, serve};

/// Pause after a failed accept, for example with too many open files.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections until `stop` is true, then waits until all connections have closed.
///
/// Running requests are completed after `stop`; each connection closes after its current request.
pub async fn run(ctx: Arc<Context>, listener: TcpListener, stop: watch::Receiver<bool>) {
    let permits = Arc::new(Semaphore::new(ctx.options.max_connections));
    let mut stopping = stop.clone();
    loop {
        let permit = tokio::select! {
            permit = permits.clone().acquire_owned() => permit,
            _ = stopping.wait_for(|stop| *stop) => break,
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopping.wait_for(|stop| *stop) => break,
        };
        let Ok((socket, _)) = accepted else {
            time::sleep(ACCEPT_ERROR_PAUSE).await;
            continue;
        };
        let ctx = ctx.clone();
        let stop = stop.clone();
        tokio::spawn(async move {
            handle_connection(ctx, socket, stop).await;
            drop(permit);
        });
    }
    drop(listener);
    let all_permits = u32::try_from(ctx.options.max_connections).unwrap_or(u32::MAX);
    let _ = permits.acquire_many(all_permits).await;
}

async fn handle_connection(ctx: Arc<Context>, socket: TcpStream, mut stop: watch::Receiver<bool>) {
    let _ = socket.set_nodelay(true);
    let close = CancellationToken::new();
    let head_timeout = ctx.options.head_timeout;
    let max_head = ctx.options.max_head;
    let service_close = close.clone();
    let (connection, resetter) = Connection::new(socket);
    let service = service_fn(move |request: Request<Incoming>| {
        resetter.observe(request.version());
        let answering = serve::serve(ctx.clone(), request, service_close.clone());
        async move { Ok::<_, Infallible>(answering.await) }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .max_buf_size(max_head)
        .serve_connection(connection, service);
    let mut serving = std::pin::pin!(serving);
    tokio::select! {
        _ = serving.as_mut() => return,
        () = close.cancelled() => return,
        _ = stop.wait_for(|stop| *stop) => serving.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        _ = serving.as_mut() => {}
        () = close.cancelled() => {}
    }
}
