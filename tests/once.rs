//! Calls that may not be repeated run at most once, and a refusal that says "not run" is true.

mod common;

use std::{thread, time::Duration};

use common::{programs, secret_of};
use serde_json::json;
use wasabi_standin::{
    caller::{Answer, Call},
    process::wait_until,
    proxy::{Mode, Proxy},
    rig::{self, Rig, Size},
};

fn record(rig: &Rig, once: &str) -> Call {
    Call::post("/records/cert", r#"{"asset": 7}"#)
        .bearer(secret_of(&rig.sample.lab))
        .header("idempotency-key", once)
}

fn executions(rig: &Rig, once: &str) -> usize {
    let services = rig.services.iter();
    services.flat_map(|service| service.executions()).filter(|e| e.key == once).count()
}

fn two_hosts() -> Size {
    Size { hosts: 2, services: 2, ..Size::default() }
}

#[test]
fn a_retry_through_any_host_returns_the_stored_answer() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &two_hosts())?;
    let first = record(&rig, "a").answer(rig.hosts[0].callers)?;
    assert_eq!(first.status, 200);
    for host in &rig.hosts {
        let again = record(&rig, "a").answer(host.callers)?;
        assert_eq!((again.status, &again.body), (200, &first.body));
    }
    assert_eq!(executions(&rig, "a"), 1);
    let other = Call::post("/records/cert", r#"{"asset": 8}"#)
        .bearer(secret_of(&rig.sample.lab))
        .header("idempotency-key", "a");
    assert_eq!(other.answer(rig.hosts[1].callers)?.code(), Some(1402));
    let office = record(&rig, "a");
    let office = Call { headers: Vec::new(), ..office }
        .bearer(secret_of(&rig.sample.office))
        .header("idempotency-key", "a");
    assert_eq!(office.answer(rig.hosts[1].callers)?.status, 200, "keys are scoped by workspace");
    assert_eq!(executions(&rig, "a"), 2);
    let none = Call::post("/records/cert", "{}").bearer(secret_of(&rig.sample.lab));
    assert_eq!(none.answer(rig.hosts[0].callers)?.code(), Some(1401));
    Ok(())
}

#[test]
fn calls_at_once_through_two_hosts_run_once() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &two_hosts())?;
    for service in &rig.services {
        service.fault(|faults| faults.late = Duration::from_millis(100));
    }
    for round in 0..5 {
        let once = format!("race-{round}");
        let answers: Vec<Answer> = thread::scope(|scope| {
            let calling = |i: usize| {
                let (rig, once) = (&rig, &once);
                scope.spawn(move || record(rig, once).answer(rig.hosts[i % 2].callers))
            };
            let callers: Vec<_> = (0..8).map(calling).collect();
            callers.into_iter().map(|c| c.join().expect("no panic")).collect::<Result<_, _>>()
        })?;
        assert_eq!(executions(&rig, &once), 1);
        for answer in &answers {
            assert!(answer.status == 200 || answer.code() == Some(1403), "{answer:?}");
        }
    }
    Ok(())
}

#[test]
fn a_claim_whose_answer_is_lost_runs_once() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &two_hosts())?;
    for round in 0..3 {
        let once = format!("lost-{round}");
        rig.platform.fault(|faults| faults.lose_answers = 1 + round);
        let answer = record(&rig, &once).answer(rig.hosts[0].callers)?;
        rig.platform.fault(|faults| faults.lose_answers = 0);
        let run = executions(&rig, &once);
        match answer.status {
            200 => assert_eq!(run, 1),
            _ => assert_eq!((answer.ran().as_deref(), run), (Some("not run"), 0), "{answer:?}"),
        }
        wait_until("a retry gets the answer", || {
            let retry = record(&rig, &once).answer(rig.hosts[1].callers);
            retry.is_ok_and(|retry| retry.status == 200)
        })?;
        assert_eq!(executions(&rig, &once), 1);
    }
    Ok(())
}

#[test]
fn a_lost_outcome_is_unknown_and_never_run_again() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &two_hosts())?;
    rig.services.iter().for_each(|service| service.fault(|faults| faults.lose_answer = true));
    let first = record(&rig, "x").answer(rig.hosts[0].callers)?;
    assert_eq!((first.code(), first.ran().as_deref()), (Some(1302), Some("unknown")));
    rig.services.iter().for_each(|service| service.fault(|faults| faults.lose_answer = false));
    for host in &rig.hosts {
        let again = record(&rig, "x").answer(host.callers)?;
        assert_eq!((again.code(), again.ran().as_deref()), (Some(1404), Some("unknown")));
    }
    assert_eq!(executions(&rig, "x"), 1);
    Ok(())
}

#[test]
fn without_the_store_a_call_is_truly_not_run() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &two_hosts())?;
    rig.platform.fault(|faults| faults.down = true);
    let refused = record(&rig, "down").answer(rig.hosts[0].callers)?;
    assert_eq!((refused.code(), refused.ran().as_deref()), (Some(1406), Some("not run")));
    assert!(refused.headers.iter().any(|(name, _)| name == "retry-after"));
    assert_eq!(executions(&rig, "down"), 0);
    rig.platform.fault(|faults| faults.down = false);
    wait_until("a retry runs", || {
        record(&rig, "down").answer(rig.hosts[1].callers).is_ok_and(|retry| retry.status == 200)
    })?;
    assert_eq!(executions(&rig, "down"), 1);
    Ok(())
}

/// The claim reaches the store only after the caller was told "not run": the message is held back
/// in the proxy and released later. The call must still be possible, and run once.
#[test]
fn a_claim_that_arrives_late_does_not_run_a_call_twice() -> anyhow::Result<()> {
    let mut rig = Rig::start(programs(), &Size { hosts: 1, services: 1, ..Size::default() })?;
    let way = Proxy::start(rig.platform.address())?;
    rig.add_host_with("far", &rig::settings("far", &way.url()))?;
    rig.wait_revision(&rig.hosts[1], 1)?;
    way.set(Mode::Hold);
    let refused = record(&rig, "held").answer(rig.hosts[1].callers)?;
    assert_eq!((refused.code(), refused.ran().as_deref()), (Some(1406), Some("not run")));
    way.set(Mode::Pass);
    wait_until("a retry gets the answer", || {
        rig.hosts.iter().all(|host| {
            record(&rig, "held").answer(host.callers).is_ok_and(|retry| retry.status == 200)
        })
    })?;
    assert_eq!(executions(&rig, "held"), 1);
    Ok(())
}

/// The first host is killed with the call open; the caller retries elsewhere; then the backend
/// server's answer to the first host comes.
#[test]
fn a_call_of_a_killed_host_is_never_run_again() -> anyhow::Result<()> {
    let mut rig = Rig::start(programs(), &Size { hosts: 2, services: 1, ..Size::default() })?;
    rig.services[0].fault(|faults| faults.late = Duration::from_millis(1_500));
    let pending = record(&rig, "kill").send(rig.hosts[0].callers)?;
    wait_until("the call runs", || executions(&rig, "kill") == 1)?;
    rig.hosts[0].kill();
    drop(pending);
    let early = record(&rig, "kill").answer(rig.hosts[1].callers)?;
    assert_eq!((early.code(), early.ran().as_deref()), (Some(1403), Some("unknown")));
    rig.unlist_host("host-0");
    wait_until("the outcome is known to be unknown", || {
        let retry = record(&rig, "kill").answer(rig.hosts[1].callers);
        retry.is_ok_and(|retry| retry.code() == Some(1404))
    })?;
    assert_eq!(executions(&rig, "kill"), 1);
    Ok(())
}

/// A paused host is silent and may still send; silence alone must not free its claim.
#[test]
fn a_call_of_a_paused_host_is_not_run_by_another() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &Size { hosts: 2, services: 1, ..Size::default() })?;
    rig.services[0].fault(|faults| faults.late = Duration::from_millis(300));
    let pending = record(&rig, "pause").send(rig.hosts[0].callers)?;
    wait_until("the call runs", || executions(&rig, "pause") == 1)?;
    rig.hosts[0].pause();
    for _ in 0..3 {
        let retry = record(&rig, "pause").answer(rig.hosts[1].callers)?;
        assert_eq!(retry.code(), Some(1403));
    }
    rig.hosts[0].resume();
    let first = pending.answer()?;
    assert_eq!(first.status, 200);
    let again = record(&rig, "pause").answer(rig.hosts[1].callers)?;
    assert_eq!(again.body, first.body);
    assert_eq!(executions(&rig, "pause"), 1);
    Ok(())
}

#[test]
fn a_call_goes_on_when_its_caller_leaves() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &two_hosts())?;
    rig.services.iter().for_each(|s| s.fault(|f| f.late = Duration::from_millis(200)));
    let pending = record(&rig, "left").send(rig.hosts[0].callers)?;
    wait_until("the call runs", || executions(&rig, "left") == 1)?;
    drop(pending);
    wait_until("the answer is kept", || {
        let retry = record(&rig, "left").answer(rig.hosts[1].callers);
        retry.is_ok_and(|retry| retry.json()["receipt"] == json!(1))
    })?;
    assert_eq!(executions(&rig, "left"), 1);
    Ok(())
}

/// A server that cannot be connected to has received nothing, so another may be tried.
#[test]
fn a_server_that_is_down_is_passed_over() -> anyhow::Result<()> {
    let mut rig = Rig::start(programs(), &two_hosts())?;
    let gone = rig.services.remove(0);
    let address = gone.address();
    drop(gone);
    wait_until("the server is down", || std::net::TcpStream::connect(address).is_err())?;
    for round in 0..4 {
        let answer = record(&rig, &format!("over-{round}")).answer(rig.hosts[0].callers)?;
        assert_eq!(answer.status, 200);
        assert_eq!(executions(&rig, &format!("over-{round}")), 1);
    }
    Ok(())
}
