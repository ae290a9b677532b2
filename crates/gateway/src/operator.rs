//! The HTTP ports for operators, the load balancer and peers: readiness, metrics, the dump, and for
//! peers the state that they may fetch.

use std::{convert::Infallible, rc::Rc};

use bytes::Bytes;
use hyper::{
    Request, Response, StatusCode, body::Incoming, header::HeaderValue, server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use metrics_exporter_prometheus::PrometheusHandle;
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use wasabi_core::{catalog_diff, format, units::ServerId};
use wasabi_platform::{http, names};
use wasabi_policy::engine_speed::Speed;

use crate::{
    receive::{
        listener,
        response::{self, ResponseBody},
    },
    send::{handover, origin, relay},
    share::peer_fetch,
    state::State,
};

/// A server's id and what `Balancer::view` says of it.
type ViewRow = (ServerId, u32, u64, f64, f64);
type HttpResponse = Response<ResponseBody>;

/// Who may reach a port, which decides what it serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Audience {
    /// Operators and the load balancer.
    Operators,
    /// Other hosts, which also get the configuration with its keys.
    Peers,
}

/// Accepts connections for ever; serves readiness, metrics and the dump, and to peers also
/// [`peer_fetch::SNAPSHOT_PATH`] and [`peer_fetch::COUNTS_PATH`], and the requests that they hand over.
pub async fn run(
    state: Rc<State>,
    listener: TcpListener,
    metrics: PrometheusHandle,
    audience: Audience,
) {
    listener::accept(listener, |stream| serve(state.clone(), metrics.clone(), audience, stream))
        .await;
}

async fn serve(state: Rc<State>, metrics: PrometheusHandle, audience: Audience, stream: TcpStream) {
    let limits = state.config().map(|(catalog, _)| catalog.limits).unwrap_or_default();
    // Events of a stream that a peer has handed over must not wait for each other.
    if http::set_socket_options(&stream, limits.idle_timeout).is_err() {
        // The other side has already closed the connection.
        return;
    }
    let service = service_fn(move |mut request: Request<Incoming>| {
        let handover = match audience {
            Audience::Peers => handover::take(request.headers_mut()),
            Audience::Operators => Ok(None),
        };
        let (state, metrics) = (state.clone(), metrics.clone());
        async move {
            let response = match handover {
                Ok(Some(_)) => relay::serve(state, request, handover.unwrap_or_default()).await,
                Ok(None) => respond(&state, &metrics, audience, request.uri().path()),
                Err(error) => response::error_response(&error),
            };
            Ok::<_, Infallible>(response)
        }
    });
    let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    if served.is_err() {
        metrics::counter!("wasabi_gateway_broken_connections_total").increment(1);
    }
}

fn respond(
    state: &State,
    metrics: &PrometheusHandle,
    audience: Audience,
    path: &str,
) -> HttpResponse {
    let (status, body) = match path {
        names::READY_PATH | "/health" => match state.is_ready() {
            true => (StatusCode::OK, Bytes::from_static(b"ready\n")),
            false => (StatusCode::SERVICE_UNAVAILABLE, Bytes::from_static(b"not ready\n")),
        },
        "/metrics" => {
            update_gauges(state);
            (StatusCode::OK, Bytes::from(metrics.render()))
        }
        "/dump" => (StatusCode::OK, Bytes::from(dump(state).to_string())),
        "/config" => (StatusCode::OK, Bytes::from(config_summary(state).to_string())),
        _ => match peer_page(state, path).filter(|_| audience == Audience::Peers) {
            Some(page) => (StatusCode::OK, page),
            None => (
                StatusCode::NOT_FOUND,
                Bytes::from_static(b"try /health, /metrics, /dump or /config\n"),
            ),
        },
    };
    let mut response = Response::new(ResponseBody::Own(body));
    *response.status_mut() = status;
    if audience == Audience::Peers {
        response
            .headers_mut()
            .insert(peer_fetch::FORMAT, HeaderValue::from(u16::from(format::PAGE.0)));
    }
    response
}

/// Returns a page that only peers may fetch.
fn peer_page(state: &State, path: &str) -> Option<Bytes> {
    if path == peer_fetch::COUNTS_PATH {
        return peer_fetch::encode_counts(state);
    }
    if let Some(known) = path.strip_prefix(peer_fetch::SNAPSHOT_PATH) {
        return peer_fetch::encode_snapshot(state, known);
    }
    let page = origin::page(state, path.strip_prefix(peer_fetch::ORIGIN_PATH)?)?;
    serde_json::to_vec(&page).ok().map(Bytes::from)
}

/// Sets the gauges from the state before they are rendered.
fn update_gauges(state: &State) {
    let now = state.now();
    if let Some((catalog, age)) = state.config() {
        metrics::gauge!("wasabi_config_version").set(catalog.version.0 as f64);
        metrics::gauge!("wasabi_config_proof_age_seconds").set(age.as_secs_f64());
    }
    metrics::gauge!("wasabi_gateway_running").set(state.running_requests.get() as f64);
    metrics::gauge!("wasabi_live_hosts").set(state.live_hosts() as f64);
    let of_other_builds = state.peers.borrow().live_of_other_formats(now);
    metrics::gauge!("wasabi_peers_of_other_builds").set(of_other_builds as f64);
    metrics::gauge!("wasabi_known_streams").set(state.origins.borrow().len() as f64);
    metrics::gauge!("wasabi_limited_servers").set(state.limits.borrow().limited().count() as f64);
    metrics::gauge!("wasabi_cold_servers").set(state.servers.borrow().cold_count() as f64);
    metrics::gauge!("wasabi_evacuated_domains")
        .set(state.servers.borrow().evacuated().len() as f64);
    let quarantined: usize =
        state.quarantine.borrow().quarantined().map(|(features, _)| features.len()).sum();
    metrics::gauge!("wasabi_quarantined_features").set(quarantined as f64);
    let held = state.lease.borrow().fence(now).is_some();
    metrics::gauge!("wasabi_duties_held").set(f64::from(u8::from(held)));
    for (service, balancer) in state.balancers.borrow().iter() {
        let (taken, all) = balancer.occupancy();
        let service = service.to_string();
        metrics::gauge!("wasabi_places_taken", "service" => service.clone()).set(f64::from(taken));
        metrics::gauge!("wasabi_places", "service" => service.clone()).set(f64::from(all));
        metrics::gauge!("wasabi_prefill_duty", "service" => service.clone())
            .set(balancer.prefill_share(now));
        let speeds = balancer.speeds(now);
        if let Some(slowest) = speeds.iter().map(|(_, speed)| speed.step).reduce(f64::max) {
            metrics::gauge!("wasabi_slowest_server_factor", "service" => service.clone())
                .set(slowest);
        }
        if let Some(step) = balancer.step_time() {
            metrics::gauge!("wasabi_idle_step_seconds", "service" => service)
                .set(step.ms(0.0) / 1e3);
        }
    }
}

/// Returns the configuration in force without its keys for `/config`; `null` if there is none.
fn config_summary(state: &State) -> Value {
    state.config().map(|(catalog, _)| catalog_diff::summary(&catalog)).unwrap_or_default()
}

/// Returns the state of the process for `/dump`; it must contain no key and no prompt.
fn dump(state: &State) -> Value {
    let now = state.now();
    let config = state.config().map(|(catalog, age)| {
        json!({"version": catalog.version, "proof_age_ms": age.as_millis() as u64,
            "routes": catalog.routes.len(), "keys": catalog.keys.len()})
    });
    let server = |(row, (_, speed)): (ViewRow, (ServerId, Speed))| {
        let (id, running, tokens, queue_ms, trouble) = row;
        json!({"server": id, "running": running, "tokens": tokens, "queue_ms": queue_ms,
            "trouble": trouble, "step_factor": speed.step, "prefill_factor": speed.prefill})
    };
    let balancers = state.balancers.borrow();
    let services = balancers.iter().map(|(name, balancer)| {
        // Both are in the order of the servers' ids.
        let servers = balancer.view(now).into_iter().zip(balancer.speeds(now));
        let servers: Vec<Value> = servers.map(server).collect();
        (name.to_string(), json!(servers))
    });
    let services: serde_json::Map<String, Value> = services.collect();
    let peers = state.peers.borrow();
    let peers: Vec<Value> = peers
        .all()
        .map(|(host, peer)| {
            let silent_ms = now.saturating_duration_since(peer.last_seen).as_millis() as u64;
            json!({"host": host, "silent_ms": silent_ms, "leaving": peer.leaving,
                "duties": peer.fence, "format": peer.format})
        })
        .collect();
    let limits = state.limits.borrow();
    let limits: Vec<Value> = limits
        .limited()
        .map(|((server, born_ms), rate)| {
            json!({"server": server, "born_ms": born_ms, "per_second": rate})
        })
        .collect();
    let quarantine = state.quarantine.borrow();
    let quarantine: Vec<Value> = quarantine
        .quarantined()
        .map(|(features, quarantine)| {
            json!({"features": features.to_string(), "crashes": quarantine.crashes,
                "last_ms": quarantine.age(now).as_millis() as u64})
        })
        .collect();
    let era = state.era.borrow();
    let store = era.known().map(|known| {
        json!({"era": known.era, "restored": known.restored, "settled": era.is_settled(now),
            "age_ms": now.saturating_duration_since(known.since).as_millis() as u64})
    });
    json!({
        "host": state.settings.borrow().host,
        "incarnation": state.incarnation,
        "store": store,
        "formats": {"announcement": format::ANNOUNCEMENT, "handover": format::HANDOVER,
            "page": format::PAGE, "stored": format::STORED},
        "ready": state.is_ready(),
        "cut_from_servers": state.is_cut_off(),
        "stopping": state.stopping_since.get().is_some(),
        "config": config,
        "members_proof_age_ms":
            state.servers.borrow().digest_age(now).map(|(_, age)| age.as_millis() as u64),
        "running": state.running_requests.get(),
        "duties": state.lease.borrow().fence(now),
        "services": services,
        "limits": limits,
        "cold_servers": state.servers.borrow().cold_count(),
        "evacuated": state.servers.borrow().evacuated(),
        "quarantine": quarantine,
        "peers": peers,
    })
}
