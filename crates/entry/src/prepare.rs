//! From a request's head and body to a job, or to the error that it gets.

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
    answer,
    body::{self, Outgoing},
    chat::{self, Call},
    context::Context,
    head,
    job::Job,
    key,
    running::Running,
};

const MODELS_PATH: &str = "/v1/models";
const WHEN_READY: Duration = Duration::from_secs(1);
const WHEN_IN_CONTACT: Duration = Duration::from_secs(2);

/// What comes of a request before anything is run.
pub enum Prepared {
    /// It may be run.
    Job(Box<Job>),
    /// It is answered already.
    Answer(Response<Outgoing>),
}

/// Checks a request in the order route, key, body, model.
pub async fn prepare(
    ctx: &Arc<Context>,
    id: &RequestId,
    request: Request<Incoming>,
    connection: CancellationToken,
    since: Instant,
) -> Result<Prepared> {
    if !ctx.cell.is_ready() {
        return Err(Error::new(Code::NotReady, "").retry_after(WHEN_READY));
    }
    let state = ctx.cell.get();
    let (parts, incoming) = request.into_parts();
    let path = head::path(&parts.uri)?;
    let secret = key::find(&parts.headers, &parts.uri)?;
    let secret = secret.as_deref();
    if path == MODELS_PATH && parts.method == Method::GET {
        proven(ctx, &state, secret)?;
        return Ok(Prepared::Answer(models(&state, id)));
    }
    let route = state.route(&path).ok_or_else(|| Error::new(Code::RouteUnknown, ""))?;
    let (running, workspace) = enter(ctx, &state, &route, secret)?;
    let once_key = head::text(&parts.headers, "idempotency-key")?;
    let body = receive(ctx, incoming, &route, &running).await?;
    let in_path = |s: &str| key::contains(path.as_bytes(), s);
    if secret.is_some_and(|s| key::is_in_body(&body, s) || in_path(s)) {
        return Err(Error::new(Code::BodyInvalid, "the request holds its key"));
    }
    let (pool, call) = choose_pool(&state, &route, &parts.method, &body)?;
    let class = state.classes.get(&route.class).map(|slot| slot.object.clone());
    let class = class.ok_or_else(|| Error::new(Code::Internal, "the route has no class"))?;
    let (target, headers) = (target(&parts.uri, secret), kept_headers(&parts, secret));
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

/// Finds whose request it is, and enters it among those that a withdrawal cuts.
fn enter(
    ctx: &Context,
    state: &State,
    route: &Route,
    secret: Option<&str>,
) -> Result<(Running, Arc<Workspace>)> {
    let (key, workspace) = identify(ctx, state, route, secret)?;
    let running = ctx.running.enter(key.clone());
    // A withdrawal between the look-up and the entry would be missed without a second look.
    if key.is_some_and(|key| !ctx.cell.get().has_key(&key)) {
        return Err(Error::new(Code::KeyUnknown, ""));
    }
    Ok((running, workspace))
}

async fn receive(
    ctx: &Context,
    incoming: Incoming,
    route: &Route,
    running: &Running,
) -> Result<Bytes> {
    tokio::select! {
        body = body::receive(&ctx.options, incoming, route.max_body) => body,
        () = running.cut.cancelled() => Err(Error::new(Code::KeyWithdrawn, "")),
    }
}

/// Returns path and query for the backend server, without the key.
fn target(uri: &Uri, secret: Option<&str>) -> String {
    match key::clean_query(uri, secret) {
        Some(query) => format!("{}?{query}", uri.path()),
        None => uri.path().to_string(),
    }
}

/// Returns the headers for the backend server, without the key.
fn kept_headers(parts: &Parts, secret: Option<&str>) -> HeaderMap {
    let kept = parts
        .headers
        .iter()
        .filter(|(name, value)| !head::is_hop(name) && key::may_pass(name, value, secret));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

fn proven(ctx: &Context, state: &State, secret: Option<&str>) -> Result<Arc<Key>> {
    let secret = secret.ok_or_else(|| Error::new(Code::KeyMissing, ""))?;
    let key = state.key(secret)?;
    if ctx.contact.is_isolated() {
        return Err(Error::new(Code::Isolated, "").retry_after(WHEN_IN_CONTACT));
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
) -> Result<(PoolId, Option<Call>)> {
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

fn models(state: &State, id: &RequestId) -> Response<Outgoing> {
    let names = state.pools.values().filter_map(|slot| slot.object.model.clone());
    let list: Vec<serde_json::Value> =
        names.map(|name| serde_json::json!({"id": name, "object": "model"})).collect();
    let text = serde_json::json!({"object": "list", "data": list}).to_string();
    answer::whole(200, Some("application/json"), Bytes::from(text), id)
}
