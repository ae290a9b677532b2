//! Answers to callers: the router's own refusals and failures, and bodies that are passed on.

use std::{
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
use tokio::sync::mpsc;
use wasabi_core::errors::{Code, Error, Ran};

/// Ends a caller's connection without completing the answer.
#[derive(Debug)]
pub struct Abort;

impl std::fmt::Display for Abort {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer is broken off")
    }
}

impl std::error::Error for Abort {}

/// What feeds a streamed body.
pub type Feed = mpsc::Sender<Result<Bytes, Abort>>;

/// The body of an answer.
pub enum Out {
    /// Sent whole; empty once it was taken.
    Whole(Bytes),
    /// Passed on as it comes.
    Stream(mpsc::Receiver<Result<Bytes, Abort>>),
}

impl Out {
    /// Gets a streamed body and what feeds it; the feed waits while the caller does not read.
    pub fn stream() -> (Feed, Self) {
        const PARTS_AHEAD: usize = 4;
        let (feed, parts) = mpsc::channel(PARTS_AHEAD);
        (feed, Self::Stream(parts))
    }
}

impl Body for Out {
    type Data = Bytes;
    type Error = Abort;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Abort>>> {
        match &mut *self {
            Self::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Stream(parts) => parts.poll_recv(cx).map_ok(Frame::data),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// Gets the answer that states an error.
pub fn error(error: &Error) -> Response<Out> {
    let status = match (error.code, error.ran) {
        // These statuses promise that the request has not run.
        (_, Ran::Unknown | Ran::Yes) if matches!(error.code.status(), 408 | 421 | 429 | 503) => 502,
        (code, _) => code.status(),
    };
    let body = json!({"error": {
        "code": error.code.number(),
        "message": error.code.meaning(),
        "detail": error.detail,
        "ran": error.ran,
        "retry_after_s": error.retry_after.map(|wait| wait.as_secs_f64()),
    }});
    let mut answer = Response::new(Out::Whole(Bytes::from(body.to_string())));
    *answer.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(wait) = error.retry_after
        && let Ok(value) = HeaderValue::try_from(seconds(wait))
    {
        headers.insert(RETRY_AFTER, value);
    }
    answer
}

/// Returns an error of `code` that asks the caller to come back after `wait`.
pub fn come_back(code: Code, detail: impl Into<String>, wait: Duration) -> Error {
    Error::new(code, detail).retry_after(wait)
}

fn seconds(wait: Duration) -> String {
    format!("{:.2}", wait.as_secs_f64())
}
