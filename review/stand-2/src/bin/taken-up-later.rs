//! A release long ago, then a loss of all hosts while the next release begins: streams that callers take up have to go on.

use std::{
    process::ExitCode,
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

/// How long the store takes for an answer, as the small deployments' sheets have it.
const STORE_ANSWERS: Fault = Fault::Slow(Duration::from_millis(4));
/// `contact_ms` of the sheets.
const CONTACT: Duration = Duration::from_millis(3_000);
/// From one event of an engine to the next; a stream has ten.
const EVENT_INTERVAL: Duration = Duration::from_millis(300);
/// Streams that are taken up, and new ones.
const STREAMS: usize = 24;
/// From the first release to the second one.
const BETWEEN_RELEASES: Duration = Duration::from_secs(55);

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

/// Whether the variable `TROUBLE` is `text`.
fn trouble_is(text: &str) -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == text)
}

fn play() -> anyhow::Result<bool> {
    let record = Record::begin()?;
    let mut rig = Rig::start(PROGRAM)?;
    rig.store.set_fault(STORE_ANSWERS);
    // As many requests at once as the small deployment's engines take.
    rig.configure(2, |config| config["services"][0]["engine"]["slots"] = json!(64));
    let mut hosts = ["g1", "g2"]
        .iter()
        .map(|name| Host::new(name, "d1", rig.store_address, rig.duties_address))
        .collect::<anyhow::Result<Vec<_>>>()?;
    if trouble_is("first") {
        // No earlier release: the engines of v2 are there from the start.
        add_engines(&mut rig, "f", "v2", 3)?;
        ["e1", "e2"].iter().for_each(|id| rig.store.remove("servers", id));
    }
    hosts.iter_mut().try_for_each(Host::start)?;
    hosts.iter().try_for_each(Host::wait_ready)?;
    thread::sleep(Duration::from_secs(1));
    let released = Instant::now();
    if !trouble_is("first") {
        record.line("two hosts are ready; the engines of `llm` are of version v1");
        add_engines(&mut rig, "f", "v2", 3)?;
        thread::sleep(Duration::from_secs(2));
        ["e1", "e2"].iter().for_each(|id| rig.store.remove("servers", id));
        record.line("the first release has ended: all engines are of version v2");
    }
    thread::sleep(BETWEEN_RELEASES.saturating_sub(released.elapsed()));
    let recorded = |rig: &Rig| rig.store.get("stream-versions", "services").unwrap_or_default();
    record.line(format!("record of versions in the store: {}", recorded(&rig)));
    let begun: Vec<_> = (0..STREAMS)
        .map(|n| {
            let to = hosts[n % 2].addresses.callers;
            thread::spawn(move || -> anyhow::Result<Response> {
                let id = format!("s{n}");
                caller::read(&mut Request::new("POST", &format!("/chat/{id}"), &id).open(to)?)
            })
        })
        .collect();
    thread::sleep(EVENT_INTERVAL * 4);
    hosts.iter_mut().for_each(Host::kill);
    record.line("both hosts are killed (disruption)");
    if has_trouble() && !trouble_is("kill") {
        add_engines(&mut rig, "h", "v3", 1)?;
        record.line("the next release begins: an engine of version v3 registers (disruption)");
    }
    thread::sleep(Duration::from_millis(700));
    hosts.iter_mut().try_for_each(Host::start)?;
    let started = Instant::now();
    hosts.iter().try_for_each(Host::wait_ready)?;
    thread::sleep((CONTACT + Duration::from_millis(300)).saturating_sub(started.elapsed()));
    record.line("the hosts have started again and are in touch; v2 has three engines");
    let taken_up: Vec<_> = begun
        .into_iter()
        .enumerate()
        .map(|(n, begun)| {
            let to = hosts[n % 2].addresses.callers;
            thread::spawn(move || {
                let response = begun.join().expect("no panic").unwrap_or_default();
                let last = response.event_ids().last().copied().unwrap_or(0);
                let id = format!("s{n}");
                let again =
                    Request::resume(&format!("/chat/{id}"), &format!("{id}-again"), &id, last);
                let answer = again.send(to).unwrap_or_default();
                let new = Request::new("POST", &format!("/chat/n{n}"), &format!("n{n}"))
                    .send(to)
                    .unwrap_or_default();
                (id, last, answer, new)
            })
        })
        .collect();
    let (mut taken, mut went_on, mut new_began) = (0, 0, 0);
    for thread in taken_up {
        let (id, last, answer, new) = thread.join().expect("no panic");
        taken += usize::from(last > 0);
        went_on += usize::from(last > 0 && answer.status == 200 && !answer.event_ids().is_empty());
        new_began += usize::from(new.status == 200 && !new.event_ids().is_empty());
        record.note(format!(
            "{id}: events up to {last}, taken up: {} {:?} {}; a new stream: {} {} events",
            answer.status,
            answer.event_ids(),
            answer.body.lines().next().filter(|_| answer.status != 200).unwrap_or(""),
            new.status,
            new.event_ids().len()
        ));
    }
    record.line(format!("{went_on} of {taken} streams that are taken up go on, {new_began} of {STREAMS} new ones begin"));
    anyhow::ensure!(taken >= 12, "too few streams were taken up");
    Ok(went_on * STREAMS * 2 < new_began * taken)
}

/// Adds engines of a software version.
fn add_engines(rig: &mut Rig, name: &str, version: &str, count: usize) -> anyhow::Result<()> {
    for number in 1..=count {
        let id = format!("{name}{number}");
        rig.add_slow_engine(&id, EVENT_INTERVAL)?;
        rig.set_version(&id, version);
    }
    Ok(())
}
