//! An engine sends late second answers that are broken off, in front of the answers that are due.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::{Answer, Kept, Request};
use crate::engine::Engine;
use crate::fleet::{self, Gateway, Record};
use crate::platform::Platform;

const LENGTH: Duration = Duration::from_secs(80);
/// How long answers are spoiled at a time, as at the site.
const SPAN: Duration = Duration::from_secs(5);
const CALLERS: usize = 16;
const WORK_MS: u64 = 60;
/// One answer in 33 is spoiled, at one engine of two; the site has a share of 0.6 and x = 0.03.
const SPOILED: u64 = 33;

pub fn run(out: &Path, trouble: bool) -> io::Result<bool> {
    let record = Record::create(out)?;
    let folder = fleet::temporary_folder("spoiled")?;
    let broken = play(&record, &folder, trouble);
    let _ = fs::remove_dir_all(&folder);
    broken
}

fn play(record: &Record, folder: &Path, trouble: bool) -> io::Result<bool> {
    let (platform, address) = Platform::start()?;
    platform.put("config", "main", fleet::configuration(1));
    let mut apps = [Engine::start("i-app-a")?, Engine::start("i-app-b")?];
    let model = Engine::start("i-model")?;
    for app in &apps {
        platform.put("servers", &app.id, fleet::entry("app", app.address, "z1", 1));
    }
    platform.put("servers", &model.id, fleet::entry("model", model.address, "z1", 1));
    let machine = Gateway::start(folder, "front-z1-1", "z1", address)?;
    let answers = Arc::new(Mutex::new(Vec::new()));
    let began = Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (to, answers) = (machine.callers, answers.clone());
            thread::spawn(move || {
                let mut kept = None;
                for round in 0.. {
                    if began.elapsed() >= LENGTH {
                        return;
                    }
                    let id = format!("c{caller}r{round}");
                    let body = format!("work_ms={WORK_MS} size=800");
                    let mut request = Request::new(&id, "POST", "/confirm/x", &body);
                    request.deadline = Duration::from_secs(4);
                    let Some(mut connection) = kept.take().or_else(|| Kept::connect(to).ok())
                    else {
                        continue;
                    };
                    let mut answer = Answer::default();
                    if connection.exchange(&request, &mut answer).is_ok() {
                        kept = Some(connection);
                    }
                    answers.lock().unwrap().push((id, answer));
                }
            })
        })
        .collect();
    // Spans of the disruption, with pauses as long.
    while trouble && began.elapsed() + SPAN < LENGTH {
        apps[0].spoil(SPOILED)?;
        record.line(format!("{} spoils one answer in {SPOILED}", apps[0].id));
        thread::sleep(SPAN);
        apps[0].spoil(0)?;
        record.line(format!("{} spoils none", apps[0].id));
        thread::sleep(SPAN);
    }
    for caller in callers {
        caller.join().map_err(|_| io::Error::other("a caller panicked"))?;
    }
    let (mut spoiled, mut mixed, mut refused, mut twice) = (0, 0, 0, 0);
    let answers = answers.lock().unwrap();
    let mut runs = BTreeMap::<String, usize>::new();
    for id in apps.iter().flat_map(Engine::runs) {
        *runs.entry(id).or_default() += 1;
    }
    let before_answers = apps[0].spoiled();
    for (id, answer) in answers.iter() {
        let ran = runs.get(id).copied().unwrap_or(0);
        let is_twice = ran > 1;
        // An engine has answered with 200 whatever it has run.
        let signed = answer.head.has("response-signature");
        let is_mixed = ran > 0 && signed && answer.status != 200;
        let is_refused = ran > 0 && matches!(answer.status, 408 | 421 | 429 | 503);
        let before = before_answers.get(id).cloned();
        spoiled += usize::from(before.is_some());
        twice += usize::from(is_twice);
        mixed += usize::from(is_mixed);
        refused += usize::from(is_refused);
        if before.is_none() && !is_twice && !is_mixed && !is_refused {
            record.line(format!("{id}: runs {ran}; the caller gets {}", answer.status));
            continue;
        }
        record.line(format!(
            "{id}: in front of the answer {}; runs {ran}; the caller gets {} {}{}{}{}",
            before.unwrap_or_default(),
            answer.status,
            if signed { "signed" } else { "unsigned" },
            if is_twice { " <- TWICE" } else { "" },
            if is_refused { " <- REFUSED" } else { "" },
            if is_mixed { " <- MIXED" } else { "" }
        ));
    }
    record.say(format!(
        "{} requests, {spoiled} spoiled answers; {twice} ran twice (TWICE), {refused} were refused and have run (REFUSED), {mixed} got another status with the engine's signature (MIXED)",
        answers.len()
    ));
    Ok(twice + refused + mixed > 0)
}
