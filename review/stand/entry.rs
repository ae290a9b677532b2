//! An entry of another writer, which cannot be decoded, stands in the list of engines when an engine leaves, and when
//! the day ends with its final fault.

use std::fs;
use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::Request;
use crate::engine::Engine;
use crate::fleet::{self, Addresses, Gateway, Record};
use crate::json::Json;
use crate::platform::Platform;

/// What the other writer has written, if ENTRY holds nothing else: a table with a text that holds half of a pair
/// (RFC 8259, section 8.2, allows it; nothing can be made of it).
const ENTRY: &str = r#"{"service":"app","address":"\udcff"}"#;
/// The site's `drain_ms`.
const DRAIN: Duration = Duration::from_millis(2_000);
/// From the report of the engine that leaves until it ends; "at times many seconds" after `drain_ms`.
const SERVES_ON: Duration = Duration::from_millis(6_000);
/// A release: the new engine starts first, the old one drains.
const STARTS_AFTER: Duration = Duration::from_secs(3);
const LEAVES_AFTER: Duration = Duration::from_secs(4);
const LENGTH: Duration = Duration::from_secs(14);
/// How long all machines are down in the final fault; the site has 0.5 and 0.74 s where all are killed.
const DOWN: Duration = Duration::from_millis(700);
/// The site's `recovery_s`.
const RECOVERY: Duration = Duration::from_secs(12);
/// Requests after that.
const REQUESTS: usize = 100;
/// Between two requests of the callers: 40 a second, where the site has 18 to the same kind of engines.
const PAUSE: Duration = Duration::from_millis(25);

pub fn run(out: &Path, trouble: bool) -> io::Result<bool> {
    let record = Record::create(out)?;
    let folder = fleet::temporary_folder("entry")?;
    let broken = play(&record, &folder, trouble);
    let _ = fs::remove_dir_all(&folder);
    broken
}

fn play(record: &Record, folder: &Path, trouble: bool) -> io::Result<bool> {
    let (platform, address) = Platform::start()?;
    platform.put("config", "main", fleet::configuration(1));
    let mut engines = [Engine::start("i-a")?, Engine::start("i-b")?, Engine::start("i-c")?];
    for engine in &engines {
        platform.put("servers", &engine.id, fleet::entry("app", engine.address, "z1", 1));
    }
    let hosts = [("front-z1-1", "z1", Addresses::pick()?), ("front-z2-1", "z2", Addresses::pick()?)];
    let start = |(name, zone, at): &(&str, &str, Addresses)| {
        Gateway::start_at(*at, folder, name, zone, address)
    };
    let mut machines = [start(&hosts[0])?, start(&hosts[1])?];
    // `contact_ms`, and some more.
    thread::sleep(Duration::from_secs(4));
    let entry = std::env::var("ENTRY").unwrap_or_else(|_| ENTRY.to_string());
    if trouble && entry != "none" {
        record.line(format!("another writer writes servers/zz-other: {entry}"));
        // A number is written as it is.
        platform.put("servers", "zz-other", Json::Number(entry));
    }
    let began = Instant::now();
    let mut left: Option<Instant> = None;
    let mut ended = false;
    let mut next: Option<Engine> = None;
    let mut callers = Vec::new();
    for number in 0.. {
        if began.elapsed() > LENGTH {
            break;
        }
        if next.is_none() && began.elapsed() > STARTS_AFTER {
            let engine = Engine::start("i-d")?;
            platform.put("servers", &engine.id, fleet::entry("app", engine.address, "z1", 1));
            record.line("a release: i-d is ready, i-a is to be replaced by it");
            next = Some(engine);
        }
        if left.is_none() && began.elapsed() > LEAVES_AFTER {
            let mut entry = fleet::entry("app", engines[0].address, "z1", 1);
            entry.set("state", "draining".into());
            platform.put("servers", &engines[0].id, entry);
            record.line(format!("the store has acknowledged that {} is draining", engines[0].id));
            left = Some(Instant::now());
        }
        if !ended && left.is_some_and(|at| at.elapsed() > SERVES_ON) {
            platform.remove("servers", &engines[0].id);
            engines[0].kill();
            record.line(format!("{} has left and ended", engines[0].id));
            ended = true;
        }
        let mut request =
            Request::new(&format!("c{number}"), "POST", "/confirm/x", "work_ms=200 size=800");
        request.deadline = Duration::from_secs(3);
        let to = machines[number % machines.len()].callers;
        callers.push(thread::spawn(move || {
            let sent = Instant::now();
            let answer = request.send(to);
            (request.id, sent, answer)
        }));
        thread::sleep(PAUSE);
    }
    let left = left.unwrap_or(began);
    let seen: Vec<&Engine> = engines.iter().chain(&next).collect();
    let runs: Vec<Vec<String>> = seen.iter().map(|engine| engine.runs()).collect();
    let (mut late, mut lost, mut served) = (0, 0, 0);
    let sent_before = callers.len();
    for caller in callers {
        let (id, sent, answer) =
            caller.join().map_err(|_| io::Error::other("a caller panicked"))?;
        let at: Vec<&str> = seen
            .iter()
            .zip(&runs)
            .filter(|(_, runs)| runs.contains(&id))
            .map(|(engine, _)| engine.id.as_str())
            .collect();
        let since = sent.saturating_duration_since(left);
        // A request that was sent so late reaches the engine later still.
        let is_late = since > DRAIN && at.contains(&"i-a");
        served += usize::from(answer.is_success());
        late += usize::from(is_late);
        lost += usize::from(is_late && !answer.is_success());
        record.line(format!(
            "{id} sent {} ms after the report: status {}, run by {}{}",
            sent.duration_since(began).as_millis() as i128
                - left.duration_since(began).as_millis() as i128,
            answer.status,
            at.join(" and "),
            if is_late { " <- REACHES AN ENGINE THAT LEAVES" } else { "" }
        ));
    }
    let lost_lists = |folder: &Path| -> io::Result<()> {
        for (name, ..) in &hosts {
            let log = fs::read_to_string(folder.join(format!("{name}.log")))?;
            for line in log.lines().filter(|line| line.contains("\"store lost\"")).take(3) {
                record.line(format!("log of {name}: {line}"));
            }
        }
        Ok(())
    };
    lost_lists(folder)?;
    record.say(format!(
        "{late} requests were sent later than drain_ms after the report and reached the engine that leaves; {lost} \
         of them ran and got no success; the engine in its place ran {}",
        runs.last().map_or(0, Vec::len)
    ));
    let before = served as f64 / sent_before as f64;
    // The final fault.
    if trouble {
        machines.iter_mut().for_each(Gateway::kill);
        record.line("all machines are killed");
        thread::sleep(DOWN);
        for (machine, (name, zone, at)) in machines.iter_mut().zip(&hosts) {
            *machine = Gateway::launch_at(*at, folder, name, zone, address)?;
        }
        record.line("all machines are started again");
    }
    thread::sleep(RECOVERY);
    let callers: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let mut request =
                Request::new(&format!("d{number}"), "POST", "/confirm/x", "work_ms=60 size=800");
            request.deadline = Duration::from_secs(3);
            let to = machines[number % machines.len()].callers;
            thread::sleep(PAUSE);
            thread::spawn(move || (request.send(to), request.id))
        })
        .collect();
    let mut served = 0;
    for caller in callers {
        let (answer, id) = caller.join().map_err(|_| io::Error::other("a caller panicked"))?;
        served += usize::from(answer.is_success());
        record.line(format!("{id} sent over recovery_s after the machines are back: status {}", answer.status));
    }
    lost_lists(folder)?;
    let ready: Vec<bool> = machines.iter().map(Gateway::is_ready).collect();
    record.say(format!(
        "over recovery_s after the machines are back {served} of {REQUESTS} requests are served, before {:.0} in 100 \
         were; ready: {ready:?}",
        before * 100.0
    ));
    let is_down = before >= 0.25 && (served as f64) < 0.25 * REQUESTS as f64;
    Ok(late > 0 || is_down)
}
