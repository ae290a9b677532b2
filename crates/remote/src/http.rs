//! What the adapters share: one call with a time limit, counted by kind.

use std::time::Duration;

use serde::de::DeserializeOwned;
use wasabi_core::errors::{self, Code, Error, Result};

/// How to reach an outside system.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The base address, without a slash at the end.
    pub url: String,
    /// How long a call may take, beside the time that it is told to wait.
    pub timeout: Duration,
}

/// An answer that came.
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: String,
}

impl Endpoint {
    /// Gets an endpoint with the usual time limit.
    pub fn new(url: &str, timeout: Duration) -> Self {
        Self { url: url.trim_end_matches('/').to_string(), timeout }
    }

    /// Makes a call; `extra` is the time that the call itself is told to wait.
    ///
    /// Errors: `StoreUnavailable` if no answer came or the system is down, `StoreBusy` if it
    /// refused for its rate limit.
    pub fn call(
        &self,
        kind: &'static str,
        method: minreq::Method,
        path: &str,
        body: Option<&str>,
        extra: Duration,
    ) -> Result<Answer> {
        metrics::counter!("wasabi_platform_calls_total", "kind" => kind).increment(1);
        let limit = (self.timeout + extra).as_millis() as u64;
        let mut request = minreq::Request::new(method, format!("{}{path}", self.url))
            .with_timeout(limit.div_ceil(1000).max(1));
        if let Some(body) = body {
            request = request.with_header("content-type", "application/json").with_body(body);
        }
        let response = request.send().map_err(|e| lost(kind, &e.to_string()))?;
        let status = response.status_code as u16;
        let body = response.as_str().map_err(|e| lost(kind, &e.to_string()))?.to_string();
        match status {
            429 => Err(Error::new(Code::StoreBusy, kind)),
            500.. => Err(lost(kind, "the system is down")),
            _ => Ok(Answer { status, body }),
        }
    }
}

fn lost(kind: &str, detail: &str) -> Error {
    metrics::counter!("wasabi_platform_failures_total").increment(1);
    errors::unavailable(format!("{kind}: {detail}"))
}

/// Reads an answer's JSON.
pub fn read<T: DeserializeOwned>(answer: &Answer) -> Result<T> {
    serde_json::from_str(&answer.body).map_err(|e| errors::unavailable(e.to_string()))
}
