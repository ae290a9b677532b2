//! Tests of the gateway binary between test clients and test doubles of the platform.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use wasabi_stand::{
    caller::{self, Request},
    gateway::{self, wait_for},
    proxy::{NetworkFault, Proxy},
    rig::Rig,
    server::Behavior,
    store::Fault,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");

#[test]
fn reads_writes_and_streams_are_served() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    let to = gateway.addresses.callers;
    let read = Request::new("GET", "/read/x", "a1").send(to)?;
    assert_eq!((read.status, read.complete), (200, true));
    assert!(read.headers.contains_key("response-signature"));
    let write = Request::new("POST", "/write/x", "a2").send(to)?;
    assert!(write.body.ends_with("to a2"), "{}", write.body);
    let chat = Request::new("POST", "/chat/x", "a3").send(to)?;
    assert!(chat.complete);
    assert_eq!(chat.event_ids(), (1..=10).collect::<Vec<_>>());
    Ok(())
}

#[test]
fn callers_that_come_before_the_configuration_wait_for_it_briefly() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    rig.store.set_fault(Fault::Slow(Duration::from_millis(150)));
    let gateway = rig.launch("g1", rig.store_address, gateway::pick_ports()?)?;
    let to = gateway.addresses.callers;
    wait_for("the port", || std::net::TcpStream::connect(to).is_ok())?;
    assert_eq!(Request::new("GET", "/read/x", "v1").send(to)?.status, 200);
    rig.store.set_fault(Fault::Silent);
    let other = rig.launch("g2", rig.store_address, gateway::pick_ports()?)?;
    let to = other.addresses.callers;
    wait_for("the port", || std::net::TcpStream::connect(to).is_ok())?;
    let sent = Instant::now();
    let response = Request::new("GET", "/read/x", "v2").send(to)?;
    assert!(matches!(response.status, 200 | 503), "{}", response.status);
    assert!(sent.elapsed() < Duration::from_millis(900), "{:?}", sent.elapsed());
    Ok(())
}

#[test]
fn servers_see_the_workspace_and_never_the_key() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    let mut request = Request::new("GET", "/read/x", "b1");
    request.headers.push(("tenant".to_string(), "w2".to_string()));
    request.headers.push(("kv-from".to_string(), "10.0.0.1:1/x".to_string()));
    request.headers.push(("expect-instance".to_string(), "other".to_string()));
    assert_eq!(request.send(gateway.addresses.callers)?.status, 200);
    let arrivals = rig.servers.iter().flat_map(|(server, _)| server.arrivals());
    let arrival = arrivals.last().expect("it arrived");
    assert_eq!(arrival.headers["tenant"], "w1");
    assert!(!arrival.headers.contains_key("authorization"));
    assert!(!arrival.headers.contains_key("kv-from"));
    assert!(arrival.headers["deadline-ms"].to_str()?.parse::<u64>()? <= 8_000);
    Ok(())
}

#[test]
fn unknown_routes_and_keys_are_denied() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    let to = gateway.addresses.callers;
    assert_eq!(Request::new("GET", "/nowhere/x", "c1").send(to)?.status, 404);
    let mut request = Request::new("GET", "/read/x", "c2");
    request.key = Some("stolen".to_string());
    assert_eq!(request.send(to)?.status, 401);
    request.key = None;
    assert_eq!(request.send(to)?.status, 401);
    assert_eq!(rig.count_runs("c2"), 0);
    Ok(())
}

#[test]
fn a_write_whose_answer_is_lost_runs_once_and_is_not_reported_as_not_run() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    for (id, behavior) in
        [("d1", Behavior::LoseAnswer), ("d2", Behavior::Cross), ("d3", Behavior::Unsigned)]
    {
        rig.server("p1").plan_next(behavior);
        rig.server("p2").plan_next(behavior);
        let response = Request::new("POST", "/write/x", id).send(gateway.addresses.callers)?;
        assert!(matches!(response.status, 502 | 504), "{id}: {}", response.status);
        assert_eq!(rig.count_runs(id), 1, "{id}");
        rig.server("p1").plan_next(Behavior::Serve);
        for server in ["p1", "p2"] {
            // Reads use up planned behaviors until a read succeeds. A behavior planned on the
            // server that did not get the write may remain, if no read reaches that server first.
            while Request::new("GET", "/read/x", "drain").send(gateway.addresses.callers)?.status
                != 200
            {
                assert!(rig.server(server).arrivals().len() < 50);
            }
        }
    }
    Ok(())
}

#[test]
fn a_write_that_was_turned_away_runs_elsewhere() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    rig.server("p1").set_behavior(Some(Behavior::TurnAway));
    for i in 0..4 {
        let id = format!("e{i}");
        let response = Request::new("POST", "/write/x", &id).send(gateway.addresses.callers)?;
        assert_eq!(response.status, 200);
        assert_eq!(rig.count_runs(&id), 1);
    }
    rig.server("p2").set_behavior(Some(Behavior::TurnAway));
    let response = Request::new("POST", "/write/x", "e9").send(gateway.addresses.callers)?;
    assert_eq!(response.status, 503);
    assert!(response.headers.contains_key("retry-after"));
    assert_eq!(rig.count_runs("e9"), 0);
    Ok(())
}

#[test]
fn a_failed_read_is_retried_and_the_last_failure_is_returned() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    let to = gateway.addresses.callers;
    rig.server("p1").set_behavior(Some(Behavior::Fail));
    for i in 0..3 {
        assert_eq!(Request::new("GET", "/read/x", &format!("f{i}")).send(to)?.status, 200);
    }
    rig.server("p2").set_behavior(Some(Behavior::Fail));
    let failed = Request::new("GET", "/read/x", "f9").send(to)?;
    assert_eq!(failed.status, 500);
    assert!(failed.headers.contains_key("response-signature"));
    Ok(())
}

#[test]
fn a_broken_stream_goes_on_elsewhere_without_gap_or_repeat() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_repeating_gateway("g1")?;
    rig.server("e1").plan_next(Behavior::BreakAfter(4));
    rig.server("e2").plan_next(Behavior::BreakAfter(4));
    let response = Request::new("POST", "/chat/x", "h1").send(gateway.addresses.callers)?;
    // Both servers break off, so both attempts that the route allows are used up.
    assert!(!response.complete);
    assert_eq!(response.event_ids(), [1, 2, 3, 4]);
    assert_eq!(rig.count_runs("h1"), 2);
    for server in ["e1", "e2"] {
        rig.server(server).set_behavior(Some(Behavior::BreakNew(6)));
    }
    for i in 0..3 {
        let id = format!("h2{i}");
        let response = Request::new("POST", "/chat/x", &id).send(gateway.addresses.callers)?;
        assert_eq!(response.event_ids(), (1..=10).collect::<Vec<_>>());
        assert!(response.complete, "{id}");
        assert_eq!(rig.count_runs(&id), 2, "{id} goes on elsewhere");
    }
    Ok(())
}

#[test]
fn a_stream_that_cannot_go_on_is_visibly_broken_off() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    rig.server("e1").set_behavior(Some(Behavior::BreakAfter(3)));
    rig.server("e2").set_behavior(Some(Behavior::BreakAfter(3)));
    let response = Request::new("POST", "/long/x", "i1").send(gateway.addresses.callers)?;
    assert!(!response.complete);
    assert_eq!(response.event_ids(), [1, 2, 3]);
    assert_eq!(rig.count_runs("i1"), 1);
    Ok(())
}

#[test]
fn a_caller_that_disconnects_frees_the_server() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    for (path, id) in [("/chat/x", "j1"), ("/write/x", "j2")] {
        rig.servers.iter().for_each(|(server, _)| server.set_behavior(Some(Behavior::Hang)));
        let stream = Request::new("POST", path, id).open(gateway.addresses.callers)?;
        wait_for("the request to arrive", || rig.count_runs(id) == 1)?;
        drop(stream);
        let disconnected = Instant::now();
        wait_for("the server to notice the disconnect", || {
            let arrivals = rig.servers.iter().flat_map(|(server, _)| server.arrivals());
            arrivals
                .filter(|arrival| arrival.id == id)
                .any(|arrival| arrival.client_gone_at.is_some())
        })?;
        assert!(
            disconnected.elapsed() < Duration::from_millis(500),
            "{id}: {:?}",
            disconnected.elapsed()
        );
    }
    Ok(())
}

#[test]
fn an_expired_deadline_is_answered_at_once() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    rig.servers.iter().for_each(|(server, _)| server.set_behavior(Some(Behavior::Hang)));
    let mut request = Request::new("POST", "/write/x", "k1");
    request.deadline = Duration::from_millis(800);
    let sent = Instant::now();
    let response = request.send(gateway.addresses.callers)?;
    assert_eq!(response.status, 504);
    assert!(sent.elapsed() < Duration::from_millis(1_200), "{:?}", sent.elapsed());
    Ok(())
}

#[test]
fn a_configuration_is_in_force_within_two_seconds_and_removed_keys_stop_working()
-> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateways = [rig.start_gateway("g1")?, rig.start_gateway("g2")?];
    rig.configure(5, |config| {
        config["routes"][3]["path_prefix"] = "/fetch/".into();
        config["tenants"][0]["api_keys"] = serde_json::json!(["k1b"]);
    });
    let written = Instant::now();
    let within = Duration::from_millis(2_000);
    for gateway in &gateways {
        let mut request = Request::new("GET", "/fetch/x", "l1");
        request.key = Some("k1b".to_string());
        wait_for("the new route", || {
            request.send(gateway.addresses.callers).is_ok_and(|response| response.status == 200)
        })?;
        assert!(written.elapsed() < within, "{:?}", written.elapsed());
        let old = Request::new("GET", "/fetch/x", "l2").send(gateway.addresses.callers)?;
        assert_eq!(old.status, 401);
    }
    Ok(())
}

/// A proof is a recent confirmation by the store or a peer that the configuration is current.
/// Without one, a host cannot tell whether a key has been withdrawn.
#[test]
fn without_a_fresh_proof_no_keyed_request_runs() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    let to = gateway.addresses.callers;
    rig.store.set_fault(Fault::Silent);
    let outage_start = Instant::now();
    let send = |id: &str| Request::new("GET", "/read/x", id).send(to);
    assert_eq!(send("m1")?.status, 200, "refused although the last proof is fresh");
    wait_for("requests to be refused", || send("m2").is_ok_and(|response| response.status == 503))?;
    assert!(outage_start.elapsed() < Duration::from_millis(5_000), "{:?}", outage_start.elapsed());
    let refused = send("m3")?;
    assert!(refused.headers.contains_key("retry-after"));
    assert_eq!(rig.count_runs("m3"), 0);
    assert_eq!(send("m4")?.status, 503);
    rig.store.set_fault(Fault::None);
    wait_for("requests to be served", || send("m5").is_ok_and(|response| response.status == 200))
}

#[test]
fn a_host_cut_from_the_store_relies_on_its_peers() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let _peer = rig.start_gateway("g1")?;
    let proxy = Proxy::start(rig.runtime.handle(), rig.store_address)?;
    let cut_off = rig.launch("g2", proxy.address, gateway::pick_ports()?)?;
    cut_off.wait_ready()?;
    wait_for("contact with the peer", || !cut_off.log_lines("peer heard").is_empty())?;
    proxy.set(NetworkFault::Silence);
    let cut_start = Instant::now();
    while cut_start.elapsed() < Duration::from_secs(7) {
        assert_eq!(
            Request::new("GET", "/read/x", "n1").send(cut_off.addresses.callers)?.status,
            200
        );
        thread::sleep(Duration::from_millis(200));
    }
    rig.configure(9, |config| config["routes"][3]["path_prefix"] = "/fetch/".into());
    let written = Instant::now();
    wait_for("the new route", || {
        let response = Request::new("GET", "/fetch/x", "n2").send(cut_off.addresses.callers);
        response.is_ok_and(|response| response.status == 200)
    })?;
    assert!(written.elapsed() < Duration::from_millis(2_500), "{:?}", written.elapsed());
    Ok(())
}

#[test]
fn a_leaving_server_gets_no_new_work() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    let (server, address) = &rig.servers[2];
    rig.store.put("servers", "p1", server.store_object(*address, "draining"));
    // A malformed object must not hide the other changes.
    rig.store.put("servers", "odd", serde_json::json!({"service": 7, "address": "nowhere"}));
    thread::sleep(Duration::from_millis(2_000));
    let before = server.arrivals().len();
    for i in 0..6 {
        let response =
            Request::new("GET", "/read/x", &format!("o{i}")).send(gateway.addresses.callers)?;
        assert_eq!(response.status, 200);
    }
    assert_eq!(server.arrivals().len(), before);
    Ok(())
}

#[test]
fn a_planned_stop_cuts_no_request() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let mut gateway = rig.start_gateway("g1")?;
    let to: SocketAddr = gateway.addresses.callers;
    let mut idle_connection = Request::new("GET", "/read/x", "q0").open(to)?;
    assert_eq!(caller::read(&mut idle_connection)?.status, 200);
    gateway.signal("TERM")?;
    wait_for("the readiness check to fail", || !gateway.is_ready())?;
    let begun = Instant::now();
    let mut served = 0;
    // Callers keep arriving until the load balancer has noticed that the host is not ready.
    while begun.elapsed() < Duration::from_millis(2_000) {
        let response = Request::new("POST", "/chat/x", &format!("q{served}x")).send(to)?;
        assert!(response.complete && response.status == 200);
        served += 1;
    }
    assert!(served > 2);
    assert!(gateway.wait_exit(Duration::from_secs(8))?);
    // The process has exited, but its last output may not have been read from the pipe yet.
    wait_for("the last log line", || gateway.log_lines("stopped").len() == 1)?;
    Ok(())
}

#[test]
fn usage_is_sealed_before_it_is_reported_and_never_differs() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let mut first = rig.start_gateway("g1")?;
    let second = rig.start_gateway("g2")?;
    wait_for("a holder of the duties", || !first.log_lines("duties changed hands").is_empty())?;
    let addresses = [first.addresses.callers, second.addresses.callers];
    let begun = Instant::now();
    let mut sent = 0;
    rig.duties.set_loses_answers(true);
    while begun.elapsed() < Duration::from_secs(9) {
        let request = Request::new("GET", "/read/x", &format!("s{sent}"));
        let _ = request.send(addresses[sent % addresses.len()]);
        sent += 1;
        if sent == 60 {
            first.kill();
        }
        if sent == 90 {
            rig.duties.set_loses_answers(false);
        }
        thread::sleep(Duration::from_millis(50));
    }
    wait_for("two reported windows, and a call by the second host", || {
        let holders: std::collections::BTreeSet<String> =
            rig.duties.calls().into_iter().filter(|c| c.accepted).map(|c| c.holder).collect();
        holders.contains("g2") && rig.duties.reports().len() >= 2
    })?;
    for (window, bodies) in rig.duties.reports() {
        assert!(
            bodies.windows(2).all(|pair| pair[0] == pair[1]),
            "window {window} was reported with different counts: {bodies:?}"
        );
        let sealed = rig.store.history("usage", "sealed");
        let sealed = sealed.iter().filter_map(|record| record["windows"].get(window.to_string()));
        assert!(sealed.clone().count() > 0, "window {window} was not sealed");
        assert!(
            sealed.into_iter().all(|counts| *counts == bodies[0]),
            "window {window} was sealed with other counts"
        );
    }
    let holder_tokens: Vec<(String, u64)> =
        rig.duties.calls().into_iter().map(|call| (call.holder, call.token)).collect();
    assert!(
        holder_tokens.iter().all(|(h, f)| holder_tokens.iter().all(|(h2, f2)| f != f2 || h == h2))
    );
    Ok(())
}

#[test]
fn changed_settings_are_checked_before_they_replace_the_old_ones() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    std::fs::write(&gateway.settings_path, "{\"host\": 3}")?;
    gateway.signal("HUP")?;
    wait_for("the settings to be rejected", || {
        !gateway.log_lines("settings are not valid; the old ones stay").is_empty()
    })?;
    let good = gateway::settings("g1", &gateway.addresses, rig.store_address, rig.duties_address);
    std::fs::write(&gateway.settings_path, good.to_string().replace("54", "60"))?;
    wait_for("the new settings in force", || !gateway.log_lines("settings changed").is_empty())?;
    assert_eq!(Request::new("GET", "/read/x", "t1").send(gateway.addresses.callers)?.status, 200);
    Ok(())
}

#[test]
fn a_request_can_be_followed_by_its_id() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    rig.server("p1").plan_next(Behavior::LoseAnswer);
    rig.server("p2").plan_next(Behavior::LoseAnswer);
    Request::new("POST", "/write/x", "u1").send(gateway.addresses.callers)?;
    wait_for("the log lines of the request", || {
        let lines = gateway.lines();
        let own = lines.iter().filter(|line| line["request"] == "u1");
        own.map(|line| line["message"].as_str().unwrap_or_default().to_string()).collect::<Vec<_>>()
            == ["placed", "send failed", "refused"]
    })?;
    let file = std::env::temp_dir().join(format!("story-{}.log", std::process::id()));
    let lines: Vec<String> = gateway.lines().iter().map(ToString::to_string).collect();
    std::fs::write(&file, lines.join("\n"))?;
    let explain = std::process::Command::new(env!("CARGO_BIN_EXE_wasabictl"))
        .args(["explain", "u1"])
        .arg(&file)
        .output()?;
    std::fs::remove_file(&file)?;
    let explanation = String::from_utf8(explain.stdout)?;
    assert_eq!(explanation.lines().count(), 3, "{explanation}");
    assert!(explanation.contains("send failed: after_ms"), "{explanation}");
    assert!(explanation.contains("domain="), "the failure domain of the server: {explanation}");
    let metrics = gateway.page("/metrics")?;
    assert!(metrics.contains("wasabi_gateway_failed_sends_total"), "{metrics}");
    let dump: serde_json::Value = serde_json::from_str(&gateway.page("/dump")?)?;
    assert_eq!(dump["ready"], true);
    assert!(!dump.to_string().contains("k1"), "the page /dump contains a key");
    for page in ["/knowledge", "/knowledge/-/-"] {
        assert!(!gateway.page(page)?.contains("k1"), "the page {page} contains a key");
    }
    Ok(())
}

/// A stopping host still accepts requests: a stream that would take longer than the time left to
/// stop is refused without running it, a short one is served.
#[test]
fn a_stopping_host_takes_no_stream_that_would_outlast_it() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    let to = gateway.addresses.callers;
    let stream = |id: &str, tokens: u32| {
        let mut request = Request::new("POST", "/chat/x", id);
        request.headers.push(("token-usage".to_string(), format!("100,{tokens}")));
        request.headers.push(("prompt-prefix".to_string(), "5c1e07a2:100".to_string()));
        request.send(to)
    };
    assert!(stream("v0", 2_000)?.complete, "a host that is not stopping did not serve it");
    gateway.signal("TERM")?;
    wait_for("the stop", || !gateway.log_lines("stopping").is_empty())?;
    let long = stream("v1", 2_000)?;
    assert_eq!((long.status, rig.count_runs("v1")), (503, 0));
    assert!(long.headers.contains_key("retry-after"));
    assert!(stream("v2", 50)?.complete);
    Ok(())
}
