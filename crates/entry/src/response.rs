//! Builds HTTP responses for callers.

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{Response, StatusCode, header};
use serde::Serialize;
use wasabi_core::{
    errors::{Code, Error, Ran},
    io,
    units::RequestId,
};

use crate::body::ResponseBody;

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    code: u16,
    message: &'a str,
    detail: &'a str,
    ran: Ran,
    request_id: &'a RequestId,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_s: Option<u64>,
}

/// Renders an error as the JSON text that callers get.
pub fn error_text(e: &Error, request: &RequestId) -> String {
    let detail = ErrorDetail {
        code: e.code.number(),
        message: e.code.message(),
        detail: &e.detail,
        ran: e.ran,
        request_id: request,
        retry_after_s: retry_after_seconds(e),
    };
    io::render(&ErrorBody { error: detail })
}

/// Builds the response for an error, with `retry-after` if the error has one.
///
/// `BodyTooLarge` and `ReceiveTimeout`, after which the rest of the body is unread, also close the
/// connection.
pub fn error(e: &Error, request: &RequestId) -> Response<ResponseBody> {
    let status = StatusCode::from_u16(e.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/json")
        .header("x-request-id", request.as_str());
    if let Some(seconds) = retry_after_seconds(e) {
        builder = builder.header(header::RETRY_AFTER, seconds);
    }
    if e.code == Code::BodyTooLarge || e.code == Code::ReceiveTimeout {
        builder = builder.header(header::CONNECTION, "close");
    }
    builder.body(full_body(error_text(e, request))).expect("the parts are valid")
}

/// Builds a response whose body is complete.
///
/// An invalid `content_type` from a backend server gives an `AnswerBroken` error response.
pub fn complete(
    status: u16,
    content_type: Option<&str>,
    body: Bytes,
    request: &RequestId,
) -> Response<ResponseBody> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = Response::builder().status(status).header("x-request-id", request.as_str());
    if let Some(content_type) = content_type {
        builder = builder.header(header::CONTENT_TYPE, content_type);
    }
    builder
        .body(full_body(body))
        .unwrap_or_else(|_| error(&Error::new(Code::AnswerBroken, "").ran(Ran::Yes), request))
}

fn full_body(body: impl Into<Bytes>) -> ResponseBody {
    Full::new(body.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Rounds up to whole seconds, the unit of the `retry-after` header.
fn retry_after_seconds(e: &Error) -> Option<u64> {
    e.retry_after.map(|wait| wait.as_secs_f64().ceil() as u64)
}
