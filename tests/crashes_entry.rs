//! The product's own interface: calls that crash the backend servers that run them, and sound ones that
//! share something with them.

mod common;

use std::{
    thread,
    time::{Duration, Instant},
};

use common::{programs, secret_of};
use serde_json::{Value, json};
use wasabi_standin::{
    caller::{Call, Stream},
    rig::{Rig, Size},
};

/// The text in a message that crashes engines.
const FATAL_TEXT: &str = "fatal text";
/// From this time after the last crash that is needed as evidence, hosts must have learned from it.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Crashes that are needed as evidence against a message.
const MESSAGE_CRASHES: usize = 5;
/// How many calls may reach servers afterwards.
const MAX_LATE_CALLS: usize = 3;

fn rig() -> anyhow::Result<Rig> {
    let rig = Rig::start(programs(), &Size { hosts: 3, engines: 6, ..Size::default() })?;
    for engine in &rig.engines {
        engine.update_faults(|faults| faults.fatal_text = Some(FATAL_TEXT.to_string()));
    }
    Ok(rig)
}

/// A call whose prompt has these messages and one of its own.
fn call(rig: &Rig, shared: &[&str], number: usize) -> Call {
    let message = |text: &str| json!({"role": "user", "content": text});
    let own = message(&format!("number {number}"));
    let messages: Vec<Value> = shared.iter().map(|text| message(text)).chain([own]).collect();
    let body = json!({"model": "costing", "stream": true, "max_tokens": 5, "messages": messages});
    let post = Call::post("/v1/chat/completions", body.to_string());
    post.bearer(secret_of(&rig.sample.lab))
}

/// Sends the calls that `next` makes of their numbers, each `interval` after the one before and to each
/// host in turn, until `end`; returns when each was sent and its answer.
fn send_each(
    rig: &Rig,
    interval: Duration,
    end: Instant,
    next: impl Fn(usize) -> Call + Sync,
) -> Vec<(Instant, Stream)> {
    thread::scope(|scope| {
        let mut calls = Vec::new();
        for number in 0.. {
            let now = Instant::now();
            if now >= end {
                break;
            }
            let (call, to) = (next(number), rig.hosts[number % rig.hosts.len()].callers);
            calls.push((now, scope.spawn(move || call.stream(to))));
            thread::sleep(interval);
        }
        let join = |(at, call): (Instant, thread::ScopedJoinHandle<'_, anyhow::Result<Stream>>)| {
            Some((at, call.join().expect("no panic").ok()?))
        };
        calls.into_iter().filter_map(join).collect()
    })
}

/// Returns when engines began to run a call with [`FATAL_TEXT`], each of which crashed one.
fn crashes(rig: &Rig) -> Vec<Instant> {
    let records = rig.engines.iter().flat_map(|engine| engine.records());
    let fatal = records.filter(|record| record.request_text.contains(FATAL_TEXT));
    let mut crashes: Vec<Instant> = fatal.map(|record| record.began).collect();
    crashes.sort();
    crashes
}

#[test]
fn calls_with_a_message_that_crashes_servers_are_not_sent_on() -> anyhow::Result<()> {
    let rig = rig()?;
    let end = Instant::now() + CONTACT * 4;
    let (fatal, sound) = thread::scope(|scope| {
        let fatal = scope.spawn(|| {
            send_each(&rig, Duration::from_millis(150), end, |number| {
                call(&rig, &["system", FATAL_TEXT], number)
            })
        });
        let sound = scope.spawn(|| {
            send_each(&rig, Duration::from_millis(60), end, |number| {
                call(&rig, &["system", ["x", "y"][number % 2]], number)
            })
        });
        (fatal.join().expect("no panic"), sound.join().expect("no panic"))
    });
    let crashes = crashes(&rig);
    let known = crashes[MESSAGE_CRASHES - 1] + CONTACT;
    let late = crashes.iter().filter(|at| **at > known).count();
    assert!(late <= MAX_LATE_CALLS, "{late} calls with the fatal message reached servers");
    let refused: Vec<&Stream> =
        fatal.iter().filter(|(at, _)| *at > known + CONTACT).map(|(_, answer)| answer).collect();
    assert!(!refused.is_empty(), "such calls still come");
    for answer in refused {
        assert_eq!((answer.status, answer.code()), (503, Some(1207)), "{answer:?}");
    }
    let sound: Vec<&Stream> =
        sound.iter().filter(|(at, _)| *at > known + CONTACT).map(|(_, answer)| answer).collect();
    let begun = sound.iter().filter(|answer| answer.status == 200).count();
    assert!(sound.len() >= 20, "only {} sound calls were sent", sound.len());
    assert!(begun * 2 >= sound.len(), "only {begun} of {} sound calls began", sound.len());
    Ok(())
}
