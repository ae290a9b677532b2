//! The operators' HTTP port: health, metrics and a dump of the process's state.

use std::{net::SocketAddr, sync::Arc, thread, time::Duration};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use serde_json::{Value, json};
use tiny_http::{Header, Response, Server};
use wasabi_core::errors::{self, Result};

use crate::{components::Components, tasks::StopSignal};

const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The bound operator port.
pub struct OperatorServer {
    server: Server,
    metrics: PrometheusHandle,
}

impl OperatorServer {
    /// Binds `address` and installs the metrics recorder of the process.
    ///
    /// Errors: `Internal` if the port is in use or a recorder is installed already.
    pub fn bind(address: SocketAddr) -> Result<Self> {
        let metrics = PrometheusBuilder::new()
            .install_recorder()
            .map_err(|e| errors::internal(format!("metrics: {e}")))?;
        let server =
            Server::http(address).map_err(|e| errors::internal(format!("operator port: {e}")))?;
        Ok(Self { server, metrics })
    }

    /// Returns the bound address, whose port is chosen by the system if `bind` was given port 0.
    pub fn address(&self) -> Option<SocketAddr> {
        self.server.server_addr().to_ip()
    }

    /// Starts a thread that answers requests until `stop_signal` is set.
    pub fn serve(
        self,
        components: Arc<Components>,
        stop_signal: Arc<StopSignal>,
    ) -> thread::JoinHandle<()> {
        thread::spawn(move || {
            while !stop_signal.is_set() {
                let Ok(Some(request)) = self.server.recv_timeout(POLL_INTERVAL) else { continue };
                let (status, kind, body) = self.answer(&components, request.url());
                let kind = Header::from_bytes("content-type", kind).expect("the type is valid");
                let response =
                    Response::from_string(body).with_status_code(status).with_header(kind);
                let _ = request.respond(response);
            }
        })
    }

    fn answer(&self, components: &Components, path: &str) -> (u16, &'static str, String) {
        match path {
            "/health" => health(components),
            "/metrics" => {
                update_gauges(components);
                self.metrics.run_upkeep();
                (200, "text/plain; version=0.0.4", self.metrics.render())
            }
            "/dump" => (200, "application/json", dump(components).to_string()),
            _ => (404, "text/plain", "try /health, /metrics or /dump\n".to_string()),
        }
    }
}

fn health(components: &Components) -> (u16, &'static str, String) {
    let host_state = &components.context.host_state;
    let state =
        match (components.config.is_ready(), host_state.is_leaving(), host_state.is_isolated()) {
            (_, true, _) => "leaving",
            (false, _, _) => "not ready",
            (_, _, true) => "isolated",
            _ => return (200, "text/plain", "ready\n".to_string()),
        };
    (503, "text/plain", format!("{state}\n"))
}

fn update_gauges(components: &Components) {
    metrics::gauge!("wasabi_config_revision").set(components.config.get().revision.0 as f64);
    metrics::gauge!("wasabi_requests_running").set(components.context.running.len() as f64);
    for lease in [&components.usage_lease, &components.upkeep_lease, &components.order_lease] {
        let held = f64::from(u8::from(lease.epoch().is_some()));
        metrics::gauge!("wasabi_lease_held", "role" => lease.role().to_string()).set(held);
    }
    for (class, tier, waiting) in components.local_dispatch.with_scheduler(|scheduler| {
        scheduler.pools().iter().flat_map(|pool| scheduler.waiting(pool)).collect::<Vec<_>>()
    }) {
        let labels = [("class", class.to_string()), ("tier", tier.to_string())];
        metrics::gauge!("wasabi_requests_waiting", &labels).set(waiting as f64);
    }
}

/// Returns the state of the process, without any keys or prompts.
fn dump(components: &Components) -> Value {
    let state = components.config.get();
    let pools = components.local_dispatch.with_scheduler(|scheduler| {
        let pool = |name| {
            let servers: Vec<Value> = scheduler
                .servers(name)
                .into_iter()
                .map(|(server, running, slots, fit)| {
                    json!({"server": server, "running": running, "slots": slots, "fit": fit})
                })
                .collect();
            let waiting: Vec<Value> = scheduler
                .waiting(name)
                .into_iter()
                .map(|(class, tier, waiting)| json!({"class": class, "tier": tier, "waiting": waiting}))
                .collect();
            json!({"pool": name, "servers": servers, "classes": waiting})
        };
        scheduler.pools().iter().map(pool).collect::<Vec<_>>()
    });
    let leases: Vec<Value> =
        [&components.usage_lease, &components.upkeep_lease, &components.order_lease]
            .map(|lease| json!({"role": lease.role(), "epoch": lease.epoch()}))
            .to_vec();
    json!({
        "host": components.settings.host,
        "domain": components.settings.domain,
        "incarnation": components.process.incarnation,
        "ready": components.config.is_ready(),
        "isolated": components.context.host_state.is_isolated(),
        "leaving": components.context.host_state.is_leaving(),
        "revision": state.revision,
        "objects": {
            "classes": state.classes.len(),
            "workspaces": state.workspaces.len(),
            "keys": state.keys.len(),
            "pools": state.pools.len(),
            "routes": state.routes.len(),
        },
        "store_silent_ms":
            components.store_contact.silence(components.clock.now()).as_millis() as u64,
        "running": components.context.running.len(),
        "pools": pools,
        "leases": leases,
        "hosts": components.host_list.hosts(),
        "grants_held_here": components.dispatcher.issued_grant_count(),
        "draining": components.server_view.draining(),
        "once_waiting": components.context.claims.pending_outcomes(),
        "usage_flushed": components.flusher.is_done(),
    })
}
