//! A fleet that is large enough for hosts to pass announcements on and to share reads of the store.

use std::{
    thread,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use serde_json::json;
use wasabi_stand::{
    gateway::{self, Gateway, older_program, wait_for},
    rig::Rig,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");
static FLEET: Mutex<()> = Mutex::new(());
const DOMAINS: usize = 4;
/// Two more than `renewal::LARGE_FLEET_HOSTS`.
const HOSTS: usize = 32;
/// The time in which a change has to be in force.
const CHANGE_LIMIT: Duration = Duration::from_secs(3);

/// The rates of the store, in calls a second.
const WRITE_RATE: usize = 400;
const READ_RATE: usize = 2_000;

fn launch(rig: &Rig, program: &str, number: usize) -> anyhow::Result<Gateway> {
    let addresses = gateway::pick_ports()?;
    let name = format!("g{number}");
    let mut settings = gateway::settings(&name, &addresses, rig.store_address, rig.duties_address);
    settings["domain"] = json!(format!("d{}", number % DOMAINS));
    Gateway::start(program.as_ref(), addresses, &settings)
}

fn metric(gateway: &Gateway, name: &str) -> Option<f64> {
    let page = gateway.page("/metrics").ok()?;
    let line = page.lines().find(|line| line.split(' ').next() == Some(name))?;
    line.split(' ').next_back()?.parse().ok()
}

/// Starts a fleet whose hosts run these programs in turn.
fn assert_all_hear_and_learn(programs: &[&str]) -> anyhow::Result<()> {
    // Two such fleets at once are too many processes.
    let _one_at_a_time = FLEET.lock();
    let rig = Rig::start(PROGRAM)?;
    let mut hosts = Vec::new();
    for number in 0..HOSTS {
        hosts.push(launch(&rig, programs[number % programs.len()], number)?);
    }
    for host in &hosts {
        host.wait_ready()?;
    }
    let all_live =
        || hosts.iter().all(|host| metric(host, "wasabi_live_hosts") == Some(HOSTS as f64));
    wait_for("all hosts to hear each other", all_live)?;
    // No host is lost from sight while announcements between domains go over others.
    let until = Instant::now() + Duration::from_secs(5);
    while Instant::now() < until {
        for host in &hosts {
            assert_eq!(metric(host, "wasabi_live_hosts"), Some(HOSTS as f64));
        }
    }

    let calls = rig.store.calls();
    let changed = Instant::now();
    rig.configure(2, |_| {});
    rig.store.put("servers", "p1", rig.server("p1").store_object(rig.servers[2].1, "draining"));
    let known = |host: &Gateway| {
        metric(host, "wasabi_config_version") == Some(2.0)
            && host.log_lines("backend servers changed").iter().any(|line| line["draining"] == 1)
    };
    wait_for("the changes", || hosts.iter().all(known))?;
    let took = changed.elapsed();
    assert!(took <= CHANGE_LIMIT, "{took:?}");
    let reads = rig.store.calls() - calls;
    assert!(reads < HOSTS as u64, "{reads} calls for two changes on {HOSTS} hosts in {took:?}");
    Ok(())
}

#[test]
fn hosts_of_a_large_fleet_hear_each_other_and_learn_changes_with_few_reads() -> anyhow::Result<()> {
    assert_all_hear_and_learn(&[PROGRAM])
}

/// Three hosts in turn, over four domains: each domain has hosts of both builds that pass announcements on.
#[test]
fn beside_the_older_build_hosts_of_a_large_fleet_hear_each_other() -> anyhow::Result<()> {
    let older = older_program(PROGRAM)?;
    assert_all_hear_and_learn(&[PROGRAM, &older, PROGRAM])
}

/// Returns the most calls of a kind in any second.
fn peak_rate(arrivals: &[(Instant, bool)], writes: bool) -> usize {
    let times: Vec<Instant> =
        arrivals.iter().filter(|(_, write)| *write == writes).map(|(at, _)| *at).collect();
    let in_second_from = |from: Instant| {
        times.iter().filter(|at| (from..from + Duration::from_secs(1)).contains(*at)).count()
    };
    times.iter().map(|from| in_second_from(*from)).max().unwrap_or(0)
}

#[test]
fn what_a_restored_store_has_lost_is_written_again_within_its_rates() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let backup = rig.store.backup();
    let mut hosts = Vec::new();
    for number in 0..HOSTS {
        hosts.push(launch(&rig, PROGRAM, number)?);
    }
    for host in &hosts {
        host.wait_ready()?;
    }
    let is_listed = |number: usize| rig.store.get("gateways", &format!("g{number}")).is_some();
    let all_listed = || (0..HOSTS).all(is_listed);
    wait_for("the records", all_listed)?;
    let all_live =
        || hosts.iter().all(|host| metric(host, "wasabi_live_hosts") == Some(HOSTS as f64));
    wait_for("all hosts to hear each other", all_live)?;

    let restored = Instant::now();
    let others = rig.store.restore(&backup);
    rig.store.rewrite(others);
    assert!(!(0..HOSTS).any(is_listed));
    wait_for("the records again", all_listed)?;
    let took = restored.elapsed();
    thread::sleep(CHANGE_LIMIT.saturating_sub(took));
    let arrivals = rig.store.arrivals(restored);
    let (writes, reads) = (peak_rate(&arrivals, true), peak_rate(&arrivals, false));
    println!(
        "{HOSTS} hosts: all records in {took:?}; at most {writes} writes and {reads} reads a second"
    );
    assert!(took <= CHANGE_LIMIT, "{took:?}");
    assert!(writes <= WRITE_RATE && reads <= READ_RATE, "{writes} writes, {reads} reads a second");
    Ok(())
}
