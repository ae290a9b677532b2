//! Runs a host from its start to its orderly stop.

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
use wasabi_config::cell::Cell;
use wasabi_core::{time, units::Revision};
use wasabi_entry::server;
use wasabi_lease::witness::Process;
use wasabi_logs::Ring;
use wasabi_peer::server::Host;

use crate::{
    operator::Port,
    registry::Parts,
    settings::Settings,
    status::Status,
    tasks::{self, Ending},
};

const WORKERS: usize = 2;
const FLUSH_PAUSE: Duration = Duration::from_millis(200);

/// Runs the host until it is told to stop; a second signal ends it at once, and `logs` are written
/// before.
pub fn run(settings: Settings, logs: Ring) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .enable_all()
        .build()
        .context("the runtime does not start")?;
    let cell = Arc::new(Cell::default());
    let incarnation = Parts::incarnation(&settings);
    let peers = std::net::TcpListener::bind(settings.peers)
        .with_context(|| format!("the peer port {} cannot be bound", settings.peers))?;
    peers.set_nonblocking(true)?;
    let peer = peers.local_addr()?;
    let operator = Port::bind(settings.operators)?;
    let listener = runtime
        .block_on(TcpListener::bind(settings.callers))
        .with_context(|| format!("the caller port {} cannot be bound", settings.callers))?;
    let me = Process { incarnation, peer };
    let status = Status {
        host: settings.host.clone(),
        incarnation: me.incarnation.clone(),
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
    let parts = Arc::new(Parts::new(settings, me, cell, runtime.handle().clone()));
    connect(&parts);
    let host = Host::new(parts.me.incarnation.clone(), parts.cell.clone(), parts.desks.clone());
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

/// Makes the parts follow the configuration.
fn connect(parts: &Arc<Parts>) {
    let running = parts.context.running.clone();
    let desks = parts.desks.clone();
    parts.cell.listen(move |state| {
        desks.refresh();
        let cut = running.enforce(state);
        info!(revision = state.revision.0, cut = cut; "configuration in force");
    });
}

fn serve(
    runtime: &Runtime,
    parts: Arc<Parts>,
    status: &Status,
    operator: Port,
    listener: TcpListener,
    logs: Ring,
) -> anyhow::Result<()> {
    let ending = Arc::new(Ending::default());
    let mut threads = tasks::start(&parts, status, &ending);
    threads.push(operator.serve(parts.clone(), ending.clone()));
    let spreading = parts.clone();
    let spread = runtime.spawn(async move {
        loop {
            tokio::time::sleep(spreading.settings.times.peer_round).await;
            spreading.spread.round(&spreading.roster.hosts()).await;
        }
    });
    let beating = parts.clone();
    let beats = runtime.spawn(async move {
        loop {
            tokio::time::sleep(beating.settings.times.grant_beat).await;
            beating.homes.beat().await;
        }
    });
    let (stop_sender, stop) = watch::channel(false);
    let callers = runtime.spawn(server::run(parts.context.clone(), listener, stop));
    let mut signals = Signals::new([SIGTERM, SIGINT]).context("signals cannot be taken")?;
    signals.forever().next();
    info!(running = parts.context.running.len(); "stopping");
    end_on_second_signal(signals, parts.clone(), logs);
    parts.context.contact.set_leaving();
    parts.live.leave();
    parts.desks.refresh();
    std::thread::sleep(parts.settings.times.stop_notice);
    let _ = stop_sender.send(true);
    finish(runtime, &parts, callers);
    ending.end();
    spread.abort();
    beats.abort();
    for thread in threads {
        let _ = thread.join();
    }
    info!("stopped");
    Ok(())
}

/// Waits for the requests, then hands over everything that must last.
fn finish(runtime: &Runtime, parts: &Parts, callers: tokio::task::JoinHandle<()>) {
    let end = Instant::now() + parts.settings.times.stop_limit;
    let limit = parts.settings.times.stop_limit;
    if runtime.block_on(async { tokio::time::timeout(limit, callers).await }).is_err() {
        warn!(cut = parts.context.running.len(); "the stop limit has passed; requests are cut");
    }
    while !is_settled(parts) && Instant::now() < end {
        std::thread::sleep(FLUSH_PAUSE);
    }
    if !is_settled(parts) {
        warn!(outcomes = parts.context.once.waiting(); "the store is away; figures are lost");
    }
    if let Err(e) = parts.commander.release() {
        warn!(code = e.code.number(); "the role of ordering was not given back");
    }
    for lease in [&parts.usage_lease, &parts.upkeep_lease] {
        if let Err(e) = lease.release() {
            warn!(role = lease.role().as_str(), code = e.code.number(); "the lease was not given back");
        }
    }
}

/// Writes what is left; returns whether nothing is.
fn is_settled(parts: &Parts) -> bool {
    let flushed = parts.context.running.is_empty() && parts.flusher.step().is_ok();
    let recorded = parts.context.once.step().is_ok() && parts.context.once.waiting() == 0;
    let sent = parts.reporter.send_own().unwrap_or(false);
    flushed && recorded && sent
}

fn end_on_second_signal(mut signals: Signals, parts: Arc<Parts>, logs: Ring) {
    std::thread::spawn(move || {
        if signals.forever().next().is_some() {
            warn!(cut = parts.context.running.len(); "second signal; running requests are cut");
            logs.finish();
            process::exit(1);
        }
    });
}
