//! Streamed answers, continued on another server when one fails or the request is preempted.

use std::{sync::Arc, time::Instant};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::{Response, StatusCode, header};
use tokio::{sync::oneshot, time};
use wasabi_answer::{
    body::{self, Producer},
    broken::Broken,
    events::Splitter,
};
use wasabi_core::{
    call::Framing,
    errors::{Code, Error, Ran, Result},
    io::UsageTotals,
    units::{Build, ServerId, Tokens},
};
use wasabi_policy::{quarantine::SOUND_AFTER, ticket::Outcome};

use crate::{
    backend_call::{self, Reply},
    body::ResponseBody,
    chat::{self, Usage},
    context::Context,
    dispatch::{Grant, Run},
    job::Job,
    request_end, response, sse,
};

/// Parts that are buffered for a slow caller.
const MAX_BUFFERED_PARTS: usize = 16;

/// How an attempt at one server ended.
enum AttemptEnd {
    /// The end marker was queued for the caller.
    Complete,
    /// The caller disconnected or is too slow.
    CallerGone,
    /// The request was cancelled: its key was withdrawn, or the host is isolated.
    Cancelled,
    /// The scheduler took the server for a request of a higher tier.
    Preempted,
    /// The server failed; another may continue the answer.
    ServerFailed(Error),
    /// The server rejected the request as invalid, so no other server is tried.
    Rejected(Error),
}

/// Runs a streamed request; returns when the first part of the answer is ready or the request has
/// failed.
pub async fn run(ctx: Arc<Context>, job: Job) -> Result<Response<ResponseBody>> {
    let (started_sender, started) = oneshot::channel();
    let workspace = job.workspace_id().clone();
    let counting_ctx = ctx.clone();
    let (producer, body) = body::channel(MAX_BUFFERED_PARTS, move |tokens| {
        let figures = UsageTotals { completion: tokens, ..UsageTotals::default() };
        counting_ctx.counter.add(&workspace, &figures);
    });
    let request = job.request_id.clone();
    let task = StreamTask {
        ctx,
        job,
        started: Some(started_sender),
        producer,
        received_tokens: Tokens(0),
        build: None,
        usage: Usage::default(),
        sent: false,
        framing: Framing::default(),
        generating_since: None,
    };
    tokio::spawn(task.run());
    started.await.unwrap_or_else(|_| Err(Error::new(Code::Internal, "the stream ended")))?;
    let response = Response::builder()
        .status(StatusCode::OK)
        .header(header::CONTENT_TYPE, "text/event-stream")
        .header(header::CACHE_CONTROL, "no-cache")
        .header("x-request-id", request.as_str());
    Ok(response.body(body.boxed_unsync()).expect("the parts are valid"))
}

/// Produces the parts of one streamed answer.
struct StreamTask {
    ctx: Arc<Context>,
    job: Job,
    /// Signals that the first part is ready or that the request has failed; `None` afterwards.
    started: Option<oneshot::Sender<Result<()>>>,
    /// Passes the answer on; the caller gets a broken answer unless it is finished.
    producer: Producer,
    /// Tokens received from backend servers so far, over all attempts.
    received_tokens: Tokens,
    /// The software version that began the answer, once tokens have been received.
    build: Option<Build>,
    /// The last token counts that a server reported.
    usage: Usage,
    /// Whether any byte of the request may have been sent.
    sent: bool,
    /// How the current server marks the end of its answer.
    framing: Framing,
    /// When the current server sent its first event.
    generating_since: Option<Instant>,
}

impl StreamTask {
    async fn run(mut self) {
        self.ctx.budget.lock().deposit();
        let failed = self.run_attempts().await.err();
        let code = failed.as_ref().map(|e| e.code);
        if let Some(e) = failed {
            self.report_failure(e).await;
        }
        if self.sent {
            self.record_request_usage();
        }
        request_end::record(
            &self.ctx,
            Some(&self.job),
            &self.job.request_id,
            code,
            self.job.received_at,
        );
    }

    /// Tries servers until the answer is complete, the caller is gone or no retry is left.
    async fn run_attempts(&mut self) -> Result<()> {
        let mut avoid: Option<ServerId> = None;
        let mut retries = 0;
        let mut resumed = false;
        loop {
            let Some(grant) = self.acquire(resumed, avoid.clone()).await? else { return Ok(()) };
            let server = grant.server.name.clone();
            match self.attempt(&grant).await {
                AttemptEnd::Complete => {
                    self.producer.finish();
                    grant.end(Outcome::Done);
                    self.job.observe_length(&self.ctx, self.received_tokens);
                    return Ok(());
                }
                AttemptEnd::CallerGone => return Ok(()),
                AttemptEnd::Cancelled => return Err(Error::new(Code::KeyWithdrawn, "")),
                AttemptEnd::Rejected(e) => return Err(e),
                AttemptEnd::Preempted => grant.end(Outcome::Preempted),
                AttemptEnd::ServerFailed(e) => {
                    grant.end(Outcome::Failed);
                    retries += 1;
                    let allowed = retries <= self.ctx.options.max_retries;
                    if !allowed || !self.ctx.budget.lock().withdraw() {
                        return Err(e);
                    }
                    avoid = Some(server);
                }
            }
            resumed = true;
        }
    }

    /// Waits for a grant; `None` if the caller is gone.
    async fn acquire(&self, resumed: bool, avoid: Option<ServerId>) -> Result<Option<Grant>> {
        let ticket = self.job.ticket(&self.ctx, resumed, avoid, self.build.clone());
        tokio::select! {
            () = self.producer.caller_gone().cancelled() => Ok(None),
            () = self.job.running.cancel.cancelled() => Err(Error::new(Code::KeyWithdrawn, "")),
            grant = self.ctx.dispatch.request_grant(ticket) => grant.map(Some),
        }
    }

    /// Relays the answer of the granted server until it ends or is interrupted.
    async fn attempt(&mut self, grant: &Grant) -> AttemptEnd {
        let granted_at = self.ctx.clock.now();
        self.generating_since = None;
        let cancel = self.job.running.cancel.clone();
        let caller_gone = self.producer.caller_gone().clone();
        let stop = grant.stop.clone();
        tokio::select! {
            biased;
            () = cancel.cancelled() => AttemptEnd::Cancelled,
            () = caller_gone.cancelled() => AttemptEnd::CallerGone,
            () = stop.cancelled() => AttemptEnd::Preempted,
            end = self.relay_answer(grant, granted_at) => {
                self.report_run(grant, granted_at, &end);
                end
            }
        }
    }

    /// Reports whether the answer of the granted server has ended well or was broken off.
    fn report_run(&self, grant: &Grant, granted_at: Instant, end: &AttemptEnd) {
        let generated = self
            .generating_since
            .map(|since| self.ctx.clock.now().saturating_duration_since(since));
        let run = match end {
            AttemptEnd::Complete => Run::Sound,
            _ if generated.is_some_and(|time| time >= SOUND_AFTER) => Run::Sound,
            AttemptEnd::ServerFailed(e)
                if self.sent && Broken::is_abrupt(&e.detail, self.framing) =>
            {
                Run::Broken(granted_at)
            }
            _ => return,
        };
        grant.report_run(&self.job.pool, &self.job.features(), run);
    }

    async fn relay_answer(&mut self, grant: &Grant, granted_at: std::time::Instant) -> AttemptEnd {
        let request = self.job.backend_request(self.received_tokens);
        let ctx = self.ctx.clone();
        let options = &ctx.options;
        let limit = options.first_part_timeout;
        let sending = backend_call::send(options, &grant.server, request, limit, &mut self.sent);
        let mut reply = match sending.await {
            Ok(reply) => reply,
            Err(failure) => return AttemptEnd::ServerFailed(failure.error),
        };
        grant.report_limit(reply.limit, granted_at);
        self.framing = reply.framing;
        if reply.status != StatusCode::OK.as_u16() {
            return classify_error_status(reply.status);
        }
        match self.relay_events(grant, granted_at, &mut reply).await {
            Ok(end) => end,
            Err(e) => AttemptEnd::ServerFailed(e),
        }
    }

    async fn relay_events(
        &mut self,
        grant: &Grant,
        granted_at: std::time::Instant,
        reply: &mut Reply,
    ) -> Result<AttemptEnd> {
        let mut splitter = Splitter::default();
        // Bytes that complete no event do not put it off.
        let mut due = time::Instant::now() + self.ctx.options.first_part_timeout;
        loop {
            let mut any_event = false;
            while let Some(event) = splitter.next_event() {
                any_event = true;
                let Some(data) = sse::data(&event) else { continue };
                if data == chat::DONE {
                    if self.generating_since.is_none() {
                        // The end marker bears no id, so nothing shows that it ends this answer.
                        return Err(Broken::NothingNew.into());
                    }
                    let passed = self.send_part(event, Tokens(0)).await;
                    return Ok(if passed { AttemptEnd::Complete } else { AttemptEnd::CallerGone });
                }
                let chunk = chat::parse_chunk(data.as_bytes(), &self.job.request_id)?;
                let tokens = chunk.tokens();
                if self.received_tokens == Tokens(0) && tokens > Tokens(0) {
                    self.build = Some(grant.server.build.clone());
                    self.observe_first_token(granted_at);
                }
                self.generating_since.get_or_insert_with(|| self.ctx.clock.now());
                grant.progress(tokens);
                self.usage = chunk.usage.unwrap_or(self.usage);
                self.received_tokens += tokens;
                if !self.send_part(event, tokens).await {
                    return Ok(AttemptEnd::CallerGone);
                }
            }
            if any_event {
                due = time::Instant::now() + self.ctx.options.part_timeout;
            }
            let limit = due.saturating_duration_since(time::Instant::now());
            let Some(bytes) = reply.next(limit).await? else {
                return Err(Broken::NoEndMarker.into());
            };
            splitter.push(&bytes)?;
        }
    }

    /// Queues a part for the caller; returns whether there was room within the time limit. Closes
    /// the connection of a caller that is too slow.
    async fn send_part(&mut self, event: Bytes, tokens: Tokens) -> bool {
        if let Some(started) = self.started.take() {
            let _ = started.send(Ok(()));
        }
        let sending_part = self.producer.send(event, tokens);
        match time::timeout(self.ctx.options.write_timeout, sending_part).await {
            Ok(queued) => queued,
            Err(_) => {
                self.job.close_connection.cancel();
                false
            }
        }
    }

    /// Reports the failure: as an error response if nothing was sent to the caller, else as the
    /// last event of a stream that ends with an error.
    async fn report_failure(&mut self, e: Error) {
        let ran = match (self.received_tokens > Tokens(0), self.sent) {
            (true, _) => Ran::Yes,
            (false, true) => Ran::Unknown,
            (false, false) => Ran::No,
        };
        let e = e.ran(ran);
        if let Some(started) = self.started.take() {
            let _ = started.send(Err(e));
            return;
        }
        let text = response::error_text(&e, &self.job.request_id);
        self.send_part(sse::event(&text), Tokens(0)).await;
        if e.code == Code::KeyWithdrawn {
            self.close_connection_soon();
        }
    }

    /// Closes the connection after 1 s, in case the caller does not read the end of its answer.
    fn close_connection_soon(&self) {
        let connection = self.job.close_connection.clone();
        tokio::spawn(async move {
            time::sleep(std::time::Duration::from_secs(1)).await;
            connection.cancel();
        });
    }

    /// If any token was received, counts the request and its prompt: the prompt by the server's
    /// count, or else by the estimate. Completion tokens are counted as the caller takes them.
    fn record_request_usage(&self) {
        let any_received = self.received_tokens > Tokens(0);
        let reported = Tokens(self.usage.prompt_tokens);
        let estimated =
            self.job.model_request.as_ref().map_or(Tokens(0), |call| call.prompt_tokens);
        let prompt = if reported > Tokens(0) { reported } else { estimated };
        if any_received {
            let figures = UsageTotals { requests: 1, prompt, completion: Tokens(0) };
            self.ctx.counter.add(self.job.workspace_id(), &figures);
        }
    }

    fn observe_first_token(&self, granted_at: std::time::Instant) {
        let elapsed = self.ctx.clock.now().saturating_duration_since(granted_at);
        let route = self.job.route.name.clone();
        self.ctx.first_token_seconds.lock().observe(route, elapsed.as_secs_f64());
    }
}

/// Statuses of 400 to 499, except 429, mean that the request is invalid; with any other, another
/// server may succeed.
fn classify_error_status(status: u16) -> AttemptEnd {
    let error = Error::new(Code::AnswerBroken, format!("status {status}")).ran(Ran::Unknown);
    match status {
        400..=428 | 430..=499 => AttemptEnd::Rejected(error),
        _ => AttemptEnd::ServerFailed(error),
    }
}
