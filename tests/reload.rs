//! Settings that change while the gateway runs, and hosts without an address for the duties.

use std::{thread, time::Duration};

use serde_json::{Value, json};
use wasabi_stand::{
    caller::Request,
    gateway::{self, Gateway, wait_for},
    rig::Rig,
    server::Behavior,
    store::Fault,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");

fn settings(rig: &Rig, gateway: &Gateway) -> Value {
    gateway::settings("g1", &gateway.addresses, rig.store_address, rig.duties_address)
}

/// Returns how often a request that every server fails is sent.
fn sends_of_failing_requests(rig: &Rig, gateway: &Gateway, label: &str) -> anyhow::Result<usize> {
    for number in 0..10 {
        Request::new("GET", "/read/x", &format!("{label}{number}"))
            .send(gateway.addresses.callers)?;
    }
    let arrivals = rig.servers.iter().flat_map(|(server, _)| server.arrivals());
    Ok(arrivals.filter(|arrival| arrival.id.starts_with(label)).count())
}

#[test]
fn changed_bounds_of_repeats_apply_to_services_that_are_already_known() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    ["p1", "p2"].iter().for_each(|id| rig.server(id).set_behavior(Some(Behavior::Fail)));
    let before = sends_of_failing_requests(&rig, &gateway, "before")?;
    assert!(before < 15, "{before} sends of 10 requests");
    let mut changed = settings(&rig, &gateway);
    changed["bounds"]["repeat_ratio"] = json!(100);
    std::fs::write(&gateway.settings_path, changed.to_string())?;
    gateway.signal("HUP")?;
    wait_for("the new settings", || !gateway.log_lines("settings changed").is_empty())?;
    let after = sends_of_failing_requests(&rig, &gateway, "after")?;
    assert_eq!(after, 20, "each request may be sent twice now");
    Ok(())
}

#[test]
fn settings_that_need_a_restart_are_named_and_the_others_apply() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    let mut changed = settings(&rig, &gateway);
    changed["host"] = json!("another");
    changed["bounds"]["lease_ms"] = json!(9_000);
    changed["bounds"]["withdraw_ms"] = json!(6_000);
    std::fs::write(&gateway.settings_path, changed.to_string())?;
    gateway.signal("HUP")?;
    wait_for("the line", || !gateway.log_lines("settings need a restart").is_empty())?;
    let lines = gateway.log_lines("settings need a restart");
    assert_eq!(lines[0]["settings"], "host, bounds.lease_ms");
    let dump: Value = serde_json::from_str(&gateway.page("/dump")?)?;
    assert_eq!(dump["host"], "g1", "it goes on under the name that its peers and the store know");
    assert_eq!(Request::new("GET", "/read/x", "r1").send(gateway.addresses.callers)?.status, 200);
    Ok(())
}

#[test]
fn a_host_without_the_duties_never_takes_their_lease() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let addresses = gateway::pick_ports()?;
    let mut without = gateway::settings("g1", &addresses, rig.store_address, rig.duties_address);
    without.as_object_mut().expect("an object").remove("duties");
    let first = Gateway::start(PROGRAM.as_ref(), addresses, &without)?;
    first.wait_ready()?;
    // Longer than a host waits after its start before it takes the lease.
    thread::sleep(Duration::from_secs(3));
    let second = rig.start_gateway("g2")?;
    wait_for("a holder", || !second.log_lines("duties changed hands").is_empty())?;
    assert!(first.log_lines("duties changed hands").is_empty());
    Ok(())
}

#[test]
fn a_request_that_a_second_server_runs_again_counts_once() -> anyhow::Result<()> {
    const REQUESTS: u64 = 20;
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_repeating_gateway("g1")?;
    ["p1", "p2"].iter().for_each(|id| rig.server(id).set_behavior(Some(Behavior::Fail)));
    for number in 0..REQUESTS {
        let request = Request::new("GET", "/read/x", &format!("u{number}"));
        request.send(gateway.addresses.callers)?;
    }
    let runs = rig.servers.iter().flat_map(|(server, _)| server.arrivals()).count() as u64;
    assert!(runs > REQUESTS, "none was sent twice");
    let reported = || {
        let reports = rig.duties.reports();
        let last = reports.values().filter_map(|bodies| bodies.last());
        last.filter_map(|body| body["w1"].as_u64()).sum::<u64>()
    };
    wait_for("the report", || reported() >= REQUESTS)?;
    assert_eq!(reported(), REQUESTS);
    Ok(())
}

/// The host has no configuration, so it cannot tell a valid request from another one.
#[test]
fn a_host_that_knows_nothing_refuses_truthfully_and_at_once() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    rig.store.set_fault(Fault::Silent);
    let gateway = rig.launch("g1", rig.store_address, gateway::pick_ports()?)?;
    let to = gateway.addresses.callers;
    wait_for("the port", || std::net::TcpStream::connect(to).is_ok())?;
    for (id, path) in [("k1", "/read/x"), ("k2", "/nowhere/"), ("k3", "/write/x")] {
        let response = Request::new("POST", path, id).send(to)?;
        assert_eq!(response.status, 503, "{response:?}");
        let error: Value = serde_json::from_str(&response.body)?;
        assert_eq!(
            (&error["error"]["code"], &error["error"]["ran"]),
            (&json!(1204), &json!("not run"))
        );
        let wait: f64 = response.headers["retry-after"].parse()?;
        assert!(wait > 0.0 && wait <= 1.0, "{wait}");
        assert_eq!(rig.count_runs(id), 0);
    }
    assert!(!gateway.is_ready());
    Ok(())
}

/// The windows of a longer length have lower numbers.
#[test]
fn usage_is_reported_after_the_length_of_its_windows_was_raised() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    rig.configure(2, |config| config["tenants"] = json!([{"name": "w1", "api_keys": ["k1"]}]));
    let gateway = rig.start_gateway("g1")?;
    let mut changed = settings(&rig, &gateway);
    let mut set_window = |seconds: u64| -> anyhow::Result<()> {
        let known = gateway.log_lines("settings changed").len();
        changed["bounds"]["usage_window_s"] = json!(seconds);
        std::fs::write(&gateway.settings_path, changed.to_string())?;
        gateway.signal("HUP")?;
        wait_for("the new settings", || gateway.log_lines("settings changed").len() > known)
    };
    set_window(1)?;
    let send = |number: usize| {
        Request::new("GET", "/read/x", &format!("r{number}")).send(gateway.addresses.callers)
    };
    let newest = || rig.duties.reports().last_key_value().map_or(0, |(window, _)| *window);
    // More windows than are kept.
    wait_for("reports", || {
        let _ = send(0);
        rig.duties.reports().len() > 9
    })?;
    let short = newest();
    set_window(2)?;
    let requests = (1..=30).map(send).filter(|sent| sent.as_ref().is_ok_and(|r| r.status == 200));
    let served = requests.count() as u64;
    let counted = || -> u64 {
        let reports = rig.duties.reports();
        let long = reports.range(..short * 3 / 4);
        long.filter_map(|(_, counts)| counts[0]["w1"].as_u64()).sum()
    };
    wait_for("reports of the longer windows", || counted() >= served)?;
    assert!(rig.duties.reports().values().all(|counts| counts.windows(2).all(|w| w[0] == w[1])));
    Ok(())
}
