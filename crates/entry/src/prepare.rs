//! Validates a request's head and body and turns it into a [`Job`], an answer or an error.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{HeaderMap, Method, Request, Response, Uri, body::Incoming, http::request::Parts};
use tokio_util::sync::CancellationToken;
use wasabi_config::state::{RESERVED_WORKSPACE, State};
use wasabi_core::{
    errors::{Code, Error, Result},
    note::{Key, Pool, Route, Workspace},
    units::{PoolId, RequestId},
};

use crate::{
    body::{self, ResponseBody},
    chat::{self, ModelRequest},
    context::Context,
    head,
    job::Job,
    key, response,
    running::Registration,
};

const MODELS_PATH: &str = "/v1/models";
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);
const ISOLATED_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The result of validating a request.
pub enum Prepared {
    /// It is valid and can be sent to a server.
    Job(Box<Job>),
    /// The router answers it itself.
    Answer(Response<ResponseBody>),
}

/// Checks a request, in this order: the path, that the keys it carries do not conflict, the route,
/// the key itself, the body and the model.
pub async fn prepare(
    ctx: &Arc<Context>,
    id: &RequestId,
    request: Request<Incoming>,
    close_connection: CancellationToken,
    received_at: Instant,
) -> Result<Prepared> {
    if !ctx.config.is_ready() {
        return Err(Error::new(Code::NotReady, "").retry_after(NOT_READY_RETRY_AFTER));
    }
    let state = ctx.config.get();
    let (parts, incoming) = request.into_parts();
    let path = head::path(&parts.uri)?;
    let secret = key::find(&parts.headers, &parts.uri)?;
    let secret = secret.as_deref();
    if path == MODELS_PATH && parts.method == Method::GET {
        authenticate(ctx, &state, secret)?;
        return Ok(Prepared::Answer(models_response(&state, id)));
    }
    let route = state.route(&path).ok_or_else(|| Error::new(Code::RouteUnknown, ""))?;
    let (running, workspace) = register(ctx, &state, &route, secret)?;
    let idempotency_key = head::single_value(&parts.headers, "idempotency-key")?;
    let body = receive(ctx, incoming, &route, &running).await?;
    let in_path = |s: &str| key::contains(path.as_bytes(), s);
    if secret.is_some_and(|s| key::is_in_body(&body, s) || in_path(s)) {
        return Err(Error::new(Code::BodyInvalid, "the request holds its key"));
    }
    let (pool, model_request) = choose_pool(&state, &route, &parts.method, &body)?;
    let class = state.classes.get(&route.class).map(|slot| slot.object.clone());
    let class = class.ok_or_else(|| Error::new(Code::Internal, "the route has no class"))?;
    let (target, headers) =
        (forwarded_target(&parts.uri, secret), forwarded_headers(&parts, secret));
    Ok(Prepared::Job(Box::new(Job {
        request_id: id.clone(),
        route,
        class,
        workspace,
        pool,
        model_request,
        method: parts.method,
        target,
        headers,
        body,
        idempotency_key,
        received_at,
        running,
        close_connection,
    })))
}

/// Resolves the caller and registers the request, so that a withdrawal of its key cancels it.
fn register(
    ctx: &Context,
    state: &State,
    route: &Route,
    secret: Option<&str>,
) -> Result<(Registration, Arc<Workspace>)> {
    let (key, workspace) = resolve_caller(ctx, state, route, secret)?;
    let running = ctx.running.register(key.clone());
    // A withdrawal between the look-up and the registration would not cancel the request, so the
    // key is checked again.
    if key.is_some_and(|key| !ctx.config.get().has_key(&key)) {
        return Err(Error::new(Code::KeyUnknown, ""));
    }
    Ok((running, workspace))
}

async fn receive(
    ctx: &Context,
    incoming: Incoming,
    route: &Route,
    running: &Registration,
) -> Result<Bytes> {
    tokio::select! {
        body = body::receive(&ctx.options, incoming, route.max_body) => body,
        () = running.cancel.cancelled() => Err(Error::new(Code::KeyWithdrawn, "")),
    }
}

/// Returns the path and query to forward, without the key.
fn forwarded_target(uri: &Uri, secret: Option<&str>) -> String {
    match key::clean_query(uri, secret) {
        Some(query) => format!("{}?{query}", uri.path()),
        None => uri.path().to_string(),
    }
}

/// Returns the headers to forward: no hop-by-hop headers and none with the key.
fn forwarded_headers(parts: &Parts, secret: Option<&str>) -> HeaderMap {
    let forwarded = parts
        .headers
        .iter()
        .filter(|(name, value)| !head::is_dropped(name) && key::may_forward(name, value, secret));
    forwarded.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// Returns the key that `secret` belongs to; refuses while the host is isolated, since it could not
/// notice a withdrawal.
fn authenticate(ctx: &Context, state: &State, secret: Option<&str>) -> Result<Arc<Key>> {
    let secret = secret.ok_or_else(|| Error::new(Code::KeyMissing, ""))?;
    let key = state.authenticate(secret)?;
    if ctx.host_state.is_isolated() {
        return Err(Error::new(Code::Isolated, "").retry_after(ISOLATED_RETRY_AFTER));
    }
    Ok(key)
}

/// Returns the caller's key and workspace; open routes need no key and use the reserved workspace.
fn resolve_caller(
    ctx: &Context,
    state: &State,
    route: &Route,
    secret: Option<&str>,
) -> Result<(Option<Arc<Key>>, Arc<Workspace>)> {
    if route.open {
        return Ok((None, Arc::new(workspace_of_open_routes())));
    }
    let key = authenticate(ctx, state, secret)?;
    let workspace = state.workspaces.get(&key.workspace).map(|slot| slot.object.clone());
    let workspace = workspace.ok_or_else(|| Error::new(Code::KeyUnknown, ""))?;
    Ok((Some(key), workspace))
}

fn workspace_of_open_routes() -> Workspace {
    let name = RESERVED_WORKSPACE.parse().expect("the name is valid");
    Workspace { name, weight: 1, max_running: None, token_rate: None }
}

/// Returns the pool that serves the request, and the parsed body if the pools serve models.
fn choose_pool(
    state: &State,
    route: &Route,
    method: &Method,
    body: &[u8],
) -> Result<(PoolId, Option<ModelRequest>)> {
    let pools = state.pools_of(route);
    let first = pools.first().ok_or_else(|| Error::new(Code::ServerUnavailable, "no pool"))?;
    if pools.iter().all(|pool| pool.model.is_none()) {
        return Ok((first.name.clone(), None));
    }
    if method != Method::POST {
        return Err(Error::new(Code::RouteUnknown, "the route takes POST"));
    }
    let call = chat::parse(body)?;
    let serves = |pool: &&Arc<Pool>| pool.model.as_deref() == Some(call.model.as_str());
    let pool = pools.iter().find(serves).map(|pool| pool.name.clone());
    let pool = pool.ok_or_else(|| Error::new(Code::ModelUnknown, ""))?;
    Ok((pool, Some(call)))
}

fn models_response(state: &State, id: &RequestId) -> Response<ResponseBody> {
    let names = state.pools.values().filter_map(|slot| slot.object.model.clone());
    let list: Vec<serde_json::Value> =
        names.map(|name| serde_json::json!({"id": name, "object": "model"})).collect();
    let text = serde_json::json!({"object": "list", "data": list}).to_string();
    response::complete(200, Some("application/json"), Bytes::from(text), id)
}
