//! The settings of a host, read from JSON with every problem named at once.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, de::DeserializeOwned};
use serde_json::{Map, Value};
use wasabi_config::state::Problem;
use wasabi_core::{
    errors::Code,
    units::{Domain, HostId},
};
use wasabi_policy::{desk, servers::Pick};

/// What a host is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The host's name.
    pub host: HostId,
    /// The failure domain that it stands in.
    pub domain: Domain,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where operators reach it.
    pub operators: SocketAddr,
    /// Where its peers reach it.
    pub peers: SocketAddr,
    /// The base address of the object API.
    pub objects: String,
    /// The base address of the usage interface.
    pub usage: String,
    /// The base address of the ordering interface.
    pub orders: String,
    /// The base address of the host list.
    pub hosts: String,
    /// Pools of at most this many servers are dispatched whole by one host.
    pub cell_servers: usize,
    /// How requests are ordered; others than `tiers` are there to be compared with.
    pub policy: Policy,
    /// Times, each with a default.
    pub times: Times,
}

/// How requests are ordered and servers picked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// By tier, class and workspace.
    #[default]
    Tiers,
    /// In order of arrival, servers in turn.
    FifoRoundRobin,
    /// In order of arrival, to the least busy server.
    FifoLeastInFlight,
    /// By tier, without ageing.
    Strict,
}

impl Policy {
    /// Returns the desk's options.
    pub fn options(self) -> desk::Options {
        let tiers = desk::Options::default();
        let plain = desk::Options { classes: false, ..tiers };
        match self {
            Self::Tiers => tiers,
            Self::FifoRoundRobin => desk::Options { pick: Pick::RoundRobin, ..plain },
            Self::FifoLeastInFlight => desk::Options { pick: Pick::LeastBusy, ..plain },
            Self::Strict => desk::Options { ageing: false, ..tiers },
        }
    }
}

const DEFAULT_CELL_SERVERS: usize = 24;

macro_rules! times {
    ($($(#[doc = $doc:literal])* $name:ident = $default:literal;)*) => {
        /// Times of a host; in the file each ends in `_ms` and is a number of milliseconds.
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
    /// How long a call to the platform may take.
    platform_call = 2_000;
    /// How long a watch waits for news.
    watch = 30_000;
    /// The least time between two reads of the log.
    watch_pause = 100;
    /// Between two greetings of other hosts.
    peer_round = 1_000;
    /// How long a call to a peer may take.
    peer_call = 1_000;
    /// Between two reads of the host list.
    host_list = 5_000;
    /// Between two reads of the list of backend servers, and between two orders.
    server_list = 1_000;
    /// Servers are given back when the highest demand of this time needs fewer.
    demand_memory = 300_000;
    /// How long a host must be missing from the list to count as gone.
    host_settle = 60_000;
    /// Without the store and most peers, keyed requests are refused after this time.
    isolation = 10_000;
    /// Between two flushes of usage.
    usage_flush = 2_000;
    /// The length of a usage window.
    usage_window = 60_000;
    /// The length of a lease.
    lease = 6_000;
    /// The margin of a lease.
    lease_margin = 1_000;
    /// The least time between two writes of the host's status.
    status = 2_000;
    /// How long a stopping host still takes requests, for the balancer to notice.
    stop_notice = 5_000;
    /// How long a stopping host waits for its requests.
    stop_limit = 900_000;
    /// Between two signs of life for grants held at other hosts.
    grant_beat = 250;
    /// Between two looks at waiting requests.
    desk_tick = 20;
    /// For a backend server's first part of an answer.
    first_part = 15_000;
    /// Between parts of a backend server's answer.
    part = 5_000;
    /// For a whole answer.
    whole = 120_000;
    /// For receiving a head.
    receive_head = 10_000;
    /// For receiving a body.
    receive_body = 30_000;
    /// For a caller to take a part of its answer.
    write = 30_000;
}

/// Reads settings from JSON text.
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
