//! Runs a workload against real host processes and stand-in engines.

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

use crate::workload::{Event, HOSTS, SPEED, Workload};

/// The hosts' default, which shrinks as all other times do.
const GRANT_BEAT_MS: u64 = 250;

/// How one request went.
#[derive(Clone, Debug)]
pub struct Result {
    /// The index of its arrival.
    pub arrival: usize,
    pub sent: Duration,
    pub first: Option<Duration>,
    /// The mean time between tokens.
    pub gap: Duration,
    pub tokens: u64,
    /// Tokens that came while requests still arrived.
    pub tokens_in_time: u64,
    pub complete: bool,
    pub code: Option<u64>,
}

/// How a whole run went.
pub struct Outcome {
    pub results: Vec<Result>,
    /// Tokens that the engines generated, of those whose work they finished or not.
    pub generated: u64,
    pub took: Duration,
    /// CPU seconds of all host processes.
    pub cpu: f64,
    /// The most requests that one engine had at once.
    pub peak: usize,
}

/// Runs `workload` under `policy`.
pub fn run(programs: &Programs, workload: &Workload, policy: &str) -> anyhow::Result<Outcome> {
    let platform = Platform::start()?;
    let engines = (0..workload.engines)
        .map(|i| Engine::start(&format!("engine-{i}"), workload.pace.clone()))
        .collect::<anyhow::Result<Vec<Engine>>>()?;
    let keys: Vec<keys::Fresh> = (0..workload.workspaces).map(|_| keys::fresh()).collect();
    let mut rig = Rig {
        programs: programs.clone(),
        platform,
        engines,
        services: Vec::new(),
        sample: sample::note(&[], &[]),
        hosts: Vec::new(),
    };
    rig.apply(&note(workload, &keys, &servers(&rig, workload, &[])))?;
    for i in 0..HOSTS {
        let name = format!("host-{i}");
        let mut settings = rig::settings(&name, &rig.platform.url());
        settings["policy"] = json!(policy);
        settings["times"]["grant_beat_ms"] = json!(GRANT_BEAT_MS / u64::from(SPEED));
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
    let cpu_before = cpu(&rig);
    let began = Instant::now();
    let results = Arc::new(Mutex::new(Vec::new()));
    thread::scope(|scope| {
        scope.spawn(|| events(&rig, workload, began));
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
            let sending = thread::Builder::new().stack_size(256 * 1024);
            let _ = sending.spawn_scoped(scope, move || {
                let sent = began.elapsed();
                let stream = call.stream(address);
                let end = began + workload.length;
                let result = result(index, sent, began, end, stream.ok());
                results.lock().expect("no panic").push(result);
            });
        }
    });
    let took = began.elapsed();
    let generated = rig.engines.iter().flat_map(Engine::records).map(|record| record.tokens).sum();
    let peak = rig.engines.iter().map(Engine::peak).max().unwrap_or(0);
    let results = std::mem::take(&mut *results.lock().expect("no panic"));
    Ok(Outcome { results, generated, took, cpu: cpu(&rig) - cpu_before, peak })
}

fn result(
    arrival: usize,
    sent: Duration,
    began: Instant,
    end: Instant,
    stream: Option<Stream>,
) -> Result {
    let Some(stream) = stream else {
        let gap = Duration::ZERO;
        return Result {
            arrival,
            sent,
            first: None,
            gap,
            tokens: 0,
            tokens_in_time: 0,
            complete: false,
            code: None,
        };
    };
    Result {
        arrival,
        sent,
        first: stream.first.map(|first| first.duration_since(began).saturating_sub(sent)),
        gap: stream.mean_gap(),
        tokens: stream.tokens,
        tokens_in_time: stream.times.iter().filter(|time| **time <= end).count() as u64,
        complete: stream.complete,
        code: stream.code(),
    }
}

fn servers(rig: &Rig, workload: &Workload, without: &[usize]) -> Vec<Server> {
    let domains = ["first", "second", "third"];
    let here = |i: usize| if workload.cheap.contains(&i) { 0 } else { i % 3 };
    let listed = rig.engines.iter().enumerate().filter(|(i, _)| !without.contains(i));
    let server = |(i, engine): (usize, &Engine)| {
        let domain = domains[here(i)].parse().expect("a name");
        engine.server(&domain, workload.cheap.contains(&i))
    };
    listed.map(server).collect()
}

fn note(workload: &Workload, keys: &[keys::Fresh], servers: &[Server]) -> Value {
    let ms = |time: Duration| time.as_millis() as u64;
    let class = |class: &crate::workload::Class| {
        json!({"name": class.name, "tier": class.tier, "max_gap_ms": 2_000,
               "target": {"stream": {"first_token_ms": ms(class.first_token),
                                     "inter_token_ms": ms(class.inter_token)}}})
    };
    let route = |class: &crate::workload::Class| {
        json!({"name": class.name, "path": format!("/{}/v1/chat/completions", class.name),
               "class": class.name, "pools": ["model"]})
    };
    let workspace = |i: usize| json!({"name": format!("w{i}")});
    let key = |(i, key): (usize, &keys::Fresh)| json!({"name": key.name, "workspace": format!("w{i}"), "digest": key.digest});
    json!({"id": "load", "base": 0, "added": {
        "classes": workload.classes.iter().map(class).collect::<Vec<_>>(),
        "routes": workload.classes.iter().map(route).collect::<Vec<_>>(),
        "workspaces": (0..workload.workspaces).map(workspace).collect::<Vec<_>>(),
        "keys": keys.iter().enumerate().map(key).collect::<Vec<_>>(),
        "pools": [{"name": "model", "model": "model", "servers": servers}],
    }})
}

fn events(rig: &Rig, workload: &Workload, began: Instant) {
    for (at, event) in &workload.events {
        thread::sleep((began + *at).saturating_duration_since(Instant::now()));
        match event {
            Event::Announce => {
                let left = servers(rig, workload, &workload.cheap);
                let pool = json!({"name": "model", "model": "model", "servers": left});
                let note = json!({"id": "leave", "base": 1, "changed": {"pools": [pool]}});
                if let Err(e) = rig.apply(&note) {
                    eprintln!("{e}");
                }
            }
            Event::Vanish => workload.cheap.iter().for_each(|i| crash(&rig.engines[*i])),
            Event::Straggle(i) => rig.engines[*i].fault(|faults| faults.slowdown = 4),
            Event::Crash(i) => crash(&rig.engines[*i]),
        }
    }
}

fn crash(engine: &Engine) {
    engine.fault(|faults| (faults.down, faults.die_after) = (true, Some(0)));
}

/// Returns the CPU seconds of all hosts, from the system's accounting of each process.
fn cpu(rig: &Rig) -> f64 {
    rig.hosts.iter().map(|host| wasabi_standin::process::cpu_seconds(host.id())).sum()
}
