//! Nobody fetches the metrics of a machine.

use std::fs;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::Request;
use crate::engine::Engine;
use crate::fleet::{self, Gateway, Record};
use crate::platform::Platform;

pub fn run(out: &Path, trouble: bool) -> io::Result<bool> {
    let record = Record::create(out)?;
    let folder = fleet::temporary_folder("unread")?;
    let broken = play(&record, &folder, trouble);
    let _ = fs::remove_dir_all(&folder);
    broken
}

fn play(record: &Record, folder: &Path, trouble: bool) -> io::Result<bool> {
    let streams: usize = std::env::var("STREAMS").ok().and_then(|s| s.parse().ok()).unwrap_or(64);
    let gap: u64 = std::env::var("GAP").ok().and_then(|s| s.parse().ok()).unwrap_or(1);
    let secs: u64 = std::env::var("SECS").ok().and_then(|s| s.parse().ok()).unwrap_or(30);
    let (platform, address) = Platform::start()?;
    platform.put("config", "main", fleet::configuration(1));
    let engines = [Engine::start("i-a")?, Engine::start("i-b")?, Engine::start("i-c")?];
    for engine in &engines {
        platform.put("servers", &engine.id, fleet::entry("model", engine.address, "z1", 1));
    }
    let machine = Gateway::start(folder, "front-z1-1", "z1", address)?;
    let began = Instant::now();
    let events = Arc::new(AtomicUsize::new(0));
    for number in 0..streams {
        let (to, events) = (machine.callers, events.clone());
        thread::spawn(move || {
            for round in 0.. {
                if began.elapsed() > Duration::from_secs(secs) { break; }
                let parts = format!("{:x}:100,{:x}:20", 0xa00 + number, 0xb0000 + round * 1000 + number);
                let body = format!("events={} gap_ms={gap} size=10", 8000 / (gap.max(1) + 0));
                let a = Request::new(&format!("s{number}r{round}"), "POST", "/draft/x", &body)
                    .with("Token-Usage", "120,360").with("Prompt-Prefix", &parts).send(to);
                events.fetch_add(a.event_ids().len(), Ordering::SeqCst);
                if a.status != 200 { thread::sleep(Duration::from_millis(200)); }
            }
        });
    }
    while began.elapsed() < Duration::from_secs(secs) {
        thread::sleep(Duration::from_secs(5));
        if !trouble { machine.metrics(); }
        record.say(format!("{:?} {:?} {}", began.elapsed(), fleet::memory_mb(machine.pid()), events.load(Ordering::SeqCst)));
    }
    let m = machine.metrics();
    for l in m.lines().filter(|l| l.contains("_seconds_count")) { record.say(l); }
    record.say(format!("{:?}", fleet::memory_mb(machine.pid())));
    Ok(false)
}
