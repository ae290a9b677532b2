//! A small HTTP server for the stand-ins, on a thread of its own.

use std::{convert::Infallible, net::SocketAddr, pin::Pin, sync::Arc};

use bytes::Bytes;
use http_body_util::{BodyExt as _, combinators::BoxBody};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, runtime::Handle};

/// An answer; an error while the body is read breaks the connection.
pub type Answer = Response<BoxBody<Bytes, std::io::Error>>;
/// A request read whole.
pub type Asked = Request<Bytes>;
/// What a service does; none closes the connection without an answer.
pub type Served = Pin<Box<dyn Future<Output = Option<Answer>> + Send>>;

/// Answers requests.
pub trait Service: Send + Sync + 'static {
    /// Answers one request.
    fn serve(self: Arc<Self>, request: Asked) -> Served;
}

/// Serves `service` on a port of the system's choice.
pub fn listen(runtime: &Handle, service: Arc<dyn Service>) -> anyhow::Result<SocketAddr> {
    let listener = runtime.block_on(TcpListener::bind(("127.0.0.1", 0)))?;
    let address = listener.local_addr()?;
    runtime.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service.clone();
            tokio::spawn(async move {
                let served = service_fn(move |request: Request<Incoming>| {
                    let service = service.clone();
                    async move { answer(service, request).await }
                });
                // A connection that ends early is what many tests are about.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), served).await;
            });
        }
    });
    Ok(address)
}

/// Gets an answer with a whole body.
pub fn whole(status: u16, body: impl Into<Bytes>) -> Answer {
    let body = http_body_util::Full::new(body.into()).map_err(|never: Infallible| match never {});
    Response::builder().status(status).body(body.boxed()).expect("the answer is valid")
}

async fn answer(
    service: Arc<dyn Service>,
    request: Request<Incoming>,
) -> Result<Answer, std::io::Error> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(std::io::Error::other)?.to_bytes();
    let answer = service.serve(Request::from_parts(parts, body)).await;
    answer.ok_or_else(|| std::io::Error::other("no answer"))
}
