//! Measurements within this process.

use std::time::Instant;

use serde_json::json;
use wasabi_config::{keys, log, parse, state::State};
use wasabi_core::{
    io::{self, UsageLine, UsageTotals},
    note::Pool,
    units::Revision,
};
use wasabi_fleet::plan::{Demand, Inventory, Options, Planner};
use wasabi_standin::{
    process::resident_bytes,
    slopes::{Measurement, Point},
};
use wasabi_usage::flush::Flush;

const WORKSPACE_COUNTS: [usize; 4] = [2_000, 5_000, 10_000, 20_000];
const TARGET_WORKSPACES: f64 = 22_000.0;
const KEYS_PER_WORKSPACE: usize = 2;
const MEMORY_LIMIT_MB: f64 = 128.0;
const ENGINE_COUNTS: [usize; 4] = [100, 200, 400, 800];
const TARGET_ENGINES: f64 = 770.0;
const ACTIVE_WORKSPACES: [usize; 4] = [10, 50, 200, 1_000];
/// Active workspaces of a host between two flushes: at most one per request, at 9.2 requests/s and
/// a flush every 10 s.
const TARGET_ACTIVE: f64 = 92.0;
const REPETITIONS: u32 = 20;

/// Returns a configuration with this many workspaces and their keys.
fn state_with(workspaces: usize) -> State {
    let key = |i: usize| {
        let key = keys::fresh();
        json!({"name": key.name, "workspace": format!("w{i}"), "digest": key.digest})
    };
    let names: Vec<_> = (0..workspaces).map(|i| json!({"name": format!("w{i}")})).collect();
    let keys: Vec<_> =
        (0..workspaces * KEYS_PER_WORKSPACE).map(|i| key(i / KEYS_PER_WORKSPACE)).collect();
    let note = json!({"id": "n", "base": 0, "added": {"workspaces": names, "keys": keys}});
    let note = parse::note(&note.to_string()).expect("the note is valid");
    let mut state = State::default();
    state.apply(Revision(1), &note, log::digest(&note)).expect("the first revision");
    state
}

/// Memory, snapshot size and the time to apply a note, against the number of workspaces.
pub fn config() -> anyhow::Result<Vec<Measurement>> {
    let (mut memory, mut snapshot, mut apply) = (Vec::new(), Vec::new(), Vec::new());
    // Keeps all states alive, so that no measurement reuses freed memory.
    let mut states = Vec::new();
    for workspaces in WORKSPACE_COUNTS {
        let size = workspaces as f64;
        let before = resident_bytes(std::process::id());
        let state = state_with(workspaces);
        let after = resident_bytes(std::process::id());
        memory.push(Point { size, cost: after.saturating_sub(before) as f64 / 1e6 });
        snapshot.push(Point { size, cost: io::render(&state).len() as f64 / 1e6 });
        let note = json!({"id": "m", "base": 1, "added": {"workspaces": [{"name": "one-more"}]}});
        let note = parse::note(&note.to_string()).expect("the note is valid");
        let began = Instant::now();
        for _ in 0..REPETITIONS {
            let mut next = state.clone();
            next.apply(Revision(2), &note, log::digest(&note)).expect("the next revision");
        }
        let cost = began.elapsed().as_secs_f64() * 1e3 / f64::from(REPETITIONS);
        apply.push(Point { size, cost });
        states.push(state);
    }
    let per = "workspace of 2 keys";
    let limit = Some(MEMORY_LIMIT_MB);
    Ok(vec![
        Measurement::new("config", "memory, MB", per, TARGET_WORKSPACES, limit, memory),
        Measurement::new("config", "snapshot, MB", per, TARGET_WORKSPACES, None, snapshot),
        Measurement::new("config", "to apply a note, ms", per, TARGET_WORKSPACES, None, apply),
    ])
}

/// Size of a usage flush, against the number of active workspaces.
pub fn usage() -> anyhow::Result<Vec<Measurement>> {
    let points = ACTIVE_WORKSPACES.map(|active| {
        let line = |i: usize| UsageLine {
            workspace: format!("workspace-{i}").parse().expect("a name"),
            figures: UsageTotals { requests: 3, ..UsageTotals::default() },
        };
        let flush = Flush {
            incarnation: "host-100:0123456789abcdef".parse().expect("a name"),
            number: 1,
            until_ms: 1,
            lines: (0..active).map(line).collect(),
        };
        Point { size: active as f64, cost: io::render(&flush).len() as f64 / 1e3 }
    });
    let per = "active workspace";
    // 2 KB/s over the 10 s between flushes.
    let limit = Some(20.0);
    Ok(vec![Measurement::new(
        "usage",
        "a flush every 10 s, KB",
        per,
        TARGET_ACTIVE,
        limit,
        points.to_vec(),
    )])
}

/// Time of a planning step, against the number of servers in the pool.
pub fn fleet() -> anyhow::Result<Vec<Measurement>> {
    let points = ENGINE_COUNTS.map(|engines| {
        let provisioned = |i: usize| {
            json!({"server": {"name": format!("s{i}"), "address": "127.0.0.1:1",
                              "domain": format!("d{}", i % 10), "cheap": i < engines / 2, "slots": 8},
                   "pool": "p", "phase": "live"})
        };
        let servers: Vec<_> = (0..engines).map(provisioned).collect();
        let servers =
            serde_json::from_value::<Vec<io::ProvisionedServer>>(json!(servers)).expect("servers");
        let pool = json!({"name": "p", "model": "m", "servers": [],
                          "elastic": {"min": 1, "max": 2_000, "domains": ["d0", "d1"]}});
        let pool: Pool = serde_json::from_value(pool).expect("a pool");
        let inventory = Inventory { rented: &servers, pending_starts: 0, draining: &[] };
        let mut planner = Planner::default();
        let demand = Demand { tiers: [100, 100, 100, engines as u32 * 8] };
        let began = Instant::now();
        for _ in 0..REPETITIONS {
            planner.step(began, &Options::default(), &pool, demand, &inventory);
        }
        Point {
            size: engines as f64,
            cost: began.elapsed().as_secs_f64() * 1e6 / f64::from(REPETITIONS),
        }
    });
    let per = "backend server";
    Ok(vec![Measurement::new(
        "fleet",
        "to plan a step, us",
        per,
        TARGET_ENGINES,
        None,
        points.to_vec(),
    )])
}
