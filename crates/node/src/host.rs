//! Runs a host from its start to its graceful shutdown.

use std::{
    collections::BTreeMap,
    process,
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::Context as _;
use log::{info, warn};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use tokio::{net::TcpListener, runtime::Runtime, sync::watch};
use wasabi_config::current::CurrentState;
use wasabi_core::{time, units::Revision};
use wasabi_entry::listener;
use wasabi_lease::failure_detector::Process;
use wasabi_logs::Queue;
use wasabi_peer::server::Service;

use crate::{
    components::Components,
    operator::OperatorServer,
    settings::Settings,
    status::Status,
    tasks::{self, StopSignal},
};

const WORKER_THREADS: usize = 2;
const FLUSH_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Runs the host until SIGTERM or SIGINT, then shuts it down gracefully. A second signal ends the
/// process without waiting for requests; only `logs` are written first.
pub fn run(settings: Settings, logs: Queue) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .context("cannot start the async runtime")?;
    let config = Arc::new(CurrentState::default());
    let incarnation = Components::fresh_incarnation(&settings);
    let peers = std::net::TcpListener::bind(settings.peers)
        .with_context(|| format!("cannot bind the peer port {}", settings.peers))?;
    peers.set_nonblocking(true)?;
    let peer = peers.local_addr()?;
    let operator = OperatorServer::bind(settings.operators)?;
    let listener = runtime
        .block_on(TcpListener::bind(settings.callers))
        .with_context(|| format!("cannot bind the caller port {}", settings.callers))?;
    let this_process = Process { incarnation, peer };
    let status = Status {
        host: settings.host.clone(),
        incarnation: this_process.incarnation.clone(),
        domain: settings.domain.clone(),
        callers: listener.local_addr()?,
        operators: operator.address().unwrap_or(settings.operators),
        peers: peer,
        revision: Revision(0),
        written_ms: time::unix_ms(std::time::SystemTime::now()),
        leaving: false,
        demand: BTreeMap::new(),
        draining: BTreeMap::new(),
    };
    let components =
        Arc::new(Components::new(settings, this_process, config, runtime.handle().clone()));
    follow_config(&components);
    let host = Service::new(
        components.process.incarnation.clone(),
        components.config.clone(),
        components.dispatcher.clone(),
    );
    let _peer_port = {
        let _context = runtime.enter();
        wasabi_peer::server::listen(peers, host)?
    };
    info!(
        callers = status.callers.to_string().as_str(),
        operators = status.operators.to_string().as_str(),
        peers = status.peers.to_string().as_str(),
        incarnation = status.incarnation.as_str();
        "listening"
    );
    serve(&runtime, components, &status, operator, listener, logs)
}

/// After each change of the configuration, updates the scheduler and cancels the requests whose key
/// was withdrawn.
fn follow_config(components: &Arc<Components>) {
    let running = components.context.running.clone();
    let dispatcher = components.dispatcher.clone();
    components.config.listen(move |state| {
        dispatcher.refresh();
        let cut = running.cancel_withdrawn(state);
        info!(revision = state.revision.0, cut = cut; "configuration in force");
    });
}

fn serve(
    runtime: &Runtime,
    components: Arc<Components>,
    status: &Status,
    operator: OperatorServer,
    listener: TcpListener,
    logs: Queue,
) -> anyhow::Result<()> {
    let stop_signal = Arc::new(StopSignal::default());
    let mut threads = tasks::start(&components, status, &stop_signal);
    threads.push(operator.serve(components.clone(), stop_signal.clone()));
    let gossip_components = components.clone();
    let gossip = runtime.spawn(async move {
        loop {
            tokio::time::sleep(gossip_components.settings.times.peer_round).await;
            gossip_components.gossip.round(&gossip_components.host_list.hosts()).await;
        }
    });
    let keepalive_components = components.clone();
    let grant_keepalive = runtime.spawn(async move {
        loop {
            tokio::time::sleep(keepalive_components.settings.times.grant_beat).await;
            keepalive_components.remote_grants.send_heartbeats().await;
        }
    });
    let (stop_sender, stop) = watch::channel(false);
    let callers = runtime.spawn(listener::run(components.context.clone(), listener, stop));
    let mut signals =
        Signals::new([SIGTERM, SIGINT]).context("cannot install the signal handler")?;
    signals.forever().next();
    info!(running = components.context.running.len(); "stopping");
    end_on_second_signal(signals, components.clone(), logs);
    components.context.host_state.set_leaving();
    components.live_hosts.leave();
    components.dispatcher.refresh();
    std::thread::sleep(components.settings.times.stop_notice);
    let _ = stop_sender.send(true);
    finish(runtime, &components, callers);
    stop_signal.set();
    gossip.abort();
    grant_keepalive.abort();
    for thread in threads {
        let _ = thread.join();
    }
    info!("stopped");
    Ok(())
}

/// Waits for the running requests up to the stop limit, writes usage and outcomes to the store and
/// releases the leases.
fn finish(runtime: &Runtime, components: &Components, callers: tokio::task::JoinHandle<()>) {
    let deadline = Instant::now() + components.settings.times.stop_limit;
    let limit = components.settings.times.stop_limit;
    if runtime.block_on(async { tokio::time::timeout(limit, callers).await }).is_err() {
        warn!(
            cut = components.context.running.len();
            "the stop limit has passed; requests are cut"
        );
    }
    while !flush_pending(components) && Instant::now() < deadline {
        std::thread::sleep(FLUSH_RETRY_INTERVAL);
    }
    if !flush_pending(components) {
        warn!(
            outcomes = components.context.claims.pending_outcomes();
            "could not write all usage and outcomes before the stop limit"
        );
    }
    if let Err(e) = components.provisioner.release() {
        warn!(code = e.code.number(); "could not release the lease for server orders");
    }
    for lease in [&components.usage_lease, &components.upkeep_lease] {
        if let Err(e) = lease.release() {
            warn!(role = lease.role().as_str(), code = e.code.number(); "could not release lease");
        }
    }
}

/// Writes the usage if no request runs, writes the pending idempotency outcomes and sends this
/// process's usage windows; returns whether nothing is left to write or send.
fn flush_pending(components: &Components) -> bool {
    let flushed = components.context.running.is_empty() && components.flusher.flush().is_ok();
    let recorded = components.context.claims.step().is_ok()
        && components.context.claims.pending_outcomes() == 0;
    let sent = components.reporter.send_and_check_own().unwrap_or(false);
    flushed && recorded && sent
}

fn end_on_second_signal(mut signals: Signals, components: Arc<Components>, logs: Queue) {
    std::thread::spawn(move || {
        if signals.forever().next().is_some() {
            warn!(
                cut = components.context.running.len();
                "second signal; running requests are cut"
            );
            logs.finish();
            process::exit(1);
        }
    });
}
