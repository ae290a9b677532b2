//! A sound engine falls silent for a moment, with streams that may be resumed before their first piece.

use std::fs;
use std::io;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::caller::Request;
use crate::engine::Engine;
use crate::fleet::{self, Gateway, Record};
use crate::platform::Platform;

const ROUNDS: usize = 10;
const STREAMS: usize = 8;
const EVENTS: u64 = 40;
const GAP_MS: u64 = 30;
/// Until the first piece, as long as prompts take on a busy engine.
const FIRST_MS: u64 = 200;
/// The pages say: a second or so.
const SILENCE: Duration = Duration::from_millis(1_200);
/// How long an engine may still work on a request that goes on at another one.
const OVERLAP_MS: u64 = 400;

pub fn run(out: &Path, trouble: bool) -> io::Result<bool> {
    let record = Record::create(out)?;
    let folder = fleet::temporary_folder("silent")?;
    let broken = play(&record, &folder, trouble);
    let _ = fs::remove_dir_all(&folder);
    broken
}

fn play(record: &Record, folder: &Path, trouble: bool) -> io::Result<bool> {
    let (platform, address) = Platform::start()?;
    platform.put("config", "main", fleet::configuration(1));
    let mut engines = [Engine::start("i-a")?, Engine::start("i-b")?];
    let app = Engine::start("i-app")?;
    for engine in &engines {
        platform.put("servers", &engine.id, fleet::entry("model", engine.address, "z1", 1));
    }
    platform.put("servers", &app.id, fleet::entry("app", app.address, "z1", 1));
    let machine = Gateway::start(folder, "front-z1-1", "z1", address)?;
    let (mut moved, mut twice) = (0, 0);
    for round in 0..ROUNDS {
        thread::sleep(Duration::from_millis(1_500));
        let callers: Vec<_> = (0..STREAMS)
            .map(|number| {
                let id = format!("r{round}n{number}");
                let body = format!("events={EVENTS} gap_ms={GAP_MS} first_ms={FIRST_MS}");
                let parts =
                    format!("{:x}:100,{:x}:20", 0xa00 + number, 0xb000 + round * 100 + number);
                let request = Request::new(&id, "POST", "/ask/x", &body)
                    .with("Model", "m")
                    .with("Token-Usage", "120,240")
                    .with("Prompt-Prefix", &parts);
                let to = machine.callers;
                thread::spawn(move || (id, request.send(to)))
            })
            .collect();
        thread::sleep(Duration::from_millis(50));
        if trouble {
            engines[round % 2].silence(SILENCE)?;
            record.line(format!("{} falls silent for {SILENCE:?}", engines[round % 2].id));
        }
        for caller in callers {
            let (id, answer) = caller.join().map_err(|_| io::Error::other("a caller panicked"))?;
            // An engine that was silent reports its work once it goes on.
            thread::sleep(Duration::from_millis(20));
            let works = engines
                .iter()
                .filter_map(|e| e.worked(&id).map(|(from, until)| (from, until, &e.id)));
            let mut works: Vec<(u64, u64, &String)> = works.collect();
            works.sort();
            let overlap = match &works[..] {
                [(_, until, _), (from, _, _), ..] => {
                    moved += 1;
                    until.saturating_sub(*from)
                }
                _ => 0,
            };
            let is_twice = overlap > OVERLAP_MS;
            twice += usize::from(is_twice);
            let zero = works.first().map_or(0, |(from, _, _)| *from);
            let texts = works.iter().map(|(from, until, engine)| {
                format!("{engine} works on it from {} to {} ms", from - zero, until - zero)
            });
            record.line(format!(
                "{id}: status {}, {} of {EVENTS} pieces, {}; {}{}",
                answer.status,
                answer.event_ids().len(),
                if answer.complete { "complete" } else { "broken off" },
                texts.collect::<Vec<_>>().join(", "),
                if is_twice { " <- BOTH WORK ON IT FOR MORE THAN 400 MS" } else { "" }
            ));
        }
    }
    record.say(format!(
        "{} streams, {moved} went on at another engine; on {twice} of them the engine before still worked more than {OVERLAP_MS} ms later",
        ROUNDS * STREAMS
    ));
    Ok(twice > 0)
}
