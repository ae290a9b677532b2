//! The settings of a host, parsed from JSON. Parsing reports all problems at once.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, de::DeserializeOwned};
use serde_json::{Map, Value};
use wasabi_config::state::Problem;
use wasabi_core::{
    errors::Code,
    units::{Domain, HostId},
};
use wasabi_policy::{scheduler, servers::Pick};

/// The settings that a host is started with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The host's name.
    pub host: HostId,
    /// The failure domain of the host.
    pub domain: Domain,
    /// Address to listen on for callers.
    pub callers: SocketAddr,
    /// Address to listen on for operators.
    pub operators: SocketAddr,
    /// Address to listen on for peers.
    pub peers: SocketAddr,
    /// Base URL of the object API.
    pub objects: String,
    /// Base URL of the usage interface.
    pub usage: String,
    /// Base URL of the ordering interface.
    pub orders: String,
    /// Base URL of the host list.
    pub hosts: String,
    /// A pool of at most this many servers is one cell, which one host schedules as a whole; a
    /// larger one is divided into cells of about this size. At least 1.
    pub cell_servers: usize,
    /// How requests are ordered; policies other than `tiers` exist for comparison only.
    pub policy: Policy,
    /// Time limits and intervals; each has a default.
    pub times: Times,
}

/// How requests are ordered and servers picked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// By tier, class and workspace.
    #[default]
    Tiers,
    /// In order of arrival, to the servers in turn.
    FifoRoundRobin,
    /// In order of arrival, to the least busy server.
    FifoLeastInFlight,
    /// By tier, without ageing: a class that waits too long is not moved forward.
    Strict,
}

impl Policy {
    /// Returns the scheduler options of the policy.
    pub fn options(self) -> scheduler::Options {
        let by_tier = scheduler::Options::default();
        let by_arrival = scheduler::Options { by_class: false, ..by_tier };
        match self {
            Self::Tiers => by_tier,
            Self::FifoRoundRobin => scheduler::Options { pick: Pick::RoundRobin, ..by_arrival },
            Self::FifoLeastInFlight => scheduler::Options { pick: Pick::LeastBusy, ..by_arrival },
            Self::Strict => scheduler::Options { ageing: false, ..by_tier },
        }
    }
}

const DEFAULT_CELL_SERVERS: usize = 24;

macro_rules! times {
    ($($(#[doc = $doc:literal])* $name:ident = $default:literal;)*) => {
        /// Time limits and intervals of a host. In the settings file, each name ends in `_ms` and
        /// its value is a positive integer of milliseconds.
        #[derive(Clone, Debug)]
        pub struct Times {
            $($(#[doc = $doc])* pub $name: Duration,)*
        }

        impl Default for Times {
            fn default() -> Self {
                Self { $($name: Duration::from_millis($default),)* }
            }
        }

        impl Times {
            fn read(fields: &mut Map<String, Value>, problems: &mut Vec<Problem>) -> Self {
                let mut times = Self::default();
                $(
                    let name = concat!(stringify!($name), "_ms");
                    if let Some(value) = fields.remove(name) {
                        let path = format!("times.{name}");
                        match read::<u64>(value, &path, problems) {
                            Some(0) => problems.push(problem(path, "must be at least 1")),
                            Some(ms) => times.$name = Duration::from_millis(ms),
                            None => {}
                        }
                    }
                )*
                times
            }
        }
    };
}

times! {
    /// Time limit for a call to the platform.
    platform_call = 2_000;
    /// How long a watch of the store waits for changes.
    watch = 30_000;
    /// Shortest time between two reads of the configuration log.
    watch_pause = 100;
    /// Interval of gossip rounds, each with one other host.
    peer_round = 1_000;
    /// Time limit for a call to a peer.
    peer_call = 1_000;
    /// Interval for reading the host list.
    host_list = 5_000;
    /// Interval for reading the list of backend servers and for ordering servers.
    server_list = 1_000;
    /// Servers are released only if the highest demand within this time needs fewer.
    demand_memory = 300_000;
    /// How long a host must be missing from the host list to count as removed.
    host_settle = 60_000;
    /// Without contact with the store and most peers for this time, requests with keys are refused.
    isolation = 10_000;
    /// Interval for writing usage to the store.
    usage_flush = 2_000;
    /// Length of a usage window.
    usage_window = 60_000;
    /// Duration of a lease.
    lease = 6_000;
    /// Safety margin of a lease; less than half of its duration.
    lease_margin = 1_000;
    /// Interval for checking whether the host's status must be written.
    status = 2_000;
    /// How long a stopping host still accepts requests, so that the load balancer can notice.
    stop_notice = 5_000;
    /// How long a stopping host waits for its running requests.
    stop_limit = 900_000;
    /// Interval for renewing grants from other hosts.
    grant_beat = 250;
    /// Interval for re-evaluating waiting requests.
    desk_tick = 20;
    /// Time limit for the first part of a streamed answer from a backend server.
    first_part = 15_000;
    /// Longest time between two parts of a streamed answer from a backend server.
    part = 5_000;
    /// Time limit for an answer that is not streamed: for its head, and again for its body.
    whole = 120_000;
    /// Time limit for receiving the head of a request.
    receive_head = 10_000;
    /// Time limit for receiving the body of a request.
    receive_body = 30_000;
    /// Time limit for a caller to accept a part of a streamed answer.
    write = 30_000;
}

/// Parses settings from JSON text, or returns every problem found.
pub fn parse(text: &str) -> Result<Settings, Vec<Problem>> {
    let value: Value = serde_json::from_str(text).map_err(|e| vec![problem("", e.to_string())])?;
    let Value::Object(mut fields) = value else {
        return Err(vec![problem("", "settings are a JSON object")]);
    };
    let mut problems = Vec::new();
    let host = required(&mut fields, "host", &mut problems);
    let domain = required(&mut fields, "domain", &mut problems);
    let callers = required(&mut fields, "callers", &mut problems);
    let operators = required(&mut fields, "operators", &mut problems);
    let peers = required(&mut fields, "peers", &mut problems);
    let urls =
        ["objects", "usage", "orders", "hosts"].map(|name| url(&mut fields, name, &mut problems));
    let cell_servers = match fields.remove("cell_servers") {
        None => DEFAULT_CELL_SERVERS,
        Some(value) => read(value, "cell_servers", &mut problems).unwrap_or(DEFAULT_CELL_SERVERS),
    };
    if cell_servers == 0 {
        problems.push(problem("cell_servers", "must be at least 1"));
    }
    let policy = match fields.remove("policy") {
        None => Policy::Tiers,
        Some(value) => read(value, "policy", &mut problems).unwrap_or_default(),
    };
    let times = times(&mut fields, &mut problems);
    problems.extend(fields.keys().map(|name| problem(name, "is not a setting")));
    if !problems.is_empty() {
        return Err(problems);
    }
    let [objects, usage, orders, hosts] = urls;
    let settings = || {
        Some(Settings {
            host: host?,
            domain: domain?,
            callers: callers?,
            operators: operators?,
            peers: peers?,
            objects: objects?,
            usage: usage?,
            orders: orders?,
            hosts: hosts?,
            cell_servers,
            policy,
            times,
        })
    };
    settings().ok_or_else(|| vec![problem("", "a setting is missing")])
}

fn problem(path: impl Into<String>, text: impl Into<String>) -> Problem {
    Problem { path: path.into(), code: Code::SettingsInvalid, text: text.into() }
}

fn read<T: DeserializeOwned>(value: Value, path: &str, problems: &mut Vec<Problem>) -> Option<T> {
    serde_json::from_value(value).map_err(|e| problems.push(problem(path, e.to_string()))).ok()
}

fn required<T: DeserializeOwned>(
    fields: &mut Map<String, Value>,
    name: &str,
    problems: &mut Vec<Problem>,
) -> Option<T> {
    let Some(value) = fields.remove(name) else {
        problems.push(problem(name, "is missing"));
        return None;
    };
    read(value, name, problems)
}

fn url(fields: &mut Map<String, Value>, name: &str, problems: &mut Vec<Problem>) -> Option<String> {
    let url: String = required(fields, name, problems)?;
    if !url.starts_with("http://") {
        problems.push(problem(name, "must begin with http://"));
        return None;
    }
    Some(url)
}

fn times(fields: &mut Map<String, Value>, problems: &mut Vec<Problem>) -> Times {
    let mut fields = match fields.remove("times") {
        None => Map::new(),
        Some(Value::Object(fields)) => fields,
        Some(_) => {
            problems.push(problem("times", "must be an object"));
            Map::new()
        }
    };
    let times = Times::read(&mut fields, problems);
    let unknown = fields.keys();
    problems.extend(unknown.map(|name| problem(format!("times.{name}"), "is not a setting")));
    if times.lease_margin * 2 >= times.lease {
        problems.push(problem("times.lease_margin_ms", "must be less than half of the lease"));
    }
    times
}
