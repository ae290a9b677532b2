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
/// Crashes that are needed as evidence against a call that comes again.
const CALL_CRASHES: usize = 3;
/// How many calls may reach servers afterwards.
const MAX_LATE_CALLS: usize = 3;

fn rig() -> anyhow::Result<Rig> {
    let size = Size { hosts: 3, engines: 6, services: 3, ..Size::default() };
    let rig = Rig::start(programs(), &size)?;
    for service in &rig.services {
        service.update_faults(|faults| faults.fatal_text = Some(FATAL_TEXT.to_string()));
    }
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

/// Returns when servers began to run a call with [`FATAL_TEXT`], each of which crashed one.
fn crashes(rig: &Rig) -> Vec<Instant> {
    let records = rig.engines.iter().flat_map(|engine| engine.records());
    let fatal = records.filter(|record| record.request_text.contains(FATAL_TEXT));
    let executions = rig.services.iter().flat_map(|service| service.executions());
    let calls = executions.filter(|call| call.request_text.contains(FATAL_TEXT));
    let mut crashes: Vec<Instant> = fatal.map(|record| record.began).collect();
    crashes.extend(calls.map(|call| call.at));
    crashes.sort();
    crashes
}

#[test]
fn calls_with_a_message_that_crashes_servers_are_not_sent_on() -> anyhow::Result<()> {
    let rig = rig()?;
    assert_servers_are_spared(
        &rig,
        MESSAGE_CRASHES,
        |number| call(&rig, &["system", FATAL_TEXT], number),
        |number| call(&rig, &["system", ["x", "y"][number % 2]], number),
    )
}

/// Sends calls that crash servers for 12 s, beside sound ones, and checks that servers are spared once
/// `evidence` of them have crashed, and that sound calls are served.
fn assert_servers_are_spared(
    rig: &Rig,
    evidence: usize,
    fatal: impl Fn(usize) -> Call + Sync,
    sound: impl Fn(usize) -> Call + Sync,
) -> anyhow::Result<()> {
    let end = Instant::now() + CONTACT * 4;
    let (fatal, sound) = thread::scope(|scope| {
        let fatal = scope.spawn(|| send_each(rig, Duration::from_millis(150), end, &fatal));
        let sound = scope.spawn(|| send_each(rig, Duration::from_millis(60), end, &sound));
        (fatal.join().expect("no panic"), sound.join().expect("no panic"))
    });
    let crashes = crashes(rig);
    let known = crashes[evidence - 1] + CONTACT;
    let late = crashes.iter().filter(|at| **at > known).count();
    assert!(late <= MAX_LATE_CALLS, "{late} calls that crash servers reached them");
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

#[test]
fn a_streamed_call_that_crashes_servers_is_not_sent_on_when_it_comes_again() -> anyhow::Result<()> {
    let rig = rig()?;
    let fatal = call(&rig, &[], 0).body;
    let fatal = String::from_utf8(fatal)?.replace("number 0", FATAL_TEXT).into_bytes();
    assert_servers_are_spared(
        &rig,
        CALL_CRASHES,
        |number| Call { body: fatal.clone(), ..call(&rig, &[], number) },
        |number| call(&rig, &[], number),
    )
}

#[test]
fn a_plain_call_that_crashes_servers_is_not_sent_on_when_it_comes_again() -> anyhow::Result<()> {
    let rig = rig()?;
    let post = |body: String| Call::post("/assets", body).bearer(secret_of(&rig.sample.lab));
    let fatal = |_| post(FATAL_TEXT.to_string());
    assert_servers_are_spared(&rig, CALL_CRASHES, fatal, |number| post(format!("sound {number}")))
}

#[test]
fn a_call_that_may_run_once_and_crashes_servers_is_not_sent_on_when_it_comes_again()
-> anyhow::Result<()> {
    let rig = rig()?;
    let post = |body: String, key: String| {
        let call = Call::post("/records", body).bearer(secret_of(&rig.sample.lab));
        call.header("idempotency-key", &key)
    };
    let fatal = |number| post(FATAL_TEXT.to_string(), format!("f{number}"));
    let sound = |number| post(format!("sound {number}"), format!("s{number}"));
    assert_servers_are_spared(&rig, CALL_CRASHES, fatal, sound)
}

#[test]
fn servers_whose_answers_lack_the_end_marker_have_not_crashed() -> anyhow::Result<()> {
    let rig = rig()?;
    for engine in &rig.engines {
        engine.update_faults(|faults| faults.omit_end_marker = true);
    }
    let end = Instant::now() + Duration::from_secs(3);
    let answers = send_each(&rig, Duration::from_millis(300), end, |_| call(&rig, &["system"], 0));
    let codes: Vec<Option<u64>> = answers.iter().map(|(_, answer)| answer.code()).collect();
    assert!(codes.iter().all(|code| *code == Some(1302)), "{codes:?}");
    Ok(())
}
