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
use wasabi_entry::server;
use wasabi_lease::failure_detector::Process;
use wasabi_logs::Queue;
use wasabi_peer::server::Host;

use crate::{
    operator::Port,
    registry::Parts,
    settings::Settings,
    status::Status,
    tasks::{self, StopSignal},
};

const WORKER_THREADS: usize = 2;
const FLUSH_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Runs the host until SIGTERM or SIGINT, then shuts it down gracefully. A second signal ends the
/// process at once, after `logs` are written.
pub fn run(settings: Settings, logs: Queue) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .context("cannot start the async runtime")?;
    let config = Arc::new(CurrentState::default());
    let incarnation = Parts::incarnation(&settings);
    let peers = std::net::TcpListener::bind(settings.peers)
        .with_context(|| format!("cannot bind the peer port {}", settings.peers))?;
    peers.set_nonblocking(true)?;
    let peer = peers.local_addr()?;
    let operator = Port::bind(settings.operators)?;
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
    let parts = Arc::new(Parts::new(settings, this_process, config, runtime.handle().clone()));
    follow_config(&parts);
    let host =
        Host::new(parts.me.incarnation.clone(), parts.config.clone(), parts.dispatcher.clone());
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
    serve(&runtime, parts, &status, operator, listener, logs)
}

/// After each change of the configuration, updates the scheduler and cancels the requests whose key
/// was withdrawn.
fn follow_config(parts: &Arc<Parts>) {
    let running = parts.context.running.clone();
    let dispatcher = parts.dispatcher.clone();
    parts.config.listen(move |state| {
        dispatcher.refresh();
        let cut = running.cancel_withdrawn(state);
        info!(revision = state.revision.0, cut = cut; "configuration in force");
    });
}

fn serve(
    runtime: &Runtime,
    parts: Arc<Parts>,
    status: &Status,
    operator: Port,
    listener: TcpListener,
    logs: Queue,
) -> anyhow::Result<()> {
    let stop_signal = Arc::new(StopSignal::default());
    let mut threads = tasks::start(&parts, status, &stop_signal);
    threads.push(operator.serve(parts.clone(), stop_signal.clone()));
    let gossip_parts = parts.clone();
    let gossip = runtime.spawn(async move {
        loop {
            tokio::time::sleep(gossip_parts.settings.times.peer_round).await;
            gossip_parts.gossip.round(&gossip_parts.host_list.hosts()).await;
        }
    });
    let keepalive_parts = parts.clone();
    let grant_keepalive = runtime.spawn(async move {
        loop {
            tokio::time::sleep(keepalive_parts.settings.times.grant_beat).await;
            keepalive_parts.remote_grants.beat().await;
        }
    });
    let (stop_sender, stop) = watch::channel(false);
    let callers = runtime.spawn(server::run(parts.context.clone(), listener, stop));
    let mut signals =
        Signals::new([SIGTERM, SIGINT]).context("cannot install the signal handler")?;
    signals.forever().next();
    info!(running = parts.context.running.len(); "stopping");
    end_on_second_signal(signals, parts.clone(), logs);
    parts.context.host_state.set_leaving();
    parts.live.leave();
    parts.dispatcher.refresh();
    std::thread::sleep(parts.settings.times.stop_notice);
    let _ = stop_sender.send(true);
    finish(runtime, &parts, callers);
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
fn finish(runtime: &Runtime, parts: &Parts, callers: tokio::task::JoinHandle<()>) {
    let deadline = Instant::now() + parts.settings.times.stop_limit;
    let limit = parts.settings.times.stop_limit;
    if runtime.block_on(async { tokio::time::timeout(limit, callers).await }).is_err() {
        warn!(cut = parts.context.running.len(); "the stop limit has passed; requests are cut");
    }
    while !flush_pending(parts) && Instant::now() < deadline {
        std::thread::sleep(FLUSH_RETRY_INTERVAL);
    }
    if !flush_pending(parts) {
        warn!(
            outcomes = parts.context.once.pending_outcomes();
            "could not write all usage and outcomes before the stop limit"
        );
    }
    if let Err(e) = parts.provisioner.release() {
        warn!(code = e.code.number(); "could not release the lease for server orders");
    }
    for lease in [&parts.usage_lease, &parts.upkeep_lease] {
        if let Err(e) = lease.release() {
            warn!(role = lease.role().as_str(), code = e.code.number(); "could not release lease");
        }
    }
}

/// Writes the usage once no request runs, and the recorded outcomes, and sends this process's usage
/// windows; returns whether nothing is left to write or send.
fn flush_pending(parts: &Parts) -> bool {
    let flushed = parts.context.running.is_empty() && parts.flusher.step().is_ok();
    let recorded = parts.context.once.step().is_ok() && parts.context.once.pending_outcomes() == 0;
    let sent = parts.reporter.send_own().unwrap_or(false);
    flushed && recorded && sent
}

fn end_on_second_signal(mut signals: Signals, parts: Arc<Parts>, logs: Queue) {
    std::thread::spawn(move || {
        if signals.forever().next().is_some() {
            warn!(cut = parts.context.running.len(); "second signal; running requests are cut");
            logs.finish();
            process::exit(1);
        }
    });
}
