//! The settings of a gateway, parsed from JSON; all problems are reported at once.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    str::FromStr,
    time::Duration,
};

use serde::{Deserialize, de::DeserializeOwned};
use serde_json::{Map, Value};
use wasabi_core::{
    errors::{Code, Error},
    units::{Domain, HostId, Region, RequestRate},
};
use wasabi_policy::pace;

/// The settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The host's name, unique in the fleet.
    pub host: HostId,
    /// The host's failure domain.
    pub domain: Domain,
    /// The address that serves callers.
    pub callers: SocketAddr,
    /// The address that the load balancer probes for readiness; it serves the same as `operators`.
    pub ready: SocketAddr,
    /// The address for peers: UDP for announcements, TCP for HTTP requests.
    pub peers: SocketAddr,
    /// The address that serves metrics, the dump and readiness.
    pub operators: SocketAddr,
    /// The address of the object store.
    pub objects: SocketAddr,
    /// The address of the interface for usage reports and orders; without it this host
    /// never takes the lease.
    pub duties: Option<SocketAddr>,
    /// The address from which the host connects to backend servers, for hosts with several; the system
    /// chooses one if it is not set.
    pub source: Option<IpAddr>,
    /// The memory that the process may take, if it is set.
    pub memory: Option<Memory>,
    /// Within what time after its request an evacuation must have taken effect, if the platform has
    /// evacuations.
    pub evacuate_within: Option<Duration>,
    /// Whether the speed of each backend server is learned.
    pub learn_speed: bool,
    /// Whether workspaces share capacity when a service is short of it, and refused callers get promised
    /// return times.
    pub share_capacity: bool,
    /// The region of each failure domain, for requests that only servers of some regions may run.
    pub regions: BTreeMap<Domain, Region>,
    /// How far the rate of a cold server may be exceeded, if the platform says.
    pub cold_bound: Option<ColdBound>,
    /// The limits that the host has to keep.
    pub bounds: Bounds,
}

/// The most requests that a cold server may get in any second: a multiple of its rate, and some besides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// The multiple of the rate.
    pub overage: f64,
    /// The requests besides.
    pub slack: f64,
}

/// Without a statement of the platform, the rate itself is the bound.
impl Default for ColdBound {
    fn default() -> Self {
        Self { overage: 1.0, slack: 0.0 }
    }
}

impl ColdBound {
    /// Returns the rate to share out among the hosts, for servers that tolerate `tolerated` while cold.
    pub fn rate(self, tolerated: RequestRate) -> RequestRate {
        let most = tolerated.per_second() * self.overage + self.slack;
        pace::rate_within(tolerated, most)
    }
}

impl FromStr for ColdBound {
    type Err = Error;

    /// Parses `OVERAGE,SLACK`; empty parts stand for the defaults.
    fn from_str(text: &str) -> Result<Self, Error> {
        let invalid = || problem("cold_bound", "is not OVERAGE,SLACK");
        let (overage, slack) = text.split_once(',').ok_or_else(invalid)?;
        let number = |text: &str, default: f64| match text.trim() {
            "" => Ok(default),
            text => {
                text.parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0).ok_or_else(invalid)
            }
        };
        let default = Self::default();
        Ok(Self {
            overage: number(overage, default.overage)?,
            slack: number(slack, default.slack)?,
        })
    }
}

/// The memory that the process may take, in megabytes of 1,000,000 bytes.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(transparent)]
pub struct Memory(pub u64);

/// The least memory with which a host works.
const MIN_MEMORY_MB: u64 = 64;

/// The smallest that a platform has stated.
impl Default for Memory {
    fn default() -> Self {
        Self(110)
    }
}

impl Memory {
    /// Returns the memory if a host works with it.
    ///
    /// Errors: `SettingsInvalid`.
    pub fn check(self) -> Result<Self, Error> {
        if !(MIN_MEMORY_MB..=u64::from(u32::MAX)).contains(&self.0) {
            let text = format!("must be at least {MIN_MEMORY_MB} and no more than {}", u32::MAX);
            return Err(problem("memory_mb", &text));
        }
        Ok(self)
    }

    /// The part for the bodies of requests, in bytes.
    pub fn bodies(self) -> usize {
        self.bytes() * 3 / 10
    }

    /// The part for buffered responses, in bytes.
    pub fn responses(self) -> usize {
        const MOST: usize = 32 * 1024 * 1024;
        (self.bytes() / 5).min(MOST)
    }

    /// The part for what connections hold whose callers do not read, in bytes. With the other parts it leaves a
    /// third for all else.
    pub fn slow_callers(self) -> usize {
        self.bytes() / 6
    }

    fn bytes(self) -> usize {
        self.0 as usize * 1_000_000
    }
}

/// The limits that a host has to keep, with their windows, as the platform states them.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// How long after the withdrawal of a key a request with it may still begin to run, in
    /// milliseconds.
    pub withdraw_ms: u64,
    /// How long after a server has announced that it leaves a request may still reach it, in
    /// milliseconds.
    #[serde(default = "default_leave_ms")]
    pub leave_ms: u64,
    /// How long the process may take to end after SIGTERM, in seconds.
    pub stop_s: f64,
    /// The length of the lease on the duties in milliseconds. Two live hosts must not alternate in
    /// performing a duty within this time.
    pub lease_ms: u64,
    /// The length of a usage window in seconds.
    pub usage_window_s: f64,
    /// How long after the end of its window a usage report is due, in seconds. It is checked but
    /// not used: the reporter has times of its own.
    pub usage_due_s: f64,
    /// The ratio of repeated sends to callers' requests that is allowed in each window and service.
    pub repeat_ratio: f64,
    /// The length of the window in which repeated sends are counted, in seconds.
    pub repeat_window_s: f64,
    /// Repeated sends allowed in addition in each window, by all hosts together.
    pub repeat_allowance: f64,
}

/// The shortest time that a platform has stated.
fn default_leave_ms() -> u64 {
    2_000
}

impl Bounds {
    /// Returns the age from which the list of servers must not be relied on while other hosts have a
    /// younger one: servers may have left since. The margin covers the time to send a request.
    pub fn max_server_list_age(&self) -> Duration {
        const MARGIN_MS: u64 = 250;
        Duration::from_millis(self.leave_ms.saturating_sub(MARGIN_MS))
    }

    /// Returns the age from which a proof that a key is in force must not be relied on.
    ///
    /// A proof shows the configuration as of when its read was sent, so a request that begins to
    /// run within `withdraw_ms` of that is allowed; the margin covers the time to send it to the
    /// server.
    pub fn max_key_proof_age(&self) -> Duration {
        const MARGIN_MS: u64 = 400;
        Duration::from_millis(self.withdraw_ms.saturating_sub(MARGIN_MS))
    }
}

impl Settings {
    /// Replaces these settings by `new`, but for those that only a restart can change; returns the names
    /// of the latter that differ.
    pub fn reload(&mut self, new: Self) -> Vec<&'static str> {
        let old = std::mem::replace(self, new);
        let mut kept = Vec::new();
        let mut keep = |name, differs: bool| {
            if differs {
                kept.push(name);
            }
        };
        keep("host", self.host != old.host);
        keep("callers", self.callers != old.callers);
        keep("ready", self.ready != old.ready);
        keep("peers", self.peers != old.peers);
        keep("operators", self.operators != old.operators);
        keep("objects", self.objects != old.objects);
        keep("duties", self.duties != old.duties);
        keep("memory_mb", self.memory.is_some() && self.memory != old.memory);
        keep(
            "evacuate_ms",
            self.evacuate_within.is_some() && self.evacuate_within != old.evacuate_within,
        );
        keep("learn_speed", self.learn_speed && !old.learn_speed);
        keep("share_capacity", self.share_capacity && !old.share_capacity);
        keep("regions", !self.regions.is_empty() && self.regions != old.regions);
        keep("cold_bound", self.cold_bound.is_some() && self.cold_bound != old.cold_bound);
        keep("bounds.lease_ms", self.bounds.lease_ms != old.bounds.lease_ms);
        let bounds = Bounds { lease_ms: old.bounds.lease_ms, ..self.bounds };
        // Of the fields, only the domain, the source and the other bounds are new.
        *self = Self { domain: self.domain.clone(), source: self.source, bounds, ..old };
        kept
    }
}

/// Parses settings from JSON; fails with every problem found.
pub fn parse(text: &str) -> Result<Settings, Vec<Error>> {
    let value: Value = serde_json::from_str(text).map_err(|e| vec![problem("", &e.to_string())])?;
    let Value::Object(mut fields) = value else {
        return Err(vec![problem("", "settings are a JSON object")]);
    };
    let mut problems = Vec::new();
    let host = required(&mut fields, "host", &mut problems);
    let domain = required(&mut fields, "domain", &mut problems);
    let callers = required(&mut fields, "callers", &mut problems);
    let ready = required(&mut fields, "ready", &mut problems);
    let peers = required(&mut fields, "peers", &mut problems);
    let operators = required(&mut fields, "operators", &mut problems);
    let objects = required(&mut fields, "objects", &mut problems);
    let duties = optional(&mut fields, "duties", &mut problems);
    let source = optional(&mut fields, "source", &mut problems);
    let memory: Option<Memory> = optional(&mut fields, "memory_mb", &mut problems);
    if let Some(Err(problem)) = memory.map(Memory::check) {
        problems.push(problem);
    }
    let evacuate_within = text_of(&mut fields, "evacuate_ms").map(|text| milliseconds(&text));
    let evacuate_within = valid(evacuate_within, &mut problems);
    let regions = optional(&mut fields, "regions", &mut problems);
    let learn_speed = optional(&mut fields, "learn_speed", &mut problems);
    let share_capacity = optional(&mut fields, "share_capacity", &mut problems);
    let cold_bound = text_of(&mut fields, "cold_bound").map(|text| text.parse());
    let cold_bound = valid(cold_bound, &mut problems);
    let bounds: Option<Bounds> = required(&mut fields, "bounds", &mut problems);
    problems.extend(fields.keys().map(|name| problem(name, "is not a setting")));
    if let Some(bounds) = &bounds {
        check_bounds(bounds, &mut problems);
    }
    let settings = || {
        Some(Settings {
            host: host?,
            domain: domain?,
            callers: callers?,
            ready: ready?,
            peers: peers?,
            operators: operators?,
            objects: objects?,
            duties,
            source,
            memory,
            evacuate_within,
            learn_speed: learn_speed.unwrap_or(false),
            share_capacity: share_capacity.unwrap_or(false),
            regions: regions.unwrap_or_default(),
            cold_bound,
            bounds: bounds?,
        })
    };
    match settings() {
        Some(settings) if problems.is_empty() => Ok(settings),
        _ => Err(problems),
    }
}

/// Takes a field as text; a number may stand in its place.
fn text_of(fields: &mut Map<String, Value>, name: &str) -> Option<String> {
    match fields.remove(name)? {
        Value::Null => None,
        Value::String(text) => Some(text),
        other => Some(other.to_string()),
    }
}

/// Returns a value that is valid, or records the problem.
fn valid<T>(parsed: Option<Result<T, Error>>, problems: &mut Vec<Error>) -> Option<T> {
    match parsed? {
        Ok(value) => Some(value),
        Err(problem) => {
            problems.push(problem);
            None
        }
    }
}

/// Parses the regions of failure domains from a JSON object.
///
/// Errors: `SettingsInvalid`.
pub fn regions(text: &str) -> Result<BTreeMap<Domain, Region>, Error> {
    serde_json::from_str(text).map_err(|e| problem("regions", &e.to_string()))
}

/// Parses a positive number of milliseconds.
///
/// Errors: `SettingsInvalid`.
pub fn milliseconds(text: &str) -> Result<Duration, Error> {
    let number = text.trim().parse().ok().filter(|ms: &f64| ms.is_finite() && *ms > 0.0);
    let seconds = number.map(|ms| Duration::try_from_secs_f64(ms / 1e3).ok());
    seconds.flatten().ok_or_else(|| problem("evacuate_ms", "is not a positive number"))
}

fn check_bounds(bounds: &Bounds, problems: &mut Vec<Error>) {
    let positive = [
        ("stop_s", bounds.stop_s),
        ("usage_window_s", bounds.usage_window_s),
        ("usage_due_s", bounds.usage_due_s),
        ("repeat_window_s", bounds.repeat_window_s),
    ];
    for (name, value) in positive {
        if !(value > 0.0 && value.is_finite()) {
            problems.push(problem(&format!("bounds.{name}"), "must be more than 0"));
        }
    }
    for (name, value) in
        [("repeat_ratio", bounds.repeat_ratio), ("repeat_allowance", bounds.repeat_allowance)]
    {
        if !(value >= 0.0 && value.is_finite()) {
            problems.push(problem(&format!("bounds.{name}"), "must be at least 0"));
        }
    }
    let times = [
        ("withdraw_ms", bounds.withdraw_ms),
        ("leave_ms", bounds.leave_ms),
        ("lease_ms", bounds.lease_ms),
    ];
    for (name, value) in times {
        if value < 1_000 {
            problems.push(problem(&format!("bounds.{name}"), "must be at least 1000"));
        }
    }
}

fn problem(path: &str, text: &str) -> Error {
    Error::new(Code::SettingsInvalid, format!("{path}: {text}"))
}

fn required<T: DeserializeOwned>(
    fields: &mut Map<String, Value>,
    name: &str,
    problems: &mut Vec<Error>,
) -> Option<T> {
    let Some(value) = fields.remove(name) else {
        problems.push(problem(name, "is missing"));
        return None;
    };
    decode(value, name, problems)
}

fn optional<T: DeserializeOwned>(
    fields: &mut Map<String, Value>,
    name: &str,
    problems: &mut Vec<Error>,
) -> Option<T> {
    let value = fields.remove(name).filter(|value| !value.is_null())?;
    decode(value, name, problems)
}

fn decode<T: DeserializeOwned>(value: Value, name: &str, problems: &mut Vec<Error>) -> Option<T> {
    serde_json::from_value(value).map_err(|e| problems.push(problem(name, &e.to_string()))).ok()
}

impl FromStr for Memory {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let megabytes: f64 =
            text.trim().parse().map_err(|_| problem("memory_mb", "is not a number"))?;
        Self(megabytes as u64).check()
    }
}
