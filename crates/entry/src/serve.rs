//! One request, from its head to its answer.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Method, Request, Response,
    body::Incoming,
    header::{self, HeaderValue},
};
use log::info;
use tokio_util::sync::CancellationToken;
use wasabi_config::state::{RESERVED_WORKSPACE, State};
use wasabi_core::{
    errors::{Code, Error, Result},
    note::{Class, Key, Pool, Route, Workspace},
    units::{PoolId, RequestId, ServerId, Tokens, WorkspaceId},
};
use wasabi_policy::ticket::{self, Ticket};

use crate::{
    answer,
    body::{self, Outgoing},
    chat::{self, Call},
    context::Context,
    head, key, once,
    running::Running,
    stream, whole,
};

const MODELS_PATH: &str = "/v1/models";
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
    let answered = match prepare(&ctx, &id, request, connection, since).await {
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

enum Prepared {
    Job(Box<Job>),
    Answer(Response<Outgoing>),
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

async fn prepare(
    ctx: &Arc<Context>,
    id: &RequestId,
    request: Request<Incoming>,
    connection: CancellationToken,
    since: Instant,
) -> Result<Prepared> {
    if !ctx.cell.is_ready() {
        return Err(Error::new(Code::NotReady, "").retry_after(Duration::from_secs(1)));
    }
    let state = ctx.cell.get();
    let (parts, incoming) = request.into_parts();
    let path = head::path(&parts.uri)?;
    let secret = key::find(&parts.headers, &parts.uri)?;
    if path == MODELS_PATH && parts.method == Method::GET {
        proven(ctx, &state, secret.as_deref())?;
        return Ok(Prepared::Answer(models(&state, id)));
    }
    let route = state.route(&path).ok_or_else(|| Error::new(Code::RouteUnknown, ""))?;
    let (key, workspace) = identify(ctx, &state, &route, secret.as_deref())?;
    let running = ctx.running.enter(key.clone(), workspace.name.clone());
    // A withdrawal between the look-up and the entry would be missed without a second look.
    if key.is_some_and(|key| !ctx.cell.get().has_key(&key)) {
        return Err(Error::new(Code::KeyUnknown, ""));
    }
    ctx.limits.admit(since, &workspace, ctx.running.of_workspace(&workspace.name))?;
    let once_key = head::text(&parts.headers, "idempotency-key")?;
    let receiving = body::receive(&ctx.options, incoming, route.max_body);
    let body = tokio::select! {
        body = receiving => body?,
        () = running.cut.cancelled() => return Err(Error::new(Code::KeyWithdrawn, "")),
    };
    if secret.as_deref().is_some_and(|secret| {
        key::contains(&body, secret) || key::contains(path.as_bytes(), secret)
    }) {
        return Err(Error::new(Code::BodyInvalid, "the request holds its key"));
    }
    let (pool, call) = choose_pool(&state, &route, &parts.method, &body, secret.as_deref())?;
    let class = state.classes.get(&route.class).map(|slot| slot.object.clone());
    let class = class.ok_or_else(|| Error::new(Code::Internal, "the route has no class"))?;
    let mut headers = parts.headers;
    let kept = headers.iter().filter(|(name, value)| {
        !head::is_hop(name) && key::may_pass(name, value, secret.as_deref())
    });
    headers = kept.map(|(name, value)| (name.clone(), value.clone())).collect();
    let query = key::clean_query(&parts.uri, secret.as_deref());
    let target = query.map_or_else(
        || parts.uri.path().to_string(),
        |query| format!("{}?{query}", parts.uri.path()),
    );
    Ok(Prepared::Job(Box::new(Job {
        request: id.clone(),
        route,
        class,
        workspace,
        pool,
        call,
        method: parts.method,
        target,
        headers,
        body,
        once_key,
        since,
        running,
        connection,
    })))
}

fn proven(ctx: &Context, state: &State, secret: Option<&str>) -> Result<Arc<Key>> {
    let secret = secret.ok_or_else(|| Error::new(Code::KeyMissing, ""))?;
    let key = state.key(secret)?;
    if ctx.contact.is_isolated() {
        let wait = Duration::from_secs(2);
        return Err(Error::new(Code::Isolated, "").retry_after(wait));
    }
    Ok(key)
}

fn identify(
    ctx: &Context,
    state: &State,
    route: &Route,
    secret: Option<&str>,
) -> Result<(Option<Arc<Key>>, Arc<Workspace>)> {
    if route.open {
        return Ok((None, Arc::new(open_workspace())));
    }
    let key = proven(ctx, state, secret)?;
    let workspace = state.workspaces.get(&key.workspace).map(|slot| slot.object.clone());
    let workspace = workspace.ok_or_else(|| Error::new(Code::KeyUnknown, ""))?;
    Ok((Some(key), workspace))
}

fn open_workspace() -> Workspace {
    let name = RESERVED_WORKSPACE.parse().expect("the name is valid");
    Workspace { name, weight: 1, max_running: None, token_rate: None }
}

fn choose_pool(
    state: &State,
    route: &Route,
    method: &Method,
    body: &[u8],
    secret: Option<&str>,
) -> Result<(PoolId, Option<Call>)> {
    let pools = state.pools_of(route);
    let first = pools.first().ok_or_else(|| Error::new(Code::ServerUnavailable, "no pool"))?;
    if pools.iter().all(|pool| pool.model.is_none()) {
        return Ok((first.name.clone(), None));
    }
    if method != Method::POST {
        return Err(Error::new(Code::RouteUnknown, "the route takes POST"));
    }
    let call = chat::parse(body, secret)?;
    let serves = |pool: &&Arc<Pool>| pool.model.as_deref() == Some(call.model.as_str());
    let pool = pools.iter().find(serves).map(|pool| pool.name.clone());
    let pool = pool.ok_or_else(|| Error::new(Code::ModelUnknown, ""))?;
    Ok((pool, Some(call)))
}

fn models(state: &State, id: &RequestId) -> Response<Outgoing> {
    let names = state.pools.values().filter_map(|slot| slot.object.model.clone());
    let list: Vec<serde_json::Value> =
        names.map(|name| serde_json::json!({"id": name, "object": "model"})).collect();
    let text = serde_json::json!({"object": "list", "data": list}).to_string();
    answer::whole(200, Some("application/json"), Bytes::from(text), id)
}

impl Job {
    /// Returns the ticket to ask for a server with.
    pub fn ticket(&self, ctx: &Context, resumed: bool, avoid: Option<ServerId>) -> Ticket {
        let lengths = ctx.lengths.lock();
        let expected = lengths.get(&(self.route.name.clone(), self.workspace.name.clone()));
        let seconds = |table: &wasabi_policy::estimate::Table<_>| {
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
