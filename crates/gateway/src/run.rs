//! Runs a gateway from its start to its orderly stop.

use std::{
    fs,
    path::PathBuf,
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::Context as _;
use log::{info, warn};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder};
use tokio::{
    net::UdpSocket,
    signal::unix::{Signal, SignalKind, signal},
    task::{LocalSet, spawn_local},
};
use wasabi_core::{
    objects::Duties,
    time::{self, Boot, Clock as _, System},
};
use wasabi_platform::{duties, objects};

use crate::{
    duty, follow, front, gossip,
    operator::{self, Audience},
    settings::{self, Settings},
    site::{STOP_MARGIN, Site},
};

/// How often the settings file is looked at, since it may change without a signal.
const SETTINGS_PERIOD: Duration = Duration::from_secs(2);
/// How often a stopping host looks whether its requests have ended.
const STOP_TICK: Duration = Duration::from_millis(50);
/// Bounds of the latency histograms in seconds, from a cached prefix to the longest timeout.
const LATENCY_BUCKETS: [f64; 12] =
    [0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 6.0, 12.0];

/// Runs the gateway with the settings at `path` until SIGTERM.
pub fn run(path: PathBuf, settings: Settings) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("the runtime does not start")?;
    LocalSet::new().block_on(&runtime, live(path, settings))
}

async fn live(path: PathBuf, settings: Settings) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("SIGTERM cannot be taken")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("SIGINT cannot be taken")?;
    let hangup = signal(SignalKind::hangup()).context("SIGHUP cannot be taken")?;
    let metrics = PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".to_string()), &LATENCY_BUCKETS)
        .and_then(PrometheusBuilder::install_recorder)
        .context("metrics do not start")?;
    let store = Box::new(objects::Remote::new(settings.objects));
    let duties = settings.duties.map(|at| Box::new(duties::Remote::new(at)) as Box<dyn Duties>);
    let state = Rc::new(Site::new(settings.clone(), Box::new(Boot::default()), store, duties));
    let wall = time::unix_ms(System.wall());
    state.record_clock_reading(&settings.host, wall);
    info!(version = env!("CARGO_PKG_VERSION"), incarnation = state.incarnation.as_str(),
        domain = settings.domain.as_str(), callers = settings.callers.to_string().as_str();
        "started");
    let socket = datagrams(&settings).await;
    spawn_local(gossip::run(state.clone(), socket));
    spawn_local(follow::run(state.clone()));
    spawn_local(keep_time(state.clone()));
    let duties = spawn_local(duty::run(state.clone()));
    for (address, audience) in [
        (settings.ready, Audience::Operators),
        (settings.operators, Audience::Operators),
        (settings.peers, Audience::Peers),
    ] {
        let (state, metrics) = (state.clone(), metrics.clone());
        spawn_local(async move {
            operator::run(state, front::bind(address).await, metrics, audience).await;
        });
    }
    spawn_local(reload(state.clone(), path, hangup));
    let callers = settings.callers;
    let serving = state.clone();
    spawn_local(async move { front::run(serving, front::bind(callers).await).await });
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    stop(&state).await;
    duties.abort();
    Ok(())
}

/// Puts this host's own clock among those that the true time is made of.
async fn keep_time(state: Rc<Site>) {
    const PERIOD: Duration = Duration::from_millis(500);
    loop {
        let host = state.settings.borrow().host.clone();
        let wall = time::unix_ms(state.clock.wall());
        state.record_clock_reading(&host, wall);
        tokio::time::sleep(PERIOD).await;
    }
}

async fn datagrams(settings: &Settings) -> UdpSocket {
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

/// Stops taking new connections, lets requests end, and returns before the time is over.
async fn stop(state: &Site) {
    let begun = state.now();
    state.stopping_since.set(Some(begun));
    let end = state.stop_end().unwrap_or(begun);
    info!(running = state.running_requests.get(); "stopping");
    let passed = |since: Instant| state.now().saturating_duration_since(since);
    // Callers' connections close when their requests have ended.
    let busy = || state.running_requests.get() > 0 || state.open_connections.get() > 0;
    while passed(begun) < front::STOP_NOTICE + STOP_TICK * 5 || busy() {
        if state.now() >= end {
            warn!(cut = state.running_requests.get(); "the time to stop is over; requests are cut");
            break;
        }
        tokio::time::sleep(STOP_TICK).await;
    }
    // The last announcement with usage counts leaves within this time.
    tokio::time::sleep(STOP_MARGIN / 2).await;
    info!(took_ms = passed(begun).as_millis() as u64; "stopped");
}

/// Takes new settings on SIGHUP, and when the file has changed without one.
async fn reload(state: Rc<Site>, path: PathBuf, mut hangup: Signal) {
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
                *state.settings.borrow_mut() = settings;
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
