//! Handles one request, from its head to its answer.

use std::sync::Arc;

use hyper::{
    Request, Response,
    body::Incoming,
    header::{self, HeaderValue},
};
use tokio_util::sync::CancellationToken;
use wasabi_core::{errors::Result, units::RequestId};

use crate::{
    at_most_once,
    body::ResponseBody,
    buffered,
    context::Context,
    job::Job,
    prepare::{self, Prepared},
    request_end, response, stream,
};

/// Handles one request; errors become responses. `close_connection` closes the caller's connection
/// when cancelled.
pub async fn serve(
    ctx: Arc<Context>,
    request: Request<Incoming>,
    close_connection: CancellationToken,
) -> Response<ResponseBody> {
    let id = RequestId::fresh();
    let received_at = ctx.clock.now();
    // A chunked request may also have a `content-length`, which hyper discards (RFC 9112, section
    // 6.1). The connection is closed afterwards, so that what follows is not read as a request.
    let chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let result = match prepare::prepare(&ctx, &id, request, close_connection, received_at).await {
        Ok(Prepared::Answer(response)) => Ok(response),
        Ok(Prepared::Job(job)) => run(ctx.clone(), *job).await,
        Err(e) => Err(e),
    };
    let mut response = result.unwrap_or_else(|e| {
        request_end::record(&ctx, None, &id, Some(e.code), received_at);
        response::error(&e, &id)
    });
    if chunked || ctx.host_state.is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn run(ctx: Arc<Context>, job: Job) -> Result<Response<ResponseBody>> {
    if !job.route.repeatable {
        return at_most_once::run(ctx, job).await;
    }
    if job.model_request.as_ref().is_some_and(|call| call.stream) {
        return stream::run(ctx, job).await;
    }
    buffered::run(ctx, job).await
}
