//! Measurements on real host processes.

use std::{thread, time::Duration};

use wasabi_standin::{
    caller::Call,
    engine::Profile,
    process::{self, cpu_seconds, resident_bytes, wait_until},
    proxy::Proxy,
    rig::{self, Programs, Rig, Size},
    slopes::{Measurement, Point},
};

const STREAM_COUNTS: [usize; 4] = [50, 100, 200, 400];
const REQUEST_COUNTS: [usize; 4] = [200, 400, 800, 1_600];
const TOKEN_COUNTS: [u64; 4] = [5_000, 10_000, 20_000, 40_000];
const CLAIM_COUNTS: [usize; 4] = [50, 100, 200, 400];
const HOST_COUNTS: [usize; 4] = [2, 4, 8, 16];
const CALLERS: usize = 8;
/// Idle hosts settle for this time, and are then measured for twice as long.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Requests/s per host: 3,300 on 360 hosts.
const TARGET_REQUESTS: f64 = 3_300.0 / 360.0;
/// Tokens/s per host: 1.5 million on 360 hosts.
const TARGET_TOKENS: f64 = 1_500_000.0 / 360.0;
/// Open streams per host, with answers of 60 s.
const TARGET_STREAMS: f64 = 550.0;
/// Grants/s in a cell of 8 of 770 engines, at 3,300 requests/s.
const TARGET_GRANTS: f64 = 3_300.0 * 8.0 / 770.0;
/// Claims of idempotency keys per second in the whole deployment.
const TARGET_CLAIMS: f64 = 33.0;
const TARGET_HOSTS: f64 = 360.0;
const CPU_LIMIT_MS_PER_S: f64 = 34.0;
const BYTES_LIMIT_KB_PER_S: f64 = 2.0;
const MEMORY_LIMIT_MB: f64 = 128.0;
const WRITES_LIMIT_PER_S: f64 = 300.0;
const READS_LIMIT_PER_S: f64 = 2_000.0;

/// Returns the profile of engines that answer without delay.
fn instant_profile(slots: u32) -> Profile {
    Profile { slots, first_token_delay: Duration::ZERO, token_interval: Duration::ZERO }
}

/// Makes `count` calls from [`CALLERS`] concurrent callers.
fn send_all(call: &Call, address: std::net::SocketAddr, count: usize) {
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let share = count / CALLERS + usize::from(caller < count % CALLERS);
            scope.spawn(move || {
                for _ in 0..share {
                    let _ = call.stream(address);
                }
            });
        }
    });
}

/// CPU per request and per token, and memory per open stream.
pub fn entry(programs: &Programs) -> anyhow::Result<Vec<Measurement>> {
    let rig =
        Rig::start(programs.clone(), &Size { profile: instant_profile(64), ..Size::default() })?;
    let host = &rig.hosts[0];
    let key = &rig.sample.lab.secret;
    let measure = |call: &Call, count: usize| {
        let before = cpu_seconds(host.id());
        send_all(call, host.callers, count);
        (cpu_seconds(host.id()) - before) * 1e3
    };
    let short = Call::chat(key, "costing", "short", 1);
    // Warm-up.
    measure(&short, REQUEST_COUNTS[0]);
    let requests = REQUEST_COUNTS
        .map(|count| Point { size: count as f64, cost: measure(&short, count) })
        .to_vec();
    let tokens = TOKEN_COUNTS
        .map(|count| {
            let call = Call::chat(key, "costing", "long", count / CALLERS as u64);
            Point { size: count as f64, cost: measure(&call, CALLERS) }
        })
        .to_vec();
    let streams = open_streams(programs)?;
    Ok(vec![
        Measurement::new("entry", "CPU, ms/s", "request/s", TARGET_REQUESTS, None, requests),
        Measurement::new("entry", "CPU, ms/s", "token/s", TARGET_TOKENS, None, tokens),
        Measurement::new(
            "entry",
            "memory, MB",
            "open stream",
            TARGET_STREAMS,
            Some(MEMORY_LIMIT_MB),
            streams,
        ),
    ])
}

/// Memory of a host, against the number of open streams.
fn open_streams(programs: &Programs) -> anyhow::Result<Vec<Point>> {
    let profile = Profile {
        slots: 512,
        first_token_delay: Duration::ZERO,
        token_interval: Duration::from_secs(1),
    };
    let rig = Rig::start(programs.clone(), &Size { profile, ..Size::default() })?;
    let host = &rig.hosts[0];
    let call = Call::chat(&rig.sample.lab.secret, "costing", "open", 100_000);
    let mut open = Vec::new();
    let mut points = Vec::new();
    for count in STREAM_COUNTS {
        while open.len() < count {
            open.push(call.send(host.callers)?);
        }
        wait_until("all streams run", || rig.engines[0].running() == count as u32)?;
        let cost = resident_bytes(host.id()) as f64 / 1e6;
        points.push(Point { size: count as f64, cost });
    }
    Ok(points)
}

/// CPU and bytes of the host that owns a cell, per grant for a request at another host.
pub fn home(programs: &Programs) -> anyhow::Result<Vec<Measurement>> {
    let mut rig = Rig::start(
        programs.clone(),
        &Size { hosts: 1, profile: instant_profile(64), ..Size::default() },
    )?;
    let proxy = Proxy::start(rig.hosts[0].peers)?;
    rig.platform.state().hosts.lock()[0].peer = proxy.address();
    rig.add_host("asker")?;
    rig.wait_revision(&rig.hosts[1], 1)?;
    // A leaving host owns no cells, so the first host owns all of them and every grant crosses the
    // network.
    rig.platform.state().hosts.lock()[1].leaving = true;
    wait_until("the hosts know that the second one is leaving", || {
        rig.hosts
            .iter()
            .all(|host| host.dump().is_ok_and(|dump| dump["hosts"][1]["leaving"] == true))
    })?;
    let call = Call::chat(&rig.sample.lab.secret, "costing", "short", 1);
    let (mut cpu, mut bytes) = (Vec::new(), Vec::new());
    // Warm-up.
    send_all(&call, rig.hosts[1].callers, REQUEST_COUNTS[0]);
    for count in REQUEST_COUNTS {
        let before = (cpu_seconds(rig.hosts[0].id()), proxy.forwarded_bytes());
        send_all(&call, rig.hosts[1].callers, count);
        let size = count as f64;
        let cost = (cpu_seconds(rig.hosts[0].id()) - before.0) * 1e3;
        cpu.push(Point { size, cost });
        bytes.push(Point { size, cost: (proxy.forwarded_bytes() - before.1) as f64 / 1e3 });
    }
    let limit = Some(CPU_LIMIT_MS_PER_S);
    Ok(vec![
        Measurement::new("home", "CPU, ms/s", "grant/s", TARGET_GRANTS, limit, cpu),
        Measurement::new(
            "home",
            "bytes, KB/s",
            "grant/s",
            TARGET_REQUESTS,
            Some(BYTES_LIMIT_KB_PER_S),
            bytes,
        ),
    ])
}

/// Writes to the object store per call that is not repeatable.
pub fn claims(programs: &Programs) -> anyhow::Result<Vec<Measurement>> {
    let rig = Rig::start(programs.clone(), &Size::default())?;
    let host = &rig.hosts[0];
    let key = &rig.sample.lab.secret;
    let writes = || {
        let calls = rig.platform.state().calls.lock();
        calls.get("PUT /objects").copied().unwrap_or(0) as f64
    };
    let mut points = Vec::new();
    for count in CLAIM_COUNTS {
        let before = writes();
        for i in 0..count {
            let call = Call::post("/records/a", "{}").bearer(key);
            let call = call.header("idempotency-key", &format!("{count}-{i}"));
            anyhow::ensure!(call.fetch(host.callers)?.status == 200, "the call failed");
        }
        points.push(Point { size: count as f64, cost: writes() - before });
    }
    let limit = Some(WRITES_LIMIT_PER_S);
    Ok(vec![Measurement::new("once", "store writes/s", "claim/s", TARGET_CLAIMS, limit, points)])
}

/// Cost of idle hosts, with the times of the target deployment.
pub fn idle(programs: &Programs) -> anyhow::Result<Vec<Measurement>> {
    let (mut cpu, mut bytes, mut memory) = (Vec::new(), Vec::new(), Vec::new());
    let (mut reads, mut writes) = (Vec::new(), Vec::new());
    for count in HOST_COUNTS {
        let mut rig = Rig::start(programs.clone(), &Size { hosts: 0, ..Size::default() })?;
        for i in 0..count {
            let name = format!("host-{i}");
            let mut settings = rig::settings(&name, &rig.platform.url());
            settings["times"] = serde_json::json!({
                "usage_flush_ms": 10_000, "status_ms": 10_000, "lease_ms": 12_000,
                "server_list_ms": 5_000, "host_list_ms": 1_000,
            });
            rig.add_host_with(&name, &settings)?;
        }
        rig.wait_revision(rig.hosts.last().expect("a host"), 1)?;
        let proxies: Vec<Proxy> =
            rig.hosts.iter().map(|host| Proxy::start(host.peers)).collect::<Result<_, _>>()?;
        for (host, proxy) in rig.platform.state().hosts.lock().iter_mut().zip(&proxies) {
            host.peer = proxy.address();
        }
        let forwarded_bytes = || proxies.iter().map(Proxy::forwarded_bytes).sum::<u64>();
        thread::sleep(SETTLE_TIME);
        let calls = |kinds: &[&str]| {
            let calls = rig.platform.state().calls.lock();
            kinds.iter().map(|kind| calls.get(*kind).copied().unwrap_or(0)).sum::<u64>() as f64
        };
        let read_kinds = ["GET /objects", "GET /list", "GET /watch"];
        let write_kinds = ["PUT /objects", "DELETE /objects"];
        let all_cpu = || rig.hosts.iter().map(|host| cpu_seconds(host.id())).sum::<f64>() * 1e3;
        let before = (all_cpu(), forwarded_bytes(), calls(&read_kinds), calls(&write_kinds));
        thread::sleep(2 * SETTLE_TIME);
        let seconds = (2 * SETTLE_TIME).as_secs_f64();
        let size = count as f64;
        let point = |cost: f64| Point { size, cost };
        cpu.push(point((all_cpu() - before.0) / seconds / size));
        bytes.push(point(2.0 * (forwarded_bytes() - before.1) as f64 / 1e3 / seconds / size));
        reads.push(point((calls(&read_kinds) - before.2) / seconds));
        writes.push(point((calls(&write_kinds) - before.3) / seconds));
        memory.push(point(process::resident_bytes(rig.hosts[0].id()) as f64 / 1e6));
    }
    let per = "host";
    Ok(vec![
        Measurement::new(
            "host",
            "CPU at rest, ms/s a host",
            per,
            TARGET_HOSTS,
            Some(CPU_LIMIT_MS_PER_S),
            cpu,
        ),
        Measurement::new(
            "host",
            "greetings in and out, KB/s a host",
            per,
            TARGET_HOSTS,
            Some(BYTES_LIMIT_KB_PER_S),
            bytes,
        ),
        Measurement::new(
            "host",
            "memory, MB a host",
            per,
            TARGET_HOSTS,
            Some(MEMORY_LIMIT_MB),
            memory,
        ),
        Measurement::new(
            "host",
            "store reads/s at rest",
            per,
            TARGET_HOSTS,
            Some(READS_LIMIT_PER_S),
            reads,
        ),
        Measurement::new(
            "host",
            "store writes/s at rest",
            per,
            TARGET_HOSTS,
            Some(WRITES_LIMIT_PER_S),
            writes,
        ),
    ])
}
