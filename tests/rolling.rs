//! Hosts of two builds side by side: machines are replaced one after the other, there and back, under load.

use std::{
    collections::BTreeSet,
    thread,
    time::{Duration, Instant},
};

use serde_json::json;
use wasabi_stand::{
    caller::{Request, Response},
    fleet::{Build, Fleet, HOSTS, OUT_OF_ROTATION, read_begin},
    gateway::{Gateway, wait_for},
    rig::Rig,
};

const TODAY: &str = env!("CARGO_BIN_EXE_wasabirouter");
/// A usage window and the wait until it is reported.
const REPORT_PERIOD: Duration = Duration::from_millis(7_500);

/// Replaces all hosts one after the other, there and back, with changes of keys and a server that leaves in
/// between.
fn roll_there_and_back(from: Build, to: Build, unfenced: bool) -> anyhow::Result<()> {
    let mut fleet = Fleet::start(TODAY, [from; 3], unfenced)?;
    fleet.begin_load();
    thread::sleep(Duration::from_secs(2));
    let mut left_at = None;
    for g in 0..3 {
        fleet.replace(g, to)?;
        if g == 0 {
            fleet.check_formats()?;
            fleet.change_key()?;
        }
        if g == 1 {
            fleet.rig.server("p2").set_leaving(true);
            thread::sleep(Duration::from_secs(1));
            let mut entry = fleet.rig.store.get("servers", "p2").unwrap_or_default();
            entry["state"] = json!("draining");
            fleet.rig.store.put("servers", "p2", entry);
            left_at = Some(Instant::now());
        }
    }
    fleet.check_formats()?;
    for g in 0..3 {
        fleet.replace(g, from)?;
        if g == 1 {
            fleet.change_key()?;
        }
    }
    let sent = fleet.end_load();
    assert!(sent.iter().filter(|sent| sent.taken_up.is_some()).count() > 10, "few streams");
    thread::sleep(REPORT_PERIOD + Duration::from_secs(4));
    fleet.check_keys();
    let late = fleet.rig.server("p2").arrivals();
    let left_at = left_at.expect("it left") + OUT_OF_ROTATION;
    let late = late.iter().filter(|arrival| arrival.at > left_at).count();
    assert_eq!(late, 0, "requests reached a server that had left");
    fleet.check(&sent);
    Ok(())
}

#[test]
fn beside_the_older_build_an_upgrade_and_a_return_keep_all_promises() -> anyhow::Result<()> {
    roll_there_and_back(Build::Older, Build::Today, false)
}

#[test]
fn beside_the_older_build_a_return_and_an_upgrade_keep_all_promises() -> anyhow::Result<()> {
    roll_there_and_back(Build::Today, Build::Older, true)
}

#[test]
fn beside_the_older_build_a_steady_mix_counts_all_requests_once() -> anyhow::Result<()> {
    use Build::{Older, Today};
    let mut fleet = Fleet::start(TODAY, [Older, Today, Older], false)?;
    fleet.begin_load();
    thread::sleep(Duration::from_secs(8));
    fleet.replace(1, Older)?;
    fleet.replace(0, Today)?;
    fleet.change_key()?;
    let sent = fleet.end_load();
    thread::sleep(REPORT_PERIOD * 2);
    fleet.check(&sent);
    fleet.check_usage();
    Ok(())
}

/// What one build has written is read, kept and written on by the other, although all hosts end at once.
fn assert_stored_objects_are_read(first: Build, second: Build) -> anyhow::Result<()> {
    let mut fleet = Fleet::start(TODAY, [first; 3], false)?;
    let begun = Request { key: Some("key0".into()), ..Request::new("POST", "/chat/x", "s1") };
    let response = read_begin(&begun, fleet.hosts[0].addresses.callers)?;
    let last = response.event_ids().last().copied().unwrap_or(0);
    let sealed = |rig: &Rig| {
        let record = rig.store.get("usage", "sealed").unwrap_or_default();
        record["windows"].as_object().map_or(BTreeSet::new(), |w| w.keys().cloned().collect())
    };
    let fence = |rig: &Rig| {
        rig.store.get("leases", "duties").and_then(|lease| lease["fence"].as_u64()).unwrap_or(0)
    };
    wait_for("a sealed window", || !sealed(&fleet.rig).is_empty())?;
    // The stream is taken up within the time in which its origin is kept.
    let again = Request { key: Some("key0".into()), ..begun };
    let stream = Request { id: "s2".into(), ..again };
    let second_stream = read_begin(&stream, fleet.hosts[1].addresses.callers)?;
    thread::sleep(Duration::from_millis(1_000));
    let (windows, token) = (sealed(&fleet.rig), fence(&fleet.rig));
    let calls = fleet.rig.duties.calls().len();
    fleet.hosts.iter_mut().for_each(Gateway::kill);
    for (g, host) in HOSTS.into_iter().enumerate() {
        fleet.hosts[g] = fleet.launch(host, second, fleet.hosts[g].addresses)?;
    }
    fleet.hosts.iter().try_for_each(Gateway::wait_ready)?;
    for (id, begun, last, response) in [
        ("a1", "s1", last, &response),
        ("a2", "s2", second_stream.event_ids().len() as u64, &second_stream),
    ] {
        let resume =
            Request { key: Some("key0".into()), ..Request::resume("/chat/x", id, begun, last) };
        let rest = resume.send(fleet.hosts[2].addresses.callers)?;
        assert_eq!(rest.status, 200, "{}", rest.body);
        let version =
            |response: &Response| response.body.split(" of ").nth(1).map(|e| e.starts_with('e'));
        assert_eq!(version(&rest), version(response), "the stream went on at another version");
    }
    wait_for("a call of the next holder", || {
        fleet.rig.duties.calls()[calls..].iter().any(|call| call.token > token)
    })?;
    wait_for("one more window", || sealed(&fleet.rig).difference(&windows).count() > 0)?;
    assert!(windows.iter().all(|window| sealed(&fleet.rig).contains(window)), "{windows:?}");
    fleet.check_duties();
    Ok(())
}

#[test]
fn beside_the_older_build_its_stored_objects_are_read() -> anyhow::Result<()> {
    assert_stored_objects_are_read(Build::Older, Build::Today)
}

#[test]
fn beside_the_older_build_stored_objects_of_today_are_read_by_it() -> anyhow::Result<()> {
    assert_stored_objects_are_read(Build::Today, Build::Older)
}
