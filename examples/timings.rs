//! Measures on 7 hosts, with default times except `host_settle_ms`: the time until a release note
//! is in force, from the withdrawal of a key until the last byte of its streams, and until
//! a role is taken over; and the rate of calls to the platform.
//!
//! `cargo run --release --example timings`; build the programs first: `cargo build --release`.
#![forbid(unsafe_code)]

use std::{
    collections::BTreeMap,
    thread,
    time::{Duration, Instant},
};

use anyhow::Context as _;
use serde_json::{Value, json};
use wasabi_standin::{
    caller::Call,
    process::wait_until,
    rig::{Programs, Rig, Size},
};

const HOSTS: usize = 7;
/// Number of notes in the burst.
const BURST: u64 = 50;
/// Time over which calls are counted, without load and then under load.
const COUNTING_TIME: Duration = Duration::from_secs(10);
const SETTLE_MS: u64 = 5_000;

fn main() -> anyhow::Result<()> {
    let mut rig = start()?;
    measure_notes(&rig)?;
    measure_withdrawal(&rig)?;
    measure_calls(&rig)?;
    measure_takeover(&mut rig)
}

fn programs() -> anyhow::Result<Programs> {
    let executable = std::env::current_exe()?;
    let directory = executable
        .parent()
        .and_then(|directory| directory.parent())
        .context("the executable has no parent directory")?;
    Ok(Programs { router: directory.join("wasabirouter"), ctl: directory.join("wasabictl") })
}

fn start() -> anyhow::Result<Rig> {
    let size = Size { hosts: 0, engines: 3, ..Size::default() };
    let mut rig = Rig::start(programs()?, &size)?;
    for i in 0..HOSTS {
        let name = format!("host-{i}");
        let mut settings = rig.settings(&name);
        settings["times"] = json!({"host_settle_ms": SETTLE_MS});
        rig.add_host_with(&name, &settings)?;
    }
    wait_in_force(&rig, 1)?;
    wait_until("the hosts know each other", || {
        rig.hosts.iter().all(|host| {
            let dump = host.dump().unwrap_or_default();
            dump["hosts"].as_array().is_some_and(|hosts| hosts.len() == HOSTS)
        })
    })?;
    Ok(rig)
}

fn wait_in_force(rig: &Rig, revision: u64) -> anyhow::Result<()> {
    rig.hosts.iter().try_for_each(|host| rig.wait_revision(host, revision))
}

/// Returns a note with this id, which adds a workspace of that name.
fn workspace_note(id: &str) -> Value {
    json!({"id": id, "base": 1, "added": {"workspaces": [{"name": id}]}})
}

fn measure_notes(rig: &Rig) -> anyhow::Result<()> {
    rig.apply(&workspace_note("quiet"))?;
    let accepted = Instant::now();
    wait_in_force(rig, 2)?;
    println!("| a note, quiet, until in force on the slowest of 7 | {} ms |", ms(accepted));

    for i in 0..BURST {
        rig.apply(&workspace_note(&format!("burst-{i}")))?;
    }
    let accepted = Instant::now();
    wait_in_force(rig, 2 + BURST)?;
    println!("| the last of a burst of {BURST} notes | {} ms |", ms(accepted));

    // Once one host has the note, the platform fails for all of them; the others must get it from
    // peers.
    rig.apply(&workspace_note("down"))?;
    let accepted = Instant::now();
    wait_until("one host has it", || {
        rig.hosts
            .iter()
            .any(|host| host.dump().is_ok_and(|dump| dump["revision"].as_u64() == Some(3 + BURST)))
    })?;
    rig.platform.update_faults(|faults| faults.down = true);
    wait_in_force(rig, 3 + BURST)?;
    println!("| a note with the store down once one host has it | {} ms |", ms(accepted));
    rig.platform.update_faults(|faults| faults.down = false);
    Ok(())
}

fn measure_withdrawal(rig: &Rig) -> anyhow::Result<()> {
    let call = Call::chat(&rig.sample.lab.secret, "costing", "long", 1_000_000);
    let streams: Vec<_> =
        rig.hosts.iter().map(|host| call.send(host.callers)).collect::<Result<_, _>>()?;
    wait_until("the streams run", || {
        rig.engines.iter().map(|engine| engine.running()).sum::<u32>() == HOSTS as u32
    })?;
    let key = &rig.sample.lab.name;
    rig.apply(&json!({"id": "withdraw", "base": 3 + BURST, "withdrawn": {"keys": [key]}}))?;
    let accepted = Instant::now();
    streams.into_iter().for_each(|stream| drop(stream.stream()));
    println!("| a withdrawal until the last byte of 7 streams | {} ms |", ms(accepted));
    Ok(())
}

/// Counts the calls to the platform by kind, without load and under load.
fn measure_calls(rig: &Rig) -> anyhow::Result<()> {
    let counts = || rig.platform.state().calls.lock().clone();
    let print_rates = |phase: &str, before: BTreeMap<String, u64>, seconds: f64| {
        for (kind, count) in counts() {
            let rate = (count - before.get(&kind).copied().unwrap_or(0)) as f64 / seconds;
            println!("| calls, {phase}: {kind} | {rate:.1} /s |");
        }
    };
    let before = counts();
    thread::sleep(COUNTING_TIME);
    print_rates("at rest", before, COUNTING_TIME.as_secs_f64());
    let before = counts();
    let began = Instant::now();
    let call = Call::chat(&rig.sample.office.secret, "costing", "load", 10);
    thread::scope(|scope| {
        for host in &rig.hosts {
            scope.spawn(|| {
                while began.elapsed() < COUNTING_TIME {
                    let _ = call.stream(host.callers);
                }
            });
        }
    });
    print_rates("under load", before, began.elapsed().as_secs_f64());
    Ok(())
}

/// Returns the incarnation that holds a role, empty if none does.
fn holder_of(rig: &Rig, role: &str) -> String {
    let object = rig.platform.state().objects.get(&format!("lease/{role}"));
    let value: Value =
        object.map_or(Value::Null, |o| serde_json::from_str(&o.value).unwrap_or_default());
    value["holder"]["incarnation"].as_str().unwrap_or_default().to_string()
}

fn measure_takeover(rig: &mut Rig) -> anyhow::Result<()> {
    for role in ["usage", "upkeep", "orders"] {
        wait_until("the role is held", || !holder_of(rig, role).is_empty())?;
        let old = holder_of(rig, role);
        let position = rig.hosts.iter().position(|host| host.log_text().contains(&old));
        let position = position.context("the holder is not among the hosts")?;
        let name = old.split(':').next().unwrap_or_default().to_string();
        rig.hosts[position].kill();
        let killed = Instant::now();
        rig.unregister_host(&name);
        rig.hosts.remove(position);
        wait_until("another holds the role", || {
            let new = holder_of(rig, role);
            !new.is_empty() && new != old
        })?;
        println!(
            "| {role} after its holder was killed, host_settle {SETTLE_MS} ms | {} ms |",
            ms(killed)
        );
    }
    Ok(())
}

/// Returns the milliseconds since an instant.
fn ms(since: Instant) -> u128 {
    since.elapsed().as_millis()
}
