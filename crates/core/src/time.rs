//! The clock as a trait, so that time-dependent code can be tested without waiting.

use std::time::{Duration, Instant, SystemTime};

use parking_lot::Mutex;

/// A source of time.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time.
    fn wall(&self) -> SystemTime;
}

/// The operating system's clocks; `now` may stop while the machine is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct System;

/// A monotonic clock that keeps running while the machine is suspended, unlike `Instant::now`.
#[derive(Clone, Copy, Debug)]
pub struct Boot {
    origin: Instant,
    /// Time from boot to `origin`.
    origin_since_boot: Duration,
}

/// A clock that moves only by [`Manual::advance`]; its wall clock starts at the Unix epoch.
#[derive(Debug)]
pub struct Manual {
    origin: Instant,
    /// Time since `origin`; never decreases.
    elapsed: Mutex<Duration>,
}

impl Clock for System {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

impl Default for Boot {
    fn default() -> Self {
        Self { origin: Instant::now(), origin_since_boot: since_boot() }
    }
}

impl Clock for Boot {
    fn now(&self) -> Instant {
        self.origin + since_boot().saturating_sub(self.origin_since_boot)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

fn since_boot() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}

impl Default for Manual {
    fn default() -> Self {
        Self { origin: Instant::now(), elapsed: Mutex::new(Duration::ZERO) }
    }
}

impl Manual {
    /// Moves both clocks forward by `step`.
    pub fn advance(&self, step: Duration) {
        *self.elapsed.lock() += step;
    }
}

impl Clock for Manual {
    fn now(&self) -> Instant {
        self.origin + *self.elapsed.lock()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + *self.elapsed.lock()
    }
}

/// Returns the milliseconds from the Unix epoch to `wall`, or 0 if `wall` is before it.
pub fn unix_ms(wall: SystemTime) -> u64 {
    wall.duration_since(SystemTime::UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
