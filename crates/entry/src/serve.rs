//! Handles one request, from its head to its answer.

use std::{sync::Arc, time::Instant};

use hyper::{
    Request, Response,
    body::Incoming,
    header::{self, HeaderValue},
};
use log::info;
use tokio_util::sync::CancellationToken;
use wasabi_core::{
    errors::{Code, Result},
    units::RequestId,
};

use crate::{
    at_most_once,
    body::ResponseBody,
    buffered,
    context::Context,
    job::Job,
    prepare::{self, Prepared},
    response, stream,
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
        record_end(&ctx, None, &id, Some(e.code), received_at);
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

/// Logs a request that has ended and counts it in the metrics; `code` is `None` on success.
pub fn record_end(
    ctx: &Context,
    job: Option<&Job>,
    request: &RequestId,
    code: Option<Code>,
    received_at: Instant,
) {
    let elapsed = ctx.clock.now().saturating_duration_since(received_at);
    let or_dash = |text: Option<&str>| text.unwrap_or("-").to_string();
    let class = or_dash(job.map(|job| job.class.name.as_str()));
    let workspace = or_dash(job.map(|job| job.workspace.name.as_str()));
    let route = or_dash(job.map(|job| job.route.name.as_str()));
    let number = code.map_or(0, Code::number);
    let labels = [("class", class.clone()), ("code", number.to_string())];
    metrics::counter!("wasabi_requests_total", &labels).increment(1);
    metrics::histogram!("wasabi_request_seconds", &labels).record(elapsed.as_secs_f64());
    info!(
        request = request.as_str(), workspace = workspace.as_str(), class = class.as_str(),
        route = route.as_str(), code = number,
        ms = elapsed.as_millis() as u64;
        "request ended"
    );
}
