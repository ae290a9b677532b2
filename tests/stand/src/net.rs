//! HTTP/1.1 server that hosts the test doubles.

use std::{convert::Infallible, net::SocketAddr, pin::Pin, sync::Arc};

use bytes::Bytes;
use http_body_util::{BodyExt as _, combinators::BoxBody};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, runtime::Handle};

/// A response; an error in its body stream aborts the connection.
pub type BoxResponse = Response<BoxBody<Bytes, std::io::Error>>;
/// A request whose body has been read completely.
pub type ReceivedRequest = Request<Bytes>;
/// The future of a response; `None` closes the connection without one.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Option<BoxResponse>> + Send>>;

/// The request handler of a test double, shared by all of its connections.
pub trait Service: Send + Sync + 'static {
    /// Handles one request.
    fn serve(self: Arc<Self>, request: ReceivedRequest) -> ResponseFuture;
}

/// Serves `service` on a free port of 127.0.0.1 and returns the address. Blocks while it binds, so
/// it must not be called from a task of `runtime`.
pub fn listen(runtime: &Handle, service: Arc<dyn Service>) -> anyhow::Result<SocketAddr> {
    let listener = runtime.block_on(TcpListener::bind(("127.0.0.1", 0)))?;
    let address = listener.local_addr()?;
    runtime.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service.clone();
            tokio::spawn(async move {
                let handler = service_fn(move |request: Request<Incoming>| {
                    let service = service.clone();
                    async move { respond(service, request).await }
                });
                // Many tests break connections on purpose.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), handler).await;
            });
        }
    });
    Ok(address)
}

/// Builds a response with a complete body.
pub fn full_response(status: u16, body: impl Into<Bytes>) -> BoxResponse {
    let body = http_body_util::Full::new(body.into()).map_err(|never: Infallible| match never {});
    Response::builder().status(status).body(body.boxed()).expect("the response is valid")
}

async fn respond(
    service: Arc<dyn Service>,
    request: Request<Incoming>,
) -> Result<BoxResponse, std::io::Error> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(std::io::Error::other)?.to_bytes();
    let response = service.serve(Request::from_parts(parts, body)).await;
    response.ok_or_else(|| std::io::Error::other("closed without a response"))
}
