//! The log line and the metrics of a request that has ended.

use std::time::Instant;

use log::info;
use wasabi_core::{errors::Code, units::RequestId};

use crate::{context::Context, job::Job};

/// Logs a request that has ended and counts it in the metrics; `code` is `None` on success.
pub fn record(
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
