//! A validated request that is ready to be sent to a server.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Method, Request};
use tokio_util::sync::CancellationToken;
use wasabi_core::{
    note::{Class, Route, Workspace},
    units::{Build, PoolId, RequestId, ServerId, Tokens, WorkspaceId},
};
use wasabi_policy::{
    moving_average,
    quarantine::Feature,
    ticket::{self, Ticket},
};

use crate::{
    chat::{self, ModelRequest},
    context::Context,
    running::Registration,
};

/// Prefix hash of requests to pools without a model, which have no prompt.
const NO_PROMPT_PREFIX: u64 = 0;

/// A validated request that is ready to be sent to a server.
pub struct Job {
    /// The request id, sent to the backend server and returned to the caller.
    pub request_id: RequestId,
    /// The route that matched.
    pub route: Arc<Route>,
    /// The request class of the route.
    pub class: Arc<Class>,
    /// The workspace that it runs for.
    pub workspace: Arc<Workspace>,
    /// The pool that serves it.
    pub pool: PoolId,
    /// The parsed body for a model; `None` if the pool serves no model.
    pub model_request: Option<ModelRequest>,
    /// The HTTP method.
    pub method: Method,
    /// Path and query without the key.
    pub target: String,
    /// Headers without the key.
    pub headers: HeaderMap,
    /// The body as the caller sent it.
    pub body: Bytes,
    /// The value of the `idempotency-key` header, if any.
    pub idempotency_key: Option<String>,
    /// When the request's head was received.
    pub received_at: Instant,
    /// Keeps the request registered as running.
    pub running: Registration,
    /// Cancel to close the caller's connection.
    pub close_connection: CancellationToken,
}

impl Job {
    /// Builds the scheduler's ticket. `resumed` tells whether the request had a grant before; calls
    /// that run at most once pass `false` also on retries. `avoid` names a server that has just
    /// failed it.
    /// `build` is the software version that began an answer which is to go on.
    pub fn ticket(
        &self,
        ctx: &Context,
        resumed: bool,
        avoid: Option<ServerId>,
        build: Option<Build>,
    ) -> Ticket {
        let lengths = ctx.answer_lengths.lock();
        let expected_tokens = lengths.get(&(self.route.name.clone(), self.workspace.name.clone()));
        let expected_duration = |table: &moving_average::Table<_>| {
            Duration::from_secs_f64(table.get(&self.route.name).clamp(0.0, 3_600.0))
        };
        let first = expected_duration(&ctx.first_token_seconds.lock());
        let whole = expected_duration(&ctx.answer_seconds.lock());
        let streamed = self.model_request.as_ref().is_some_and(|call| call.stream);
        Ticket {
            pool: self.pool.clone(),
            class: self.class.name.clone(),
            tier: self.class.tier,
            workspace: self.workspace.name.clone(),
            weight: self.workspace.weight,
            max_running: self.workspace.max_running,
            token_rate: self.workspace.token_rate,
            max_gap: Duration::from_millis(self.class.max_gap_ms),
            patience: ticket::patience(&self.class, first, whole),
            expected: self.cap_length(Tokens(expected_tokens as u64)),
            preemptible: streamed && self.route.repeatable,
            avoid,
            prefix: self.model_request.as_ref().map_or(NO_PROMPT_PREFIX, |call| call.prefix_hash),
            features: self.features(),
            build,
            resumed,
        }
    }

    /// Returns what the request has in common with others: the messages of its prompt that others may share,
    /// and what stays the same when its caller sends it again.
    pub fn features(&self) -> Vec<Feature> {
        let messages = self.model_request.as_ref().map_or(&[][..], |call| &call.shared_messages);
        let messages = messages.iter().map(|message| Feature::part(&self.pool, *message));
        let content = (&self.workspace.name, self.method.as_str(), &self.target, &self.body[..]);
        messages.chain([Feature::request(&self.pool, content)]).collect()
    }

    /// Caps an expected answer length by the limit in the request.
    fn cap_length(&self, expected: Tokens) -> Tokens {
        let limit = self.model_request.as_ref().and_then(|call| call.max_tokens);
        limit.map_or(expected, |limit| expected.min(limit))
    }

    /// Builds the request for the backend server; the answer is to continue after the first
    /// `delivered` tokens.
    pub fn backend_request(&self, delivered: Tokens) -> Request<Full<Bytes>> {
        let body = match &self.model_request {
            Some(call) => {
                Bytes::from(chat::backend_body(call, &self.request_id, self.class.tier, delivered))
            }
            None => self.body.clone(),
        };
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.parse().expect("the target was a valid URI");
        *request.headers_mut() = self.headers.clone();
        let text = |text: &str| text.parse().expect("names are header values");
        request.headers_mut().insert("x-request-id", text(self.request_id.as_str()));
        request.headers_mut().insert("x-priority", text(&self.class.tier.to_string()));
        request
    }

    /// Updates the expected answer length of the route and workspace with an answer's length.
    pub fn observe_length(&self, ctx: &Context, tokens: Tokens) {
        let key = (self.route.name.clone(), self.workspace.name.clone());
        ctx.answer_lengths.lock().observe(key, tokens.0 as f64);
    }

    /// The name of the workspace that the request runs for.
    pub fn workspace_id(&self) -> &WorkspaceId {
        &self.workspace.name
    }
}
