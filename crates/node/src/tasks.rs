//! The work that a host does beside its requests, a thread for each kind.

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
    follow::{Follower, Others},
    snapshot,
};
use wasabi_core::{errors::Result, time, units::Version};

use wasabi_fleet::publish;

use crate::{registry::Parts, servers, status::Status};

/// The longest pause after failures.
const MAX_PAUSE: Duration = Duration::from_secs(5);
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Entries after which a new snapshot is written.
const SNAPSHOT_ENTRIES: u64 = 500;
/// A status is written this often when nothing changes.
const STATUS_LIFE: Duration = Duration::from_secs(30);
const ONCE_PAUSE: Duration = Duration::from_millis(500);
const CLEAN_PAUSE: Duration = Duration::from_secs(10);
const CONTACT_PAUSE: Duration = Duration::from_millis(200);

/// Tells all tasks to end.
#[derive(Default)]
pub struct Ending {
    ended: AtomicBool,
    lock: Mutex<()>,
    changed: Condvar,
}

impl Ending {
    /// Tells all tasks to end.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        let _lock = self.lock.lock();
        self.changed.notify_all();
    }

    /// Returns whether the tasks are to end.
    pub fn is_over(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    /// Waits for `pause`, or less if the tasks are to end.
    pub fn pause(&self, pause: Duration) {
        let mut lock = self.lock.lock();
        if !self.is_over() {
            self.changed.wait_for(&mut lock, pause);
        }
    }
}

/// Starts every task; they end after `ending`.
pub fn start(
    parts: &Arc<Parts>,
    addresses: &Status,
    ending: &Arc<Ending>,
) -> Vec<thread::JoinHandle<()>> {
    let times = &parts.settings.times;
    let mut threads = vec![follow(parts, ending)];
    let mut every = |name: &'static str, pause: Duration, step: Step| {
        threads.push(repeat(name, pause, parts, ending, step));
    };
    let role_pause = times.lease / 4;
    every("hosts", times.host_list, Box::new(hosts));
    every("flush", times.usage_flush, Box::new(|parts| parts.flusher.step()));
    every("usage", role_pause.min(times.usage_window / 4), Box::new(usage));
    every("upkeep", role_pause, upkeep());
    every("servers", times.server_list, Box::new(servers::refresh));
    every("orders", times.server_list, Box::new(servers::command));
    every("once", ONCE_PAUSE, Box::new(|parts| parts.context.once.step()));
    every("status", times.status, status(addresses.clone()));
    let desk_tick = |parts: &Parts| {
        parts.desk.tick();
        parts.desks.expire();
        Ok(())
    };
    every("desk", times.desk_tick, Box::new(desk_tick));
    every("contact", CONTACT_PAUSE, isolation());
    threads
}

type Step = Box<dyn FnMut(&Parts) -> Result<()> + Send>;

/// Runs `step` every `pause`, and after failures with growing pauses of random length, so that
/// hosts do not all come back at once.
fn repeat(
    name: &'static str,
    pause: Duration,
    parts: &Arc<Parts>,
    ending: &Arc<Ending>,
    mut step: Step,
) -> thread::JoinHandle<()> {
    let (parts, ending) = (parts.clone(), ending.clone());
    spawn(name, move || {
        let mut backoff = Backoff::default();
        while !ending.is_over() {
            let wait = match step(&parts) {
                Ok(()) => {
                    backoff = Backoff::default();
                    pause
                }
                Err(e) => {
                    warn!(task = name, code = e.code.number(); "{e}");
                    pause.max(backoff.next_pause())
                }
            };
            ending.pause(wait);
        }
    })
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> thread::JoinHandle<()> {
    thread::Builder::new().name(name.to_string()).spawn(work).expect("a thread can be started")
}

/// Growing pauses with jitter.
#[derive(Default)]
struct Backoff {
    failures: u32,
}

impl Backoff {
    fn next_pause(&mut self) -> Duration {
        self.failures = (self.failures + 1).min(10);
        let longest = (FIRST_PAUSE * 2_u32.pow(self.failures)).min(MAX_PAUSE);
        rand::rng().random_range(FIRST_PAUSE..=longest)
    }
}

fn follow(parts: &Arc<Parts>, ending: &Arc<Ending>) -> thread::JoinHandle<()> {
    let (parts, ending) = (parts.clone(), ending.clone());
    spawn("config", move || {
        let taking = parts.clone();
        let others: Others = Box::new(move |object| {
            if let Err(e) = servers::take(&taking, object) {
                warn!(task = "config", code = e.code.number(); "{e}");
            }
        });
        let (store, cell) = (parts.store.clone(), parts.cell.clone());
        let mut follower = Follower::new(store, cell, publish::PREFIX, others);
        let mut backoff = Backoff::default();
        let times = &parts.settings.times;
        while !ending.is_over() {
            match follower.step(times.watch) {
                Ok(()) => {
                    parts.contact.made(parts.clock.now());
                    backoff = Backoff::default();
                    ending.pause(times.watch_pause);
                }
                Err(e) => {
                    warn!(task = "config", code = e.code.number(); "{e}");
                    ending.pause(backoff.next_pause());
                }
            }
        }
    })
}

fn hosts(parts: &Parts) -> Result<()> {
    let read = parts.roster.refresh();
    parts.live.set(parts.roster.hosts());
    parts.desks.refresh();
    read
}

fn usage(parts: &Parts) -> Result<()> {
    parts.step_lease(&parts.usage_lease)?;
    if parts.usage_lease.epoch().is_some() {
        parts.reporter.seal()?;
    }
    // A window is sent by the process that it names, lease or not.
    parts.reporter.send()
}

fn upkeep() -> Step {
    let mut written = 0;
    let mut cleaned = None;
    let mut after = String::new();
    Box::new(move |parts| {
        parts.step_lease(&parts.upkeep_lease)?;
        if parts.upkeep_lease.epoch().is_none() {
            return Ok(());
        }
        let state = parts.cell.get();
        if state.revision.0 >= written + SNAPSHOT_ENTRIES {
            snapshot::write(&*parts.store, &state)?;
            written = state.revision.0;
        }
        let now = parts.clock.now();
        if cleaned.is_none_or(|last| now.saturating_duration_since(last) >= CLEAN_PAUSE) {
            after = parts.context.once.clean(&after)?;
            cleaned = Some(now);
        }
        Ok(())
    })
}

fn status(mut status: Status) -> Step {
    let mut written: Option<(Status, Instant)> = None;
    Box::new(move |parts| {
        status.revision = parts.cell.get().revision;
        status.leaving = parts.context.contact.is_leaving();
        status.demand = servers::demand(parts);
        status.draining = servers::draining(parts);
        let now = parts.clock.now();
        let fresh = written.as_ref().is_some_and(|(before, at)| {
            *before == status && now.saturating_duration_since(*at) < STATUS_LIFE
        });
        if fresh {
            return Ok(());
        }
        let written_ms = time::unix_ms(parts.clock.wall());
        parts.status.write(&Status { written_ms, ..status.clone() })?;
        written = Some((status.clone(), now));
        Ok(())
    })
}

/// Without the store, and with most peers silent, a withdrawn key could not be noticed; so keyed
/// requests are refused until there is contact again.
fn isolation() -> Step {
    let mut probed = None;
    Box::new(move |parts| {
        let now = parts.clock.now();
        let times = &parts.settings.times;
        let age = parts.contact.age(now);
        // A quiet watch says nothing for a long time; ask before giving up.
        let probe_due =
            probed.is_none_or(|last| now.saturating_duration_since(last) >= times.isolation / 4);
        if age > times.isolation / 2 && probe_due {
            probed = Some(now);
            if parts.store.watch("live/none/", Version(0), Duration::ZERO).is_ok() {
                parts.contact.made(parts.clock.now());
            }
        }
        let isolated =
            parts.contact.age(parts.clock.now()) > times.isolation && parts.spread.is_alone();
        let before = parts.context.contact.is_isolated();
        parts.context.contact.set_isolated(isolated);
        if isolated && !before {
            let cut = parts.context.running.cut_keyed();
            warn!(cut = cut; "no contact with the store and most peers; keyed requests refused");
        }
        if before && !isolated {
            info!("contact is back");
        }
        Ok(())
    })
}
