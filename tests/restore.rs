//! The store comes back from an older copy: what the router wrote since is gone.

use std::{
    collections::BTreeMap,
    process::Command,
    thread,
    time::{Duration, Instant},
};

use serde_json::Value;
use wasabi_stand::{
    caller::Request,
    gateway::{Gateway, pick_ports, wait_for},
    rig::Rig,
    store::Fault,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");
/// A usage window and the wait until it is reported, in the gateway's settings.
const REPORT_PERIOD: Duration = Duration::from_millis(7_500);

/// Restores the store to `backup`; the operator and the servers write their objects again at once.
fn restore(rig: &Rig, backup: &wasabi_stand::store::Backup) {
    let others = rig.store.restore(backup);
    rig.store.rewrite(others);
}

/// Waits until a host that is not `other` has made a call under the duties lease, and returns its
/// name.
fn holder(rig: &Rig, other: &str) -> anyhow::Result<String> {
    wait_for("a holder of the duties", || {
        rig.duties.calls().last().is_some_and(|call| call.holder != other)
    })?;
    Ok(rig.duties.calls().last().map(|call| call.holder.clone()).unwrap_or_default())
}

/// Each token has one holder and none falls; no window was accepted with two different counts.
fn check_duties(rig: &Rig) {
    let (mut holders, mut counts) = (BTreeMap::new(), BTreeMap::new());
    for call in rig.duties.calls().iter().filter(|call| call.accepted) {
        let holder = holders.entry(call.token).or_insert_with(|| call.holder.clone());
        assert_eq!(*holder, call.holder, "token {} has two holders", call.token);
        if call.path == "/usage" {
            let known: &mut Value = counts
                .entry(call.body["window"].to_string())
                .or_insert_with(|| call.body["counts"].clone());
            assert_eq!(*known, call.body["counts"], "window {}", call.body["window"]);
        }
    }
}

/// The reads of the store that all hosts together may make a second, and the hosts of a large deployment.
const READ_RATE: usize = 2_000;
const LARGE_FLEET: usize = 89;

fn two_hosts(rig: &Rig) -> anyhow::Result<BTreeMap<String, Gateway>> {
    let names = ["g1", "g2"];
    names.iter().map(|name| Ok((name.to_string(), rig.start_gateway(name)?))).collect()
}

#[test]
fn no_token_is_given_out_again_after_a_lost_takeover() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let mut hosts = two_hosts(&rig)?;
    let first = holder(&rig, "")?;
    let backup = rig.store.backup();
    hosts.get_mut(&first).expect("it runs").kill();
    let second = holder(&rig, &first)?;
    restore(&rig, &backup);
    // The record names the first host again, which has started again in the meantime.
    let _again = rig.start_gateway(&first)?;
    let calls = rig.duties.calls().len();
    wait_for("duties in the new era", || rig.duties.calls().len() > calls + 2)?;
    thread::sleep(REPORT_PERIOD);
    check_duties(&rig);
    assert!(!hosts[&second].log_lines("store restored from an older copy").is_empty());
    Ok(())
}

/// No host is left that remembers the tokens that the store has lost.
#[test]
fn no_token_is_given_out_again_after_a_restore_while_all_hosts_were_down() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let backup = rig.store.backup();
    let mut hosts = two_hosts(&rig)?;
    let first = holder(&rig, "")?;
    hosts.values_mut().for_each(Gateway::kill);
    restore(&rig, &backup);
    let _again = rig.start_gateway("g3")?;
    holder(&rig, &first)?;
    check_duties(&rig);
    Ok(())
}

/// The host that remembers the seal ends, and the next one never heard of the window.
#[test]
fn a_window_whose_seal_is_lost_is_never_reported_with_other_counts() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let mut first = rig.start_gateway("g1")?;
    holder(&rig, "")?;
    let backup = rig.store.backup();
    for i in 0..5 {
        Request::new("GET", "/read/x", &format!("a{i}")).send(first.addresses.callers)?;
    }
    wait_for("the window to be reported", || {
        rig.duties.calls().iter().any(|call| call.body["counts"]["w1"] == 5)
    })?;
    restore(&rig, &backup);
    first.kill();
    let _second = rig.start_gateway("g2")?;
    holder(&rig, "g1")?;
    thread::sleep(REPORT_PERIOD);
    check_duties(&rig);
    Ok(())
}

/// The next holder's read of the seals is the first answer of the restored store.
#[test]
fn a_holder_that_reads_an_older_copy_of_the_seals_does_not_seal_a_window_again()
-> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let mut hosts = two_hosts(&rig)?;
    let backup = rig.store.backup();
    assert!(rig.store.get("usage", "sealed").is_none(), "the copy has no seals");
    let first = holder(&rig, "")?;
    let reported = || -> Vec<Value> {
        let calls = rig.duties.calls().into_iter().filter(|call| call.path == "/usage");
        calls.filter(|call| call.holder == first).map(|call| call.body["window"].clone()).collect()
    };
    wait_for("a window to be reported", || !reported().is_empty())?;
    rig.store.restore_before_read("usage", "sealed", backup);
    hosts.get_mut(&first).expect("it runs").kill();
    let reported = reported();
    let (_, next) = hosts.iter().find(|(name, _)| **name != first).expect("two hosts");
    let windows = |message: &str| -> Vec<Value> {
        next.log_lines(message).iter().map(|line| line["window"].clone()).collect()
    };
    let last = reported.last().expect("a window was reported");
    wait_for("the window to be decided on", || {
        windows("usage not reported: it may have been before a restore").contains(last)
            || windows("usage sealed").contains(last)
    })?;
    let again: Vec<Value> =
        windows("usage sealed").into_iter().filter(|window| reported.contains(window)).collect();
    assert!(again.is_empty(), "windows {again:?} of {reported:?} were sealed again");
    check_duties(&rig);
    Ok(())
}

/// The holder remembers what it has sealed and writes it again.
#[test]
fn a_holder_that_saw_the_restore_goes_on_with_what_it_sealed() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    holder(&rig, "")?;
    let backup = rig.store.backup();
    Request::new("GET", "/read/x", "a").send(gateway.addresses.callers)?;
    let sealed = || rig.store.get("usage", "sealed").unwrap_or_default()["windows"].clone();
    let with_request = || {
        let windows = sealed().as_object().cloned().unwrap_or_default();
        windows.into_iter().find(|(_, counts)| counts["w1"] == 1).map(|(window, _)| window)
    };
    wait_for("the window to be sealed", || with_request().is_some())?;
    let window = with_request();
    restore(&rig, &backup);
    assert_eq!(with_request(), None);
    wait_for("the seal again", || with_request() == window)?;
    check_duties(&rig);
    Ok(())
}

#[test]
fn the_record_of_a_host_is_written_again() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let backup = rig.store.backup();
    let _gateway = rig.start_gateway("g1")?;
    wait_for("the record", || rig.store.get("gateways", "g1").is_some())?;
    restore(&rig, &backup);
    assert!(rig.store.get("gateways", "g1").is_none());
    wait_for("the record again", || rig.store.get("gateways", "g1").is_some())
}

/// Servers whose entries are lost write them again within two seconds and are used meanwhile.
#[test]
fn servers_whose_entries_are_lost_are_kept_for_a_while() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let entries: Vec<Value> =
        ["p1", "p2"].iter().filter_map(|id| rig.store.get("servers", id)).collect();
    for id in ["p1", "p2"] {
        rig.store.remove("servers", id);
    }
    let backup = rig.store.backup();
    for (id, entry) in ["p1", "p2"].iter().zip(&entries) {
        rig.store.put("servers", id, entry.clone());
    }
    let gateway = rig.start_gateway("g1")?;
    let others = rig.store.restore(&backup);
    wait_for("the restore to be noticed", || {
        !gateway.log_lines("store restored from an older copy").is_empty()
    })?;
    for i in 0..4 {
        let request = Request::new("GET", "/read/x", &format!("b{i}"));
        assert_eq!(request.send(gateway.addresses.callers)?.status, 200);
        thread::sleep(Duration::from_millis(200));
    }
    rig.store.rewrite(others);
    thread::sleep(Duration::from_millis(2_500));
    assert_eq!(Request::new("GET", "/read/x", "c").send(gateway.addresses.callers)?.status, 200);
    Ok(())
}

/// No host has learned of the withdrawal when the store loses it.
#[test]
fn a_withdrawal_that_only_the_lost_store_knew_is_not_undone_by_the_restored_copy()
-> anyhow::Result<()> {
    const MAX_PROOF_AGE: Duration = Duration::from_millis(5_000);
    let rig = Rig::start(PROGRAM)?;
    let gateways = two_hosts(&rig)?;
    let backup = rig.store.backup();
    rig.store.set_fault(Fault::Busy);
    rig.configure(7, |config| {
        config["tenants"][0]["api_keys"] = serde_json::json!(["k1b"]);
    });
    thread::sleep(MAX_PROOF_AGE);
    let others = rig.store.restore(&backup);
    rig.store.set_fault(Fault::None);
    let mut answers = Vec::new();
    for i in 0..60 {
        for gateway in gateways.values() {
            let request = Request::new("GET", "/read/x", &format!("f{i}"));
            answers.push(request.send(gateway.addresses.callers)?.status);
        }
        thread::sleep(Duration::from_millis(20));
    }
    assert!(!answers.contains(&200), "a withdrawn key was accepted: {answers:?}");
    rig.store.rewrite(others);
    wait_for("the other key", || {
        gateways.values().all(|gateway| {
            let request = Request::new("GET", "/read/x", "g");
            let request = Request { key: Some("k1b".to_string()), ..request };
            request.send(gateway.addresses.callers).is_ok_and(|response| response.status == 200)
        })
    })
}

/// A host that starts before the operator has written the configuration again takes it from a peer.
#[test]
fn a_host_that_starts_after_a_restore_does_not_bring_back_a_withdrawn_key() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let knows = rig.start_gateway("g1")?;
    wait_for("the record", || rig.store.get("gateways", "g1").is_some())?;
    let backup = rig.store.backup();
    rig.configure(7, |config| {
        config["tenants"][0]["api_keys"] = serde_json::json!(["k1b"]);
    });
    let send = |to, id: &str| Request::new("GET", "/read/x", id).send(to);
    wait_for("the withdrawal", || {
        send(knows.addresses.callers, "d").is_ok_and(|response| response.status == 401)
    })?;
    let others = rig.store.restore(&backup);
    let starts = rig.launch("g2", rig.store_address, pick_ports()?)?;
    let mut answers = Vec::new();
    for i in 0..150 {
        if let Ok(response) = send(starts.addresses.callers, &format!("e{i}")) {
            answers.push(response.status);
        }
        thread::sleep(Duration::from_millis(10));
    }
    assert!(answers.contains(&401), "{answers:?}");
    assert!(!answers.contains(&200), "a withdrawn key was accepted: {answers:?}");
    rig.store.rewrite(others);
    Ok(())
}

/// Nobody is left who has seen the restore; the record of versions tells that the store holds an older copy.
#[test]
fn a_withdrawal_that_the_store_lost_while_all_hosts_were_down_is_not_undone() -> anyhow::Result<()>
{
    let rig = Rig::start(PROGRAM)?;
    let mut hosts = two_hosts(&rig)?;
    wait_for("the record", || {
        let record = rig.store.get("stream-versions", "services").unwrap_or_default();
        record["era"] == 0 && record["services"]["llm"]["v1"].is_null()
    })?;
    let backup = rig.store.backup();
    rig.configure(7, |config| {
        config["tenants"][0]["api_keys"] = serde_json::json!(["k1b"]);
    });
    hosts.values_mut().for_each(Gateway::kill);
    let others = rig.store.restore(&backup);
    let places: Vec<_> = hosts.into_values().map(|host| host.addresses).collect();
    let again: Vec<Gateway> = ["g1", "g2"]
        .into_iter()
        .zip(places)
        .map(|(name, at)| rig.launch(name, rig.store_address, at))
        .collect::<anyhow::Result<_>>()?;
    let send = |host: &Gateway, id: String, key: &str| {
        let request = Request { key: Some(key.to_string()), ..Request::new("GET", "/read/x", &id) };
        request.send(host.addresses.callers).map_or(0, |response| response.status)
    };
    let mut answers = Vec::new();
    for number in 0..100 {
        answers.extend(again.iter().map(|host| send(host, format!("h{number}"), "k1")));
        thread::sleep(Duration::from_millis(10));
    }
    rig.store.rewrite(others);
    wait_for("the other key", || {
        again.iter().all(|host| send(host, "other".to_string(), "k1b") == 200)
    })?;
    answers.extend(again.iter().map(|host| send(host, "last".to_string(), "k1")));
    assert!(!answers.contains(&200), "a withdrawn key was accepted: {answers:?}");
    Ok(())
}

/// Guards against a list of servers that comes while the configuration proves nothing, and is not used later either.
#[test]
fn hosts_serve_after_an_unseen_restore_though_the_servers_are_read_late() -> anyhow::Result<()> {
    const LATE: [(&str, Duration); 2] =
        [("stream-versions", Duration::from_millis(150)), ("servers", Duration::from_millis(300))];
    let rig = Rig::start(PROGRAM)?;
    let mut hosts = two_hosts(&rig)?;
    wait_for("the record", || {
        rig.store.get("stream-versions", "services").unwrap_or_default()["era"] == 0
    })?;
    hosts.values_mut().for_each(Gateway::kill);
    restore(&rig, &rig.store.backup());
    LATE.iter().for_each(|(kind, delay)| rig.store.set_late_reads(kind, *delay));
    for (name, host) in std::mem::take(&mut hosts) {
        let again = rig.launch(&name, rig.store_address, host.addresses)?;
        wait_for("an answer", || {
            let response = Request::new("GET", "/read/x", &name).send(again.addresses.callers);
            response.is_ok_and(|response| response.status == 200)
        })?;
    }
    Ok(())
}

#[test]
fn wasabictl_shows_the_era_of_the_store_that_each_host_knows() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let hosts = two_hosts(&rig)?;
    let addresses: Vec<String> =
        hosts.values().map(|host| host.addresses.operators.to_string()).collect();
    let show = |options: &[&str]| -> anyhow::Result<(bool, String)> {
        let mut ctl = Command::new(env!("CARGO_BIN_EXE_wasabictl"));
        let output = ctl.args(options).arg("gateways").args(&addresses).output()?;
        Ok((output.status.success(), String::from_utf8(output.stdout)?))
    };
    let eras = || -> anyhow::Result<Vec<(Value, Value)>> {
        let (_, text) = show(&["--json"])?;
        let shown: Value = serde_json::from_str(&text)?;
        let hosts = shown["gateways"].as_array().cloned().unwrap_or_default();
        let store =
            |host: &Value| (host["store"]["era"].clone(), host["store"]["restored"].clone());
        Ok(hosts.iter().map(store).collect())
    };
    let before = eras()?;
    assert_eq!(before.len(), 2);
    assert_eq!(before[0].1, false, "{before:?}");
    restore(&rig, &rig.store.backup());
    let next = before[0].0.as_u64().map(|era| era + 1);
    wait_for("both hosts to show the next era", || {
        let shown = eras().unwrap_or_default();
        shown.len() == 2 && shown.iter().all(|(era, now)| era.as_u64() == next && now == true)
    })?;
    let (done, table) = show(&[])?;
    let column = table.lines().next().is_some_and(|line| line.contains("ERA"));
    assert!(done && column && table.contains("restored"), "{table}");
    drop(hosts);
    assert!(!show(&[])?.0, "hosts that are gone are not passed over");
    Ok(())
}

/// Until the operator has written the configuration again, reads of it prove nothing.
#[test]
fn hosts_do_not_exceed_the_rate_of_reads_while_a_restored_store_proves_nothing()
-> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let hosts = two_hosts(&rig)?;
    let restored = Instant::now();
    restore(&rig, &rig.store.backup());
    thread::sleep(Duration::from_secs(3));
    let arrivals = rig.store.arrivals(restored);
    let reads: Vec<Instant> =
        arrivals.iter().filter(|(_, write)| !write).map(|(at, _)| *at).collect();
    let in_second_from = |from: Instant| {
        reads.iter().filter(|at| (from..from + Duration::from_secs(1)).contains(*at)).count()
    };
    let most = reads.iter().map(|from| in_second_from(*from)).max().unwrap_or(0);
    let allowed = READ_RATE * hosts.len() / LARGE_FLEET;
    assert!(most <= allowed, "{most} reads a second of {} hosts, allowed {allowed}", hosts.len());
    Ok(())
}
