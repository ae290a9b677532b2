//! Servers that say in their answers that they leave, or that they want no request for a while.

use std::{net::SocketAddr, thread, time::Duration};

use serde_json::json;
use wasabi_stand::{
    caller::Request,
    gateway::{Gateway, wait_for},
    rig::Rig,
    server::Behavior,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");
/// Requests sent to see where they go; each server gets some of as many as long as it is used.
const REQUESTS: usize = 12;

/// Sends requests to the plain service and returns how many of them `server` received.
fn share_of(rig: &Rig, server: &str, to: SocketAddr, label: &str) -> anyhow::Result<usize> {
    let before = rig.server(server).arrivals().len();
    for i in 0..REQUESTS {
        let response = Request::new("GET", "/read/x", &format!("{label}{i}")).send(to)?;
        assert_eq!(response.status, 200, "{label}{i}: {response:?}");
    }
    Ok(rig.server(server).arrivals().len() - before)
}

/// Waits until `server` has answered a request that came through `gateway`.
fn reach(rig: &Rig, server: &str, gateway: &Gateway) -> anyhow::Result<()> {
    let before = rig.server(server).arrivals().len();
    wait_for("the server to be used", || {
        let sent = Request::new("GET", "/read/x", "reach").send(gateway.addresses.callers);
        sent.is_ok() && rig.server(server).arrivals().len() > before
    })
}

#[test]
fn a_server_that_says_that_it_leaves_gets_no_request_from_any_host() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let (first, second) = (rig.start_gateway("g1")?, rig.start_gateway("g2")?);
    rig.server("p1").set_leaving(true);
    reach(&rig, "p1", &first)?;
    assert_eq!(share_of(&rig, "p1", first.addresses.callers, "a")?, 0);
    wait_for("the other host to hear of it", || {
        !second.log_lines("backend server leaves").is_empty()
    })?;
    assert_eq!(share_of(&rig, "p1", second.addresses.callers, "b")?, 0);
    // The list goes on naming it as ready, also with a change of the entry.
    let mut entry = rig.store.get("servers", "p1").expect("it is listed");
    entry["slots"] = json!(9);
    rig.store.put("servers", "p1", entry);
    wait_for("the changed list", || first.log_lines("backend servers changed").len() > 1)?;
    assert_eq!(share_of(&rig, "p1", first.addresses.callers, "c")?, 0);
    Ok(())
}

#[test]
fn a_new_instance_under_the_name_of_one_that_left_is_used() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    rig.server("p1").set_leaving(true);
    reach(&rig, "p1", &gateway)?;
    rig.server("p1").set_leaving(false);
    let mut entry = rig.store.get("servers", "p1").expect("it is listed");
    entry["born"] = json!(2_000);
    rig.store.put("servers", "p1", entry);
    reach(&rig, "p1", &gateway)
}

#[test]
fn a_service_whose_servers_all_leave_is_refused_with_a_time() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    for server in ["p1", "p2"] {
        rig.server(server).set_leaving(true);
        reach(&rig, server, &gateway)?;
    }
    let refused = Request::new("POST", "/write/x", "z").send(gateway.addresses.callers)?;
    assert_eq!(refused.status, 503);
    let wait: f64 = refused.headers["retry-after"].parse()?;
    assert!(wait > 0.0, "{wait}");
    assert_eq!(rig.count_runs("z"), 0);
    Ok(())
}

#[test]
fn a_server_that_names_a_time_is_left_alone_until_then() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    let to = gateway.addresses.callers;
    rig.server("p1").set_behavior(Some(Behavior::TurnAway));
    rig.server("p1").set_retry_after(Some("2.5"));
    reach(&rig, "p1", &gateway)?;
    assert_eq!(share_of(&rig, "p1", to, "a")?, 0);
    rig.server("p1").set_behavior(None);
    thread::sleep(Duration::from_millis(1_000));
    assert_eq!(share_of(&rig, "p1", to, "b")?, 0, "the time is not over");
    reach(&rig, "p1", &gateway)
}

#[test]
fn callers_are_told_when_the_first_server_wants_requests_again() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    for (server, wait) in [("p1", "4"), ("p2", "60")] {
        rig.server(server).set_behavior(Some(Behavior::TurnAway));
        rig.server(server).set_retry_after(Some(wait));
    }
    let refuse = |id: &str| Request::new("POST", "/write/x", id).send(gateway.addresses.callers);
    wait_for("both to turn a request away", || {
        refuse("y").is_ok()
            && ["p1", "p2"].iter().all(|server| !rig.server(server).arrivals().is_empty())
    })?;
    let before: usize = ["p1", "p2"].iter().map(|s| rig.server(s).arrivals().len()).sum();
    let refused = refuse("z")?;
    assert_eq!(refused.status, 503);
    let wait: f64 = refused.headers["retry-after"].parse()?;
    assert!((2.0..=6.5).contains(&wait), "the first server is back after 4 s, not {wait}");
    let after: usize = ["p1", "p2"].iter().map(|s| rig.server(s).arrivals().len()).sum();
    assert_eq!(after, before, "a server that wants nothing was asked");
    Ok(())
}

#[test]
fn unusable_times_are_ignored() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    for value in ["-3", "soon", "NaN", "inf", "1e400", "", "0"] {
        rig.server("p1").set_behavior(Some(Behavior::TurnAway));
        rig.server("p1").set_retry_after(Some(value));
        reach(&rig, "p1", &gateway)?;
        rig.server("p1").set_behavior(None);
        reach(&rig, "p1", &gateway)?;
    }
    Ok(())
}

#[test]
fn a_time_that_is_not_understood_is_logged_once_for_each_server() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    for server in ["p1", "p2"] {
        rig.server(server).set_behavior(Some(Behavior::TurnAway));
    }
    for value in ["soon", "0", "-3", "soon"] {
        ["p1", "p2"].iter().for_each(|server| rig.server(server).set_retry_after(Some(value)));
        for server in ["p1", "p2"] {
            reach(&rig, server, &gateway)?;
        }
    }
    let lines = || gateway.log_lines("header of a backend server not understood");
    wait_for("the lines", || lines().len() >= 2)?;
    let named = |line: &serde_json::Value| {
        (line["server"].clone(), line["header"].clone()) == (json!("p1"), json!("retry-after"))
    };
    assert_eq!((lines().len(), lines().iter().filter(|line| named(line)).count()), (2, 1));
    Ok(())
}
