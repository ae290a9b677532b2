//! Calls that must not run twice: the idempotency key is claimed, the call is sent at most once,
//! and its outcome is recorded.

use std::sync::Arc;

use bytes::Bytes;
use hyper::Response;
use tokio::{sync::oneshot, task};
use wasabi_core::{
    errors::{Code, Error, Ran, Result},
    units::ServerId,
};
use wasabi_once::{claims::ClaimResult, record::StoredResponse};
use wasabi_policy::ticket::Outcome;

use crate::{
    backend_call::Failure,
    body::ResponseBody,
    buffered::{self, CompleteAnswer},
    context::Context,
    job::Job,
    request_end, response,
};

/// Runs a call at most once; it runs to its end even if the caller disconnects.
///
/// Errors: `OnceKeyMissing` without an idempotency key, `BodyInvalid` if a stream is asked for.
pub async fn run(ctx: Arc<Context>, job: Job) -> Result<Response<ResponseBody>> {
    if job.model_request.as_ref().is_some_and(|call| call.stream) {
        return Err(Error::new(Code::BodyInvalid, "the route does not stream"));
    }
    let key = job.idempotency_key.clone().filter(|key| !key.is_empty());
    let key = key.ok_or_else(|| Error::new(Code::OnceKeyMissing, ""))?;
    let request = job.request_id.clone();
    let cancel = job.running.cancel.clone();
    let (sender, receiver) = oneshot::channel();
    tokio::spawn(async move {
        let result = claim_and_run(&ctx, &job, key).await;
        let code = result.as_ref().err().map(|e| e.code);
        request_end::record(&ctx, Some(&job), &job.request_id, code, job.received_at);
        let _ = sender.send(result);
    });
    let answered = tokio::select! {
        biased;
        () = cancel.cancelled() => Err(Error::new(Code::KeyWithdrawn, "").ran(Ran::Unknown)),
        received = receiver => received.unwrap_or_else(|_| Err(task_failed())),
    };
    Ok(match answered {
        Ok(answered) => {
            let content_type = answered.content_type.as_deref();
            response::complete(answered.status, content_type, answered.body, &request)
        }
        Err(e) => response::error(&e, &request),
    })
}

fn task_failed() -> Error {
    Error::new(Code::Internal, "the work ended").ran(Ran::Unknown)
}

/// Claims the idempotency key, sends the call and records its outcome; if the key has a recorded
/// answer, returns that.
async fn claim_and_run(ctx: &Arc<Context>, job: &Job, key: String) -> Result<CompleteAnswer> {
    let claim = match begin_claim(ctx, job, key).await? {
        ClaimResult::Stored(answer) => return Ok(from_stored(answer)),
        ClaimResult::Run(claim) => claim,
    };
    match send_at_most_once(ctx, job).await {
        Ok(answered) => {
            let content_type = answered.content_type.clone();
            let answer = StoredResponse::new(answered.status, content_type, &answered.body);
            record_outcome(ctx, move |ctx| ctx.claims.record_ran(claim, answer)).await;
            buffered::record_usage(ctx, job, &answered);
            Ok(answered)
        }
        Err(Failure { sent: false, error }) => {
            record_outcome(ctx, move |ctx| ctx.claims.record_not_run(claim)).await;
            Err(error.ran(Ran::No))
        }
        Err(Failure { sent: true, error }) => {
            record_outcome(ctx, move |ctx| ctx.claims.record_unknown(claim)).await;
            Err(error.ran(Ran::Unknown))
        }
    }
}

async fn begin_claim(ctx: &Arc<Context>, job: &Job, key: String) -> Result<ClaimResult> {
    let ctx = ctx.clone();
    let workspace = job.workspace_id().clone();
    let request = request_bytes(job);
    let claiming = task::spawn_blocking(move || ctx.claims.claim(&workspace, &key, &request));
    claiming.await.unwrap_or_else(|_| Err(Error::new(Code::Internal, "the claim failed")))
}

/// The bytes by which a repeated call is told from a different one with the same idempotency key.
fn request_bytes(job: &Job) -> Vec<u8> {
    let mut bytes = format!("{} {}\n", job.method, job.target).into_bytes();
    bytes.extend_from_slice(&job.body);
    bytes
}

async fn record_outcome(ctx: &Arc<Context>, record: impl FnOnce(&Context) + Send + 'static) {
    let ctx = ctx.clone();
    let _ = task::spawn_blocking(move || record(&ctx)).await;
}

/// Tries servers until one answers, the retries are used up, or any byte may have been sent.
async fn send_at_most_once(ctx: &Arc<Context>, job: &Job) -> Result<CompleteAnswer, Failure> {
    let mut avoid: Option<ServerId> = None;
    let mut tries = 0;
    loop {
        let ticket = job.ticket(ctx, false, avoid.take(), None);
        let waiting_for_grant = ctx.dispatch.request_grant(ticket);
        let grant = tokio::select! {
            () = job.running.cancel.cancelled() => Err(Error::new(Code::KeyWithdrawn, "")),
            grant = waiting_for_grant => grant,
        };
        let grant = grant.map_err(|error| Failure { sent: false, error })?;
        let server = grant.server.name.clone();
        // A failure says whether this attempt was sent; the caller's cancellation does not end it.
        match buffered::attempt(ctx, job, &grant, &mut false).await {
            Ok(answered) => {
                grant.end(Outcome::Done);
                return Ok(answered);
            }
            Err(failure) => {
                grant.end(Outcome::Failed);
                tries += 1;
                if failure.sent || tries > ctx.options.max_retries {
                    return Err(failure);
                }
                avoid = Some(server);
            }
        }
    }
}

fn from_stored(answer: StoredResponse) -> CompleteAnswer {
    let body = Bytes::from(answer.body());
    CompleteAnswer { status: answer.status, content_type: answer.content_type, body }
}
