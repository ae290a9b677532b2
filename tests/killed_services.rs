//! `wasabirouter run`: plain answers with neither a length nor chunks whose server process is killed.

mod common;

use std::{thread, time::Duration};

use common::{programs, secret_of};
use serde_json::json;
use wasabi_stand::process::{self, Process};
use wasabi_standin::{
    caller::Call,
    process::wait_until,
    rig::{Rig, Size},
};

#[test]
fn server_process() -> anyhow::Result<()> {
    process::serve()
}

#[test]
fn a_plain_answer_of_a_killed_server_is_never_stored_as_the_outcome() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &Size { hosts: 2, ..Size::default() })?;
    let mut server = Process::start("server_process")?;
    let mut listed = rig.services[0].server(&"tn-north-a".parse()?);
    listed.address = server.address;
    let pool = json!({"name": "records", "servers": [listed]});
    rig.apply(&json!({"id": "second", "base": 1, "changed": {"pools": [pool]}}))?;
    for host in &rig.hosts {
        rig.wait_revision(host, 2)?;
    }
    let call = Call::post("/records/cert", r#"{"asset": 7}"#)
        .bearer(secret_of(&rig.sample.lab))
        .header("idempotency-key", "x");
    let (first, to) = (call.clone(), rig.hosts[0].callers);
    let answering = thread::spawn(move || first.fetch(to));
    wait_until("the call runs", || server.requests() == 1)?;
    thread::sleep(Duration::from_millis(150));
    server.kill();
    let first = answering.join().expect("the caller did not panic")?;
    assert_eq!((first.code(), first.ran().as_deref()), (Some(1302), Some("unknown")), "{first:?}");
    for host in &rig.hosts {
        let again = call.fetch(host.callers)?;
        assert_eq!((again.code(), again.ran().as_deref()), (Some(1404), Some("unknown")));
    }
    assert_eq!(server.requests(), 1);
    Ok(())
}
