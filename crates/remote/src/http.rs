//! HTTP calls with a time limit, counted in the metrics by kind.

use std::{io::Read as _, time::Duration};

use serde::de::DeserializeOwned;
use wasabi_answer::whole;
use wasabi_core::{
    call::{Content, Framing},
    errors::{self, Code, Error, Result},
};

/// The most bytes of a status line, and of all headers.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// The most bytes of a body; the store sends lists of about 1 MB.
const MAX_BODY_BYTES: u64 = 8 * 1024 * 1024;

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
    /// limit.
    ///
    /// Whatever the system, fails with `StoreUnavailable` if no response arrived or the status is
    /// 500 or higher, and with `StoreBusy` if the system applied its rate limit (status 429).
    pub fn call(
        &self,
        kind: &'static str,
        method: minreq::Method,
        path: &str,
        body: Option<&str>,
        requested_wait: Duration,
    ) -> Result<Response> {
        metrics::counter!("wasabi_platform_calls_total", "kind" => kind).increment(1);
        let limit_ms = (self.timeout + requested_wait).as_millis() as u64;
        let mut request = minreq::Request::new(method, format!("{}{path}", self.url))
            .with_timeout(limit_ms.div_ceil(1000).max(1))
            .with_max_headers_size(MAX_HEAD_BYTES)
            .with_max_status_line_length(MAX_HEAD_BYTES);
        if let Some(body) = body {
            request = request.with_header("content-type", "application/json").with_body(body);
        }
        let mut response = request.send_lazy().map_err(|e| call_failed(kind, &e.to_string()))?;
        let status = response.status_code as u16;
        let mut body = Vec::new();
        let read = (&mut response).take(MAX_BODY_BYTES + 1).read_to_end(&mut body);
        read.map_err(|e| call_failed(kind, &e.to_string()))?;
        if body.len() as u64 > MAX_BODY_BYTES {
            return Err(call_failed(kind, "the response is too large"));
        }
        if !is_whole(&response, &body) {
            return Err(call_failed(kind, "the response broke off"));
        }
        let body = String::from_utf8(body).map_err(|e| call_failed(kind, &e.to_string()))?;
        match status {
            429 => Err(Error::new(Code::StoreBusy, kind)),
            500.. => Err(call_failed(kind, "the system is down")),
            _ => Ok(Response { status, body }),
        }
    }
}

/// Returns whether a response was received to its end. `minreq` reports neither a head nor a body
/// that ends early, so a response without a length must be a complete JSON document.
fn is_whole(response: &minreq::ResponseLazy, body: &[u8]) -> bool {
    let mut headers = response.headers.iter();
    match headers.find(|(name, _)| name.eq_ignore_ascii_case("content-length")) {
        Some((_, length)) => length.trim().parse() == Ok(body.len()),
        None => whole::check(Framing::Close, Content::Json, body).is_ok(),
    }
}

fn call_failed(kind: &str, detail: &str) -> Error {
    metrics::counter!("wasabi_platform_failures_total").increment(1);
    errors::unavailable(format!("{kind}: {detail}"))
}

/// Decodes the JSON body of a response; malformed JSON is a `StoreUnavailable` error.
pub fn read<T: DeserializeOwned>(response: &Response) -> Result<T> {
    serde_json::from_str(&response.body).map_err(|e| errors::unavailable(e.to_string()))
}
