//! A small deployment: the store, the platform, engines and gateways.

use std::{
    env, fs,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    process, thread,
    time::Duration,
};

use crate::{
    engine::{Engine, Kind},
    gateway::Gateway,
    json::Json,
    platform,
    record::Record,
    store::Store,
};

/// `contact_ms` of the small deployments.
pub const CONTACT: u64 = 3_000;
pub const LLM: &str = "report-model";
pub const APP: &str = "rounds-app";
/// The keys of the first tenant.
pub const ALL_KEYS: &str = r#""key-one","key-one-b","key-one-c""#;
const ZONES: [&str; 3] = ["shah-alam", "petaling", "klang-port"];

pub struct World {
    pub store: Store,
    pub record: Record,
    pub gateways: Vec<Gateway>,
    platform: SocketAddr,
    folder: PathBuf,
}

pub fn text(error: std::io::Error) -> String {
    error.to_string()
}

impl World {
    pub fn start(record: &Record) -> Result<Self, String> {
        let folder = env::temp_dir().join(format!("stand-3-{}", process::id()));
        fs::create_dir_all(&folder).map_err(text)?;
        let world = Self {
            store: Store::start().map_err(text)?,
            record: record.clone(),
            gateways: Vec::new(),
            platform: platform::start().map_err(text)?,
            folder,
        };
        world.configure(7, ALL_KEYS);
        Ok(world)
    }

    /// Writes the configuration, as the operator does; `keys` are those of the first tenant.
    pub fn configure(&self, version: u64, keys: &str) {
        let route = |name: &str,
                     kind: &str,
                     service: &str,
                     timeout: u64,
                     attempts: u32,
                     more: &str| {
            format!(
                r#"{{"name":"r-{name}","host":"site.example","path_prefix":"/{name}/","kind":"{kind}","timeout_ms":{timeout},"target_latency_ms":500,"priority":1,"service":"{service}","max_attempts":{attempts},"public":false{more}}}"#
            )
        };
        let stream = |resumable: bool| {
            format!(r#","sticky":true,"resumable":{resumable},"target_gap_ms":400"#)
        };
        let routes = [
            route("draft", "streaming", LLM, 4_000, 1, &stream(false)),
            route("ask", "streaming", LLM, 12_000, 2, &stream(true)),
            route("confirm", "unsafe", APP, 1_500, 1, ""),
            route("history", "safe", APP, 1_500, 2, ""),
        ];
        let config = format!(
            r#"{{"version":{version},"routes":[{}],"services":[
            {{"name":"{LLM}","health_path":"/health","max_connections":360,"protocol":"h1","tls":false,"engine":{{"slots":64,"kv_capacity_tokens":278703,"stride":6}}}},
            {{"name":"{APP}","health_path":"/health","max_connections":96,"protocol":"h1","tls":false}}],
            "limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
            "tenants":[{{"name":"t1","api_keys":[{keys}],"priority":1}},{{"name":"t2","api_keys":["key-two"],"priority":1}}]}}"#,
            routes.join(",")
        );
        if let Some(config) = Json::parse(config.as_bytes()) {
            self.store.put("config", "main", config);
        }
    }

    /// Starts engines of a version.
    pub fn engines(
        &self,
        count: usize,
        version: &'static str,
        events: u64,
        work_ms: u64,
        fatal_part: Option<&'static str>,
    ) -> Result<Vec<Engine>, String> {
        let work = Duration::from_millis(work_ms);
        let kind = |number: usize| Kind {
            id: format!("i-{version}-{number}"),
            service: LLM,
            zone: ZONES[number % 3],
            version,
            slots: 64,
            events,
            work,
            fatal_part,
        };
        (0..count).map(|number| self.engine(kind(number))).collect()
    }

    /// Starts plain servers.
    pub fn plain_servers(&self, count: usize) -> Result<Vec<Engine>, String> {
        let kind = |number: usize| Kind {
            id: format!("i-app-{number}"),
            service: APP,
            zone: ZONES[number % 3],
            version: "v1",
            slots: 6,
            events: 0,
            work: Duration::from_millis(60),
            fatal_part: None,
        };
        (0..count).map(|number| self.engine(kind(number))).collect()
    }

    fn engine(&self, kind: Kind) -> Result<Engine, String> {
        Engine::start(kind, &self.store, &self.record).map_err(text)
    }

    /// Starts gateways, each at a loopback address of its own, and waits until they are ready.
    pub fn start_gateways(&mut self, count: u8, source: bool) -> Result<(), String> {
        for number in 0..count {
            let (name, zone) = (format!("front-{number}"), ZONES[usize::from(number) % 3]);
            let addresses = (self.store.address, self.platform);
            let ip = address(number);
            let gateway =
                Gateway::new(&name, zone, ip, source, addresses, &self.folder, &self.record);
            self.gateways.push(gateway.map_err(text)?);
        }
        self.start_all()
    }

    /// Starts all gateways and waits until they are ready.
    pub fn start_all(&mut self) -> Result<(), String> {
        for gateway in &mut self.gateways {
            gateway.start().map_err(text)?;
        }
        match self.gateways.iter().all(Gateway::wait_ready) {
            true => Ok(()),
            false => Err("a gateway is not ready".to_string()),
        }
    }

    pub fn kill_gateways(&mut self) {
        self.gateways.iter_mut().for_each(Gateway::kill);
    }

    /// The addresses for clients.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.gateways.iter().map(|gateway| gateway.place.callers).collect()
    }

    /// Waits until a time of the record, in milliseconds.
    pub fn wait_until(&self, at: u64) {
        thread::sleep(Duration::from_millis(at.saturating_sub(self.record.now())));
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.kill_gateways();
        self.gateways.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// The loopback address of a gateway.
pub fn address(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 1, 1 + number))
}
