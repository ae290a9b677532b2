//! Calls with an idempotency key run at most once, and a refusal that says "not run" is true.

mod common;

use std::{thread, time::Duration};

use common::{programs, secret_of};
use serde_json::json;
use wasabi_standin::{
    caller::{Call, Response},
    process::wait_until,
    proxy::{Mode, Proxy},
    rig::{self, Rig, Size},
};

/// Returns a call that is not idempotent, with an idempotency key.
fn keyed_call(rig: &Rig, call_key: &str) -> Call {
    Call::post("/records/cert", r#"{"asset": 7}"#)
        .bearer(secret_of(&rig.sample.lab))
        .header("idempotency-key", call_key)
}

/// Returns how often the call with this idempotency key ran, over all backend servers.
fn execution_count(rig: &Rig, call_key: &str) -> usize {
    let services = rig.services.iter();
    services
        .flat_map(|service| service.executions())
        .filter(|e| e.idempotency_key == call_key)
        .count()
}

/// Checks that each host reports the outcome of the call as unknown, and that it ran once.
fn check_outcome_is_unknown(rig: &Rig, call_key: &str) -> anyhow::Result<()> {
    for host in &rig.hosts {
        let again = keyed_call(rig, call_key).fetch(host.callers)?;
        assert_eq!((again.code(), again.ran().as_deref()), (Some(1404), Some("unknown")));
    }
    assert_eq!(execution_count(rig, call_key), 1);
    Ok(())
}

fn two_hosts() -> Size {
    Size { hosts: 2, services: 2, ..Size::default() }
}

#[test]
fn a_retry_through_any_host_returns_the_stored_answer() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &two_hosts())?;
    let first = keyed_call(&rig, "a").fetch(rig.hosts[0].callers)?;
    assert_eq!(first.status, 200);
    for host in &rig.hosts {
        let again = keyed_call(&rig, "a").fetch(host.callers)?;
        assert_eq!((again.status, &again.body), (200, &first.body));
    }
    assert_eq!(execution_count(&rig, "a"), 1);
    let other = Call::post("/records/cert", r#"{"asset": 8}"#)
        .bearer(secret_of(&rig.sample.lab))
        .header("idempotency-key", "a");
    assert_eq!(other.fetch(rig.hosts[1].callers)?.code(), Some(1402));
    let office = keyed_call(&rig, "a");
    let office = Call { headers: Vec::new(), ..office }
        .bearer(secret_of(&rig.sample.office))
        .header("idempotency-key", "a");
    assert_eq!(
        office.fetch(rig.hosts[1].callers)?.status,
        200,
        "a key of another workspace was matched"
    );
    assert_eq!(execution_count(&rig, "a"), 2);
    let none = Call::post("/records/cert", "{}").bearer(secret_of(&rig.sample.lab));
    assert_eq!(none.fetch(rig.hosts[0].callers)?.code(), Some(1401));
    Ok(())
}

#[test]
fn calls_at_once_through_two_hosts_run_once() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &two_hosts())?;
    for service in &rig.services {
        service.update_faults(|faults| faults.response_delay = Duration::from_millis(100));
    }
    for round in 0..5 {
        let call_key = format!("race-{round}");
        let answers: Vec<Response> = thread::scope(|scope| {
            let calling = |i: usize| {
                let (rig, call_key) = (&rig, &call_key);
                scope.spawn(move || keyed_call(rig, call_key).fetch(rig.hosts[i % 2].callers))
            };
            let callers: Vec<_> = (0..8).map(calling).collect();
            callers.into_iter().map(|c| c.join().expect("no panic")).collect::<Result<_, _>>()
        })?;
        assert_eq!(execution_count(&rig, &call_key), 1);
        for answer in &answers {
            assert!(answer.status == 200 || answer.code() == Some(1403), "{answer:?}");
        }
    }
    Ok(())
}

#[test]
fn a_call_runs_once_when_the_response_to_its_claim_is_lost() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &two_hosts())?;
    for round in 0..3 {
        let call_key = format!("lost-{round}");
        rig.platform.update_faults(|faults| faults.lose_responses = 1 + round);
        let answer = keyed_call(&rig, &call_key).fetch(rig.hosts[0].callers)?;
        rig.platform.update_faults(|faults| faults.lose_responses = 0);
        let runs = execution_count(&rig, &call_key);
        match answer.status {
            200 => assert_eq!(runs, 1),
            _ => assert_eq!((answer.ran().as_deref(), runs), (Some("not run"), 0), "{answer:?}"),
        }
        wait_until("a retry gets the answer", || {
            let retry = keyed_call(&rig, &call_key).fetch(rig.hosts[1].callers);
            retry.is_ok_and(|retry| retry.status == 200)
        })?;
        assert_eq!(execution_count(&rig, &call_key), 1);
    }
    Ok(())
}

#[test]
fn a_lost_outcome_is_unknown_and_never_run_again() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &two_hosts())?;
    rig.services
        .iter()
        .for_each(|service| service.update_faults(|faults| faults.lose_response = true));
    let first = keyed_call(&rig, "x").fetch(rig.hosts[0].callers)?;
    assert_eq!((first.code(), first.ran().as_deref()), (Some(1302), Some("unknown")));
    rig.services
        .iter()
        .for_each(|service| service.update_faults(|faults| faults.lose_response = false));
    check_outcome_is_unknown(&rig, "x")
}

#[test]
fn an_answer_that_ends_early_is_never_stored_as_the_outcome() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &two_hosts())?;
    let cut_responses = |cut: bool| {
        for service in &rig.services {
            service.update_faults(|faults| faults.cut_response = cut);
        }
    };
    cut_responses(true);
    let first = keyed_call(&rig, "x").fetch(rig.hosts[0].callers)?;
    assert_eq!((first.code(), first.ran().as_deref()), (Some(1302), Some("unknown")));
    cut_responses(false);
    check_outcome_is_unknown(&rig, "x")
}

#[test]
fn without_the_store_a_call_is_truly_not_run() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &two_hosts())?;
    rig.platform.update_faults(|faults| faults.down = true);
    let refused = keyed_call(&rig, "down").fetch(rig.hosts[0].callers)?;
    assert_eq!((refused.code(), refused.ran().as_deref()), (Some(1406), Some("not run")));
    assert!(refused.headers.iter().any(|(name, _)| name == "retry-after"));
    assert_eq!(execution_count(&rig, "down"), 0);
    rig.platform.update_faults(|faults| faults.down = false);
    wait_until("a retry runs", || {
        keyed_call(&rig, "down").fetch(rig.hosts[1].callers).is_ok_and(|retry| retry.status == 200)
    })?;
    assert_eq!(execution_count(&rig, "down"), 1);
    Ok(())
}

/// The proxy holds the claim back until the caller has been told "not run", and delivers it to the
/// store afterwards. A retry must still be possible, and run the call once.
#[test]
fn a_claim_that_arrives_late_does_not_run_a_call_twice() -> anyhow::Result<()> {
    let mut rig = Rig::start(programs(), &Size { hosts: 1, services: 1, ..Size::default() })?;
    let store_proxy = Proxy::start(rig.platform.address())?;
    rig.add_host_with("far", &rig::settings("far", &store_proxy.url()))?;
    rig.wait_revision(&rig.hosts[1], 1)?;
    store_proxy.set_mode(Mode::Hold);
    let refused = keyed_call(&rig, "held").fetch(rig.hosts[1].callers)?;
    assert_eq!((refused.code(), refused.ran().as_deref()), (Some(1406), Some("not run")));
    store_proxy.set_mode(Mode::Pass);
    wait_until("a retry gets the answer", || {
        rig.hosts.iter().all(|host| {
            keyed_call(&rig, "held").fetch(host.callers).is_ok_and(|retry| retry.status == 200)
        })
    })?;
    assert_eq!(execution_count(&rig, "held"), 1);
    Ok(())
}

/// The first host is killed while its call runs, and the caller retries on the other host before
/// and after the killed host is unregistered.
#[test]
fn a_call_of_a_killed_host_is_never_run_again() -> anyhow::Result<()> {
    let mut rig = Rig::start(programs(), &Size { hosts: 2, services: 1, ..Size::default() })?;
    rig.services[0].update_faults(|faults| faults.response_delay = Duration::from_millis(1_500));
    let pending = keyed_call(&rig, "kill").send(rig.hosts[0].callers)?;
    wait_until("the call runs", || execution_count(&rig, "kill") == 1)?;
    rig.hosts[0].kill();
    drop(pending);
    let early = keyed_call(&rig, "kill").fetch(rig.hosts[1].callers)?;
    assert_eq!((early.code(), early.ran().as_deref()), (Some(1403), Some("unknown")));
    rig.unregister_host("host-0");
    wait_until("a retry is told that the outcome is unknown", || {
        let retry = keyed_call(&rig, "kill").fetch(rig.hosts[1].callers);
        retry.is_ok_and(|retry| retry.code() == Some(1404))
    })?;
    assert_eq!(execution_count(&rig, "kill"), 1);
    Ok(())
}

/// A paused host does not answer but may still send later, so silence alone must not release its
/// claim.
#[test]
fn a_call_of_a_paused_host_is_not_run_by_another() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &Size { hosts: 2, services: 1, ..Size::default() })?;
    rig.services[0].update_faults(|faults| faults.response_delay = Duration::from_millis(300));
    let pending = keyed_call(&rig, "pause").send(rig.hosts[0].callers)?;
    wait_until("the call runs", || execution_count(&rig, "pause") == 1)?;
    rig.hosts[0].pause();
    for _ in 0..3 {
        let retry = keyed_call(&rig, "pause").fetch(rig.hosts[1].callers)?;
        assert_eq!(retry.code(), Some(1403));
    }
    rig.hosts[0].resume();
    let first = pending.read()?;
    assert_eq!(first.status, 200);
    let again = keyed_call(&rig, "pause").fetch(rig.hosts[1].callers)?;
    assert_eq!(again.body, first.body);
    assert_eq!(execution_count(&rig, "pause"), 1);
    Ok(())
}

#[test]
fn a_call_goes_on_when_its_caller_leaves() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &two_hosts())?;
    rig.services
        .iter()
        .for_each(|s| s.update_faults(|f| f.response_delay = Duration::from_millis(200)));
    let pending = keyed_call(&rig, "left").send(rig.hosts[0].callers)?;
    wait_until("the call runs", || execution_count(&rig, "left") == 1)?;
    drop(pending);
    wait_until("the answer is kept", || {
        let retry = keyed_call(&rig, "left").fetch(rig.hosts[1].callers);
        retry.is_ok_and(|retry| retry.json()["receipt"] == json!(1))
    })?;
    assert_eq!(execution_count(&rig, "left"), 1);
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
        let answer = keyed_call(&rig, &format!("over-{round}")).fetch(rig.hosts[0].callers)?;
        assert_eq!(answer.status, 200);
        assert_eq!(execution_count(&rig, &format!("over-{round}")), 1);
    }
    Ok(())
}
