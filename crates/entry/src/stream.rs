//! Streamed answers: from a grant to the end marker, over as many servers as it takes.

use std::sync::Arc;

use bytes::Bytes;
use hyper::{Response, StatusCode, header};
use tokio::{sync::oneshot, time};
use tokio_util::sync::CancellationToken;
use wasabi_core::{
    errors::{Code, Error, Ran, Result},
    io::Figures,
    units::{ServerId, Tokens},
};
use wasabi_policy::ticket::Outcome;

use crate::{
    answer,
    body::{Outgoing, Part, Streamed},
    chat::{self, Usage},
    context::Context,
    dispatch::Grant,
    job::Job,
    relay::{self, Reply},
    serve, sse,
};

/// Parts that may wait for a slow caller.
const MAX_PARTS: usize = 16;

/// How one server's turn at an answer ended.
enum Turn {
    /// The end marker has been passed on.
    Complete,
    /// The caller is gone or too slow.
    Gone,
    /// The key was withdrawn.
    Cut,
    /// A higher tier needs the server.
    Preempted,
    /// The server failed; another may go on.
    Broken(Error),
    /// The server refused the request itself; no other will take it.
    Refused(Error),
}

/// Runs a streamed request; returns once its first part is there.
pub async fn run(ctx: Arc<Context>, job: Job) -> Result<Response<Outgoing>> {
    let (head_sender, head) = oneshot::channel();
    let (sender, parts) = flume::bounded(MAX_PARTS);
    let gone = CancellationToken::new();
    let guard = gone.clone().drop_guard();
    let workspace = job.workspace_id().clone();
    let request = job.request.clone();
    let pump = Pump {
        ctx: ctx.clone(),
        job,
        head: Some(head_sender),
        parts: sender,
        gone,
        delivered: Tokens(0),
        usage: Usage::default(),
        sent: false,
    };
    tokio::spawn(pump.run());
    head.await.unwrap_or_else(|_| Err(Error::new(Code::Internal, "the stream ended")))?;
    let taken = move |tokens| {
        let figures = Figures { completion: tokens, ..Figures::default() };
        ctx.counter.add(&workspace, &figures);
    };
    let response = Response::builder()
        .status(StatusCode::OK)
        .header(header::CONTENT_TYPE, "text/event-stream")
        .header(header::CACHE_CONTROL, "no-cache")
        .header("x-request-id", request.as_str());
    Ok(response.body(Streamed::body(parts, guard, taken)).expect("the parts are valid"))
}

struct Pump {
    ctx: Arc<Context>,
    job: Job,
    /// Taken when the first part is ready or the request has failed.
    head: Option<oneshot::Sender<Result<()>>>,
    parts: flume::Sender<Part>,
    /// Set when the caller is gone.
    gone: CancellationToken,
    /// Tokens passed on so far.
    delivered: Tokens,
    usage: Usage,
    /// Whether a byte of the request may have left.
    sent: bool,
}

impl Pump {
    async fn run(mut self) {
        self.ctx.budget.lock().deposit();
        let failed = self.work().await.err();
        let code = failed.as_ref().map(|e| e.code);
        if let Some(e) = failed {
            self.fail(e).await;
        }
        if self.sent {
            self.bill();
        }
        serve::record(&self.ctx, Some(&self.job), &self.job.request, code, self.job.since);
    }

    async fn work(&mut self) -> Result<()> {
        let mut avoid: Option<ServerId> = None;
        let mut retries = 0;
        let mut resumed = false;
        loop {
            let Some(grant) = self.ask(resumed, avoid.clone()).await? else { return Ok(()) };
            let server = grant.server.name.clone();
            match self.turn(&grant).await {
                Turn::Complete => {
                    grant.end(Outcome::Done);
                    self.job.observe_length(&self.ctx, self.delivered);
                    return Ok(());
                }
                Turn::Gone => return Ok(()),
                Turn::Cut => return Err(Error::new(Code::KeyWithdrawn, "")),
                Turn::Refused(e) => return Err(e),
                Turn::Preempted => grant.end(Outcome::Preempted),
                Turn::Broken(e) => {
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
    async fn ask(&self, resumed: bool, avoid: Option<ServerId>) -> Result<Option<Grant>> {
        let ticket = self.job.ticket(&self.ctx, resumed, avoid);
        tokio::select! {
            () = self.gone.cancelled() => Ok(None),
            () = self.job.running.cut.cancelled() => Err(Error::new(Code::KeyWithdrawn, "")),
            grant = self.ctx.dispatch.ask(ticket) => grant.map(Some),
        }
    }

    async fn turn(&mut self, grant: &Grant) -> Turn {
        let granted = self.ctx.clock.now();
        let cut = self.job.running.cut.clone();
        let gone = self.gone.clone();
        let stop = grant.stop.clone();
        tokio::select! {
            biased;
            () = cut.cancelled() => Turn::Cut,
            () = gone.cancelled() => Turn::Gone,
            () = stop.cancelled() => Turn::Preempted,
            turn = self.relay(grant, granted) => turn,
        }
    }

    async fn relay(&mut self, grant: &Grant, granted: std::time::Instant) -> Turn {
        let request = self.job.outgoing(self.delivered);
        let ctx = self.ctx.clone();
        let options = &ctx.options;
        let sending = relay::send(options, &grant.server, request, options.first_time);
        let mut reply = match sending.await {
            Ok(reply) => reply,
            Err(failure) => {
                self.sent |= failure.sent;
                return Turn::Broken(failure.error);
            }
        };
        self.sent = true;
        if reply.status != StatusCode::OK.as_u16() {
            return refusal(reply.status);
        }
        match self.pass_on(grant, granted, &mut reply).await {
            Ok(turn) => turn,
            Err(e) => Turn::Broken(e),
        }
    }

    async fn pass_on(
        &mut self,
        grant: &Grant,
        granted: std::time::Instant,
        reply: &mut Reply,
    ) -> Result<Turn> {
        let mut splitter = sse::Splitter::default();
        let mut limit = self.ctx.options.first_time;
        loop {
            while let Some(event) = splitter.next_event() {
                let Some(data) = sse::data(&event) else { continue };
                if data == chat::DONE {
                    let passed = self.pass(event, Tokens(0)).await;
                    return Ok(if passed { Turn::Complete } else { Turn::Gone });
                }
                let chunk = chat::check(data.as_bytes(), &self.job.request)?;
                let tokens = chunk.tokens();
                if self.delivered == Tokens(0) && tokens > Tokens(0) {
                    self.observe_first_token(granted);
                }
                grant.progress(tokens);
                self.usage = chunk.usage.unwrap_or(self.usage);
                self.delivered += tokens;
                if !self.pass(event, tokens).await {
                    return Ok(Turn::Gone);
                }
            }
            let Some(bytes) = reply.next(limit).await? else {
                return Err(Error::new(Code::AnswerBroken, "no end marker").ran(Ran::Unknown));
            };
            splitter.push(&bytes)?;
            limit = self.ctx.options.part_time;
        }
    }

    /// Returns whether the caller took the part in time.
    async fn pass(&mut self, event: Bytes, tokens: Tokens) -> bool {
        if let Some(head) = self.head.take() {
            let _ = head.send(Ok(()));
        }
        let passing = self.parts.send_async(Part::Data(event, tokens));
        match time::timeout(self.ctx.options.write_time, passing).await {
            Ok(passed) => passed.is_ok(),
            Err(_) => {
                self.job.connection.cancel();
                false
            }
        }
    }

    /// States the failure: as the answer if nothing was passed on, else as the last event of a
    /// stream that breaks off.
    async fn fail(&mut self, e: Error) {
        let ran = match (self.delivered > Tokens(0), self.sent) {
            (true, _) => Ran::Yes,
            (false, true) => Ran::Unknown,
            (false, false) => Ran::No,
        };
        let e = e.ran(ran);
        if let Some(head) = self.head.take() {
            let _ = head.send(Err(e));
            return;
        }
        let text = answer::error_text(&e, &self.job.request);
        if self.pass(sse::event(&text), Tokens(0)).await {
            let broken = self.parts.send_async(Part::Broken);
            let _ = time::timeout(self.ctx.options.write_time, broken).await;
        }
        if e.code == Code::KeyWithdrawn {
            self.cut_soon();
        }
    }

    /// Closes the connection of a caller that does not take the end of its answer.
    fn cut_soon(&self) {
        let connection = self.job.connection.clone();
        tokio::spawn(async move {
            time::sleep(std::time::Duration::from_secs(1)).await;
            connection.cancel();
        });
    }

    fn bill(&self) {
        let ran = self.delivered > Tokens(0);
        let stated = Tokens(self.usage.prompt_tokens);
        let estimated = self.job.call.as_ref().map_or(Tokens(0), |call| call.prompt);
        let prompt = if stated > Tokens(0) { stated } else { estimated };
        if ran {
            let figures = Figures { requests: 1, prompt, completion: Tokens(0) };
            self.ctx.counter.add(self.job.workspace_id(), &figures);
        }
    }

    fn observe_first_token(&self, granted: std::time::Instant) {
        let took = self.ctx.clock.now().saturating_duration_since(granted);
        let route = self.job.route.name.clone();
        self.ctx.first_token.lock().observe(route, took.as_secs_f64());
    }
}

fn refusal(status: u16) -> Turn {
    let error = Error::new(Code::AnswerBroken, format!("status {status}")).ran(Ran::Unknown);
    match status {
        400..=428 | 430..=499 => Turn::Refused(error),
        _ => Turn::Broken(error),
    }
}
