//! Several hosts share backend servers: the owner of a pool assigns requests to its servers, and
//! the other hosts ask it for one.

mod common;

use std::{
    thread,
    time::{Duration, Instant},
};

use common::{programs, secret_of};
use serde_json::json;
use wasabi_standin::{
    caller::{Call, PendingResponse, Stream},
    engine::{self, Profile},
    process::wait_until,
    rig::{Rig, Size},
};

fn three_hosts(engines: usize) -> Size {
    Size { hosts: 3, engines, ..Size::default() }
}

fn costing_call(rig: &Rig, prompt: &str, tokens: u64) -> Call {
    Call::chat(secret_of(&rig.sample.lab), "costing", prompt, tokens)
}

/// Returns a call of the highest tier.
fn top_tier_call(rig: &Rig, prompt: &str) -> Call {
    let call = Call::chat(secret_of(&rig.sample.office), "costing", prompt, 3);
    Call { target: "/check/v1/chat/completions".to_string(), ..call }
}

/// Waits until every host knows every other, so that all agree on the owners.
fn wait_agreed(rig: &Rig) -> anyhow::Result<()> {
    wait_until("the hosts know each other", || {
        rig.hosts.iter().all(|host| {
            let dump = host.dump().unwrap_or_default();
            dump["hosts"].as_array().is_some_and(|hosts| hosts.len() == rig.hosts.len())
        })
    })
}

/// Returns the index of the host that owns the pool `costing`.
fn owner_index(rig: &Rig) -> Option<usize> {
    rig.hosts.iter().position(|host| {
        let dump = host.dump().unwrap_or_default();
        let pools = dump["pools"].as_array().cloned().unwrap_or_default();
        let has_servers = |pool: &serde_json::Value| {
            pool["pool"] == "costing" && pool["servers"].as_array().is_some_and(|s| !s.is_empty())
        };
        pools.iter().any(has_servers)
    })
}

/// Sends all calls at once, through all hosts in turn, and returns their streams in order.
fn run_all(rig: &Rig, calls: Vec<Call>) -> anyhow::Result<Vec<Stream>> {
    thread::scope(|scope| {
        let calling = |(i, call): (usize, Call)| {
            let address = rig.hosts[i % rig.hosts.len()].callers;
            scope.spawn(move || call.stream(address))
        };
        let callers: Vec<_> = calls.into_iter().enumerate().map(calling).collect();
        callers.into_iter().map(|caller| caller.join().expect("no panic")).collect()
    })
}

#[test]
fn hosts_together_never_give_a_server_more_than_its_slots() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &three_hosts(2))?;
    wait_agreed(&rig)?;
    let calls = (0..30).map(|i| costing_call(&rig, &format!("c{i}"), 10)).collect();
    for (i, stream) in run_all(&rig, calls)?.into_iter().enumerate() {
        assert!(stream.complete, "{:?}", stream.error);
        assert_eq!(stream.text, engine::answer(&format!("c{i}"), 10));
    }
    for engine in &rig.engines {
        assert!(engine.peak() <= Profile::default().slots as usize, "{}", engine.peak());
    }
    Ok(())
}

#[test]
fn the_loss_of_an_owner_cuts_no_stream_of_other_hosts() -> anyhow::Result<()> {
    let mut rig = Rig::start(programs(), &three_hosts(2))?;
    wait_agreed(&rig)?;
    let lost = owner_index(&rig).expect("the pool has an owner");
    let others: Vec<usize> = (0..3).filter(|i| *i != lost).collect();
    let streams = (0..6)
        .map(|i| {
            let call = costing_call(&rig, &format!("s{i}"), 200);
            call.send(rig.hosts[others[i % 2]].callers)
        })
        .collect::<Result<Vec<_>, _>>()?;
    wait_until("the streams run", || rig.engines.iter().map(|e| e.running()).sum::<u32>() == 6)?;
    rig.hosts[lost].kill();
    for host in &others {
        let during = costing_call(&rig, "during", 3).stream(rig.hosts[*host].callers)?;
        assert!(during.complete, "{:?}", during.error);
    }
    for (i, stream) in streams.into_iter().enumerate() {
        let stream = stream.stream()?;
        assert!(stream.complete, "{:?}", stream.error);
        assert_eq!(stream.text, engine::answer(&format!("s{i}"), 200));
    }
    Ok(())
}

/// A paused owner does not answer; hosts that wait for it turn to the next one.
#[test]
fn a_paused_owner_is_passed_over() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &three_hosts(1))?;
    wait_agreed(&rig)?;
    let paused = owner_index(&rig).expect("the pool has an owner");
    let other = (paused + 1) % 3;
    rig.hosts[paused].pause();
    let stream = costing_call(&rig, "patient", 3).stream(rig.hosts[other].callers)?;
    assert!(stream.complete, "{:?}", stream.error);
    rig.hosts[paused].resume();
    Ok(())
}

/// Requests of the lowest tier, from every host, take all slots and have delivered tokens. A
/// request of the highest tier preempts and is served; the preempted answers still arrive complete.
#[test]
fn a_higher_tier_preempts_and_nothing_is_lost() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &three_hosts(1))?;
    wait_agreed(&rig)?;
    let low = |i: usize| costing_call(&rig, &format!("low{i}"), 150).send(rig.hosts[i % 3].callers);
    let mut streams = (0..4).map(low).collect::<Result<Vec<_>, _>>()?;
    for stream in &mut streams {
        assert_eq!(stream.wait_first_chunk()?, 200);
    }
    streams.extend((4..6).map(low).collect::<Result<Vec<_>, _>>()?);
    assert_eq!(rig.engines[0].running(), 4, "not all slots are taken");
    preempt(&rig, streams)?;
    let resumed = rig.engines[0].records().iter().filter(|r| r.resume_from > 0).count();
    assert!(resumed >= 1, "no preempted request resumed after the tokens that it had delivered");
    Ok(())
}

/// A request that is preempted before its first token has no position to resume from, so it starts
/// again.
#[test]
fn a_request_preempted_before_its_first_token_begins_anew() -> anyhow::Result<()> {
    let profile = Profile { first_token_delay: Duration::from_millis(300), ..Profile::default() };
    let rig = Rig::start(programs(), &Size { profile, ..three_hosts(1) })?;
    wait_agreed(&rig)?;
    let streams = (0..6)
        .map(|i| costing_call(&rig, &format!("low{i}"), 150).send(rig.hosts[i % 3].callers))
        .collect::<Result<Vec<_>, _>>()?;
    wait_until("not all slots are taken", || rig.engines[0].running() == 4)?;
    preempt(&rig, streams)?;
    let records = rig.engines[0].records();
    let low = records.iter().filter(|record| record.priority > 0).collect::<Vec<_>>();
    assert!(low.len() > 6, "no request ran again: {low:?}");
    assert!(low.iter().all(|record| record.resume_from == 0), "{low:?}");
    Ok(())
}

/// Sends a request of the highest tier while `streams` take all slots, and checks that all answers
/// arrive complete.
fn preempt(rig: &Rig, streams: Vec<PendingResponse>) -> anyhow::Result<()> {
    let high = top_tier_call(rig, "now").stream(rig.hosts[0].callers)?;
    assert!(high.complete, "{:?}", high.error);
    let completed = rig.engines[0].records().iter().filter(|record| record.complete).count();
    assert!(completed <= 1, "the request waited for a free slot");
    for (i, stream) in streams.into_iter().enumerate() {
        let stream = stream.stream()?;
        assert!(stream.complete, "{:?}", stream.error);
        assert_eq!(stream.text, engine::answer(&format!("low{i}"), 150));
    }
    Ok(())
}

/// The limit of a workspace applies to its requests on all hosts together.
#[test]
fn a_workspace_is_held_to_its_limit_over_all_hosts() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &three_hosts(1))?;
    wait_agreed(&rig)?;
    let changed = json!({"workspaces": [{"name": "lab", "max_running": 2}]});
    rig.apply(&json!({"id": "limit", "base": 1, "changed": changed}))?;
    for host in &rig.hosts {
        rig.wait_revision(host, 2)?;
    }
    let open = (0..2)
        .map(|i| costing_call(&rig, &format!("open{i}"), 100_000).send(rig.hosts[i].callers))
        .collect::<Result<Vec<_>, _>>()?;
    wait_until("two run", || rig.engines[0].running() == 2)?;
    for host in &rig.hosts {
        let refused = costing_call(&rig, "one more", 1).stream(host.callers)?;
        assert_eq!(refused.code(), Some(1201), "{:?}", refused.error);
    }
    drop(open);
    wait_until("there is room again", || {
        costing_call(&rig, "again", 1)
            .stream(rig.hosts[2].callers)
            .is_ok_and(|stream| stream.complete)
    })
}

/// A host that has not seen any answer yet only assumes how long answers are; it must not refuse
/// requests because of that.
#[test]
fn short_requests_are_not_refused_before_any_length_is_known() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &Size::default())?;
    let calls = (0..40).map(|i| top_tier_call(&rig, &format!("first{i}"))).collect();
    for stream in run_all(&rig, calls)? {
        assert!(stream.complete, "{:?}", stream.error);
    }
    Ok(())
}

/// Requests of two tiers exceed capacity: those of the lowest tier are refused first, with a time
/// to retry, and none of the highest tier is refused.
#[test]
fn the_lowest_tier_is_refused_first() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &three_hosts(1))?;
    wait_agreed(&rig)?;
    let class = json!({"name": "costing", "tier": 2, "max_gap_ms": 60_000,
        "target": {"stream": {"first_token_ms": 300, "inter_token_ms": 200}}});
    rig.apply(&json!({"id": "short", "base": 1, "changed": {"classes": [class]}}))?;
    for host in &rig.hosts {
        rig.wait_revision(host, 2)?;
    }
    let mut calls: Vec<Call> = (0..30).map(|i| top_tier_call(&rig, &format!("h{i}"))).collect();
    calls.extend((0..30).map(|i| costing_call(&rig, &format!("l{i}"), 40)));
    let streams = run_all(&rig, calls)?;
    let (high, low) = streams.split_at(30);
    assert!(high.iter().all(|stream| stream.complete), "a request of the highest tier was refused");
    let refused: Vec<&Stream> = low.iter().filter(|stream| !stream.complete).collect();
    assert!(!refused.is_empty());
    for stream in refused {
        assert_eq!(stream.code(), Some(1202), "{:?}", stream.error);
        let error = stream.error.as_ref().expect("the refusal has an error body")["error"].clone();
        assert_eq!(error["ran"], "not run");
        assert!(error["retry_after_s"].as_u64() >= Some(1));
    }
    Ok(())
}

#[test]
fn a_limit_that_a_server_names_holds_for_all_hosts_together() -> anyhow::Result<()> {
    const LIMIT: f64 = 2.0;
    const SETTLING: Duration = Duration::from_secs(3);
    const SPAN: Duration = Duration::from_secs(4);
    let rig = Rig::start(programs(), &three_hosts(2))?;
    wait_agreed(&rig)?;
    rig.engines[0].update_faults(|faults| faults.limit = Some(LIMIT));
    let start = Instant::now();
    thread::scope(|scope| {
        for host in &rig.hosts {
            let rig = &rig;
            scope.spawn(move || {
                for number in 0.. {
                    if start.elapsed() > SETTLING + SPAN * 2 {
                        break;
                    }
                    // Prompts differ, so that the calls prefer different servers.
                    let prompt = format!("line {number} of {}", host.callers);
                    // Refusals are part of the play.
                    let _ = top_tier_call(rig, &prompt).stream(host.callers);
                }
            });
        }
    });
    let arrivals: Vec<Instant> =
        rig.engines[0].records().iter().map(|record| record.began).collect();
    let counted: Vec<&Instant> = arrivals.iter().filter(|at| **at >= start + SETTLING).collect();
    let in_span =
        |start: Instant| counted.iter().filter(|at| (start..start + SPAN).contains(**at)).count();
    let most = counted.iter().map(|at| in_span(**at)).max().unwrap_or(0);
    let allowed = 1.5 * LIMIT * SPAN.as_secs_f64() + 5.0;
    assert!(most as f64 <= allowed, "{most} requests in {SPAN:?}, allowed {allowed}");
    assert!(most > 0, "it still gets some requests");
    Ok(())
}
