//! Runs requests that may be repeated and whose answers are not streamed. `attempt` and
//! `record_usage` also serve calls that run at most once.

use std::{sync::Arc, time::Instant};

use bytes::Bytes;
use hyper::{Method, Response};
use wasabi_core::{
    errors::{Code, Error, Ran, Result},
    io::UsageTotals,
    units::{ServerId, Tokens},
};
use wasabi_policy::ticket::Outcome;

use crate::{
    backend_call::{self, Failure},
    body::ResponseBody,
    chat::{self, Chunk},
    context::Context,
    dispatch::{Grant, Run},
    job::Job,
    request_end, response,
};

/// A complete answer of a backend server.
pub struct CompleteAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The value of `content-type`, if any.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// Runs a request that may be repeated and is not streamed, with retries.
pub async fn run(ctx: Arc<Context>, job: Job) -> Result<Response<ResponseBody>> {
    ctx.budget.lock().deposit();
    let cancel = job.running.cancel.clone();
    let mut sent = false;
    let result = tokio::select! {
        () = cancel.cancelled() => Err(Error::new(Code::KeyWithdrawn, "")),
        result = run_with_retries(&ctx, &job, &mut sent) => result,
    };
    let ran = if sent { Ran::Unknown } else { Ran::No };
    let result = result.map_err(|e| e.ran(ran));
    let code = result.as_ref().err().map(|e| e.code);
    request_end::record(&ctx, Some(&job), &job.request_id, code, job.received_at);
    let answered = match result {
        Ok(answered) => answered,
        Err(e) => return Ok(response::error(&e, &job.request_id)),
    };
    record_usage(&ctx, &job, &answered);
    let content_type = answered.content_type.as_deref();
    Ok(response::complete(answered.status, content_type, answered.body, &job.request_id))
}

/// Tries servers until one answers or the retries are used up. `sent` is set before any byte of the
/// request may be sent.
async fn run_with_retries(
    ctx: &Arc<Context>,
    job: &Job,
    sent: &mut bool,
) -> Result<CompleteAnswer> {
    let mut avoid: Option<ServerId> = None;
    let mut retries = 0;
    loop {
        let ticket = job.ticket(ctx, retries > 0, avoid.take(), None);
        let grant = ctx.dispatch.request_grant(ticket).await?;
        let server = grant.server.name.clone();
        let failure = match attempt(ctx, job, &grant, sent).await {
            Ok(answered) => {
                grant.end(Outcome::Done);
                return Ok(answered);
            }
            Err(failure) => failure,
        };
        grant.end(Outcome::Failed);
        retries += 1;
        let allowed = retries <= ctx.options.max_retries;
        if !allowed || !ctx.budget.lock().withdraw() {
            return Err(failure.error);
        }
        avoid = Some(server);
    }
}

/// Sends the request to the granted server once and reads the complete answer. `sent` is set before
/// any byte of the request may be sent.
pub async fn attempt(
    ctx: &Context,
    job: &Job,
    grant: &Grant,
    sent: &mut bool,
) -> Result<CompleteAnswer, Failure> {
    let granted_at = ctx.clock.now();
    let answered = exchange(ctx, job, grant, granted_at, sent).await;
    match &answered {
        Ok(_) => grant.report_run(&job.pool, &job.features(), Run::Sound),
        Err(failure) if failure.may_be_crash() => {
            grant.report_run(&job.pool, &job.features(), Run::Broken(granted_at));
        }
        Err(_) => {}
    }
    answered
}

async fn exchange(
    ctx: &Context,
    job: &Job,
    grant: &Grant,
    granted_at: Instant,
    sent: &mut bool,
) -> Result<CompleteAnswer, Failure> {
    let options = &ctx.options;
    let request = job.backend_request(Tokens(0));
    let mut reply =
        backend_call::send(options, &grant.server, request, options.answer_timeout, sent).await?;
    let failed = |error: Error| Failure { sent: true, error };
    grant.report_limit(reply.limit, granted_at);
    reply.check_echo(&job.request_id).map_err(failed)?;
    // A response to HEAD has no body, even if it has a `content-length`.
    let body = match job.method {
        Method::HEAD => Bytes::new(),
        _ => reply.read_body(options.answer_timeout, options.max_answer).await.map_err(failed)?,
    };
    if job.model_request.is_some() && reply.status == 200 {
        let chunk = chat::parse_chunk(&body, &job.request_id).map_err(failed)?;
        grant.progress(completion_tokens_of(&chunk));
    }
    if job.model_request.is_some() && matches!(reply.status, 429 | 500..) {
        let detail = format!("status {}", reply.status);
        return Err(failed(Error::new(Code::AnswerBroken, detail).ran(Ran::Unknown)));
    }
    let elapsed = ctx.clock.now().saturating_duration_since(granted_at);
    ctx.answer_seconds.lock().observe(job.route.name.clone(), elapsed.as_secs_f64());
    Ok(CompleteAnswer { status: reply.status, content_type: reply.content_type.take(), body })
}

/// Counts an answer in the workspace's usage, and its length in the estimate of answer lengths.
pub fn record_usage(ctx: &Context, job: &Job, answered: &CompleteAnswer) {
    let chunk = job
        .model_request
        .as_ref()
        .and_then(|_| chat::parse_chunk(&answered.body, &job.request_id).ok());
    let usage = chunk.and_then(|chunk| chunk.usage).unwrap_or_default();
    let completion = Tokens(usage.completion_tokens);
    let figures = UsageTotals { requests: 1, prompt: Tokens(usage.prompt_tokens), completion };
    ctx.counter.add(job.workspace_id(), &figures);
    if job.model_request.is_some() {
        job.observe_length(ctx, completion);
    }
}

fn completion_tokens_of(chunk: &Chunk) -> Tokens {
    Tokens(chunk.usage.unwrap_or_default().completion_tokens)
}
