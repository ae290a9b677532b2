//! HTTP calls with a time limit, counted in the metrics by kind.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt as _, Full};
use hyper::{
    Method, Request, StatusCode, Uri,
    body::Incoming,
    client::conn::http1,
    header::{self, HeaderValue},
};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::{net::TcpStream, runtime, time};
use wasabi_answer::{head_limit::Limited, response_head, whole};
use wasabi_core::{
    call::{Content, Framing},
    errors::{self, Code, Error, Result},
};

/// The most bytes of a head.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// The most bytes of a body; the store sends lists of about 1 MB.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// The port of URLs that name none.
const DEFAULT_PORT: u16 = 80;

/// The base address of an outside system and the time limit of calls to it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The base URL, without a slash at the end.
    pub url: String,
    /// The time limit of a call, rounded up to whole seconds. The time that a call asks the system
    /// to wait is added to it.
    pub timeout: Duration,
}

/// A response with a status below 500 other than 429.
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The body as text.
    pub body: String,
}

impl Endpoint {
    /// Creates an endpoint; slashes at the end of `url` are removed.
    pub fn new(url: &str, timeout: Duration) -> Self {
        Self { url: url.trim_end_matches('/').to_string(), timeout }
    }

    /// Makes a call; `requested_wait` is how long it asks the system to wait, added to the time
    /// limit. It blocks, so it must not be made from a task.
    ///
    /// Whatever the system, fails with `StoreUnavailable` if no response arrived or the status is
    /// 500 or higher, and with `StoreBusy` if the system applied its rate limit (status 429).
    pub fn call(
        &self,
        kind: &'static str,
        method: Method,
        path: &str,
        body: Option<&str>,
        requested_wait: Duration,
    ) -> Result<Response> {
        metrics::counter!("wasabi_platform_calls_total", "kind" => kind).increment(1);
        let failed = |detail: String| call_failed(kind, &detail);
        let limit = (self.timeout + requested_wait).as_millis().div_ceil(1000).max(1);
        let limit = Duration::from_secs(limit as u64);
        let url = format!("{}{path}", self.url);
        let runtime = runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|e| failed(e.to_string()))?;
        let exchanged = runtime
            .block_on(async { time::timeout(limit, exchange(method, &url, body)).await })
            .unwrap_or_else(|_| Err("no response in time".to_string()));
        // A name that is being resolved does not hold up the caller.
        runtime.shutdown_background();
        let (status, body) = exchanged.map_err(failed)?;
        let body = String::from_utf8(body.to_vec()).map_err(|e| failed(e.to_string()))?;
        match status.as_u16() {
            429 => Err(Error::new(Code::StoreBusy, kind)),
            500.. => Err(call_failed(kind, "the system is down")),
            status => Ok(Response { status, body }),
        }
    }
}

/// Sends a request on a new connection and reads the whole response.
async fn exchange(
    method: Method,
    url: &str,
    body: Option<&str>,
) -> Result<(StatusCode, Bytes), String> {
    let url: Uri = url.parse().map_err(|e| format!("{url}: {e}"))?;
    let address = url.authority().ok_or_else(|| format!("{url}: no address"))?;
    let port = address.port_u16().unwrap_or(DEFAULT_PORT);
    let host = address.host().trim_matches(['[', ']']);
    let stream = TcpStream::connect((host, port)).await.map_err(|e| e.to_string())?;
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    let (stream, head_limit) = Limited::new(stream);
    let mut connections = http1::Builder::new();
    let connecting = connections.max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(stream));
    let (mut sender, connection) = connecting.await.map_err(|e| e.to_string())?;
    // It ends with the runtime of the call.
    tokio::spawn(connection);
    let mut request = Request::new(Full::new(Bytes::from(body.unwrap_or_default().to_string())));
    let host = HeaderValue::try_from(address.as_str()).map_err(|e| e.to_string())?;
    let headers = request.headers_mut();
    headers.insert(header::HOST, host);
    headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    if body.is_some() {
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    }
    let path = url.path_and_query().map_or("/", |path| path.as_str());
    *request.uri_mut() = path.parse().map_err(|_| format!("path {path}"))?;
    *request.method_mut() = method.clone();
    head_limit.begin_request();
    let response = sender.send_request(request).await.map_err(|e| e.to_string())?;
    response_head::check(&response).map_err(|broken| broken.cause().to_string())?;
    let has = |name| response.headers().contains_key(name);
    let (has_chunks, has_length) = (has(header::TRANSFER_ENCODING), has(header::CONTENT_LENGTH));
    let status = response.status();
    let framing = Framing::of(method.as_str(), status.as_u16(), has_chunks, has_length);
    let body = read_body(response.into_body()).await?;
    let is_whole = whole::check(framing, Content::Json, &body);
    is_whole.map_err(|broken| broken.cause().to_string())?;
    Ok((status, body))
}

async fn read_body(mut body: Incoming) -> Result<Bytes, String> {
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|e| e.to_string())?.into_data() else { continue };
        if buffer.len() + data.len() > MAX_BODY_BYTES {
            return Err("the response is too large".to_string());
        }
        buffer.extend_from_slice(&data);
    }
    Ok(buffer.freeze())
}

fn call_failed(kind: &str, detail: &str) -> Error {
    metrics::counter!("wasabi_platform_failures_total").increment(1);
    errors::unavailable(format!("{kind}: {detail}"))
}

/// Decodes the JSON body of a response; malformed JSON is a `StoreUnavailable` error.
pub fn read<T: DeserializeOwned>(response: &Response) -> Result<T> {
    serde_json::from_str(&response.body).map_err(|e| errors::unavailable(e.to_string()))
}
