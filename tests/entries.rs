//! Another writer has left entries in the store that cannot be decoded: they name nothing, and the others hold.

use serde_json::json;
use wasabi_stand::{
    caller::Request,
    gateway::{Gateway, wait_for},
    rig::Rig,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");

/// Values that are odd in one way each; all but the last three are JSON.
fn odd_values() -> Vec<Vec<u8>> {
    let nested = |levels: usize| [vec![b'['; levels], vec![b']'; levels]].concat();
    let entry = |field: &str, value: &str| {
        let mut entry = json!({"service": "app", "address": "127.0.0.1:9", "zone": "d1",
            "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
            "born": 1});
        entry[field] = json!("@");
        entry.to_string().replace("\"@\"", value).into_bytes()
    };
    vec![
        nested(100),
        nested(200),
        nested(20_000),
        entry("notes", &String::from_utf8_lossy(&nested(20_000))),
        entry("slots", "1e999"),
        entry("slots", "-1e999"),
        entry("slots", "18446744073709551616"),
        entry("sequence", &"9".repeat(400)),
        entry("born", "1e30"),
        entry("address", r#""127.0.0.1:99999""#),
        entry("address", r#""127.0.0.1:-1""#),
        entry("address", r#""127.0.0.1:0""#),
        entry("address", r#""\udcff""#),
        entry("service", r#""\ud800\ud800""#),
        entry("state", r#""a\\\"]}],""#),
        b"\"\xff\xfe\"".to_vec(),
        b"{\"service\":\"\x00\x01\"}".to_vec(),
        b"nothing of JSON".to_vec(),
    ]
}

/// Writes each odd value under names that come before and after all others.
fn spoil(rig: &Rig, kind: &str) {
    for (number, value) in odd_values().iter().enumerate() {
        for first in ["00", "zz"] {
            rig.store.put_foreign(kind, &format!("{first} odd & {number}"), value);
        }
    }
}

/// Returns whether the request is answered by the server `id`.
fn is_answered_by(gateway: &Gateway, id: &str, number: usize) -> bool {
    let request = Request::new("GET", "/read/x", &format!("{id}-{number}"));
    let answered = request.send(gateway.addresses.callers);
    answered.is_ok_and(|r| r.status == 200 && r.body.contains(&format!("answer of {id} ")))
}

#[test]
fn entries_that_cannot_be_decoded_do_not_keep_hosts_from_following_the_list() -> anyhow::Result<()>
{
    let mut rig = Rig::start(PROGRAM)?;
    let mut hosts = [rig.start_gateway("g1")?, rig.start_gateway("g2")?];
    spoil(&rig, "servers");
    rig.add_server("p3", "app", false)?;
    ["p1", "p2"].iter().for_each(|id| rig.store.remove("servers", id));
    let follows = |host: &Gateway| (0..3).all(|number| is_answered_by(host, "p3", number));
    for host in &hosts {
        wait_for("the new server", || follows(host))?;
    }
    hosts.iter_mut().for_each(Gateway::kill);
    for name in ["g3", "g4"] {
        let mut host = rig.start_gateway(name)?;
        assert!(follows(&host), "{name} does not serve after the kill of all");
        assert!(!host.log_lines("stored object left unread").is_empty(), "{name}");
        assert_eq!(host.exit_status()?, None, "{name} has ended");
    }
    Ok(())
}

#[test]
fn entries_that_cannot_be_decoded_among_records_of_hosts_and_streams_do_not_keep_hosts_from_serving()
-> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    ["gateways", "stream-origins"].iter().for_each(|kind| spoil(&rig, kind));
    let hosts = [rig.start_gateway("g1")?, rig.start_gateway("g2")?];
    for host in &hosts {
        wait_for("the hosts to know each other", || !host.log_lines("peer heard").is_empty())?;
        let stream = Request::new("POST", "/chat/x", "s").send(host.addresses.callers)?;
        assert!(stream.status == 200 && stream.complete, "{stream:?}");
        let again = Request::resume("/chat/x", "s-again", "forgotten", 3);
        let again = again.send(host.addresses.callers)?;
        assert!(again.status == 200 && again.complete, "{again:?}");
    }
    Ok(())
}

/// The record of versions is one object; nothing can be concluded from it, and nothing else depends on it.
#[test]
fn a_record_of_versions_that_cannot_be_decoded_keeps_no_host_from_serving() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    rig.store.put_foreign("stream-versions", "services", b"{\"services\":1e999}");
    let host = rig.start_gateway("g1")?;
    let stream = Request::new("POST", "/chat/x", "s").send(host.addresses.callers)?;
    assert!(stream.status == 200 && stream.complete, "{stream:?}");
    let again = Request::resume("/chat/x", "s-again", "forgotten", 3);
    let again = again.send(host.addresses.callers)?;
    assert_eq!(again.status, 503, "{again:?}");
    Ok(())
}
