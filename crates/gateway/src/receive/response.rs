//! Responses to callers: the gateway's own error responses, and the bodies of all responses.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use hyper::{
    Response, StatusCode,
    body::{Body, Frame, SizeHint},
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use serde_json::json;
use wasabi_answer::body::Streamed;
use wasabi_core::errors::{Code, Error, Ran};

use crate::receive::{buffers, peer_body::PeerBody};

/// A buffered body is handed on in parts of this size, so that what a slow caller does not read stays
/// counted as buffered.
const MAX_PART_BYTES: usize = 64 * 1024;

/// The body of a response.
pub enum ResponseBody {
    /// What is left of a buffered body, and the memory that it takes.
    Full(Bytes, buffers::Reservation),
    /// A short body of the gateway's own.
    Own(Bytes),
    /// A body that is passed on as it arrives.
    Stream(Streamed),
    /// The body of a peer's answer.
    Peer(Box<PeerBody>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match &mut *self {
            Self::Full(bytes, _) | Self::Own(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Full(bytes, _) | Self::Own(bytes) => {
                let part = bytes.split_to(bytes.len().min(MAX_PART_BYTES));
                Poll::Ready(Some(Ok(Frame::data(part))))
            }
            Self::Stream(body) => Pin::new(body).poll_frame(cx),
            Self::Peer(body) => Pin::new(&mut **body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes, _) | Self::Own(bytes) => bytes.is_empty(),
            Self::Stream(_) => false,
            Self::Peer(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes, _) | Self::Own(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Stream(_) => SizeHint::default(),
            Self::Peer(body) => body.size_hint(),
        }
    }
}

/// Builds the error response. An error whose request may have run gets 502 in place of a status
/// that promises the opposite.
pub fn error_response(error: &Error) -> Response<ResponseBody> {
    let status = match (error.code, error.ran) {
        // Callers take these statuses as a promise that the request has not run.
        (_, Ran::Unknown | Ran::Yes) if matches!(error.code.status(), 408 | 421 | 429 | 503) => 502,
        (code, _) => code.status(),
    };
    let body = json!({"error": {
        "code": error.code.number(),
        "message": error.code.message(),
        "detail": error.detail,
        "ran": error.ran,
        "retry_after_s": error.retry_after.map(|wait| wait.as_secs_f64()),
    }});
    let mut response = Response::new(ResponseBody::Own(Bytes::from(body.to_string())));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(wait) = error.retry_after
        && let Ok(value) = HeaderValue::try_from(format_seconds(wait))
    {
        headers.insert(RETRY_AFTER, value);
    }
    response
}

/// Returns an error that tells the caller to retry after `wait`.
pub fn retry_later(code: Code, detail: impl Into<String>, wait: Duration) -> Error {
    Error::new(code, detail).retry_after(wait)
}

/// Formats `Retry-After` in seconds with two decimals.
fn format_seconds(wait: Duration) -> String {
    format!("{:.2}", wait.as_secs_f64())
}
