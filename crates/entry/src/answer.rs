//! Answers to callers.

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{Response, StatusCode, header};
use serde::Serialize;
use wasabi_core::{
    errors::{Code, Error, Ran},
    io,
    units::RequestId,
};

use crate::body::Outgoing;

#[derive(Serialize)]
struct Wrapper<'a> {
    error: Detail<'a>,
}

#[derive(Serialize)]
struct Detail<'a> {
    code: u16,
    message: &'a str,
    detail: &'a str,
    ran: Ran,
    request_id: &'a RequestId,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_s: Option<u64>,
}

/// Returns the JSON text of an error.
pub fn error_text(e: &Error, request: &RequestId) -> String {
    let detail = Detail {
        code: e.code.number(),
        message: e.code.meaning(),
        detail: &e.detail,
        ran: e.ran,
        request_id: request,
        retry_after_s: retry_after(e),
    };
    io::render(&Wrapper { error: detail })
}

/// Returns the answer that states an error.
pub fn error(e: &Error, request: &RequestId) -> Response<Outgoing> {
    let status = StatusCode::from_u16(e.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/json")
        .header("x-request-id", request.as_str());
    if let Some(seconds) = retry_after(e) {
        builder = builder.header(header::RETRY_AFTER, seconds);
    }
    if e.code == Code::BodyTooLarge || e.code == Code::ReceiveTimeout {
        builder = builder.header(header::CONNECTION, "close");
    }
    builder.body(full(error_text(e, request))).expect("the parts are valid")
}

/// Returns a whole answer.
pub fn whole(
    status: u16,
    content_type: Option<&str>,
    body: Bytes,
    request: &RequestId,
) -> Response<Outgoing> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = Response::builder().status(status).header("x-request-id", request.as_str());
    if let Some(content_type) = content_type {
        builder = builder.header(header::CONTENT_TYPE, content_type);
    }
    builder
        .body(full(body))
        .unwrap_or_else(|_| error(&Error::new(Code::AnswerBroken, "").ran(Ran::Yes), request))
}

fn full(body: impl Into<Bytes>) -> Outgoing {
    Full::new(body.into()).map_err(|never| match never {}).boxed_unsync()
}

fn retry_after(e: &Error) -> Option<u64> {
    e.retry_after.map(|wait| wait.as_secs_f64().ceil() as u64)
}
