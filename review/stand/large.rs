//! Many callers come at once with bodies that the configuration allows.

use std::fs;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::{Answer, Kept, Request};
use crate::engine::Engine;
use crate::fleet::{self, Addresses, Gateway, Record};
use crate::platform::Platform;

const ROUNDS: usize = 3;
/// The memory of a machine of the site.
const MEMORY_MB: f64 = 110.0;
/// The clients of a zone of the site, whose only machine has all of them.
const CLIENTS: usize = 10;
/// The site's largest burst is 2.4 times the usual.
const BURST_CLIENTS: usize = 24;
/// The configuration allows 4,194,304.
const BODY_BYTES: usize = 4_000_000;
/// 24 bodies in this time are less than half of what the machine's link of 1,000 Mbit/s carries.
const UPLOAD: Duration = Duration::from_millis(2_000);
/// Callers beside the burst, each with a request at any time.
const OTHERS: usize = 8;
/// The site's requests take 450 ms at most.
const WORK_MS: u64 = 400;

/// A request whose connection has ended without an answer.
struct Lost {
    id: String,
    machine: usize,
}

pub fn run(out: &Path, trouble: bool) -> io::Result<bool> {
    let record = Arc::new(Record::create(out)?);
    let folder = fleet::temporary_folder("large")?;
    let broken = play(&record, &folder, trouble);
    let _ = fs::remove_dir_all(&folder);
    broken
}

fn play(record: &Arc<Record>, folder: &Path, trouble: bool) -> io::Result<bool> {
    let (platform, address) = Platform::start()?;
    platform.put("config", "main", fleet::configuration(1));
    let apps = [Engine::start("i-app-a")?, Engine::start("i-app-b")?];
    let model = Engine::start("i-model")?;
    for app in &apps {
        platform.put("servers", &app.id, fleet::entry("app", app.address, "z1", 1));
    }
    platform.put("servers", &model.id, fleet::entry("model", model.address, "z1", 1));
    let places =
        [("front-z1-1", "z1", Addresses::pick()?), ("front-z2-1", "z2", Addresses::pick()?)];
    let stop = Arc::new(AtomicBool::new(false));
    let over = Arc::new(AtomicBool::new(false));
    let ends = Arc::new(Mutex::new([0; 2]));
    let peaks = Arc::new(Mutex::new([0.0_f64; 2]));
    let mut watches = Vec::new();
    for (number, (name, zone, at)) in places.into_iter().enumerate() {
        let machine = Gateway::start_at(at, folder, name, zone, address)?;
        let (over, ends, peaks) = (over.clone(), ends.clone(), peaks.clone());
        let (record, folder) = (record.clone(), folder.to_path_buf());
        watches.push(thread::spawn(move || -> io::Result<()> {
            // The platform kills a process whose memory exceeds the machine's, and starts it again.
            let mut machine = machine;
            while !over.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
                let now = fleet::memory_mb(machine.pid()).map_or(0.0, |(now, _)| now);
                let peak = &mut peaks.lock().unwrap()[number];
                *peak = peak.max(now);
                if now <= MEMORY_MB {
                    continue;
                }
                machine.kill();
                ends.lock().unwrap()[number] += 1;
                record.line(format!(
                    "{name} has {now:.0} MB of {MEMORY_MB:.0} MB: killed, as the platform does"
                ));
                thread::sleep(Duration::from_millis(300));
                machine = Gateway::start_at(at, &folder, name, zone, address)?;
                record.line(format!("{name} is ready again"));
            }
            Ok(())
        }));
    }
    let lost = Arc::new(Mutex::new(Vec::new()));
    let answered = Arc::new(Mutex::new(std::collections::BTreeMap::<u16, usize>::new()));
    let mut others = Vec::new();
    for number in 0..2 * OTHERS {
        let (stop, lost, answered) = (stop.clone(), lost.clone(), answered.clone());
        let (machine, to) = (number % 2, places[number % 2].2.callers);
        others.push(thread::spawn(move || {
            let mut kept = None;
            for round in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let id = format!("other{number}r{round}");
                let request =
                    Request::new(&id, "POST", "/confirm/x", &format!("work_ms={WORK_MS}"));
                let Some(mut connection) = kept.take().or_else(|| Kept::connect(to).ok()) else {
                    thread::sleep(Duration::from_millis(50));
                    continue;
                };
                let mut answer = Answer::default();
                if connection.exchange(&request, &mut answer).is_ok() {
                    kept = Some(connection);
                }
                *answered.lock().unwrap().entry(answer.status).or_default() += 1;
                if answer.status == 0 {
                    lost.lock().unwrap().push(Lost { id, machine });
                }
            }
        }));
    }
    // Machines are in touch 3 s after their start.
    thread::sleep(Duration::from_secs(4));
    let burst = if trouble { BURST_CLIENTS } else { CLIENTS };
    for round in 0..ROUNDS {
        record.line(format!(
            "round {round}: {burst} callers at each machine send {BODY_BYTES} bytes each"
        ));
        let began = Instant::now();
        let callers: Vec<_> = (0..2 * burst)
            .map(|number| {
                let (machine, to) = (number % 2, places[number % 2].2.callers);
                let lost = lost.clone();
                thread::spawn(move || {
                    let body = format!("work_ms={WORK_MS} {}", "z".repeat(BODY_BYTES - 20));
                    let id = format!("large{round}n{number}");
                    let mut request = Request::new(&id, "POST", "/confirm/x", &body);
                    request.upload = UPLOAD;
                    let answer = request.send(to);
                    if answer.status == 0 {
                        lost.lock().unwrap().push(Lost { id, machine });
                    }
                    answer.status
                })
            })
            .collect();
        let mut statuses = std::collections::BTreeMap::new();
        for caller in callers {
            let status = caller.join().map_err(|_| io::Error::other("a caller panicked"))?;
            *statuses.entry(status).or_insert(0) += 1;
        }
        record.line(format!(
            "round {round}: answers by status {statuses:?} (0: none) after {:?}",
            began.elapsed()
        ));
        thread::sleep(Duration::from_secs(4));
    }
    stop.store(true, Ordering::SeqCst);
    for other in others {
        other.join().map_err(|_| io::Error::other("a caller panicked"))?;
    }
    over.store(true, Ordering::SeqCst);
    for watch in watches {
        watch.join().map_err(|_| io::Error::other("the platform panicked"))??;
    }
    let answered = answered.lock().unwrap().clone();
    record.line(format!(
        "requests of {} other callers on kept connections, by status: {answered:?} (0: none)",
        2 * OTHERS
    ));
    let runs: Vec<String> = apps.iter().flat_map(Engine::runs).collect();
    let (mut passed_on, mut of_burst) = ([0; 2], 0);
    for Lost { id, machine } in lost.lock().unwrap().iter() {
        let ran = runs.contains(id);
        // The rule speaks of kept connections; those of the burst carry one request each.
        let kept = id.starts_with("other");
        passed_on[*machine] += usize::from(ran && kept);
        of_burst += usize::from(ran && !kept);
        let place = places[*machine].0;
        let what = if ran { "passed on to a sound engine, which ran it" } else { "not passed on" };
        record.line(format!("{id} at {place}: connection closed without an answer, {what}"));
    }
    let (ends, peaks) = (*ends.lock().unwrap(), *peaks.lock().unwrap());
    record.say(format!(
        "processes killed for their memory: {ends:?}; most memory {peaks:.0?} MB; {passed_on:?} requests of kept connections, and {of_burst} of the burst, were passed on to a sound engine and their connections closed without an answer"
    ));
    Ok(passed_on.iter().any(|lost| *lost > 3))
}
