//! Release notes are accepted completely or not at all, come into force on every host, and are
//! never reverted.

mod common;

use std::thread;

use common::{programs, secret_of};
use serde_json::{Value, json};
use wasabi_standin::{
    caller::Call,
    process::{HostProcess, wait_until},
    proxy::{Mode, Proxy},
    rig::{self, Rig, Size},
};

fn add_workspace_note(id: &str, base: u64, name: &str) -> Value {
    json!({"id": id, "base": base, "added": {"workspaces": [{"name": name}]}})
}

fn change_weight_note(id: &str, base: u64, weight: u32) -> Value {
    let changed = json!({"workspaces": [{"name": "lab", "weight": weight}]});
    json!({"id": id, "base": base, "changed": changed})
}

fn no_hosts() -> Size {
    Size { hosts: 0, ..Size::default() }
}

#[test]
fn of_two_conflicting_notes_one_is_accepted() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &no_hosts())?;
    let notes: Vec<Value> =
        (0..6).map(|i| change_weight_note(&format!("race-{i}"), 1, i + 2)).collect();
    let codes: Vec<Option<i32>> = thread::scope(|scope| {
        let rig = &rig;
        let racing = |note| scope.spawn(move || rig.ctl_note("apply", note).map(|(code, _)| code));
        let racers: Vec<_> = notes.iter().map(racing).collect();
        racers.into_iter().map(|racer| racer.join().expect("no panic")).collect::<Result<_, _>>()
    })?;
    let accepted = codes.iter().filter(|code| **code == Some(0)).count();
    let refused = codes.iter().filter(|code| **code == Some(4)).count();
    assert_eq!((accepted, refused), (1, notes.len() - 1), "{codes:?}");
    assert_eq!(rig.platform.state().objects.history("live/log/").len(), 2);
    Ok(())
}

#[test]
fn notes_that_do_not_touch_each_other_are_all_accepted() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &no_hosts())?;
    let notes: Vec<Value> =
        (0..6).map(|i| add_workspace_note(&format!("n-{i}"), 1, &format!("w-{i}"))).collect();
    thread::scope(|scope| {
        let racers: Vec<_> = notes.iter().map(|note| scope.spawn(|| rig.apply(note))).collect();
        racers.into_iter().try_for_each(|racer| racer.join().expect("no panic"))
    })?;
    assert_eq!(rig.platform.state().objects.history("live/log/").len(), 7);
    Ok(())
}

#[test]
fn a_note_whose_answer_is_lost_is_accepted_once() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &no_hosts())?;
    rig.platform.update_faults(|faults| faults.lose_responses = 1);
    let note = add_workspace_note("lost", 1, "new");
    rig.apply(&note)?;
    let (code, output) = rig.ctl_note("apply", &note)?;
    assert_eq!(code, Some(0));
    assert!(output.contains("had been accepted as revision 2"), "{output}");
    assert_eq!(rig.platform.state().objects.history("live/log/").len(), 2);
    Ok(())
}

#[test]
fn a_note_id_cannot_be_reused() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &no_hosts())?;
    rig.apply(&add_workspace_note("same", 1, "one"))?;
    let (code, output) = rig.ctl_note("apply", &add_workspace_note("same", 1, "other"))?;
    assert_eq!(code, Some(4), "{output}");
    assert!(output.contains("E2103"), "{output}");
    Ok(())
}

#[test]
fn every_problem_of_a_note_is_named_and_nothing_is_written() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &no_hosts())?;
    let note = json!({
        "id": "bad", "base": 1, "surprise": 1,
        "added": {
            "workspaces": [{"name": "lab"}, {"name": "x", "wait": 3}, {"name": "b d"}],
            "gadgets": [],
        },
    });
    let (code, output) = rig.ctl_note("apply", &note)?;
    assert_eq!(code, Some(3));
    for path in ["surprise", "added.gadgets", "added.workspaces[1]", "added.workspaces[2]"] {
        assert!(output.contains(path), "{path} is not named in: {output}");
    }
    let references = json!({
        "id": "refs", "base": 1,
        "added": {
            "workspaces": [{"name": "lab"}],
            "routes": [{"name": "r", "path": "/a//b", "class": "no", "pools": ["none"]}],
        },
    });
    let (code, output) = rig.ctl_note("apply", &references)?;
    assert_eq!(code, Some(4));
    assert!(output.contains("lab already exists"), "{output}");
    let references = json!({"id": "refs", "base": 1, "added": references["added"]["routes"]
        .as_array().map(|routes| json!({"routes": routes}))});
    let (code, output) = rig.ctl_note("check", &references)?;
    assert_eq!(code, Some(3));
    for path in ["routes.r.path", "routes.r.class", "routes.r.pools"] {
        assert!(output.contains(path), "{path} is not named in: {output}");
    }
    assert_eq!(rig.platform.state().objects.history("live/log/").len(), 1);
    Ok(())
}

#[test]
fn a_note_is_in_force_on_every_host() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &Size { hosts: 3, ..Size::default() })?;
    for i in 0..20 {
        rig.apply(&add_workspace_note(&format!("n-{i}"), 1, &format!("w-{i}")))?;
    }
    for host in &rig.hosts {
        rig.wait_revision(host, 21)?;
    }
    wait_until("status shows every host at the newest revision", || {
        let (_, output) = rig.ctl(&["--json", "status"]).expect("the client runs");
        let status: Value = serde_json::from_str(&output).unwrap_or_default();
        let hosts = status["hosts"].as_array().cloned().unwrap_or_default();
        hosts.len() == 3 && hosts.iter().all(|host| host["revision"] == 21)
    })
}

/// A host that is cut off from the store gets notes from its peers, and does not go back to an
/// older revision when it reaches the store again.
#[test]
fn a_host_cut_off_from_the_store_gets_notes_from_its_peers() -> anyhow::Result<()> {
    let mut rig = Rig::start(programs(), &Size { hosts: 2, ..Size::default() })?;
    let store_proxy = Proxy::start(rig.platform.address())?;
    let settings = rig::settings("far", &store_proxy.url());
    rig.add_host_with("far", &settings)?;
    rig.wait_revision(&rig.hosts[2], 1)?;
    // Cuts off all interfaces of the platform, the host list too; the peers are known already.
    store_proxy.set_mode(Mode::Cut);
    rig.apply(&add_workspace_note("news", 1, "new"))?;
    rig.wait_revision(&rig.hosts[2], 2)?;
    store_proxy.set_mode(Mode::Pass);
    rig.apply(&add_workspace_note("more", 2, "newer"))?;
    rig.wait_revision(&rig.hosts[2], 3)
}

#[test]
fn a_host_that_starts_in_an_outage_learns_from_peers_or_is_not_ready() -> anyhow::Result<()> {
    let mut rig = Rig::start(programs(), &Size { hosts: 1, ..Size::default() })?;
    let store_proxy = Proxy::start(rig.platform.address())?;
    store_proxy.set_mode(Mode::Cut);
    let mut settings = rig::settings("late", &store_proxy.url());
    let alone = HostProcess::start(&rig.programs.router, &settings)?;
    let call = Call::chat(secret_of(&rig.sample.lab), "costing", "hello", 3);
    let refused = call.stream(alone.callers)?;
    assert_eq!((refused.status, refused.code()), (503, Some(1204)));
    assert_eq!(alone.get_operator_path("/health")?, "not ready\n");
    drop(alone);
    settings["hosts"] = json!(rig.platform.url());
    rig.add_host_with("late", &settings)?;
    rig.wait_revision(&rig.hosts[1], 1)?;
    assert!(call.stream(rig.hosts[1].callers)?.complete);
    Ok(())
}

#[test]
fn a_long_log_is_read_through_a_snapshot() -> anyhow::Result<()> {
    let mut rig = Rig::start(programs(), &Size { hosts: 1, ..Size::default() })?;
    let store = wasabi_remote::store::Client::new(wasabi_remote::http::Endpoint::new(
        &rig.platform.url(),
        std::time::Duration::from_secs(5),
    ));
    let mut state = wasabi_config::log::load(&store).expect("the platform is up");
    for i in 0..800 {
        let note = add_workspace_note(&format!("n-{i}"), 1, &format!("w-{i}"));
        let note = wasabi_config::parse::note(&note.to_string()).expect("the note is valid");
        let token = format!("t-{i}");
        wasabi_config::log::accept_from(&store, &mut state, &note, &token, 0).expect("accepted");
    }
    rig.wait_revision(&rig.hosts[0], 801)?;
    wait_until("the log is trimmed", || {
        rig.platform.state().objects.list("live/log/", "", 1)[0].key.as_str()
            > "live/log/000000000100"
    })?;
    rig.add_host("fresh")?;
    rig.wait_revision(&rig.hosts[1], 801)?;
    let dump = rig.hosts[1].dump()?;
    assert_eq!(dump["objects"]["workspaces"], 802);
    Ok(())
}
