//! The background tasks of a host, each on a thread of its own.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use log::{info, warn};
use parking_lot::{Condvar, Mutex};
use rand::Rng as _;
use wasabi_config::{
    follow::{Follower, ObjectHandler},
    snapshot,
};
use wasabi_core::{errors::Result, time, units::Version};

use wasabi_fleet::publish;

use crate::{components::Components, servers, status::Status};

/// Longest pause after failures.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Shortest pause after failures.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Log entries between two snapshots.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 500;
/// An unchanged status is written again after this time.
const STATUS_REFRESH_INTERVAL: Duration = Duration::from_secs(30);
const OUTCOME_WRITE_INTERVAL: Duration = Duration::from_millis(500);
const CLEANUP_INTERVAL: Duration = Duration::from_secs(10);
const CONTACT_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The signal that ends all tasks.
#[derive(Default)]
pub struct StopSignal {
    stop_requested: AtomicBool,
    lock: Mutex<()>,
    changed: Condvar,
}

impl StopSignal {
    /// Tells all tasks to end.
    pub fn set(&self) {
        self.stop_requested.store(true, Ordering::SeqCst);
        let _lock = self.lock.lock();
        self.changed.notify_all();
    }

    /// Returns whether [`set`](Self::set) was called.
    pub fn is_set(&self) -> bool {
        self.stop_requested.load(Ordering::SeqCst)
    }

    /// Waits for `pause`, or until the tasks are told to end.
    pub fn pause(&self, pause: Duration) {
        let mut lock = self.lock.lock();
        if !self.is_set() {
            self.changed.wait_for(&mut lock, pause);
        }
    }
}

/// Starts all tasks; they end after `stop_signal` is set. `initial_status` is the status to
/// publish; its changing fields are updated before each write.
pub fn start(
    components: &Arc<Components>,
    initial_status: &Status,
    stop_signal: &Arc<StopSignal>,
) -> Vec<thread::JoinHandle<()>> {
    let times = &components.settings.times;
    let mut threads = vec![follow_store(components, stop_signal)];
    let mut schedule = |name: &'static str, interval: Duration, step: Step| {
        threads.push(spawn_periodic(name, interval, components, stop_signal, step));
    };
    let lease_interval = times.lease / 4;
    schedule("hosts", times.host_list, Box::new(refresh_hosts));
    schedule("flush", times.usage_flush, Box::new(|components| components.flusher.flush()));
    schedule("usage", lease_interval.min(times.usage_window / 4), Box::new(process_usage));
    schedule("upkeep", lease_interval, upkeep_step());
    schedule("servers", times.server_list, Box::new(servers::refresh));
    schedule("orders", times.server_list, Box::new(servers::order_servers));
    schedule(
        "once",
        OUTCOME_WRITE_INTERVAL,
        Box::new(|components| components.context.claims.step()),
    );
    schedule("status", times.status, status_step(initial_status.clone()));
    let desk_tick = |components: &Components| {
        components.local_dispatch.tick();
        components.dispatcher.expire();
        Ok(())
    };
    schedule("desk", times.desk_tick, Box::new(desk_tick));
    schedule("contact", CONTACT_CHECK_INTERVAL, contact_step());
    threads
}

type Step = Box<dyn FnMut(&Components) -> Result<()> + Send>;

/// Starts a thread that runs `step` every `interval`. After failures it backs off with jitter, so
/// that hosts do not all retry at once.
fn spawn_periodic(
    name: &'static str,
    interval: Duration,
    components: &Arc<Components>,
    stop_signal: &Arc<StopSignal>,
    mut step: Step,
) -> thread::JoinHandle<()> {
    let (components, stop_signal) = (components.clone(), stop_signal.clone());
    spawn(name, move || {
        let mut backoff = Backoff::default();
        while !stop_signal.is_set() {
            let wait = match step(&components) {
                Ok(()) => {
                    backoff = Backoff::default();
                    interval
                }
                Err(e) => {
                    warn!(task = name, code = e.code.number(); "{e}");
                    interval.max(backoff.next_pause())
                }
            };
            stop_signal.pause(wait);
        }
    })
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> thread::JoinHandle<()> {
    thread::Builder::new().name(name.to_string()).spawn(work).expect("a thread can be started")
}

/// Exponential backoff with jitter.
#[derive(Default)]
struct Backoff {
    failures: u32,
}

impl Backoff {
    fn next_pause(&mut self) -> Duration {
        self.failures = (self.failures + 1).min(10);
        let upper = (MIN_BACKOFF * 2_u32.pow(self.failures)).min(MAX_BACKOFF);
        rand::rng().random_range(MIN_BACKOFF..=upper)
    }
}

/// Starts the thread that follows the configuration log and the server listings in the store.
fn follow_store(
    components: &Arc<Components>,
    stop_signal: &Arc<StopSignal>,
) -> thread::JoinHandle<()> {
    let (components, stop_signal) = (components.clone(), stop_signal.clone());
    spawn("config", move || {
        let listing_components = components.clone();
        let on_listing: ObjectHandler = Box::new(move |object| {
            if let Err(e) = servers::apply_listing(&listing_components, object) {
                warn!(task = "config", code = e.code.number(); "{e}");
            }
        });
        let (store, config) = (components.store.clone(), components.config.clone());
        let mut follower = Follower::new(store, config, publish::PREFIX, on_listing);
        let mut backoff = Backoff::default();
        let times = &components.settings.times;
        while !stop_signal.is_set() {
            match follower.step(times.watch) {
                Ok(()) => {
                    components.store_contact.record(components.clock.now());
                    backoff = Backoff::default();
                    stop_signal.pause(times.watch_pause);
                }
                Err(e) => {
                    warn!(task = "config", code = e.code.number(); "{e}");
                    stop_signal.pause(backoff.next_pause());
                }
            }
        }
    })
}

fn refresh_hosts(components: &Components) -> Result<()> {
    let read = components.host_list.refresh();
    components.live_hosts.set_hosts(components.host_list.hosts());
    components.dispatcher.refresh();
    read
}

fn process_usage(components: &Components) -> Result<()> {
    components.step_lease(&components.usage_lease)?;
    if components.usage_lease.epoch().is_some() {
        components.reporter.seal()?;
    }
    // A window is sent by the process that it names as reporter, whether it holds the lease or not.
    components.reporter.send()
}

/// Writes snapshots and cleans up idempotency records while this host holds the upkeep lease.
fn upkeep_step() -> Step {
    let mut snapshot_revision = 0;
    let mut last_cleanup = None;
    let mut after = String::new();
    Box::new(move |components| {
        components.step_lease(&components.upkeep_lease)?;
        if components.upkeep_lease.epoch().is_none() {
            return Ok(());
        }
        let state = components.config.get();
        if state.revision.0 >= snapshot_revision + SNAPSHOT_INTERVAL_ENTRIES {
            snapshot::write(&*components.store, &state)?;
            snapshot_revision = state.revision.0;
        }
        let now = components.clock.now();
        if last_cleanup.is_none_or(|last| now.saturating_duration_since(last) >= CLEANUP_INTERVAL) {
            after = components.context.claims.remove_expired_page(&after)?;
            last_cleanup = Some(now);
        }
        Ok(())
    })
}

/// Writes the host's status when it has changed, and from time to time when not.
fn status_step(mut status: Status) -> Step {
    let mut last_written: Option<(Status, Instant)> = None;
    Box::new(move |components| {
        status.revision = components.config.get().revision;
        status.leaving = components.context.host_state.is_leaving();
        status.demand = servers::demand(components);
        status.draining = servers::running_on_draining(components);
        let now = components.clock.now();
        let up_to_date = last_written.as_ref().is_some_and(|(last, at)| {
            *last == status && now.saturating_duration_since(*at) < STATUS_REFRESH_INTERVAL
        });
        if up_to_date {
            return Ok(());
        }
        let written_ms = time::unix_ms(components.clock.wall());
        components.status.write(&Status { written_ms, ..status.clone() })?;
        last_written = Some((status.clone(), now));
        Ok(())
    })
}

/// Checks for contact with the store and the peers. Without the store and most peers the host would
/// not learn that a key was withdrawn, so it refuses requests with keys until contact is restored.
fn contact_step() -> Step {
    let mut last_probe = None;
    Box::new(move |components| {
        let now = components.clock.now();
        let times = &components.settings.times;
        let silence = components.store_contact.silence(now);
        // A watch without news does not return for a long time, so the store is probed before the
        // host counts as isolated.
        let probe_due = last_probe
            .is_none_or(|last| now.saturating_duration_since(last) >= times.isolation / 4);
        if silence > times.isolation / 2 && probe_due {
            last_probe = Some(now);
            if components.store.watch("live/none/", Version(0), Duration::ZERO).is_ok() {
                components.store_contact.record(components.clock.now());
            }
        }
        let isolated = components.store_contact.silence(components.clock.now()) > times.isolation
            && components.gossip.is_isolated();
        let was_isolated = components.context.host_state.is_isolated();
        components.context.host_state.set_isolated(isolated);
        if isolated && !was_isolated {
            let cut = components.context.running.cancel_keyed();
            warn!(cut = cut; "no contact with store and most peers; refusing requests with keys");
        }
        if was_isolated && !isolated {
            info!("contact with the store or peers is restored");
        }
        Ok(())
    })
}
