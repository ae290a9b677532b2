//! The scripts of the cases 'reclaimed', 'upgraded' and 'entry': a small deployment on loopback addresses, with hosts
//! and engines as processes of their own. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.

mod engine;
mod json;
mod net;
mod rig;
mod store;

use std::{
    env, io,
    net::SocketAddr,
    process::exit,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use engine::Engine;
use net::Answer;
use rig::{Rig, TENANTS, config, now_ms};

fn main() {
    let words: Vec<String> = env::args().skip(1).collect();
    let trouble = env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = words.get(1).cloned().unwrap_or_default();
    let outcome = match words.first().map(String::as_str) {
        Some("engine") => {
            let _ = engine::run(&words[1..]);
            exit(0)
        }
        Some("reclaimed") => reclaimed(&record, trouble),
        Some("reclaimed-plain") => reclaimed_plain(&record, trouble),
        Some("upgraded") => upgraded(&record, trouble),
        Some("entry") => entry(&record, trouble),
        _ => Err(io::Error::other("which case?")),
    };
    match outcome {
        Ok(true) => exit(0),
        Ok(false) => exit(1),
        Err(e) => {
            eprintln!("the case could not run: {e}");
            exit(2)
        }
    }
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Streams without a length at an engine that is reclaimed while they run.
fn reclaimed(record: &str, trouble: bool) -> io::Result<bool> {
    const EVENTS: u64 = 60;
    const STREAMS: u64 = 16;
    let rig = Rig::start(record)?;
    let words = ["kind=stream", "events=60", "interval_ms=100", "framing=close", "slots=64"];
    let mut spot = Engine::start("e-spot", &words)?;
    let steady = Engine::start("e-steady", &words)?;
    let app = Engine::start("p-1", &["kind=plain", "interval_ms=30", "slots=6"])?;
    let routes = [("/ask/", "streaming", "llm", true, 2), ("/submit/", "unsafe", "app", false, 1)];
    rig.store.put("config", "main", &config(1, &routes, TENANTS));
    rig.list(&spot, "llm", "d1", "\"spot\":true,");
    rig.list(&steady, "llm", "d2", "");
    rig.list(&app, "app", "d1", "");
    let hosts = [
        rig.host("g-1", "d1", rig.store_address)?,
        rig.host("g-2", "d2", rig.store_address)?,
    ];
    rig.wait_ready(&hosts)?;
    let answers: Arc<Mutex<Vec<(String, Answer)>>> = Arc::default();
    let mut calls = Vec::new();
    for number in 0..STREAMS {
        let id = format!("s{number:02}");
        let mut call = rig.call("POST", "/ask/x", &id, 12_000);
        call.headers.push(("Model".to_string(), "m".to_string()));
        call.headers.push(("Token-Usage".to_string(), "200,300".to_string()));
        call.headers.push(("Prompt-Prefix".to_string(), format!("5c1e07a2:100,{:x}:100", 0xe000 + number)));
        let to = hosts[number as usize % 2].callers;
        let answers = answers.clone();
        rig.record.say(&format!("client: {id} sent to {}", hosts[number as usize % 2].name));
        calls.push(thread::spawn(move || {
            let answer = call.send(to);
            answers.lock().unwrap().push((id, answer));
        }));
        sleep_ms(30);
    }
    sleep_ms(1_000);
    if trouble {
        rig.list(&spot, "llm", "d1", "\"spot\":true,\"state\":\"draining\",\"leaves_ms\":2500,");
        spot.leave();
        sleep_ms(2_500);
        spot.kill();
        rig.record.say("e-spot is gone (SIGKILL), 2.5 s after its notice");
        rig.store.remove("servers", "e-spot");
    }
    for call in calls {
        let _ = call.join();
    }
    let mut broken = 0;
    let answers = answers.lock().unwrap();
    for (id, answer) in answers.iter() {
        rig.note_answer(id, answer);
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        let ids: Vec<u64> =
            body.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect();
        let whole: Vec<u64> = (1..=EVENTS).collect();
        let by: Vec<&str> = ["e-spot", "e-steady"].into_iter().filter(|e| body.contains(e)).collect();
        rig.record.say(&format!("client: {id} has {} events of {EVENTS}, by {by:?}", ids.len()));
        if answer.complete && ids != whole {
            broken += 1;
            rig.record.say(&format!("ORDER: {id} ended as complete after event {:?} of {EVENTS}", ids.last()));
        }
    }
    for engine in [&spot, &steady] {
        for (at, id) in engine.lines("run") {
            rig.record.say(&format!("{}: ran {id} at {at}", engine.id));
        }
    }
    rig.record.say(&format!("{broken} of {STREAMS} streams ended as complete before their last piece"));
    println!("{broken} of {STREAMS} streams ended as complete before their last piece");
    Ok(broken == 0)
}

/// Plain answers without a length of an engine that is reclaimed while it sends them.
fn reclaimed_plain(record: &str, trouble: bool) -> io::Result<bool> {
    let rig = Rig::start(record)?;
    let words = ["kind=plain", "interval_ms=1500", "framing=close", "slots=6"];
    let mut spot = Engine::start("p-spot", &words)?;
    let routes = [("/submit/", "unsafe", "app", false, 1), ("/ask/", "streaming", "llm", true, 2)];
    rig.store.put("config", "main", &config(1, &routes, TENANTS));
    rig.list(&spot, "app", "d1", "\"spot\":true,");
    let hosts = [rig.host("g-1", "d1", rig.store_address)?];
    rig.wait_ready(&hosts)?;
    let calls: Vec<_> = (0..5)
        .map(|number| {
            let id = format!("w{number:02}");
            let (call, to) = (rig.call("POST", "/submit/x", &id, 8_000), hosts[0].callers);
            thread::spawn(move || (id, call.send(to)))
        })
        .collect();
    sleep_ms(100);
    if trouble {
        rig.list(&spot, "app", "d1", "\"spot\":true,\"state\":\"draining\",\"leaves_ms\":2500,");
        spot.leave();
        sleep_ms(2_500);
        spot.kill();
        rig.record.say("p-spot is gone (SIGKILL), 2.5 s after its notice");
        rig.store.remove("servers", "p-spot");
    }
    let mut broken = 0;
    for call in calls {
        let (id, answer) = call.join().expect("no panic");
        rig.note_answer(&id, &answer);
        let is_whole = answer.body == engine::plain_body(&id).as_bytes();
        broken += usize::from(answer.status == 200 && answer.complete && !is_whole);
    }
    let text = format!("{broken} of 5 answers are a success with a part of the engine's body");
    rig.record.say(&text);
    println!("{text}");
    Ok(broken == 0)
}

/// An entry of another writer that cannot be read stands in the list of engines when an engine leaves.
fn entry(record: &str, trouble: bool) -> io::Result<bool> {
    const DRAIN_MS: u64 = 2_000;
    let rig = Rig::start(record)?;
    let plain = ["kind=plain", "interval_ms=30", "slots=6"];
    let mut engines =
        vec![Engine::start("p-1", &plain)?, Engine::start("p-2", &plain)?, Engine::start("p-3", &plain)?];
    let routes = [("/submit/", "unsafe", "app", false, 1), ("/fetch/", "safe", "app", false, 2)];
    rig.store.put("config", "main", &config(1, &routes, TENANTS));
    for (number, engine) in engines.iter().enumerate() {
        rig.list(engine, "app", &format!("d{}", number % 2 + 1), "");
    }
    let hosts = [
        rig.host("g-1", "d1", rig.store_address)?,
        rig.host("g-2", "d2", rig.store_address)?,
    ];
    rig.wait_ready(&hosts)?;
    if trouble {
        // Valid JSON (RFC 8259, section 8.2); no decoder can make text of it.
        let spec = env::var("ENTRY").unwrap_or_else(|_| r#"{"service":"app","address":"\udcff"}"#.to_string());
        rig.store.put("servers", "zz-other", &spec);
        rig.record.say(&format!("store: another writer's servers/zz-other = {spec}"));
    }
    let answers: Arc<Mutex<Vec<(String, Answer)>>> = Arc::default();
    let targets: Vec<SocketAddr> = hosts.iter().map(|host| host.callers).collect();
    let begun = Instant::now();
    let (mut left_at, mut ended, mut number, mut calls) = (None, false, 0, Vec::new());
    while begun.elapsed() < Duration::from_secs(16) {
        if left_at.is_none() && begun.elapsed() > Duration::from_secs(4) {
            rig.list(&engines[0], "app", "d1", "\"state\":\"draining\",");
            left_at = Some(now_ms());
        }
        if !ended && begun.elapsed() > Duration::from_secs(12) {
            ended = true;
            rig.store.remove("servers", "p-1");
            engines[0].kill();
            rig.record.say("p-1 has left: its entry is removed and its process has ended, 8 s after its report");
        }
        let id = format!("u{number:04}");
        let call = rig.call("POST", "/submit/x", &id, 4_000);
        let (to, answers) = (targets[number % 2], answers.clone());
        rig.record.say(&format!("client: {id} sent"));
        calls.push(thread::spawn(move || {
            let answer = call.send(to);
            answers.lock().unwrap().push((id, answer));
        }));
        number += 1;
        sleep_ms(40);
    }
    for call in calls {
        let _ = call.join();
    }
    let left_at = left_at.unwrap_or_default();
    let answers = answers.lock().unwrap();
    for (id, answer) in answers.iter() {
        rig.note_answer(id, answer);
    }
    for engine in &engines {
        for (at, id) in engine.lines("run") {
            rig.record.say(&format!("{}: ran {id}, {} ms after the report", engine.id, at as i64 - left_at as i64));
        }
    }
    let runs = engines[0].lines("run");
    let late: Vec<&(u64, String)> = runs.iter().filter(|(at, _)| *at > left_at + DRAIN_MS).collect();
    for (at, id) in &late {
        rig.record.say(&format!("DRAIN: {id} reached p-1 {} ms after the acknowledgement", at - left_at));
    }
    let lost = late.iter().filter(|(_, late)| answers.iter().any(|(id, answer)| id == late && answer.status != 200));
    let text = format!(
        "{} requests reached p-1 later than drain_ms after its report was acknowledged; {} of them ran and were not \
         answered 200",
        late.len(),
        lost.count()
    );
    for host in &hosts {
        for line in host.logged("store lost").iter().chain(&host.logged("backend servers changed")) {
            rig.record.say(&format!("log: {line}"));
        }
    }
    rig.record.say(&text);
    println!("{text}");
    Ok(late.is_empty())
}

/// What a client has of a stream, over all of its tries.
#[derive(Default)]
struct Taken {
    /// The attempt that brought the first event.
    begun: Option<String>,
    /// The id of the last event and the software version of each event.
    last: u64,
    versions: Vec<String>,
    done: bool,
}

impl Taken {
    fn add(&mut self, id: &str, answer: &Answer) {
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        for event in body.split_inclusive("\n\n").filter(|event| event.ends_with("\n\n")) {
            let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name).map(str::to_string));
            let Some(number) = field("id: ").and_then(|text| text.parse().ok()) else { continue };
            let version = field("data: ").and_then(|text| text.rsplit(' ').next().map(str::to_string));
            self.begun.get_or_insert_with(|| id.to_string());
            self.last = number;
            self.versions.push(version.unwrap_or_default());
        }
        self.done = answer.status == 200 && answer.complete;
    }

    fn distinct(&self) -> Vec<String> {
        let mut versions = self.versions.clone();
        versions.sort();
        versions.dedup();
        versions
    }
}

/// A client's stream with its tries: it takes the stream up after a broken connection, and honours
/// `Retry-After`.
fn stream_client(rig: &Rig, hosts: &[SocketAddr], number: usize, deadline: Duration, tries: usize) -> Taken {
    let begun = Instant::now();
    let mut taken = Taken::default();
    for attempt in 0..tries {
        let left = deadline.saturating_sub(begun.elapsed());
        if left < Duration::from_millis(100) {
            break;
        }
        let id = format!("s{number:02}-{attempt}");
        let mut call = rig.call("POST", "/ask/x", &id, left.as_millis() as u64);
        call.headers.push(("Model".to_string(), "m".to_string()));
        call.headers.push(("Token-Usage".to_string(), "200,300".to_string()));
        call.headers.push(("Prompt-Prefix".to_string(), format!("{:x}:100,{:x}:100", 0xa00 + number, 0xe000 + number)));
        if let Some(begun) = &taken.begun {
            call.headers.push(("Resumes".to_string(), begun.clone()));
            call.headers.push(("Last-Event-Id".to_string(), taken.last.to_string()));
        }
        rig.record.say(&format!("client: {id} sent, has events up to {}", taken.last));
        let answer = call.send(hosts[(number + attempt) % hosts.len()]);
        taken.add(&id, &answer);
        rig.note_answer(&id, &answer);
        if taken.done {
            break;
        }
        let wait = answer.header("retry-after").parse().unwrap_or(0.0_f64);
        thread::sleep(Duration::from_secs_f64(wait.max(0.05)).min(left / 3));
    }
    taken
}

/// The last engine of a software version is started again with the next version, under the id that it had.
fn upgraded(record: &str, trouble: bool) -> io::Result<bool> {
    const STREAMS: usize = 60;
    let rig = Arc::new(Rig::start(record)?);
    let words = ["kind=stream", "events=40", "interval_ms=100", "slots=64"];
    let mut first = Engine::start("e-1", &[&words[..], &["version=v1"]].concat())?;
    let second = Engine::start("e-2", &[&words[..], &["version=v2"]].concat())?;
    let app = Engine::start("p-1", &["kind=plain", "interval_ms=30", "slots=6"])?;
    let routes = [("/ask/", "streaming", "llm", true, 2), ("/submit/", "unsafe", "app", false, 1)];
    rig.store.put("config", "main", &config(1, &routes, TENANTS));
    rig.list(&first, "llm", "d1", "");
    rig.list(&second, "llm", "d2", "\"version\":\"v2\",");
    rig.list(&app, "app", "d1", "");
    let hosts = [
        rig.host("g-1", "d1", rig.store_address)?,
        rig.host("g-2", "d2", rig.store_address)?,
    ];
    rig.wait_ready(&hosts)?;
    let targets: Vec<SocketAddr> = hosts.iter().map(|host| host.callers).collect();
    let calls: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (rig, targets) = (rig.clone(), targets.clone());
            sleep_ms(20);
            thread::spawn(move || stream_client(&rig, &targets, number, Duration::from_secs(12), 6))
        })
        .collect();
    sleep_ms(1_000);
    let mut next = None;
    if trouble {
        let address = first.address.to_string();
        first.kill();
        rig.record.say("e-1 (v1) has ended (SIGKILL)");
        sleep_ms(1_000);
        let listen = format!("listen={address}");
        next = Some(Engine::start("e-1", &[&words[..], &["version=v2", "born=1700000100000", &listen]].concat())?);
        rig.record.say("e-1 serves again, its software is v2");
        rig.list(next.as_ref().expect("started"), "llm", "d1", "\"version\":\"v2\",\"born\":1700000100000,");
    }
    let taken: Vec<Taken> = calls.into_iter().map(|call| call.join().expect("no panic")).collect();
    let mixed = taken.iter().filter(|taken| taken.distinct().len() > 1).count();
    for (number, taken) in taken.iter().enumerate() {
        rig.record.say(&format!("stream {number}: {} events of {:?}, done={}", taken.versions.len(), taken.distinct(), taken.done));
    }
    let engines: Vec<&Engine> = [&first, &second].into_iter().chain(next.as_ref()).collect();
    for engine in engines {
        for (at, id) in engine.lines("run") {
            rig.record.say(&format!("{}: ran {id} at {at}", engine.id));
        }
    }
    let text = format!("{mixed} of {STREAMS} streams hold events of two software versions");
    rig.record.say(&text);
    println!("{text}");
    Ok(mixed <= 2)
}
