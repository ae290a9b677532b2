//! Runs a workload on real host processes and stand-in engines.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use wasabi_config::keys;
use wasabi_core::note::Server;
use wasabi_standin::{
    caller::{Call, Stream},
    engine::Engine,
    platform::Platform,
    process::wait_until,
    rig::{self, Programs, Rig},
    sample,
};

use crate::workload::{Event, HOSTS, SPEEDUP, Workload};

/// Default interval of the heartbeats on grants; divided by [`SPEEDUP`], as the times of the
/// workload are.
const GRANT_HEARTBEAT_MS: u64 = 250;

/// The outcome of a request.
#[derive(Clone, Debug)]
pub struct RequestResult {
    /// Index into [`Workload::arrivals`].
    pub arrival: usize,
    /// Since the start of the run.
    pub sent: Duration,
    /// From sending to the first token.
    pub first: Option<Duration>,
    /// The mean time between tokens.
    pub mean_token_interval: Duration,
    pub tokens: u64,
    /// Tokens received before the end of [`Workload::length`].
    pub tokens_in_time: u64,
    pub complete: bool,
    /// The code of the error, if there is one.
    pub error_code: Option<u64>,
}

/// The outcome of a run.
pub struct Outcome {
    pub results: Vec<RequestResult>,
    /// Tokens that the engines generated, including those of answers that were not completed.
    pub generated: u64,
    /// From the start of the run until all events have happened and all answers have ended.
    pub elapsed: Duration,
    /// CPU time of all host processes, in seconds.
    pub cpu_seconds: f64,
    /// The largest number of requests that ran or waited at one engine at the same time.
    pub peak_engine_load: usize,
}

/// Runs `workload` under `policy`.
pub fn run(programs: &Programs, workload: &Workload, policy: &str) -> anyhow::Result<Outcome> {
    let platform = Platform::start()?;
    let engines = (0..workload.engines)
        .map(|i| Engine::start(&format!("engine-{i}"), workload.profile.clone()))
        .collect::<anyhow::Result<Vec<Engine>>>()?;
    let keys: Vec<keys::NewKey> = (0..workload.workspaces).map(|_| keys::fresh()).collect();
    let mut rig = Rig {
        programs: programs.clone(),
        platform,
        engines,
        services: Vec::new(),
        sample: sample::build(&[], &[]),
        hosts: Vec::new(),
    };
    rig.apply(&note(workload, &keys, &servers(&rig, workload, &[])))?;
    for i in 0..HOSTS {
        let name = format!("host-{i}");
        let mut settings = rig::settings(&name, &rig.platform.url());
        settings["policy"] = json!(policy);
        settings["times"]["grant_beat_ms"] = json!(GRANT_HEARTBEAT_MS / u64::from(SPEEDUP));
        rig.add_host_with(&name, &settings)?;
    }
    for host in &rig.hosts {
        rig.wait_revision(host, 1)?;
    }
    wait_until("the hosts know each other", || {
        rig.hosts.iter().all(|host| {
            let dump = host.dump().unwrap_or_default();
            dump["hosts"].as_array().is_some_and(|hosts| hosts.len() == HOSTS)
        })
    })?;
    let cpu_before = hosts_cpu_seconds(&rig);
    let began = Instant::now();
    let results = Arc::new(Mutex::new(Vec::new()));
    thread::scope(|scope| {
        scope.spawn(|| run_events(&rig, workload, began));
        for (index, arrival) in workload.arrivals.iter().enumerate() {
            let wait = (began + arrival.at).saturating_duration_since(Instant::now());
            thread::sleep(wait);
            let class = &workload.classes[arrival.class];
            let prompt = format!("{} {index}", class.name);
            let secret = &keys[arrival.workspace].secret;
            let call = Call::chat(secret, "model", &prompt, arrival.tokens);
            let call = Call { target: format!("/{}/v1/chat/completions", class.name), ..call };
            let address = rig.hosts[index % HOSTS].callers;
            let results = results.clone();
            let thread_builder = thread::Builder::new().stack_size(256 * 1024);
            let _ = thread_builder.spawn_scoped(scope, move || {
                let sent = began.elapsed();
                let stream = call.stream(address);
                let end = began + workload.length;
                let result = request_result(index, sent, began, end, stream.ok());
                results.lock().expect("no panic").push(result);
            });
        }
    });
    let elapsed = began.elapsed();
    let generated = rig.engines.iter().flat_map(Engine::records).map(|record| record.tokens).sum();
    let peak_engine_load = rig.engines.iter().map(Engine::peak).max().unwrap_or(0);
    let results = std::mem::take(&mut *results.lock().expect("no panic"));
    Ok(Outcome {
        results,
        generated,
        elapsed,
        cpu_seconds: hosts_cpu_seconds(&rig) - cpu_before,
        peak_engine_load,
    })
}

/// Returns the result of a request. Tokens received after `end` are not in time; `stream` is `None`
/// if the connection failed.
fn request_result(
    arrival: usize,
    sent: Duration,
    began: Instant,
    end: Instant,
    stream: Option<Stream>,
) -> RequestResult {
    let Some(stream) = stream else {
        let mean_token_interval = Duration::ZERO;
        return RequestResult {
            arrival,
            sent,
            first: None,
            mean_token_interval,
            tokens: 0,
            tokens_in_time: 0,
            complete: false,
            error_code: None,
        };
    };
    RequestResult {
        arrival,
        sent,
        first: stream.first_token_at.map(|first| first.duration_since(began).saturating_sub(sent)),
        mean_token_interval: stream.mean_gap(),
        tokens: stream.tokens,
        tokens_in_time: stream.token_times.iter().filter(|time| **time <= end).count() as u64,
        complete: stream.complete,
        error_code: stream.code(),
    }
}

/// Returns the engines as backend servers, except those with the given indices. Reclaimable engines
/// are all in the first failure domain.
fn servers(rig: &Rig, workload: &Workload, excluded: &[usize]) -> Vec<Server> {
    let domains = ["first", "second", "third"];
    let domain_index = |i: usize| if workload.reclaimable.contains(&i) { 0 } else { i % 3 };
    let listed_engines = rig.engines.iter().enumerate().filter(|(i, _)| !excluded.contains(i));
    let server = |(i, engine): (usize, &Engine)| {
        let domain = domains[domain_index(i)].parse().expect("a name");
        engine.server(&domain, workload.reclaimable.contains(&i))
    };
    listed_engines.map(server).collect()
}

/// Returns the release note with all objects of the workload.
fn note(workload: &Workload, keys: &[keys::NewKey], servers: &[Server]) -> Value {
    let ms = |time: Duration| time.as_millis() as u64;
    let class = |class: &crate::workload::Class| {
        json!({"name": class.name, "tier": class.tier, "max_gap_ms": 2_000,
               "target": {"stream": {"first_token_ms": ms(class.first_token_target),
                                     "inter_token_ms": ms(class.inter_token_target)}}})
    };
    let route = |class: &crate::workload::Class| {
        json!({"name": class.name, "path": format!("/{}/v1/chat/completions", class.name),
               "class": class.name, "pools": ["model"]})
    };
    let workspace = |i: usize| json!({"name": format!("w{i}")});
    let key = |(i, key): (usize, &keys::NewKey)| json!({"name": key.name, "workspace": format!("w{i}"), "digest": key.digest});
    json!({"id": "load", "base": 0, "added": {
        "classes": workload.classes.iter().map(class).collect::<Vec<_>>(),
        "routes": workload.classes.iter().map(route).collect::<Vec<_>>(),
        "workspaces": (0..workload.workspaces).map(workspace).collect::<Vec<_>>(),
        "keys": keys.iter().enumerate().map(key).collect::<Vec<_>>(),
        "pools": [{"name": "model", "model": "model", "servers": servers}],
    }})
}

/// Triggers the events of the workload at their times.
fn run_events(rig: &Rig, workload: &Workload, began: Instant) {
    for (at, event) in &workload.events {
        thread::sleep((began + *at).saturating_duration_since(Instant::now()));
        match event {
            Event::AnnounceReclaim => {
                let left = servers(rig, workload, &workload.reclaimable);
                let pool = json!({"name": "model", "model": "model", "servers": left});
                let note = json!({"id": "leave", "base": 1, "changed": {"pools": [pool]}});
                if let Err(e) = rig.apply(&note) {
                    eprintln!("{e}");
                }
            }
            Event::Reclaim => workload.reclaimable.iter().for_each(|i| crash(&rig.engines[*i])),
            Event::SlowDown(i) => rig.engines[*i].update_faults(|faults| faults.slowdown = 4),
            Event::Crash(i) => crash(&rig.engines[*i]),
        }
    }
}

/// Breaks off all streams of an engine, and lets it refuse new requests.
fn crash(engine: &Engine) {
    engine.update_faults(|faults| (faults.down, faults.cut_after) = (true, Some(0)));
}

/// Returns the CPU time of all host processes, in seconds.
fn hosts_cpu_seconds(rig: &Rig) -> f64 {
    rig.hosts.iter().map(|host| wasabi_standin::process::cpu_seconds(host.id())).sum()
}
