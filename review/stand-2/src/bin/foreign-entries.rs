//! Another writer stores entries among those of the engines that lack fields. They name no engine to use; the service has
//! to go on, and to come back after a final fault.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    process::ExitCode,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use review_stand_2::{Host, PROGRAM, Record, engine::Engine, has_trouble};
use serde_json::json;
use wasabi_stand::{caller::Request, rig::Rig, store::Fault};

/// How long the store takes for an answer, as the small deployments' sheets have it.
const STORE_ANSWERS: Fault = Fault::Slow(Duration::from_millis(4));
/// `recovery_s` of the sheets.
const RECOVERY: Duration = Duration::from_secs(12);
/// How long the processes are down in the final fault.
const DOWN: Duration = Duration::from_millis(700);
/// The time from one request to the next.
const SPACING: Duration = Duration::from_millis(25);
/// Entries of the other writer for each engine.
const COPIES: usize = 1;

fn main() -> ExitCode {
    match play() {
        Ok(false) => ExitCode::from(0),
        Ok(true) => ExitCode::from(1),
        Err(e) => {
            eprintln!("the case could not run: {e:#}");
            ExitCode::from(2)
        }
    }
}

/// Whether the other writer stores entries; `TROUBLE=kill` plays the final fault alone.
fn has_entries() -> bool {
    has_trouble() && std::env::var("TROUBLE").map_or(true, |value| value != "kill")
}

/// Sends `count` requests, unsafe and safe ones in turn, to all hosts in turn; returns how many were served.
fn ask(
    record: &Record,
    engines: &[Arc<Engine>],
    hosts: &[SocketAddr],
    name: &str,
    count: usize,
) -> usize {
    let began = Instant::now();
    let requests: Vec<_> = (0..count)
        .map(|n| {
            thread::sleep(SPACING);
            let (method, path) = if n % 4 < 2 { ("POST", "/write/x") } else { ("GET", "/read/x") };
            let request = Request {
                deadline: Duration::from_secs(4),
                ..Request::new(method, path, &format!("{name}{n}"))
            };
            let to = hosts[n % hosts.len()];
            thread::spawn(move || request.send(to).map_or(0, |answer| answer.status))
        })
        .collect();
    let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
    for request in requests {
        *statuses.entry(request.join().expect("no panic")).or_default() += 1;
    }
    let served = statuses.get(&200).copied().unwrap_or(0);
    let arrivals = engines.iter().flat_map(|engine| engine.arrivals());
    let arrivals: Vec<_> = arrivals.filter(|a| a.at >= began && a.id.starts_with(name)).collect();
    let ran = arrivals.iter().filter(|arrival| arrival.ran).count();
    record.line(format!(
        "{name}: {count} requests in {} ms, {served} served; statuses {statuses:?}; they reached engines {} times ({} times answered 421) and ran {ran} times",
        began.elapsed().as_millis(), arrivals.len(),
        arrivals.iter().filter(|arrival| arrival.status == 421).count()
    ));
    served
}

fn play() -> anyhow::Result<bool> {
    let record = Record::begin()?;
    let rig = Rig::start(PROGRAM)?;
    // In place of the rig's plain servers, engines as the pages have them: they answer 421 to what names another one.
    ["p1", "p2"].iter().for_each(|id| rig.store.remove("servers", id));
    let engines = ["i-1", "i-2", "i-3"]
        .iter()
        .map(|id| Engine::start(rig.runtime.handle(), id))
        .collect::<anyhow::Result<Vec<_>>>()?;
    for engine in &engines {
        rig.store.put("servers", &engine.id, engine.entry("app"));
    }
    rig.store.set_fault(STORE_ANSWERS);
    let mut hosts = ["g1", "g2"]
        .iter()
        .map(|name| Host::new(name, "d1", rig.store_address, rig.duties_address))
        .collect::<anyhow::Result<Vec<_>>>()?;
    hosts.iter_mut().try_for_each(Host::start)?;
    hosts.iter().try_for_each(Host::wait_ready)?;
    let addresses: Vec<_> = hosts.iter().map(|host| host.addresses.callers).collect();
    thread::sleep(Duration::from_secs(2));
    record.line("two hosts are ready; i-1, i-2 and i-3 are the engines of the service `app`");
    let before = ask(&record, &engines, &addresses, "before", 200);
    if has_entries() {
        for engine in &engines {
            for copy in 0..COPIES {
                // Without `version`, `cold_remaining_ms`, `sequence` and `born`.
                let entry = json!({"service": "app", "address": engine.address.to_string(), "zone": "d1",
                    "slots": 6, "state": "ready"});
                let name = format!("budget-app-{}-{copy}", engine.id);
                record.line(format!("another writer stores {name}: {entry} (disruption)"));
                rig.store.put("servers", &name, entry);
            }
        }
        thread::sleep(Duration::from_millis(1_500));
    }
    let beside = ask(&record, &engines, &addresses, "beside", 100);
    if has_trouble() {
        hosts.iter_mut().for_each(Host::kill);
        record.line("all processes are killed (final fault)");
        thread::sleep(DOWN);
        hosts.iter_mut().try_for_each(Host::start)?;
        record.line("the processes have started again");
    }
    let back = Instant::now();
    thread::sleep(RECOVERY);
    let ready = hosts.iter().map(|host| host.wait_ready().is_ok()).collect::<Vec<_>>();
    anyhow::ensure!(back.elapsed() >= RECOVERY, "too early");
    let after = ask(&record, &engines, &addresses, "after", 200);
    let before = before + beside;
    record.line(format!(
        "before the final fault {before} of 300 requests were served, later than {} s after it {after} of 200; ready: {ready:?}",
        RECOVERY.as_secs()
    ));
    Ok(before * 4 >= 300 && after * 4 < 200)
}
