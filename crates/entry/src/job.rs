//! A request that was checked and may be run.

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
    units::{PoolId, RequestId, ServerId, Tokens, WorkspaceId},
};
use wasabi_policy::{
    estimate,
    ticket::{self, Ticket},
};

use crate::{
    chat::{self, Call},
    context::Context,
    running::Running,
};

const PREFIX_OF_SERVICES: u64 = 0;

/// A request that was checked and may be run.
pub struct Job {
    /// The identity that goes to the backend server and back to the caller.
    pub request: RequestId,
    /// Its route.
    pub route: Arc<Route>,
    /// Its class.
    pub class: Arc<Class>,
    /// The workspace that it runs for.
    pub workspace: Arc<Workspace>,
    /// The pool that serves it.
    pub pool: PoolId,
    /// What it asks of a model; none for plain services.
    pub call: Option<Call>,
    /// The method.
    pub method: Method,
    /// Path and query without the key.
    pub target: String,
    /// Headers without the key.
    pub headers: HeaderMap,
    /// The body as the caller sent it.
    pub body: Bytes,
    /// The idempotency key, if there is one.
    pub once_key: Option<String>,
    /// When it arrived.
    pub since: Instant,
    /// Its place among the running requests.
    pub running: Running,
    /// Closes the caller's connection.
    pub connection: CancellationToken,
}

impl Job {
    /// Returns the ticket to ask for a server with.
    pub fn ticket(&self, ctx: &Context, resumed: bool, avoid: Option<ServerId>) -> Ticket {
        let lengths = ctx.lengths.lock();
        let expected = lengths.get(&(self.route.name.clone(), self.workspace.name.clone()));
        let seconds = |table: &estimate::Table<_>| {
            Duration::from_secs_f64(table.get(&self.route.name).clamp(0.0, 3_600.0))
        };
        let first = seconds(&ctx.first_token.lock());
        let whole = seconds(&ctx.whole.lock());
        let streamed = self.call.as_ref().is_some_and(|call| call.stream);
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
            expected: self.at_most(Tokens(expected as u64)),
            preemptible: streamed && self.route.repeatable,
            avoid,
            prefix: self.call.as_ref().map_or(PREFIX_OF_SERVICES, |call| call.prefix),
            resumed,
        }
    }

    /// An answer is no longer than the caller wants it.
    fn at_most(&self, expected: Tokens) -> Tokens {
        let limit = self.call.as_ref().and_then(|call| call.max_tokens);
        limit.map_or(expected, |limit| expected.min(limit))
    }

    /// Returns the request for the backend server, to go on after `delivered` tokens.
    pub fn outgoing(&self, delivered: Tokens) -> Request<Full<Bytes>> {
        let body = match &self.call {
            Some(call) => {
                Bytes::from(chat::outgoing(call, &self.request, self.class.tier, delivered))
            }
            None => self.body.clone(),
        };
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.parse().expect("the target was a valid URI");
        *request.headers_mut() = self.headers.clone();
        let text = |text: &str| text.parse().expect("names are header values");
        request.headers_mut().insert("x-request-id", text(self.request.as_str()));
        request.headers_mut().insert("x-priority", text(&self.class.tier.to_string()));
        request
    }

    /// Takes in how long an answer was.
    pub fn observe_length(&self, ctx: &Context, tokens: Tokens) {
        let key = (self.route.name.clone(), self.workspace.name.clone());
        ctx.lengths.lock().observe(key, tokens.0 as f64);
    }

    /// Returns the workspace's name.
    pub fn workspace_id(&self) -> &WorkspaceId {
        &self.workspace.name
    }
}
