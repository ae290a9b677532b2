//! Times of what is agreed, on 7 hosts with their default settings: a note until it is in force,
//! a withdrawal until the last byte, roles until they are taken over, and calls to the store.
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
const BURST: u64 = 50;
const REST: Duration = Duration::from_secs(10);
const SETTLE_MS: u64 = 5_000;

fn main() -> anyhow::Result<()> {
    let mut rig = start()?;
    in_force(&rig)?;
    withdrawal(&rig)?;
    calls(&rig)?;
    take_over(&mut rig)
}

fn programs() -> anyhow::Result<Programs> {
    let here = std::env::current_exe()?;
    let folder = here.parent().and_then(|folder| folder.parent()).context("no folder")?;
    Ok(Programs { router: folder.join("wasabirouter"), ctl: folder.join("wasabictl") })
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

fn workspace(id: &str) -> Value {
    json!({"id": id, "base": 1, "added": {"workspaces": [{"name": id}]}})
}

fn in_force(rig: &Rig) -> anyhow::Result<()> {
    rig.apply(&workspace("quiet"))?;
    let accepted = Instant::now();
    wait_in_force(rig, 2)?;
    println!("| a note, quiet, until in force on the slowest of 7 | {} ms |", ms(accepted));

    for i in 0..BURST {
        rig.apply(&workspace(&format!("burst-{i}")))?;
    }
    let accepted = Instant::now();
    wait_in_force(rig, 2 + BURST)?;
    println!("| the last of a burst of {BURST} notes | {} ms |", ms(accepted));

    // One host sees the note, then the store is down for all.
    rig.apply(&workspace("down"))?;
    let accepted = Instant::now();
    wait_until("one host has it", || {
        rig.hosts
            .iter()
            .any(|host| host.dump().is_ok_and(|dump| dump["revision"].as_u64() == Some(3 + BURST)))
    })?;
    rig.platform.fault(|faults| faults.down = true);
    wait_in_force(rig, 3 + BURST)?;
    println!("| a note with the store down once one host has it | {} ms |", ms(accepted));
    rig.platform.fault(|faults| faults.down = false);
    Ok(())
}

fn withdrawal(rig: &Rig) -> anyhow::Result<()> {
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

fn calls(rig: &Rig) -> anyhow::Result<()> {
    let counts = || rig.platform.state().calls.lock().clone();
    let print = |what: &str, before: BTreeMap<String, u64>, seconds: f64| {
        for (kind, count) in counts() {
            let rate = (count - before.get(&kind).copied().unwrap_or(0)) as f64 / seconds;
            println!("| calls, {what}: {kind} | {rate:.1} /s |");
        }
    };
    let before = counts();
    thread::sleep(REST);
    print("at rest", before, REST.as_secs_f64());
    let before = counts();
    let began = Instant::now();
    let call = Call::chat(&rig.sample.office.secret, "costing", "load", 10);
    thread::scope(|scope| {
        for host in &rig.hosts {
            scope.spawn(|| {
                while began.elapsed() < REST {
                    let _ = call.stream(host.callers);
                }
            });
        }
    });
    print("under load", before, began.elapsed().as_secs_f64());
    Ok(())
}

fn holder(rig: &Rig, role: &str) -> String {
    let object = rig.platform.state().objects.get(&format!("lease/{role}"));
    let value: Value =
        object.map_or(Value::Null, |o| serde_json::from_str(&o.value).unwrap_or_default());
    value["holder"]["incarnation"].as_str().unwrap_or_default().to_string()
}

fn take_over(rig: &mut Rig) -> anyhow::Result<()> {
    for role in ["usage", "upkeep", "orders"] {
        wait_until("the role is held", || !holder(rig, role).is_empty())?;
        let old = holder(rig, role);
        let place = rig.hosts.iter().position(|host| host.log_text().contains(&old));
        let place = place.context("the holder is not among the hosts")?;
        let name = old.split(':').next().unwrap_or_default().to_string();
        rig.hosts[place].kill();
        let killed = Instant::now();
        rig.unlist_host(&name);
        rig.hosts.remove(place);
        wait_until("another holds the role", || {
            let new = holder(rig, role);
            !new.is_empty() && new != old
        })?;
        println!(
            "| {role} after its holder was killed, host_settle {SETTLE_MS} ms | {} ms |",
            ms(killed)
        );
    }
    Ok(())
}

fn ms(since: Instant) -> u128 {
    since.elapsed().as_millis()
}
