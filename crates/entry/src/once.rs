//! Calls that may not be repeated: claimed, sent once, and remembered.

use std::sync::Arc;

use bytes::Bytes;
use hyper::Response;
use tokio::{sync::oneshot, task};
use wasabi_core::{
    errors::{Code, Error, Ran, Result},
    units::ServerId,
};
use wasabi_once::{answer::Answer, table::Begin};
use wasabi_policy::ticket::Outcome;

use crate::{
    answer,
    body::Outgoing,
    context::Context,
    job::Job,
    relay::Failure,
    serve,
    whole::{self, Answered},
};

/// Runs a call at most once; the work goes on if the caller goes away.
pub async fn run(ctx: Arc<Context>, job: Job) -> Result<Response<Outgoing>> {
    if job.call.as_ref().is_some_and(|call| call.stream) {
        return Err(Error::new(Code::BodyInvalid, "the route does not stream"));
    }
    let key = job.once_key.clone().filter(|key| !key.is_empty());
    let key = key.ok_or_else(|| Error::new(Code::OnceKeyMissing, ""))?;
    let request = job.request.clone();
    let cut = job.running.cut.clone();
    let (sender, receiver) = oneshot::channel();
    tokio::spawn(async move {
        let result = work(&ctx, &job, key).await;
        let code = result.as_ref().err().map(|e| e.code);
        serve::record(&ctx, Some(&job), &job.request, code, job.since);
        let _ = sender.send(result);
    });
    let answered = tokio::select! {
        biased;
        () = cut.cancelled() => Err(Error::new(Code::KeyWithdrawn, "").ran(Ran::Unknown)),
        received = receiver => received.unwrap_or_else(|_| Err(lost())),
    };
    Ok(match answered {
        Ok(answered) => {
            let content_type = answered.content_type.as_deref();
            answer::whole(answered.status, content_type, answered.body, &request)
        }
        Err(e) => answer::error(&e, &request),
    })
}

fn lost() -> Error {
    Error::new(Code::Internal, "the work ended").ran(Ran::Unknown)
}

async fn work(ctx: &Arc<Context>, job: &Job, key: String) -> Result<Answered> {
    let claim = match begin(ctx, job, key).await? {
        Begin::Stored(answer) => return Ok(stored(answer)),
        Begin::Run(claim) => claim,
    };
    match send_once(ctx, job).await {
        Ok(answered) => {
            let content_type = answered.content_type.clone();
            let answer = Answer::new(answered.status, content_type, &answered.body);
            end(ctx, move |ctx| ctx.once.ran(claim, answer)).await;
            whole::bill(ctx, job, &answered);
            Ok(answered)
        }
        Err(Failure { sent: false, error }) => {
            end(ctx, move |ctx| ctx.once.not_run(claim)).await;
            Err(error.ran(Ran::No))
        }
        Err(Failure { sent: true, error }) => {
            end(ctx, move |ctx| ctx.once.unknown(claim)).await;
            Err(error.ran(Ran::Unknown))
        }
    }
}

async fn begin(ctx: &Arc<Context>, job: &Job, key: String) -> Result<Begin> {
    let ctx = ctx.clone();
    let workspace = job.workspace_id().clone();
    let request = identity(job);
    let claiming = task::spawn_blocking(move || ctx.once.begin(&workspace, &key, &request));
    claiming.await.unwrap_or_else(|_| Err(Error::new(Code::Internal, "the claim failed")))
}

/// Everything that makes a call what it is.
fn identity(job: &Job) -> Vec<u8> {
    let mut identity = format!("{} {}\n", job.method, job.target).into_bytes();
    identity.extend_from_slice(&job.body);
    identity
}

async fn end(ctx: &Arc<Context>, record: impl FnOnce(&Context) + Send + 'static) {
    let ctx = ctx.clone();
    let _ = task::spawn_blocking(move || record(&ctx)).await;
}

/// Tries servers until a byte may have left; then there is no other try.
async fn send_once(ctx: &Arc<Context>, job: &Job) -> Result<Answered, Failure> {
    let mut avoid: Option<ServerId> = None;
    let mut tries = 0;
    loop {
        let ticket = job.ticket(ctx, false, avoid.take());
        let asking = ctx.dispatch.ask(ticket);
        let grant = tokio::select! {
            () = job.running.cut.cancelled() => Err(Error::new(Code::KeyWithdrawn, "")),
            grant = asking => grant,
        };
        let grant = grant.map_err(|error| Failure { sent: false, error })?;
        let server = grant.server.name.clone();
        match whole::attempt(ctx, job, &grant).await {
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

fn stored(answer: Answer) -> Answered {
    let body = Bytes::from(answer.body());
    Answered { status: answer.status, content_type: answer.content_type, body }
}
