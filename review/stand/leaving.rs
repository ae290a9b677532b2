//! Engines that may be reclaimed are taken away while their streams, which have neither a length nor chunks,
//! still run.

use std::fs;
use std::io;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::caller::{Answer, Request};
use crate::engine::Engine;
use crate::fleet::{self, Gateway, Record};
use crate::json::Json;
use crate::platform::Platform;

const ROUNDS: usize = 6;
/// Streams in a round, over all machines.
const STREAMS: usize = 32;
const EVENTS: u64 = 60;
/// 4.8 s for a stream; the deadline is 12 s.
const GAP_MS: u64 = 80;
/// From the notice of a reclaimed engine until it is taken away: the site's shortest is 2.2 s.
const NOTICE: Duration = Duration::from_millis(2_300);

pub fn run(out: &Path, trouble: bool) -> io::Result<bool> {
    let record = Record::create(out)?;
    let folder = fleet::temporary_folder("leaving")?;
    let broken = play(&record, &folder, trouble);
    let _ = fs::remove_dir_all(&folder);
    broken
}

fn play(record: &Record, folder: &Path, trouble: bool) -> io::Result<bool> {
    let (platform, address) = Platform::start()?;
    platform.put("config", "main", fleet::configuration(1));
    let (stay_a, stay_b, app) =
        (Engine::start("i-a")?, Engine::start("i-b")?, Engine::start("i-app")?);
    for (engine, service, zone) in
        [(&stay_a, "model", "z1"), (&stay_b, "model", "z2"), (&app, "app", "z1")]
    {
        platform.put("servers", &engine.id, fleet::entry(service, engine.address, zone, 1));
    }
    let machines = [
        Gateway::start(folder, "front-z1-1", "z1", address)?,
        Gateway::start(folder, "front-z2-1", "z2", address)?,
    ];
    let (mut on_leaving, mut short) = (0, 0);
    for round in 0..ROUNDS {
        let zone = if round % 2 == 0 { "z1" } else { "z2" };
        let mut spot = Engine::start(&format!("i-spot{round}"))?;
        let mut entry = fleet::entry("model", spot.address, zone, fleet::unix_ms());
        entry.set("spot", Json::Bool(true));
        platform.put("servers", &spot.id, entry.clone());
        record.line(format!("round {round}: {} is ready in {zone}", spot.id));
        thread::sleep(Duration::from_millis(1_200));
        let callers: Vec<_> = (0..STREAMS)
            .map(|number| {
                let to = machines[number % machines.len()].callers;
                let path = if number % 4 < 2 { "/draft/x" } else { "/ask/x" };
                let id = format!("r{round}n{number}");
                let body = format!("events={EVENTS} gap_ms={GAP_MS} framing=close");
                let parts =
                    format!("{:x}:100,{:x}:20", 0xa00 + number, 0xb000 + round * 100 + number);
                let request = Request::new(&id, "POST", path, &body)
                    .with("Model", "m")
                    .with("Token-Usage", "120,360")
                    .with("Prompt-Prefix", &parts);
                thread::spawn(move || (request.id.clone(), request.path.clone(), request.send(to)))
            })
            .collect();
        thread::sleep(Duration::from_millis(700));
        if trouble {
            entry.set("state", "draining".into());
            entry.set("leaves_ms", (NOTICE.as_millis() as u64).into());
            platform.put("servers", &spot.id, entry);
            record.line(format!("{} is draining, to be taken away in {NOTICE:?}", spot.id));
            thread::sleep(NOTICE);
            spot.kill();
            platform.remove("servers", &spot.id);
            record.line(format!("{} is taken away", spot.id));
        }
        for caller in callers {
            let (id, path, answer) =
                caller.join().map_err(|_| io::Error::other("a caller panicked"))?;
            let by = [&spot, &stay_a, &stay_b].map(|e| (e.id.clone(), e.runs(), e.ended()));
            let runs: Vec<_> = by.iter().filter(|(_, runs, _)| runs.contains(&id)).collect();
            let engines: Vec<String> = runs
                .iter()
                .map(|(engine, _, ended)| {
                    format!(
                        "{engine} ({})",
                        if ended.contains(&id) { "to the end" } else { "broke off" }
                    )
                })
                .collect();
            if spot.runs().contains(&id) {
                on_leaving += 1;
            }
            let is_short =
                looks_whole(&answer) && answer.event_ids() != (1..=EVENTS).collect::<Vec<_>>();
            short += usize::from(is_short);
            record.line(format!(
                "{id} {path}: status {}, {}, {} of {EVENTS} pieces, run by {}{}",
                answer.status,
                if answer.complete { "ends as complete" } else { "broken off" },
                answer.event_ids().len(),
                engines.join(", "),
                if is_short { " <- ENDS AS COMPLETE BEFORE ITS LAST PIECE" } else { "" }
            ));
        }
    }
    record.say(format!(
        "{} streams, {on_leaving} of them on engines that may be reclaimed; {short} ended as complete before their last piece",
        ROUNDS * STREAMS
    ));
    Ok(short > 0)
}

/// The same for plain answers, to requests that may run once: their second half is not sent yet when the engine
/// is taken away.
pub fn run_plain(out: &Path, trouble: bool) -> io::Result<bool> {
    const REQUESTS: usize = 5;
    const SIZE: usize = 800;
    let record = Record::create(out)?;
    let folder = fleet::temporary_folder("leaving-plain")?;
    let (platform, address) = Platform::start()?;
    platform.put("config", "main", fleet::configuration(1));
    let mut spot = Engine::start("i-spot")?;
    let mut entry = fleet::entry("app", spot.address, "z1", 1);
    entry.set("spot", Json::Bool(true));
    platform.put("servers", &spot.id, entry.clone());
    let machine = Gateway::start(&folder, "front-z1-1", "z1", address);
    let _ = fs::remove_dir_all(&folder);
    let to = machine.as_ref().map_err(|e| io::Error::other(e.to_string()))?.callers;
    thread::sleep(Duration::from_millis(1_200));
    let callers: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let body = format!("work_ms=1500 rest_ms=1500 size={SIZE} framing=close");
            let request = Request::new(&format!("w{number}"), "POST", "/confirm/x", &body);
            thread::spawn(move || (request.send(to), request.id))
        })
        .collect();
    thread::sleep(Duration::from_millis(100));
    if trouble {
        entry.set("state", "draining".into());
        entry.set("leaves_ms", (NOTICE.as_millis() as u64).into());
        platform.put("servers", &spot.id, entry);
        record.line(format!("i-spot is draining, to be taken away in {NOTICE:?}"));
        thread::sleep(NOTICE);
        spot.kill();
        record.line("i-spot is taken away");
    }
    let mut short = 0;
    for caller in callers {
        let (answer, id) = caller.join().map_err(|_| io::Error::other("a caller panicked"))?;
        short += usize::from(looks_whole(&answer) && answer.body.len() != SIZE);
        let (status, length) = (answer.status, answer.body.len());
        record.line(format!("{id}: status {status}, {length} of {SIZE} bytes, complete {}", answer.complete));
    }
    record.say(format!("{short} of {REQUESTS} requests got a success with a part of the engine's body"));
    Ok(short > 0)
}

fn looks_whole(answer: &Answer) -> bool {
    answer.is_success() && answer.complete
}
