//! The settings of a gateway, read from JSON with every problem named at once.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, de::DeserializeOwned};
use serde_json::{Map, Value};
use wasabi_core::{
    errors::{Code, Error},
    units::{Domain, HostId},
};

/// What a gateway is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The host's name.
    pub host: HostId,
    /// The failure domain that it stands in.
    pub domain: Domain,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where the balancer asks whether it takes new connections.
    pub ready: SocketAddr,
    /// Where its peers reach it, over TCP and UDP.
    pub peers: SocketAddr,
    /// Where metrics and the dump of its state are served.
    pub operators: SocketAddr,
    /// The store.
    pub objects: SocketAddr,
    /// The interface for usage reports and orders; none if there are no duties.
    pub duties: Option<SocketAddr>,
    /// The promises that the host has to keep.
    pub bounds: Bounds,
}

/// The promises that a host has to keep, as the platform states them.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// A withdrawn key runs nothing after this time.
    pub withdraw_ms: u64,
    /// A process has this long to end after SIGTERM.
    pub stop_s: f64,
    /// Two hosts must not take turns on a duty within this time.
    pub lease_ms: u64,
    /// The length of a usage window.
    pub usage_window_s: f64,
    /// A usage report is due this long after the end of its window.
    pub usage_due_s: f64,
    /// Repeats allowed for each first send.
    pub repeat_ratio: f64,
    /// The window in which repeats are counted.
    pub repeat_window_s: f64,
    /// Repeats allowed besides in a window, by all hosts together.
    pub repeat_allowance: f64,
}

impl Bounds {
    /// How long a proof that a key is in force can be relied on.
    ///
    /// A proof shows the configuration as it was when its read was sent, so a request that is sent
    /// on within `withdraw_ms` of that is on time; the margin covers the way to the server.
    pub fn max_key_proof_age(&self) -> Duration {
        const MARGIN_MS: u64 = 400;
        Duration::from_millis(self.withdraw_ms.saturating_sub(MARGIN_MS))
    }
}

/// Reads settings from JSON text.
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
    let bounds: Option<Bounds> = required(&mut fields, "bounds", &mut problems);
    problems.extend(fields.keys().map(|name| problem(name, "is not a setting")));
    if let Some(bounds) = &bounds {
        check(bounds, &mut problems);
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
            bounds: bounds?,
        })
    };
    match settings() {
        Some(settings) if problems.is_empty() => Ok(settings),
        _ => Err(problems),
    }
}

fn check(bounds: &Bounds, problems: &mut Vec<Error>) {
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
    for (name, value) in [("withdraw_ms", bounds.withdraw_ms), ("lease_ms", bounds.lease_ms)] {
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
    read(value, name, problems)
}

fn optional<T: DeserializeOwned>(
    fields: &mut Map<String, Value>,
    name: &str,
    problems: &mut Vec<Error>,
) -> Option<T> {
    let value = fields.remove(name).filter(|value| !value.is_null())?;
    read(value, name, problems)
}

fn read<T: DeserializeOwned>(value: Value, name: &str, problems: &mut Vec<Error>) -> Option<T> {
    serde_json::from_value(value).map_err(|e| problems.push(problem(name, &e.to_string()))).ok()
}
