//! Runs a gateway from its start to its graceful stop.

use std::{
    fs,
    path::PathBuf,
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::Context as _;
use log::{info, warn};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use tokio::{
    net::UdpSocket,
    signal::unix::{Signal, SignalKind, signal},
    task::{LocalSet, spawn_local},
};
use wasabi_core::{
    objects::DutyInterface,
    time::{self, Boot, Clock as _, System},
};
use wasabi_platform::{duties, objects};

use crate::{
    lateness,
    operator::{self, Audience},
    receive::{listener, slow_callers},
    send::{link_watch, quarantine},
    settings::{self, Settings},
    share::{self, origin_store, refresh},
    state::{STOP_MARGIN, State},
};

/// How often the settings file is checked for changes, besides on SIGHUP.
const SETTINGS_PERIOD: Duration = Duration::from_secs(2);
/// How often a stopping host checks whether its requests have ended.
const DRAIN_POLL: Duration = Duration::from_millis(50);
/// Bucket bounds in seconds of all metrics whose names end in `_seconds`, from the first event of a
/// cached prompt prefix to the longest timeout of a route.
const LATENCY_BUCKETS: [f64; 12] =
    [0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 6.0, 12.0];

/// Runs the gateway until SIGTERM or SIGINT. `settings` were read from `path`, which is read again
/// when it changes.
pub fn run(path: PathBuf, settings: Settings) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("the runtime does not start")?;
    LocalSet::new().block_on(&runtime, run_until_signal(path, settings))
}

async fn run_until_signal(path: PathBuf, settings: Settings) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("SIGTERM cannot be taken")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("SIGINT cannot be taken")?;
    let hangup = signal(SignalKind::hangup()).context("SIGHUP cannot be taken")?;
    let metrics = PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".to_string()), &LATENCY_BUCKETS)
        .and_then(PrometheusBuilder::install_recorder)
        .context("metrics do not start")?;
    let store = Box::new(objects::StoreClient::new(settings.objects));
    let clock = Boot::default();
    let duty_api = settings
        .duties
        .map(|at| Box::new(duties::DutyClient::new(at, Box::new(clock))) as Box<dyn DutyInterface>);
    let state = Rc::new(State::new(settings.clone(), Box::new(clock), store, duty_api));
    let wall = time::unix_ms(System.wall());
    state.record_clock_reading(&settings.host, wall);
    info!(version = env!("CARGO_PKG_VERSION"), incarnation = state.incarnation.as_str(),
        domain = settings.domain.as_str(), callers = settings.callers.to_string().as_str(),
        memory_mb = settings.memory.unwrap_or_default().0; "started");
    let socket = bind_udp(&settings).await;
    spawn_local(share::run(state.clone(), socket));
    spawn_local(refresh::run(state.clone()));
    spawn_local(sample_clock(state.clone()));
    spawn_local(drain_samples(metrics.clone()));
    spawn_local(lateness::run(state.clone()));
    spawn_local(slow_callers::run(state.clone()));
    spawn_local(link_watch::run(state.clone()));
    spawn_local(quarantine::run(state.clone()));
    spawn_local(origin_store::run(state.clone()));
    let duty_task = spawn_local(crate::duties::run(state.clone()));
    for (address, audience) in [
        (settings.ready, Audience::Operators),
        (settings.operators, Audience::Operators),
        (settings.peers, Audience::Peers),
    ] {
        let (state, metrics) = (state.clone(), metrics.clone());
        spawn_local(async move {
            operator::run(state, listener::bind(address).await, metrics, audience).await;
        });
    }
    spawn_local(reload_settings(state.clone(), path, hangup));
    let callers = settings.callers;
    let serving = state.clone();
    spawn_local(async move { listener::run(serving, listener::bind(callers).await).await });
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    stop(&state).await;
    duty_task.abort();
    Ok(())
}

/// Periodically records this host's wall clock, which counts in the median that the hosts agree on.
async fn sample_clock(state: Rc<State>) {
    const PERIOD: Duration = Duration::from_millis(500);
    loop {
        let host = state.settings.borrow().host.clone();
        let wall = time::unix_ms(state.clock.wall());
        state.record_clock_reading(&host, wall);
        tokio::time::sleep(PERIOD).await;
    }
}

/// Periodically moves the samples of histograms into their buckets, which is done otherwise only when somebody
/// fetches the metrics.
async fn drain_samples(metrics: PrometheusHandle) {
    const PERIOD: Duration = Duration::from_secs(5);
    loop {
        tokio::time::sleep(PERIOD).await;
        metrics.run_upkeep();
    }
}

/// Binds the UDP port for announcements, retrying until it succeeds.
async fn bind_udp(settings: &Settings) -> UdpSocket {
    const PAUSE: Duration = Duration::from_millis(100);
    loop {
        match UdpSocket::bind(settings.peers).await {
            Ok(socket) => return socket,
            Err(e) => {
                let cause = e.to_string();
                warn!(cause = cause.as_str(); "peer port not bound yet");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Begins the stop and drains: waits until the port for callers and their connections are closed
/// and requests have ended, at most until `State::drain_end`, and then for the last announcement.
async fn stop(state: &State) {
    let stop_began = state.now();
    state.stopping_since.set(Some(stop_began));
    let end = state.drain_end().unwrap_or(stop_began);
    info!(running = state.running_requests.get(); "stopping");
    let elapsed = |since: Instant| state.now().saturating_duration_since(since);
    // Callers' connections close once their requests have ended.
    let busy = || state.running_requests.get() > 0 || state.open_connections.get() > 0;
    // The five polls cover `STOP_CHECK_PERIOD`, after which connections notice the stop.
    while elapsed(stop_began) < listener::ACCEPT_WHILE_STOPPING + DRAIN_POLL * 5 || busy() {
        if state.now() >= end {
            // Streams go on until the process ends, after the last announcement.
            state.stop_over.notify_waiters();
            warn!(cut = state.running_requests.get(); "the time to stop is over; requests are cut");
            break;
        }
        tokio::time::sleep(DRAIN_POLL).await;
    }
    // The last announcement with usage counts is sent within this time.
    tokio::time::sleep(STOP_MARGIN / 2).await;
    info!(took_ms = elapsed(stop_began).as_millis() as u64; "stopped");
}

/// Applies changed settings on SIGHUP and within [`SETTINGS_PERIOD`]; invalid ones are only logged.
///
/// The addresses, the host name and the length of the lease stay as they were, with a warning.
async fn reload_settings(state: Rc<State>, path: PathBuf, mut hangup: Signal) {
    let mut known = fs::read_to_string(&path).unwrap_or_default();
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(SETTINGS_PERIOD) => false,
        };
        let text = match fs::read_to_string(&path) {
            Ok(text) => text,
            Err(e) => {
                let cause = e.to_string();
                warn!(cause = cause.as_str(); "settings cannot be read; the old ones stay");
                continue;
            }
        };
        if text == known {
            if signalled {
                info!("settings read again; nothing has changed");
            }
            continue;
        }
        known.clone_from(&text);
        match settings::parse(&text) {
            Ok(settings) => {
                info!(signalled = signalled; "settings changed");
                let kept = state.reload_settings(settings).join(", ");
                if !kept.is_empty() {
                    warn!(settings = kept.as_str(); "settings need a restart");
                }
            }
            Err(problems) => {
                for problem in problems {
                    let problem = problem.to_string();
                    warn!(problem = problem.as_str(); "settings are not valid; the old ones stay");
                }
            }
        }
    }
}
