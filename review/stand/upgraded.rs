//! The last engine of a software version crashes and starts again under its id, with the next version.

use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::{Answer, Request};
use crate::engine::Engine;
use crate::fleet::{self, Gateway, Record};
use crate::platform::Platform;

/// Streams at once, over all engines.
const STREAMS: usize = 60;
const EVENTS: u64 = 40;
const GAP_MS: u64 = 100;
/// How long the engine is away; it is one of four. The site's crashes take up to a quarter of the engines, for 2 s
/// and more.
const AWAY: Duration = Duration::from_millis(1_000);
/// "Clients retry a few times within their deadline": three times here.
const TRIES: usize = 4;

pub fn run(out: &Path, trouble: bool) -> io::Result<bool> {
    let record = Record::create(out)?;
    let folder = fleet::temporary_folder("upgraded")?;
    let broken = play(&record, &folder, trouble);
    let _ = fs::remove_dir_all(&folder);
    broken
}

fn play(record: &Record, folder: &Path, trouble: bool) -> io::Result<bool> {
    let (platform, address) = Platform::start()?;
    platform.put("config", "main", fleet::configuration(1));
    let mut old = Engine::start("i-a")?;
    let new = [
        Engine::start_version("i-b", None, "v2")?,
        Engine::start_version("i-c", None, "v2")?,
        Engine::start_version("i-d", None, "v2")?,
    ];
    let app = Engine::start("i-app")?;
    platform.put("servers", &old.id, fleet::entry("model", old.address, "z1", 1));
    for (engine, zone) in new.iter().zip(["z2", "z3", "z4"]) {
        let entry = fleet::versioned_entry("model", engine.address, zone, 1, "v2");
        platform.put("servers", &engine.id, entry);
    }
    platform.put("servers", &app.id, fleet::entry("app", app.address, "z1", 1));
    let machines = [
        Gateway::start(folder, "front-z1-1", "z1", address)?,
        Gateway::start(folder, "front-z2-1", "z2", address)?,
    ];
    thread::sleep(Duration::from_secs(4));
    let callers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let targets = [number, number + 1].map(|n| machines[n % machines.len()].callers);
            thread::sleep(Duration::from_millis(20));
            thread::spawn(move || stream(number, targets))
        })
        .collect();
    thread::sleep(Duration::from_millis(1_000));
    let mut again = None;
    if trouble {
        old.kill();
        record.line("i-a, of version v1, has crashed");
        thread::sleep(AWAY);
        let engine = Engine::start_version("i-a", Some(old.address), "v2")?;
        let entry =
            fleet::versioned_entry("model", engine.address, "z1", fleet::unix_ms(), "v2");
        platform.put("servers", &engine.id, entry);
        record.line("i-a serves again at its address, its software is v2; its entry says so");
        again = Some(engine);
    }
    let mut mixed = 0;
    for (number, caller) in callers.into_iter().enumerate() {
        let tries = caller.join().map_err(|_| io::Error::other("a caller panicked"))?;
        let texts: Vec<String> = tries.iter().map(describe).collect();
        let versions: BTreeSet<String> =
            tries.iter().flat_map(|(_, answer)| versions_of(answer)).collect();
        let is_mixed = versions.len() > 1;
        mixed += usize::from(is_mixed);
        record.line(format!(
            "stream {number}: {}{}",
            texts.join("; then "),
            if is_mixed { " <- TWO VERSIONS" } else { "" }
        ));
    }
    for engine in [&old].into_iter().chain(&new).chain(&again) {
        record.line(format!("{} ran {}", engine.id, engine.runs().join(" ")));
    }
    record.say(format!("{mixed} of {STREAMS} streams hold events of two versions"));
    Ok(mixed > 2)
}

/// Sends a request that may be resumed; takes the stream up if it breaks off, and honours `Retry-After`.
fn stream(number: usize, targets: [SocketAddr; 2]) -> Vec<(String, Answer)> {
    let began = Instant::now();
    let body = format!("events={EVENTS} gap_ms={GAP_MS}");
    let prompt = format!("{:x}:100,{:x}:20", 0xa00 + number, 0xb000 + number);
    let mut tries: Vec<(String, Answer)> = Vec::new();
    for attempt in 0..TRIES {
        let id = format!("s{number}t{attempt}");
        let mut request = Request::new(&id, "POST", "/ask/x", &body)
            .with("Model", "m")
            .with("Token-Usage", "120,240")
            .with("Prompt-Prefix", &prompt);
        request.deadline = request.deadline.saturating_sub(began.elapsed());
        let begun = tries.iter().find(|(_, answer)| !answer.event_ids().is_empty());
        let last = tries.iter().flat_map(|(_, answer)| answer.event_ids()).max();
        if let Some(((begun, _), last)) = begun.zip(last) {
            request = request.with("Last-Event-Id", &last.to_string()).with("Resumes", begun);
        }
        let answer = request.send(targets[attempt % targets.len()]);
        let is_done = answer.is_success() && answer.complete;
        let wait = answer.head.get("retry-after").parse().unwrap_or(0.05);
        tries.push((id, answer));
        if is_done {
            break;
        }
        thread::sleep(Duration::from_secs_f64(wait));
    }
    tries
}

/// Returns the versions of the engines that generated the events of an answer.
fn versions_of(answer: &Answer) -> BTreeSet<String> {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let versions = text.lines().filter_map(|line| {
        let (_, rest) = line.strip_prefix("data: ")?.split_once(" as ")?;
        rest.split(' ').next().map(str::to_string)
    });
    versions.collect()
}

fn describe((id, answer): &(String, Answer)) -> String {
    let ids = answer.event_ids();
    let range = match (ids.first(), ids.last()) {
        (Some(first), Some(last)) => format!("pieces {first} to {last}"),
        _ => "no piece".to_string(),
    };
    let versions: Vec<String> = versions_of(answer).into_iter().collect();
    let end = if answer.complete { "complete" } else { "broken off" };
    format!("{id} status {} {range} of {EVENTS} by {} ({end})", answer.status, versions.join(" and "))
}
