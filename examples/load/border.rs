//! Overhead of a host, which is the router run as `wasabirouter run`: added time to the first byte,
//! CPU time per short call, and memory with many workspaces and open streams.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use serde_json::json;
use wasabi_config::keys;
use wasabi_standin::{
    caller::Call,
    engine::Profile,
    process::{cpu_seconds, resident_bytes, wait_until},
    rig::{Programs, Rig, Size},
};

use crate::gateway;

const WARM_UP_REQUESTS: usize = 50;
const MEASURED_REQUESTS: usize = 1_000;
const CALLERS: usize = 8;
const CALLS_PER_CALLER: usize = 1_000;
const STREAMS: usize = 500;
const WORKSPACES: usize = 22_000;
const WORKSPACES_PER_NOTE: usize = 2_000;

/// Runs all measurements and prints the results; the seed has no effect.
pub fn run(programs: &Programs, seed: u64) -> anyhow::Result<()> {
    println!("seed {seed} (nothing is drawn)");
    first_byte(programs)?;
    short_calls(programs)?;
    memory(programs)?;
    gateway::run(programs)
}

fn profile(slots: u32, token_interval: Duration) -> Profile {
    Profile { slots, first_token_delay: Duration::ZERO, token_interval }
}

fn first_byte(programs: &Programs) -> anyhow::Result<()> {
    let size = Size { profile: profile(64, Duration::ZERO), ..Size::default() };
    let rig = Rig::start(programs.clone(), &size)?;
    let call = Call::chat(&rig.sample.lab.secret, "costing", "hello", 2);
    let direct_call = Call { target: "/v1/chat/completions".to_string(), ..call.clone() };
    let (mut host_times, mut direct_times) = (Vec::new(), Vec::new());
    for i in 0..WARM_UP_REQUESTS + MEASURED_REQUESTS {
        let direct = time_to_first_byte(&direct_call, rig.engines[0].address())?;
        let via_host = time_to_first_byte(&call, rig.hosts[0].callers)?;
        if i >= WARM_UP_REQUESTS {
            direct_times.push(direct);
            host_times.push(via_host);
        }
    }
    for (name, times) in [("direct", &mut direct_times), ("through a host", &mut host_times)] {
        times.sort();
        let percentile =
            |percent: usize| times[times.len() * percent / 100].as_secs_f64() * 1_000.0;
        println!("first byte {name}: p50 {:.2} ms, p99 {:.2} ms", percentile(50), percentile(99));
    }
    let added_ms = |percent: usize| {
        let percentile =
            |times: &[Duration]| times[times.len() * percent / 100].as_secs_f64() * 1_000.0;
        percentile(&host_times) - percentile(&direct_times)
    };
    println!(
        "added: p50 {:.2} ms, p99 {:.2} ms (target: p99 at most 2 ms)",
        added_ms(50),
        added_ms(99)
    );
    Ok(())
}

fn time_to_first_byte(call: &Call, address: SocketAddr) -> anyhow::Result<Duration> {
    let began = Instant::now();
    let mut pending = call.send(address)?;
    pending.wait_first_chunk()?;
    let elapsed = began.elapsed();
    pending.read_rest();
    Ok(elapsed)
}

fn short_calls(programs: &Programs) -> anyhow::Result<()> {
    let rig = Rig::start(programs.clone(), &Size { services: 3, ..Size::default() })?;
    let host = &rig.hosts[0];
    let cpu_before = cpu_seconds(host.id());
    let began = Instant::now();
    let failed: usize = thread::scope(|scope| {
        let spawn_caller = |_| {
            scope.spawn(|| {
                let call = Call::get("/status/short");
                (0..CALLS_PER_CALLER)
                    .filter(|_| !call.fetch(host.callers).is_ok_and(|a| a.status == 200))
                    .count()
            })
        };
        let callers: Vec<_> = (0..CALLERS).map(spawn_caller).collect();
        callers.into_iter().map(|caller| caller.join().expect("no panic")).sum()
    });
    let calls = CALLERS * CALLS_PER_CALLER;
    let seconds = began.elapsed().as_secs_f64();
    let cpu = cpu_seconds(host.id()) - cpu_before;
    println!("short calls: {calls} in {seconds:.1} s, {failed} failed");
    println!(
        "a core carries {:.0} /s (target: at least 1,000), {:.0} us of CPU a call",
        calls as f64 / cpu,
        1e6 * cpu / calls as f64
    );
    Ok(())
}

fn memory(programs: &Programs) -> anyhow::Result<()> {
    let slots = STREAMS as u32;
    let size = Size { profile: profile(slots, Duration::from_millis(500)), ..Size::default() };
    let rig = Rig::start(programs.clone(), &size)?;
    let host = &rig.hosts[0];
    let empty_bytes = resident_bytes(host.id());
    for start in (0..WORKSPACES).step_by(WORKSPACES_PER_NOTE) {
        let names = start..start + WORKSPACES_PER_NOTE;
        let key = |i: usize| {
            let key = keys::fresh();
            json!({"name": key.name, "workspace": format!("w{i}"), "digest": key.digest})
        };
        let keys: Vec<_> = names.clone().flat_map(|i| [key(i), key(i)]).collect();
        let workspaces: Vec<_> = names.map(|i| json!({"name": format!("w{i}")})).collect();
        let added = json!({"workspaces": workspaces, "keys": keys});
        rig.apply(&json!({"id": format!("many-{start}"), "base": 1, "added": added}))?;
    }
    let notes = (WORKSPACES / WORKSPACES_PER_NOTE) as u64;
    rig.wait_revision(host, 1 + notes)?;
    let configured_bytes = resident_bytes(host.id());
    let call = Call::chat(&rig.sample.lab.secret, "costing", "long", 100_000);
    let streams =
        (0..STREAMS).map(|_| call.send(host.callers)).collect::<anyhow::Result<Vec<_>>>()?;
    wait_until("all streams run", || rig.engines[0].running() == slots)?;
    let streaming_bytes = resident_bytes(host.id());
    drop(streams);
    let megabytes = |bytes: u64| bytes as f64 / 1e6;
    println!("memory: {:.1} MB empty", megabytes(empty_bytes));
    println!(
        "memory: {:.1} MB with {WORKSPACES} workspaces of 2 keys",
        megabytes(configured_bytes)
    );
    println!(
        "memory: {:.1} MB with {STREAMS} open streams besides (target: at most 128 MB)",
        megabytes(streaming_bytes)
    );
    Ok(())
}
