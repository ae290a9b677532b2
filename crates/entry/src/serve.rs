//! One request, from its head to its answer.

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
    answer,
    body::Outgoing,
    context::Context,
    job::Job,
    once,
    prepare::{self, Prepared},
    stream, whole,
};

/// Answers one request.
pub async fn serve(
    ctx: Arc<Context>,
    request: Request<Incoming>,
    connection: CancellationToken,
) -> Response<Outgoing> {
    let id = RequestId::fresh();
    let since = ctx.clock.now();
    // A body in chunks may come with a length beside it, which hyper drops (RFC 9112, section 6.1);
    // what follows on such a connection is not taken for a request.
    let chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let answered = match prepare::prepare(&ctx, &id, request, connection, since).await {
        Ok(Prepared::Answer(response)) => Ok(response),
        Ok(Prepared::Job(job)) => run(ctx.clone(), *job).await,
        Err(e) => Err(e),
    };
    let mut response = answered.unwrap_or_else(|e| {
        record(&ctx, None, &id, Some(e.code), since);
        answer::error(&e, &id)
    });
    if chunked || ctx.contact.is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn run(ctx: Arc<Context>, job: Job) -> Result<Response<Outgoing>> {
    if !job.route.repeatable {
        return once::run(ctx, job).await;
    }
    if job.call.as_ref().is_some_and(|call| call.stream) {
        return stream::run(ctx, job).await;
    }
    whole::run(ctx, job).await
}

/// Writes the log line and the metrics of a request that has ended.
pub fn record(
    ctx: &Context,
    job: Option<&Job>,
    request: &RequestId,
    code: Option<Code>,
    since: Instant,
) {
    let took = ctx.clock.now().saturating_duration_since(since);
    let name = |text: Option<&str>| text.unwrap_or("-").to_string();
    let class = name(job.map(|job| job.class.name.as_str()));
    let workspace = name(job.map(|job| job.workspace.name.as_str()));
    let route = name(job.map(|job| job.route.name.as_str()));
    let number = code.map_or(0, Code::number);
    let labels = [("class", class.clone()), ("code", number.to_string())];
    metrics::counter!("wasabi_requests_total", &labels).increment(1);
    metrics::histogram!("wasabi_request_seconds", &labels).record(took.as_secs_f64());
    info!(
        request = request.as_str(), workspace = workspace.as_str(), class = class.as_str(),
        route = route.as_str(), code = number,
        ms = took.as_millis() as u64;
        "request ended"
    );
}
