//! All machines are killed at the same moment, and a release begins while they are down; then callers take up
//! their streams.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::{Answer, Request};
use crate::engine::Engine;
use crate::fleet::{self, Addresses, Gateway, Record};
use crate::platform::Platform;

const ROUNDS: usize = 4;
const STREAMS: usize = 24;
const EVENTS: u64 = 36;
/// 10.8 s for a stream; the deadline is 12 s.
const GAP_MS: u64 = 300;
/// How long the machines are down; the site's `herd_kill` has 2 s.
const DOWN: Duration = Duration::from_millis(2_000);
/// From this time after its start on a machine is in touch.
const CONTACT: Duration = Duration::from_millis(3_000);

pub fn run(out: &Path, trouble: bool) -> io::Result<bool> {
    let record = Record::create(out)?;
    let folder = fleet::temporary_folder("taken-up")?;
    let mut broken: io::Result<usize> = Ok(0);
    for round in 0..ROUNDS {
        broken =
            broken.and_then(|sum| Ok(sum + usize::from(play(&record, &folder, round, trouble)?)));
    }
    let _ = fs::remove_dir_all(&folder);
    let broken = broken?;
    record.say(format!("{broken} of {ROUNDS} rounds broke the rule"));
    Ok(broken > 0)
}

/// The tries of one caller: when each was sent, in milliseconds of the round, and its answer.
type Tries = Vec<(u128, Answer)>;

fn request(id: &str, number: usize) -> Request {
    let body = format!("events={EVENTS} gap_ms={GAP_MS}");
    Request::new(id, "POST", "/ask/x", &body)
        .with("Model", "m")
        .with("Token-Usage", "120,216")
        .with("Prompt-Prefix", &format!("a{number:x}:100,b{number:x}:20"))
}

/// Plays one release; returns whether the rule was broken.
fn play(record: &Record, folder: &Path, round: usize, trouble: bool) -> io::Result<bool> {
    let (platform, store) = Platform::start()?;
    platform.put("config", "main", fleet::configuration(1));
    let old = [Engine::start("i-old-a")?, Engine::start("i-old-b")?, Engine::start("i-old-c")?];
    let app = Engine::start("i-app")?;
    for engine in &old {
        platform.put("servers", &engine.id, fleet::entry("model", engine.address, "z1", 1));
    }
    platform.put("servers", &app.id, fleet::entry("app", app.address, "z1", 1));
    let places = [("front-z1-1", Addresses::pick()?), ("front-z1-2", Addresses::pick()?)];
    let start = || -> io::Result<Vec<Gateway>> {
        let starts = places.map(|(name, at)| {
            let folder = folder.to_path_buf();
            thread::spawn(move || Gateway::start_at(at, &folder, name, "z1", store))
        });
        starts
            .into_iter()
            .map(|s| s.join().map_err(|_| io::Error::other("a start panicked"))?)
            .collect()
    };
    let mut machines = start()?;
    // Traffic starts 10 s after the machines do; the versions are recorded within the first second.
    thread::sleep(Duration::from_secs(3));
    let began = Instant::now();
    let again_at = Duration::from_millis(1_000) + DOWN + CONTACT + Duration::from_millis(1_200);
    let callers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (first, next) = (places[number % 2].1.callers, places[(number + 1) % 2].1.callers);
            thread::spawn(move || -> Tries {
                let begun = format!("r{round}s{number}");
                let mut tries =
                    vec![(began.elapsed().as_millis(), request(&begun, number).send(first))];
                // A try right after the break, and one when the machines are in touch again.
                for (count, at) in [(1, DOWN + Duration::from_millis(1_600)), (2, again_at)] {
                    let last = tries.iter().flat_map(|(_, answer)| answer.event_ids()).max();
                    let Some(last) = last.filter(|last| *last < EVENTS) else { break };
                    thread::sleep(at.saturating_sub(began.elapsed()));
                    let again = request(&format!("{begun}t{count}"), number)
                        .with("Last-Event-Id", &last.to_string())
                        .with("Resumes", &begun);
                    tries.push((began.elapsed().as_millis(), again.send(next)));
                }
                tries
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1_000));
    if trouble {
        machines.iter_mut().for_each(Gateway::kill);
        machines.clear();
        record.line(format!(
            "round {round}: all machines are killed, {} ms after the streams began",
            began.elapsed().as_millis()
        ));
    }
    thread::sleep(Duration::from_millis(1_000));
    // The release: the new one starts first.
    let new = Engine::start("i-new-a")?;
    let entry = fleet::versioned_entry("model", new.address, "z1", fleet::unix_ms(), "v2");
    platform.put("servers", &new.id, entry);
    record.line(format!(
        "round {round}: the first engine of version v2 is ready, {} ms",
        began.elapsed().as_millis()
    ));
    thread::sleep(DOWN.saturating_sub(Duration::from_millis(1_000)));
    if trouble {
        machines = start()?;
        record.line(format!(
            "round {round}: all machines are ready again, {} ms",
            began.elapsed().as_millis()
        ));
    }
    // New streams, at the same time as those that are taken up again.
    thread::sleep(again_at.saturating_sub(began.elapsed()));
    let fresh: Vec<_> = (0..STREAMS)
        .map(|number| {
            let to = places[number % 2].1.callers;
            let mut request = request(&format!("r{round}new{number}"), 100 + number);
            request.body = "events=5 gap_ms=50".to_string();
            thread::spawn(move || request.send(to))
        })
        .collect();
    let mut begins = 0;
    for caller in fresh {
        let answer = caller.join().map_err(|_| io::Error::other("a caller panicked"))?;
        begins += usize::from(answer.is_success() && !answer.event_ids().is_empty());
    }
    let (mut taken_up, mut go_on) = (0, 0);
    let mut statuses = BTreeMap::<u16, usize>::new();
    for (number, caller) in callers.into_iter().enumerate() {
        let tries = caller.join().map_err(|_| io::Error::other("a caller panicked"))?;
        let mut texts = Vec::new();
        for (count, (at, answer)) in tries.iter().enumerate() {
            let ids = answer.event_ids();
            texts.push(format!("{at} ms: status {}, {} pieces", answer.status, ids.len()));
            // Tries at machines that are in touch: later than the contact time after their start.
            if count > 0 && *at >= again_at.as_millis() {
                taken_up += 1;
                go_on += usize::from(answer.is_success() && !ids.is_empty());
                *statuses.entry(answer.status).or_default() += 1;
            }
        }
        record.line(format!("round {round} stream {number}: {}", texts.join("; then ")));
    }
    let share = |part: usize, of: usize| part as f64 / of.max(1) as f64;
    let broken = taken_up >= 12 && share(go_on, taken_up) < share(begins, STREAMS) / 2.0;
    record.say(format!(
        "round {round}: {go_on} of {taken_up} streams that were taken up at machines in touch go on (by status {statuses:?}), {begins} of {STREAMS} new streams begin; {} engines of version v1 serve{}",
        old.len(),
        if broken { " <- LOST" } else { "" }
    ));
    drop(machines);
    Ok(broken)
}
