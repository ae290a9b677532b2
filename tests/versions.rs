//! Servers of several software versions side by side: a stream goes on only at the version that began
//! it, within one answer and over a caller's tries.

use std::{collections::BTreeSet, thread};

use wasabi_belief::{origins, version_record::ESTABLISHED_AFTER};
use wasabi_stand::{
    caller::{Request, Response},
    gateway::{Gateway, wait_for},
    rig::Rig,
    server::Behavior,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");
/// Streams that are broken off in each test.
const STREAMS: usize = 24;
/// Events of a stream before it is broken off.
const BROKEN_AFTER: u64 = 3;

/// A rig with three engines of version `v1` and four of `v2`.
fn two_versions() -> anyhow::Result<Rig> {
    let mut rig = Rig::start(PROGRAM)?;
    rig.add_engines(&[("e3", "v1"), ("f1", "v2"), ("f2", "v2"), ("f3", "v2"), ("f4", "v2")])?;
    Ok(rig)
}

/// Sets the behavior of the requests without a planned one at all engines.
fn set_engines(rig: &Rig, behavior: Option<Behavior>) {
    let engines = rig.servers.iter().filter(|(server, _)| server.streams);
    engines.for_each(|(server, _)| server.set_behavior(behavior));
}

/// The path of a stream. Each has its own: one request that breaks off at server after server is refused.
fn path(begun: &str) -> String {
    format!("/chat/{begun}")
}

/// Starts a stream that cannot go on within its answer and returns its id, once it is broken off.
fn begin_broken(rig: &Rig, gateway: &Gateway, id: String) -> anyhow::Result<String> {
    set_engines(rig, Some(Behavior::BreakAfter(BROKEN_AFTER)));
    let response = Request::new("POST", &path(&id), &id).send(gateway.addresses.callers)?;
    set_engines(rig, None);
    assert!(!response.complete, "{id}: {response:?}");
    assert!(!response.event_ids().is_empty(), "{id}: {response:?}");
    Ok(id)
}

/// Takes up the stream that `begun` began, through `gateway`.
fn resume(gateway: &Gateway, begun: &str) -> anyhow::Result<(String, Response)> {
    let id = format!("{begun}-again");
    let request = Request::resume(&path(begun), &id, begun, BROKEN_AFTER);
    let response = request.send(gateway.addresses.callers)?;
    Ok((id, response))
}

fn assert_one_version(rig: &Rig, attempts: &[&str]) {
    let versions = rig.versions_of(attempts);
    assert!(versions.len() <= 1, "{attempts:?} ran at versions {versions:?}");
}

#[test]
fn a_stream_goes_on_within_its_answer_at_the_version_that_began_it() -> anyhow::Result<()> {
    let rig = two_versions()?;
    let gateway = rig.start_repeating_gateway("g1")?;
    set_engines(&rig, Some(Behavior::BreakNew(BROKEN_AFTER)));
    let mut went_on = 0;
    for number in 0..STREAMS {
        let id = format!("s{number}");
        let response = Request::new("POST", "/chat/x", &id).send(gateway.addresses.callers)?;
        assert_one_version(&rig, &[&id]);
        went_on += usize::from(rig.count_runs(&id) == 2 && response.complete);
    }
    assert!(went_on >= STREAMS * 3 / 4, "only {went_on} of {STREAMS} streams went on");
    Ok(())
}

#[test]
fn a_stream_that_its_caller_takes_up_at_any_host_goes_on_at_the_version_that_began_it()
-> anyhow::Result<()> {
    let rig = two_versions()?;
    let gateways = ["g1", "g2", "g3"].map(|name| rig.start_gateway(name));
    let gateways = gateways.into_iter().collect::<anyhow::Result<Vec<_>>>()?;
    let mut went_on = 0;
    for number in 0..STREAMS {
        let begun = begin_broken(&rig, &gateways[number % 3], format!("s{number}"))?;
        let (again, response) = resume(&gateways[(number + 1) % 3], &begun)?;
        assert_one_version(&rig, &[&begun, &again]);
        went_on += usize::from(response.status == 200 && response.complete);
    }
    assert!(went_on >= STREAMS * 3 / 4, "only {went_on} of {STREAMS} streams went on");
    Ok(())
}

#[test]
fn streams_of_a_host_that_was_killed_go_on_at_the_version_that_began_them() -> anyhow::Result<()> {
    let rig = two_versions()?;
    let mut first = rig.start_gateway("g1")?;
    let second = rig.start_gateway("g2")?;
    wait_for("the hosts to know each other", || !first.log_lines("peer heard").is_empty())?;
    let begun: Vec<String> = (0..STREAMS)
        .map(|number| begin_broken(&rig, &first, format!("s{number}")))
        .collect::<anyhow::Result<_>>()?;
    // The last streams are announced within a period.
    std::thread::sleep(std::time::Duration::from_millis(300));
    first.kill();
    let third = rig.start_gateway("g3")?;
    let mut went_on = 0;
    for (number, begun) in begun.iter().enumerate() {
        let host = if number % 2 == 0 { &second } else { &third };
        let (again, response) = resume(host, begun)?;
        assert_one_version(&rig, &[begun, &again]);
        went_on += usize::from(response.status == 200 && response.complete);
    }
    assert!(went_on >= STREAMS * 3 / 4, "only {went_on} of {STREAMS} streams went on");
    Ok(())
}

/// A stream whose beginning nobody remembers may have begun at any version, but for those that keep to established
/// ones: they have begun at the only one there was, until the new one is established too.
#[test]
fn a_stream_that_nobody_remembers_goes_on_only_while_there_is_one_version() -> anyhow::Result<()> {
    let mut rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    let (_, response) = resume(&gateway, "forgotten")?;
    assert!(response.status == 200 && response.complete, "{response:?}");
    rig.add_engines(&[("f1", "v2")])?;
    wait_for("the new version", || gateway.log_lines("backend servers changed").len() > 1)?;
    let workspace = "w1".parse()?;
    let (mut kept, mut refused) = (0, 0);
    for number in 0..STREAMS {
        let begun = format!("forgotten-{number}");
        let (again, response) = resume(&gateway, &begun)?;
        if origins::keeps_to_established(origins::stream_id(Some(&workspace), &begun)) {
            assert!(response.status == 200 && response.complete, "{response:?}");
            assert_eq!(rig.versions_of(&[&again]), BTreeSet::from(["v1".to_string()]));
            kept += 1;
        } else {
            assert_refused(&rig, &again, &response);
            refused += 1;
        }
    }
    assert!(kept > 0 && refused > 0, "{kept} went on, {refused} were refused");
    thread::sleep(ESTABLISHED_AFTER);
    for number in 0..STREAMS {
        let (again, response) = resume(&gateway, &format!("late-{number}"))?;
        assert_refused(&rig, &again, &response);
    }
    Ok(())
}

fn assert_refused(rig: &Rig, attempt: &str, response: &Response) {
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.headers.contains_key("retry-after"), "{response:?}");
    assert_eq!(rig.versions_of(&[attempt]), BTreeSet::new(), "it ran");
}

#[test]
fn a_stream_whose_version_is_gone_is_refused_and_new_ones_begin() -> anyhow::Result<()> {
    let rig = two_versions()?;
    let gateway = rig.start_gateway("g1")?;
    for (server, _) in rig.servers.iter().filter(|(server, _)| server.id.starts_with('f')) {
        rig.store.remove("servers", &server.id);
    }
    wait_for("the list without v2", || gateway.log_lines("backend servers changed").len() > 1)?;
    let begun = begin_broken(&rig, &gateway, "s1".to_string())?;
    for id in ["e1", "e2", "e3"] {
        rig.set_version(id, "v3");
    }
    wait_for("the new version", || gateway.log_lines("backend servers changed").len() > 2)?;
    let (again, response) = resume(&gateway, &begun)?;
    assert_eq!(response.status, 503, "{response:?}");
    assert_eq!(rig.versions_of(&[&again]), BTreeSet::new(), "it ran");
    let fresh = Request::new("POST", "/chat/x", "fresh").send(gateway.addresses.callers)?;
    assert!(fresh.status == 200 && fresh.complete, "{fresh:?}");
    Ok(())
}

/// Kills all hosts at once and starts them again.
fn restart_all(rig: &Rig, gateways: &mut Vec<Gateway>) -> anyhow::Result<()> {
    gateways.iter_mut().for_each(Gateway::kill);
    let names = (0..gateways.len()).map(|number| format!("again{number}"));
    *gateways = names.map(|name| rig.start_gateway(&name)).collect::<anyhow::Result<_>>()?;
    Ok(())
}

/// Takes up all streams at the hosts in turn; returns how many go on. None may go on at another version.
fn take_up(rig: &Rig, gateways: &[Gateway], begun: &[String]) -> anyhow::Result<usize> {
    let mut went_on = 0;
    for (number, begun) in begun.iter().enumerate() {
        let (again, response) = resume(&gateways[number % gateways.len()], begun)?;
        assert_one_version(rig, &[begun, &again]);
        went_on += usize::from(response.status == 200 && response.complete);
    }
    Ok(went_on)
}

/// Hosts of a rig with engines of the first version only, and the streams that broke off there.
fn streams_of_first_version(rig: &Rig) -> anyhow::Result<(Vec<Gateway>, Vec<String>)> {
    let gateways: Vec<_> =
        ["g1", "g2"].map(|name| rig.start_gateway(name)).into_iter().collect::<Result<_, _>>()?;
    let begin = |number: usize| begin_broken(rig, &gateways[number % 2], format!("s{number}"));
    let begun = (0..STREAMS).map(begin).collect::<anyhow::Result<_>>()?;
    // What hosts store is written within a period.
    std::thread::sleep(std::time::Duration::from_millis(800));
    Ok((gateways, begun))
}

#[test]
fn streams_do_not_go_on_at_the_version_that_replaced_theirs_while_all_hosts_were_down()
-> anyhow::Result<()> {
    let mut rig = Rig::start(PROGRAM)?;
    let (mut gateways, begun) = streams_of_first_version(&rig)?;
    gateways.iter_mut().for_each(Gateway::kill);
    ["e1", "e2"].iter().for_each(|id| rig.store.remove("servers", id));
    rig.add_engines(&[("f1", "v2"), ("f2", "v2")])?;
    restart_all(&rig, &mut gateways)?;
    assert_eq!(take_up(&rig, &gateways, &begun)?, 0);
    let fresh = Request::new("POST", "/chat/x", "fresh").send(gateways[0].addresses.callers)?;
    assert!(fresh.status == 200 && fresh.complete, "{fresh:?}");
    Ok(())
}

#[test]
fn streams_of_a_version_that_has_just_left_do_not_go_on_after_all_hosts_were_killed()
-> anyhow::Result<()> {
    let mut rig = Rig::start(PROGRAM)?;
    let (mut gateways, begun) = streams_of_first_version(&rig)?;
    rig.add_engines(&[("f1", "v2"), ("f2", "v2")])?;
    ["e1", "e2"].iter().for_each(|id| rig.store.remove("servers", id));
    let knows = |gateway: &Gateway| gateway.log_lines("backend servers changed").len() > 1;
    wait_for("the new version", || gateways.iter().all(knows))?;
    restart_all(&rig, &mut gateways)?;
    assert_eq!(take_up(&rig, &gateways, &begun)?, 0);
    Ok(())
}

#[test]
fn streams_go_on_after_all_hosts_were_killed_while_two_versions_serve() -> anyhow::Result<()> {
    let rig = two_versions()?;
    let (mut gateways, begun) = streams_of_first_version(&rig)?;
    restart_all(&rig, &mut gateways)?;
    let went_on = take_up(&rig, &gateways, &begun)?;
    assert!(went_on >= STREAMS / 2, "only {went_on} of {STREAMS} streams went on");
    // The hosts that started have stored them again.
    std::thread::sleep(std::time::Duration::from_millis(800));
    restart_all(&rig, &mut gateways)?;
    let went_on = take_up(&rig, &gateways, &begun)?;
    assert!(went_on >= STREAMS / 2, "only {went_on} of {STREAMS} streams went on again");
    Ok(())
}

#[test]
fn streams_go_on_after_all_hosts_were_killed_while_there_was_one_version() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let (mut gateways, begun) = streams_of_first_version(&rig)?;
    restart_all(&rig, &mut gateways)?;
    let went_on = take_up(&rig, &gateways, &begun)?;
    assert!(went_on >= STREAMS / 2, "only {went_on} of {STREAMS} streams went on");
    Ok(())
}
