//! The store comes back from an older copy during a release; later all hosts lose power. Streams must go on only
//! at the software version that began them.

use std::{
    collections::BTreeSet,
    process::ExitCode,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use review_stand_2::{Host, PROGRAM, Record, has_trouble};
use serde_json::json;
use wasabi_stand::{
    caller::{self, Request, Response},
    rig::Rig,
    store::Fault,
};

/// How long the store takes for an answer.
const STORE_ANSWERS: Fault = Fault::Slow(Duration::from_millis(4));
/// Streams that begin, one each [`SPACING`], until the hosts are killed.
const STREAMS: usize = 240;
const SPACING: Duration = Duration::from_millis(5);
/// The time from one event of an engine to the next.
const EVENT_INTERVAL: Duration = Duration::from_millis(100);

/// Whether the store is restored; `TROUBLE=kill` plays the loss of the hosts alone.
fn restores() -> bool {
    has_trouble() && std::env::var("TROUBLE").map_or(true, |value| value != "kill")
}

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

fn play() -> anyhow::Result<bool> {
    let record = Arc::new(Record::begin()?);
    let mut rig = Rig::start(PROGRAM)?;
    // 18 engines in the end, as many as the small deployment has.
    for number in 3..=9 {
        rig.add_slow_engine(&format!("e{number}"), EVENT_INTERVAL)?;
    }
    // As the small deployments' sheets have it.
    rig.store.set_fault(STORE_ANSWERS);
    // As many requests at once as the small deployment's engines take.
    rig.configure(2, |config| config["services"][0]["engine"]["slots"] = json!(64));
    let mut hosts = ["g1", "g2"]
        .iter()
        .map(|name| Host::new(name, "d1", rig.store_address, rig.duties_address))
        .collect::<anyhow::Result<Vec<_>>>()?;
    hosts.iter_mut().try_for_each(Host::start)?;
    hosts.iter().try_for_each(Host::wait_ready)?;
    record.line("two hosts are ready; engines e1 to e9 of version v1");
    thread::sleep(Duration::from_secs(2));
    let copy = rig.store.backup();
    record.line("the store's copy is made");
    for number in 1..=9 {
        let id = format!("f{number}");
        rig.add_slow_engine(&id, EVENT_INTERVAL)?;
        rig.set_version(&id, "v2");
    }
    record.line("engines f1 to f9 of version v2 have registered");
    thread::sleep(Duration::from_secs(3));
    record.line(format!(
        "record of versions in the store: {}",
        rig.store.get("stream-versions", "services").unwrap_or_default()
    ));
    if restores() {
        rig.store.set_fault(Fault::Busy);
        thread::sleep(Duration::from_millis(500));
        let others = rig.store.restore(&copy);
        rig.store.set_fault(STORE_ANSWERS);
        record.line("the store is back from the copy (disruption)");
        thread::sleep(Duration::from_millis(1_000));
        rig.store.rewrite(others);
        record.line("operator and engines have written again");
    }
    let pause: u64 = std::env::var("PAUSE_S").ok().and_then(|s| s.parse().ok()).unwrap_or(8);
    thread::sleep(Duration::from_secs(pause));
    record.line(format!(
        "record of versions in the store: {}",
        rig.store.get("stream-versions", "services").unwrap_or_default()
    ));
    // Streams begin, spread over half a second.
    let begun: Vec<_> = (0..STREAMS)
        .map(|n| {
            let to = hosts[n % 2].addresses.callers;
            thread::sleep(SPACING);
            thread::spawn(move || -> anyhow::Result<Response> {
                let id = format!("s{n}");
                let mut stream = Request::new("POST", &format!("/chat/{id}"), &id).open(to)?;
                caller::read(&mut stream)
            })
        })
        .collect();
    thread::sleep(EVENT_INTERVAL * 3 / 2);
    if has_trouble() {
        hosts.iter_mut().for_each(Host::kill);
        record.line("both hosts are killed (disruption)");
    }
    let killed = Instant::now();
    let begun: Vec<_> = begun.into_iter().map(|t| t.join().expect("no panic")).collect();
    thread::sleep(Duration::from_millis(500).saturating_sub(killed.elapsed()));
    if has_trouble() {
        hosts.iter_mut().try_for_each(Host::start)?;
        hosts.iter().try_for_each(Host::wait_ready)?;
        record.line("both hosts have started again");
    }
    let mut mixed = 0;
    let mut went_on = 0;
    let taken_up: Vec<_> = begun
        .iter()
        .enumerate()
        .map(|(n, response)| {
            let last = response.as_ref().ok().and_then(|r| r.event_ids().last().copied());
            let last = last.filter(|_| response.as_ref().is_ok_and(|r| !r.complete));
            let to = hosts[n % 2].addresses.callers;
            thread::spawn(move || {
                let (id, again) = (format!("s{n}"), format!("s{n}-again"));
                let path = format!("/chat/{id}");
                let answer = last.map(|last| Request::resume(&path, &again, &id, last).send(to));
                (n, last, answer.map(|answer| answer.unwrap_or_default()))
            })
        })
        .collect();
    for thread in taken_up {
        let (n, last, answer) = thread.join().expect("no panic");
        let id = format!("s{n}");
        let Some(last) = last else {
            record.line(format!("{id}: complete, or no event before the end of its host"));
            continue;
        };
        let answer = answer.unwrap_or_default();
        let (status, more) = (answer.status, answer.event_ids());
        let bodies = [begun[n].as_ref().map_or("", |first| &first.body), &answer.body];
        let versions: BTreeSet<String> =
            bodies.iter().flat_map(|body| versions_in(&rig, body)).collect();
        went_on += usize::from(status == 200);
        mixed += usize::from(versions.len() > 1);
        record.line(format!(
            "{id}: events up to {last}, taken up: {status} {more:?}, holds events of {versions:?}"
        ));
    }
    record.line(format!("{went_on} streams went on, {mixed} of them hold events of two versions"));
    Ok(mixed > 2)
}

/// The software versions of the engines that have sent the events in a body. Each event names its engine.
fn versions_in(rig: &Rig, body: &str) -> BTreeSet<String> {
    let engines =
        body.lines().filter_map(|line| line.strip_prefix("data: event ")?.split(" of ").nth(1));
    let entries = engines.filter_map(|engine| rig.store.get("servers", engine));
    entries.filter_map(|entry| entry["version"].as_str().map(str::to_string)).collect()
}
