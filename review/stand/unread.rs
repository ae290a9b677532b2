//! Nobody fetches the metrics of a machine. No case of the review: the load is that of hours in two minutes.

use std::fs;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::Request;
use crate::engine::Engine;
use crate::fleet::{self, Gateway, Record};
use crate::platform::Platform;

const LENGTH: Duration = Duration::from_secs(108);
const STREAMS: usize = 64;
/// The memory of a machine of the site.
const MEMORY_MB: f64 = 110.0;
/// How often the platform fetches them while an incident is being examined.
const FETCHED: Duration = Duration::from_secs(5);

pub fn run(out: &Path, trouble: bool) -> io::Result<bool> {
    let record = Record::create(out)?;
    let folder = fleet::temporary_folder("unread")?;
    let broken = play(&record, &folder, trouble);
    let _ = fs::remove_dir_all(&folder);
    broken
}

fn play(record: &Record, folder: &Path, trouble: bool) -> io::Result<bool> {
    let (platform, address) = Platform::start()?;
    platform.put("config", "main", fleet::configuration(1));
    let engines = [Engine::start("i-a")?, Engine::start("i-b")?, Engine::start("i-c")?];
    for engine in &engines {
        platform.put("servers", &engine.id, fleet::entry("model", engine.address, "z1", 1));
    }
    let machine = Gateway::start(folder, "front-z1-1", "z1", address)?;
    let (stop, events) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let callers: Vec<_> = (0..STREAMS)
        .map(|caller| {
            let (to, stop, events) = (machine.callers, stop.clone(), events.clone());
            thread::spawn(move || {
                for round in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let parts = format!(
                        "{:x}:100,{:x}:20",
                        0xa00 + caller,
                        0xb0000 + round * 1000 + caller
                    );
                    let request = Request::new(
                        &format!("c{caller}r{round}"),
                        "POST",
                        "/draft/x",
                        "events=2000 gap_ms=1 size=10",
                    )
                    .with("Model", "m")
                    .with("Token-Usage", "120,360")
                    .with("Prompt-Prefix", &parts);
                    events.fetch_add(request.send(to).event_ids().len(), Ordering::SeqCst);
                }
            })
        })
        .collect();
    let began = Instant::now();
    let mut peak = 0.0_f64;
    while began.elapsed() < LENGTH {
        thread::sleep(FETCHED);
        if !trouble {
            machine.metrics();
        }
        let (now, _) = fleet::memory_mb(machine.pid()).unwrap_or_default();
        peak = peak.max(now);
        record.line(format!("{now:.1} MB after {} pieces", events.load(Ordering::SeqCst)));
    }
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.join().map_err(|_| io::Error::other("a caller panicked"))?;
    }
    record.say(format!(
        "{peak:.1} MB of {MEMORY_MB:.0} MB after {} pieces",
        events.load(Ordering::SeqCst)
    ));
    Ok(peak > MEMORY_MB)
}
