//! A small deployment on this machine: stand-ins for the platform, engines and services, and real
//! host processes.

use std::path::{Path, PathBuf};

use serde_json::{Value, json};
use wasabi_core::{io::Host, note::Server};

use crate::{
    engine::{Engine, Profile},
    platform::Platform,
    process::{self, HostProcess},
    sample::{self, Sample},
    service::Service,
};

/// Paths of the programs under test.
#[derive(Clone, Debug)]
pub struct Programs {
    /// `wasabirouter`.
    pub router: PathBuf,
    /// `wasabictl`.
    pub ctl: PathBuf,
}

/// A running deployment; everything in it stops when this is dropped.
pub struct Rig {
    /// The programs under test.
    pub programs: Programs,
    /// The stand-in for the platform.
    pub platform: Platform,
    /// The stand-ins for engines.
    pub engines: Vec<Engine>,
    /// The stand-ins for backend servers of plain calls, which name no model.
    pub services: Vec<Service>,
    /// The release note that was applied first, and its keys.
    pub sample: Sample,
    /// The running host processes.
    pub hosts: Vec<HostProcess>,
}

/// Size of a deployment.
#[derive(Clone, Debug)]
pub struct Size {
    /// Number of host processes.
    pub hosts: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of backend servers of plain calls, whose responses are not streamed.
    pub services: usize,
    /// Capacity and speed of each engine.
    pub profile: Profile,
    /// The software versions of the engines, in turn; none state one if it is empty.
    pub builds: Vec<String>,
}

impl Default for Size {
    fn default() -> Self {
        Self { hosts: 1, engines: 1, services: 1, profile: Profile::default(), builds: Vec::new() }
    }
}

impl Rig {
    /// Starts a deployment; returns once the sample note is in force on every host.
    pub fn start(programs: Programs, size: &Size) -> anyhow::Result<Self> {
        Self::start_with(programs, size, &[], &[])
    }

    /// As [`Rig::start`], with further servers beside the stand-ins for engines and services.
    pub fn start_with(
        programs: Programs,
        size: &Size,
        more_engines: &[Server],
        more_services: &[Server],
    ) -> anyhow::Result<Self> {
        let platform = Platform::start()?;
        let domain = "tn-north-a".parse()?;
        let engines = (0..size.engines)
            .map(|i| Engine::start(&format!("engine-{i}"), size.profile.clone()))
            .collect::<anyhow::Result<Vec<Engine>>>()?;
        let services = (0..size.services)
            .map(|i| Service::start(&format!("service-{i}")))
            .collect::<anyhow::Result<Vec<Service>>>()?;
        let mut servers: Vec<_> =
            engines.iter().map(|engine| engine.server(&domain, false)).collect();
        for (server, build) in servers.iter_mut().zip(size.builds.iter().cycle()) {
            server.build = build.parse()?;
        }
        servers.extend_from_slice(more_engines);
        let mut plain_servers: Vec<_> =
            services.iter().map(|service| service.server(&domain)).collect();
        plain_servers.extend_from_slice(more_services);
        let sample = sample::build(&servers, &plain_servers);
        let mut rig = Self { programs, platform, engines, services, sample, hosts: Vec::new() };
        rig.apply(&rig.sample.note)?;
        for i in 0..size.hosts {
            rig.add_host(&format!("host-{i}"))?;
        }
        for host in &rig.hosts {
            rig.wait_revision(host, 1)?;
        }
        Ok(rig)
    }

    /// Starts one more host with the settings of [`Self::settings`].
    pub fn add_host(&mut self, name: &str) -> anyhow::Result<()> {
        let settings = self.settings(name);
        self.add_host_with(name, &settings)
    }

    /// Starts one more host with `settings`, and lists it under `name`.
    pub fn add_host_with(&mut self, name: &str, settings: &Value) -> anyhow::Result<()> {
        let host_process = HostProcess::start(&self.programs.router, settings)?;
        self.register_host(name, &host_process)?;
        self.hosts.push(host_process);
        Ok(())
    }

    /// Adds a host to the platform's host list, in place of one of the same name.
    pub fn register_host(&self, name: &str, host_process: &HostProcess) -> anyhow::Result<()> {
        let domain = "tn-north-a".parse()?;
        let host = Host { name: name.parse()?, domain, peer: host_process.peers, leaving: false };
        let mut hosts = self.platform.state().hosts.lock();
        hosts.retain(|listed| listed.name != host.name);
        hosts.push(host);
        Ok(())
    }

    /// Removes a host from the platform's host list.
    pub fn unregister_host(&self, name: &str) {
        self.platform.state().hosts.lock().retain(|host| host.name.as_str() != name);
    }

    /// Returns settings of a host that reaches the platform directly; see [`settings`].
    pub fn settings(&self, name: &str) -> Value {
        settings(name, &self.platform.url())
    }

    /// Applies a release note with `wasabictl`; fails if it is refused.
    pub fn apply(&self, note: &Value) -> anyhow::Result<()> {
        let (code, output) = self.ctl_note("apply", note)?;
        anyhow::ensure!(code == Some(0), "the release note was refused: {output}");
        Ok(())
    }

    /// Runs `wasabictl note COMMAND FILE`; returns its exit code and output.
    pub fn ctl_note(&self, command: &str, note: &Value) -> anyhow::Result<(Option<i32>, String)> {
        let path = process::scratch_file("note", &note.to_string())?;
        let file = path.to_string_lossy().into_owned();
        let result = self.ctl(&["note", command, &file]);
        std::fs::remove_file(path)?;
        result
    }

    /// Runs `wasabictl` against the platform; see [`ctl`].
    pub fn ctl(&self, args: &[&str]) -> anyhow::Result<(Option<i32>, String)> {
        ctl(&self.programs.ctl, &self.platform.url(), args)
    }

    /// Waits until `revision` or a later one is in force on a host.
    pub fn wait_revision(&self, host: &HostProcess, revision: u64) -> anyhow::Result<()> {
        process::wait_until("the revision is in force", || {
            host.dump().is_ok_and(|dump| dump["revision"].as_u64() >= Some(revision))
        })
    }
}

/// Runs `wasabictl`; returns its exit code, and its standard output followed by its standard error.
pub fn ctl(program: &Path, platform: &str, args: &[&str]) -> anyhow::Result<(Option<i32>, String)> {
    let all: Vec<&str> = ["--platform", platform].iter().chain(args).copied().collect();
    let output = process::run(program, &all)?;
    let text = [output.stdout, output.stderr].concat();
    Ok((output.status.code(), String::from_utf8_lossy(&text).into_owned()))
}

/// Returns the settings of a host, with free ports and with intervals that are short enough for
/// tests.
pub fn settings(name: &str, platform: &str) -> Value {
    json!({
        "host": name,
        "domain": "tn-north-a",
        "callers": "127.0.0.1:0",
        "operators": "127.0.0.1:0",
        "peers": "127.0.0.1:0",
        "objects": platform,
        "usage": platform,
        "orders": platform,
        "hosts": platform,
        "times": {
            "platform_call_ms": 2_000,
            "watch_ms": 1_000,
            "watch_pause_ms": 10,
            "peer_round_ms": 100,
            "peer_call_ms": 1_000,
            "host_list_ms": 100,
            "host_settle_ms": 1_000,
            "usage_flush_ms": 100,
            "usage_window_ms": 500,
            "lease_ms": 1_000,
            "lease_margin_ms": 200,
            "status_ms": 100,
            "server_list_ms": 100,
            "stop_notice_ms": 200,
        },
    })
}
