//! The clock as an interface, so that decisions can be tested without waiting.

use std::time::{Duration, Instant, SystemTime};

use parking_lot::Mutex;

/// A source of time.
pub trait Clock: Send + Sync {
    /// Gets the monotonic time.
    fn now(&self) -> Instant;

    /// Gets the time of day.
    fn wall(&self) -> SystemTime;
}

/// The operating system's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct System;

/// A steady clock that goes on while the machine is suspended, unlike `Instant::now`.
#[derive(Clone, Copy, Debug)]
pub struct Boot {
    base: Instant,
    /// The time since boot at `base`.
    booted: Duration,
}

/// A clock that moves only when told to.
#[derive(Debug)]
pub struct Manual {
    base: Instant,
    /// Never decreases.
    passed: Mutex<Duration>,
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
        Self { base: Instant::now(), booted: since_boot() }
    }
}

impl Clock for Boot {
    fn now(&self) -> Instant {
        self.base + since_boot().saturating_sub(self.booted)
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
        Self { base: Instant::now(), passed: Mutex::new(Duration::ZERO) }
    }
}

impl Manual {
    /// Moves the clock forward by `step`.
    pub fn advance(&self, step: Duration) {
        *self.passed.lock() += step;
    }
}

impl Clock for Manual {
    fn now(&self) -> Instant {
        self.base + *self.passed.lock()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + *self.passed.lock()
    }
}

/// Returns the milliseconds from the Unix epoch to `wall`.
pub fn unix_ms(wall: SystemTime) -> u64 {
    wall.duration_since(SystemTime::UNIX_EPOCH).map_or(0, |passed| passed.as_millis() as u64)
}
