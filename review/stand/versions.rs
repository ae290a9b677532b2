//! A release brings a new version of the engines' software while one machine is cut off from all others; then
//! a machine is killed, and callers take up its streams at the others.

use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::caller::{Answer, Request};
use crate::engine::Engine;
use crate::fleet::{self, Addresses, Gateway, Record};
use crate::platform::{Platform, Way};
use crate::relay::Relay;

const ROUNDS: usize = 3;
/// Streams that are open at the machine that is killed.
const STREAMS: usize = 24;
const EVENTS: u64 = 40;
const GAP_MS: u64 = 60;
/// How long the machine is cut off; the site has 5.5 s.
const CUT: Duration = Duration::from_millis(5_500);

pub fn run(out: &Path, trouble: bool) -> io::Result<bool> {
    let record = Record::create(out)?;
    let folder = fleet::temporary_folder("versions")?;
    let mut mixed: io::Result<Vec<usize>> = Ok(Vec::new());
    for round in 0..ROUNDS {
        mixed = mixed.and_then(|mut before| {
            before.push(play(&record, &folder, round, trouble)?);
            Ok(before)
        });
    }
    let _ = fs::remove_dir_all(&folder);
    let mixed = mixed?;
    record.say(format!("{mixed:?} of {STREAMS} streams each hold events of two versions"));
    // Each round has a fleet of its own, so the rule holds for each.
    Ok(mixed.iter().any(|mixed| *mixed > 2))
}

/// Plays one release at a fleet of its own; returns the number of streams with events of two versions.
fn play(record: &Record, folder: &Path, round: usize, trouble: bool) -> io::Result<usize> {
    let (platform, _) = Platform::start()?;
    platform.put("config", "main", fleet::configuration(1));
    let old = [Engine::start("i-old-a")?, Engine::start("i-old-b")?];
    let app = Engine::start("i-app")?;
    for engine in &old {
        platform.put("servers", &engine.id, fleet::entry("model", engine.address, "z1", 1));
    }
    platform.put("servers", &app.id, fleet::entry("app", app.address, "z1", 1));
    // The machine `c` is to be cut off: its ways to the others and to the store can be.
    let [a, b, c] = [Addresses::pick()?, Addresses::pick()?, Addresses::pick()?];
    let cut = Arc::new(AtomicBool::new(false));
    let to_a = Relay::start(a.peers, c.peers, cut.clone())?;
    let to_b = Relay::start(b.peers, c.peers, cut.clone())?;
    let ways = [Arc::new(Way::default()), Arc::new(Way::default()), Arc::new(Way::default())];
    ways[0].translated.lock().unwrap().push((c.peers, to_a.second));
    ways[1].translated.lock().unwrap().push((c.peers, to_b.second));
    ways[2].translated.lock().unwrap().extend([(a.peers, to_a.first), (b.peers, to_b.first)]);
    let mut machine_a =
        Gateway::start_at(a, folder, "front-z1-1", "z1", platform.listen(ways[0].clone())?)?;
    let machine_b =
        Gateway::start_at(b, folder, "front-z1-2", "z1", platform.listen(ways[1].clone())?)?;
    let machine_c =
        Gateway::start_at(c, folder, "front-z1-3", "z1", platform.listen(ways[2].clone())?)?;
    thread::sleep(Duration::from_secs(2));
    let set_cut = |is_cut: bool| {
        cut.store(is_cut, Ordering::SeqCst);
        ways[2].cut.store(is_cut, Ordering::SeqCst);
        record.line(format!(
            "{} {}",
            machine_c.name,
            if is_cut {
                "is cut off from the store and all machines"
            } else {
                "is connected again"
            }
        ));
    };
    if trouble {
        set_cut(true);
    }
    thread::sleep(Duration::from_millis(300));
    // The new engines start first, the old ones drain.
    let new = [Engine::start("i-new-a")?, Engine::start("i-new-b")?];
    for engine in &new {
        let entry = fleet::versioned_entry("model", engine.address, "z1", fleet::unix_ms(), "v2");
        platform.put("servers", &engine.id, entry);
    }
    record.line("two engines of version v2 are ready");
    thread::sleep(Duration::from_millis(500));
    let mut entry = fleet::entry("model", old[0].address, "z1", 1);
    entry.set("state", "draining".into());
    platform.put("servers", &old[0].id, entry);
    record.line(format!("{} of version v1 is draining", old[0].id));
    thread::sleep(Duration::from_millis(600));
    let targets = [machine_c.callers, machine_b.callers];
    let callers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (first, next) = (machine_a.callers, targets[number % 2]);
            thread::spawn(move || stream(&format!("{round}n{number}"), first, next))
        })
        .collect();
    thread::sleep(Duration::from_millis(800));
    if trouble {
        machine_a.kill();
        record.line(format!("{} is killed", machine_a.name));
    }
    let mut mixed = 0;
    for (number, caller) in callers.into_iter().enumerate() {
        let tries = caller.join().map_err(|_| io::Error::other("a caller panicked"))?;
        let texts: Vec<String> = tries.iter().map(describe).collect();
        let versions: BTreeSet<&str> = tries
            .iter()
            .flat_map(|(_, answer)| engines_of(answer))
            .map(|engine| if engine.starts_with("i-new") { "v2" } else { "v1" })
            .collect();
        let is_mixed = versions.len() > 1;
        mixed += usize::from(is_mixed);
        record.line(format!(
            "stream {round}n{number}, taken up at {}: {}{}",
            if number % 2 == 0 { "the machine that is cut off" } else { "the sound machine" },
            texts.join("; then "),
            if is_mixed { " <- TWO VERSIONS" } else { "" }
        ));
    }
    if trouble {
        thread::sleep(CUT.saturating_sub(Duration::from_millis(2_200)));
        set_cut(false);
    }
    Ok(mixed)
}

/// Sends a request that may be resumed; takes the stream up at `next` if it breaks off.
fn stream(name: &str, first: SocketAddr, next: SocketAddr) -> Vec<(String, Answer)> {
    let body = format!("events={EVENTS} gap_ms={GAP_MS}");
    let request = |id: &str| {
        Request::new(id, "POST", "/ask/x", &body)
            .with("Model", "m")
            .with("Token-Usage", "120,240")
            .with("Prompt-Prefix", &format!("a0{name}:100,b0{name}:20").replace('n', "c"))
    };
    let begun = format!("s{name}");
    let mut tries = vec![(begun.clone(), request(&begun).send(first))];
    for retry in 1..=3 {
        let last = tries.iter().flat_map(|(_, answer)| answer.event_ids()).max();
        let Some(last) = last.filter(|last| *last < EVENTS) else { break };
        thread::sleep(Duration::from_millis(100 * retry));
        let id = format!("s{name}t{retry}");
        let retried = request(&id).with("Last-Event-Id", &last.to_string()).with("Resumes", &begun);
        tries.push((id.clone(), retried.send(next)));
    }
    tries
}

/// Returns the engines that generated the events of an answer.
fn engines_of(answer: &Answer) -> BTreeSet<String> {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let engines = text.lines().filter_map(|line| {
        let (_, rest) = line.strip_prefix("data: ")?.split_once(" by ")?;
        rest.split(' ').next().map(str::to_string)
    });
    engines.collect()
}

fn describe((id, answer): &(String, Answer)) -> String {
    let ids = answer.event_ids();
    let range = match (ids.first(), ids.last()) {
        (Some(first), Some(last)) => format!("pieces {first} to {last}"),
        _ => "no piece".to_string(),
    };
    let engines: Vec<String> = engines_of(answer).into_iter().collect();
    let end = if answer.complete { "complete" } else { "broken off" };
    format!(
        "{id} status {} {range} of {EVENTS} by {} ({end})",
        answer.status,
        engines.join(" and ")
    )
}
