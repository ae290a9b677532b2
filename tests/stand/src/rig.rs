//! A small deployment: object store, duties interface, backend servers and gateways.

use std::{
    collections::BTreeSet,
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    sync::Arc,
    time::Duration,
};

use serde_json::{Value, json};
use tokio::runtime::Runtime;

use crate::{
    duties::Duties,
    gateway::{self, Gateway, ListenAddresses},
    proxy::Proxy,
    server::{self, Server},
    store::Store,
};

/// The deployment under test.
pub struct Rig {
    /// Runs the test doubles.
    pub runtime: Runtime,
    /// The object store.
    pub store: Arc<Store>,
    /// The address of the store.
    pub store_address: SocketAddr,
    /// The interface for usage reports and scaling orders.
    pub duties: Arc<Duties>,
    /// The address of the duties interface.
    pub duties_address: SocketAddr,
    /// The backend servers with their addresses.
    pub servers: Vec<(Arc<Server>, SocketAddr)>,
    /// The gateway binary.
    program: PathBuf,
}

/// The delay before each event of a stream, and before a plain response.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
const EVENTS_PER_STREAM: u64 = 10;

impl Rig {
    /// Starts the test doubles, with the engines `e1` and `e2` and the plain servers `p1` and `p2`.
    /// `program` is the gateway binary.
    pub fn start(program: &str) -> anyhow::Result<Self> {
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        let (store, store_address) = Store::start(runtime.handle())?;
        let (duties, duties_address) = Duties::start(runtime.handle())?;
        let mut rig = Self {
            runtime,
            store,
            store_address,
            duties,
            duties_address,
            servers: Vec::new(),
            program: PathBuf::from(program),
        };
        for (id, service, streams) in
            [("e1", "llm", true), ("e2", "llm", true), ("p1", "app", false), ("p2", "app", false)]
        {
            rig.add_server(id, service, streams)?;
        }
        rig.configure(1, |_| {});
        Ok(rig)
    }

    /// Starts a server and writes it to the store as ready.
    pub fn add_server(&mut self, id: &str, service: &str, streams: bool) -> anyhow::Result<()> {
        self.add_paced_server(id, service, streams, EVENT_INTERVAL)
    }

    /// Starts a plain server that works on each request for `work`, and writes it to the store as ready.
    pub fn add_slow_server(
        &mut self,
        id: &str,
        service: &str,
        work: Duration,
    ) -> anyhow::Result<()> {
        self.add_paced_server(id, service, false, work)
    }

    /// Starts an engine that generates each event for `work`, and writes it to the store as ready.
    pub fn add_slow_engine(&mut self, id: &str, work: Duration) -> anyhow::Result<()> {
        self.add_paced_server(id, "llm", true, work)
    }

    fn add_paced_server(
        &mut self,
        id: &str,
        service: &str,
        streams: bool,
        interval: Duration,
    ) -> anyhow::Result<()> {
        let (server, address) = Server::start(
            self.runtime.handle(),
            id,
            service,
            streams,
            EVENTS_PER_STREAM,
            interval,
        )?;
        self.store.put("servers", id, server.store_object(address, "ready"));
        self.servers.push((server, address));
        Ok(())
    }

    /// Adds engines to `llm` beside those of version `v1`, each with its name and the version of its
    /// software.
    pub fn add_engines(&mut self, engines: &[(&str, &str)]) -> anyhow::Result<()> {
        for (id, version) in engines {
            self.add_server(id, "llm", true)?;
            self.set_version(id, version);
        }
        Ok(())
    }

    /// Changes the software version in the entry of a server.
    pub fn set_version(&self, id: &str, version: &str) {
        self.server(id).set_version(version);
        let mut entry = self.store.get("servers", id).expect("the server is listed");
        entry["version"] = json!(version);
        self.store.put("servers", id, entry);
    }

    /// Starts a second store with what this one holds now, for hosts that are to be out of step.
    pub fn copy_store(&self) -> anyhow::Result<(Arc<Store>, SocketAddr)> {
        let (copy, address) = Store::start(self.runtime.handle())?;
        copy.restore(&self.store.backup());
        Ok((copy, address))
    }

    /// Returns the versions of the servers that sent events to the request ids in `attempts`.
    pub fn versions_of(&self, attempts: &[&str]) -> BTreeSet<String> {
        let ran = |server: &Arc<Server>| {
            let arrivals = server.arrivals();
            arrivals.iter().any(|arrival| arrival.ran && attempts.contains(&arrival.id.as_str()))
        };
        let servers = self.servers.iter().filter(|(server, _)| ran(server));
        let entries = servers.map(|(server, address)| {
            // A server that is lost has no entry.
            let listed = self.store.get("servers", &server.id);
            listed.unwrap_or_else(|| server.store_object(*address, "ready"))
        });
        entries.map(|entry| entry["version"].as_str().unwrap_or_default().to_string()).collect()
    }

    /// Replaces the servers of `service` in the store by one at `address`, named `x1`.
    pub fn replace_servers(&self, service: &str, address: SocketAddr) {
        for (server, _) in self.servers.iter().filter(|(server, _)| server.service == service) {
            self.store.remove("servers", &server.id);
        }
        self.store.put("servers", "x1", server::store_object(service, address, "ready"));
    }

    /// Returns how often the request with this id ran, over all servers.
    pub fn count_runs(&self, id: &str) -> usize {
        let arrivals = self.servers.iter().flat_map(|(server, _)| server.arrivals());
        arrivals.filter(|arrival| arrival.id == id && arrival.ran).count()
    }

    /// Returns a server by its name; panics if there is none.
    pub fn server(&self, id: &str) -> &Arc<Server> {
        let found = self.servers.iter().find(|(server, _)| server.id == id);
        &found.expect("the server exists").0
    }

    /// Writes the default configuration with this version, after `change` has modified it.
    pub fn configure(&self, version: u64, change: impl FnOnce(&mut Value)) {
        let route = |name: &str, path: &str, kind: &str, service: &str, resumable: bool| {
            json!({"name": name, "host": "site.example", "path_prefix": path, "kind": kind,
                "timeout_ms": 8_000, "target_latency_ms": 500, "target_gap_ms": 400, "priority": 1,
                "service": service, "max_attempts": 2, "public": false, "sticky": true,
                "resumable": resumable})
        };
        let mut config = json!({
            "version": version,
            "routes": [
                route("r-chat", "/chat/", "streaming", "llm", true),
                route("r-long", "/long/", "streaming", "llm", false),
                route("r-write", "/write/", "unsafe", "app", false),
                route("r-read", "/read/", "safe", "app", false),
            ],
            "services": [
                {"name": "llm", "health_path": "/health", "max_connections": 100, "protocol": "h1",
                    "tls": false, "engine": {"slots": 8, "kv_capacity_tokens": 100_000,
                    "stride": 5}},
                {"name": "app", "health_path": "/health", "max_connections": 100, "protocol": "h1",
                    "tls": false},
            ],
            "limits": {"max_header_bytes": 16_384, "max_body_bytes": 1_000_000,
                "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
            "tenants": [
                {"name": "w1", "api_keys": ["k1", "k1b"], "priority": 1},
                {"name": "w2", "api_keys": ["k2"], "priority": 1},
            ],
        });
        change(&mut config);
        self.store.put("config", "main", config);
    }

    /// Writes a configuration with the given numbers of routes and workspaces, and engines of 400
    /// slots.
    pub fn configure_large(&self, version: u64, routes: usize, workspaces: usize) {
        self.configure(version, |config| {
            let template = config["routes"][0].clone();
            if let Some(list) = config["routes"].as_array_mut() {
                for number in list.len()..routes {
                    let mut route = template.clone();
                    route["name"] = json!(format!("r{number}"));
                    route["path_prefix"] = json!(format!("/more{number}/"));
                    list.push(route);
                }
            }
            if let Some(list) = config["tenants"].as_array_mut() {
                for number in list.len() + 1..=workspaces {
                    list.push(json!({"name": format!("w{number}"),
                        "api_keys": [format!("k{number}")], "priority": 1}));
                }
            }
            config["services"][0]["engine"]["slots"] = json!(400);
            config["services"][0]["max_connections"] = json!(1_000);
        });
    }

    /// Sets the gateway binary of what is started from now on.
    pub fn set_program(&mut self, program: &str) {
        self.program = PathBuf::from(program);
    }

    /// Starts a gateway on free ports and waits until it is ready.
    pub fn start_gateway(&self, name: &str) -> anyhow::Result<Gateway> {
        let gateway = self.launch(name, self.store_address, gateway::pick_ports()?)?;
        gateway.wait_ready()?;
        Ok(gateway)
    }

    /// Starts a gateway that may repeat as many requests as it likes, and waits until it is ready.
    pub fn start_repeating_gateway(&self, name: &str) -> anyhow::Result<Gateway> {
        let addresses = gateway::pick_ports()?;
        let mut settings =
            gateway::settings(name, &addresses, self.store_address, self.duties_address);
        settings["bounds"]["repeat_ratio"] = json!(100);
        let gateway = Gateway::start(&self.program, addresses, &settings)?;
        gateway.wait_ready()?;
        Ok(gateway)
    }

    /// Puts a proxy in front of each server; the store lists their addresses instead.
    pub fn proxy_servers(&self) -> anyhow::Result<Vec<Proxy>> {
        let proxy = |(server, address): &(Arc<Server>, SocketAddr)| {
            let proxy = Proxy::start(self.runtime.handle(), *address)?;
            self.store.put("servers", &server.id, server.store_object(proxy.address, "ready"));
            Ok(proxy)
        };
        self.servers.iter().map(proxy).collect()
    }

    /// Starts a gateway that connects to servers from `source`, and waits until it is ready.
    pub fn start_gateway_from(&self, name: &str, source: IpAddr) -> anyhow::Result<Gateway> {
        let addresses = gateway::pick_ports()?;
        let gateway = self.launch_from(name, self.store_address, addresses, Some(source))?;
        gateway.wait_ready()?;
        Ok(gateway)
    }

    /// Starts a gateway that reaches the store at `store`, without waiting until it is ready.
    pub fn launch(
        &self,
        name: &str,
        store: SocketAddr,
        addresses: ListenAddresses,
    ) -> anyhow::Result<Gateway> {
        self.launch_from(name, store, addresses, None)
    }

    /// As [`Rig::launch`]; the gateway connects to servers from `source`.
    pub fn launch_from(
        &self,
        name: &str,
        store: SocketAddr,
        addresses: ListenAddresses,
        source: Option<IpAddr>,
    ) -> anyhow::Result<Gateway> {
        let mut settings = gateway::settings(name, &addresses, store, self.duties_address);
        // Older builds do not know it.
        if let Some(source) = source {
            settings["source"] = json!(source);
        }
        Gateway::start(&self.program, addresses, &settings)
    }
}
