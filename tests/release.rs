//! A release brings servers of a new software version while a host's view of them is old: streams hold
//! events of one version only.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::Arc,
    thread::{self, JoinHandle},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde_json::{Value, json};
use wasabi_stand::{
    caller::{Request, Response},
    gateway::{self, Gateway, wait_for},
    link::{self, Link},
    process::{self, EVENTS, Process},
    rig::Rig,
    scripted::BORN,
    server::{self, Behavior},
    store::{Fault, Store},
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");
/// The test that is the entry of the server processes.
const ENTRY: &str = "server_process";
/// Streams of each test.
const STREAMS: usize = 24;
/// Until a stream has its first events.
const FIRST_EVENTS: Duration = Duration::from_millis(150);
/// How often a caller takes its stream up.
const TRIES: usize = 4;

#[test]
fn server_process() -> anyhow::Result<()> {
    process::serve()
}

/// Adds a server process to the rig's list, or replaces the entry of that name.
fn list(rig: &Rig, id: &str, address: SocketAddr, version: &str, born: u64) {
    let mut entry = server::store_object("llm", address, "ready");
    (entry["version"], entry["born"]) = (json!(version), json!(born));
    rig.store.put("servers", id, entry);
}

/// A rig whose engines are processes, named `x0` and so on, with these versions.
fn start_engines(versions: &[&str]) -> anyhow::Result<(Rig, Vec<Process>)> {
    let rig = Rig::start(PROGRAM)?;
    ["e1", "e2"].iter().for_each(|id| rig.store.remove("servers", id));
    let mut engines = Vec::new();
    for (number, version) in versions.iter().enumerate() {
        let engine = Process::start_version(ENTRY, version)?;
        list(&rig, &format!("x{number}"), engine.address, version, BORN);
        engines.push(engine);
    }
    Ok((rig, engines))
}

/// Returns the versions of the servers that sent the events of a response, as their texts name them.
fn versions(response: &Response) -> BTreeSet<String> {
    let lines = response.body.lines().filter_map(|line| line.split_once(" of "));
    lines.map(|(_, version)| version.to_string()).collect()
}

/// A caller; it returns the versions of the events that it got, and whether it got all.
type Caller = JoinHandle<anyhow::Result<(BTreeSet<String>, bool)>>;

/// Opens all streams at once, at the hosts by turns. Each caller takes its stream up until it is whole.
fn open_streams(hosts: &[Gateway]) -> Vec<Caller> {
    let addresses: Vec<SocketAddr> = hosts.iter().map(|host| host.addresses.callers).collect();
    let follow = move |number: usize, addresses: Vec<SocketAddr>| {
        let (id, path) = (format!("s{number}"), format!("/chat/{number}"));
        let mut response = Request::new("POST", &path, &id).send(addresses[number % 2])?;
        let (mut seen, mut last) = (BTreeSet::new(), 0);
        for again in 1..=TRIES {
            if response.status == 200 {
                seen.extend(versions(&response));
                last = response.event_ids().last().copied().unwrap_or(last);
            }
            if last == EVENTS || last == 0 {
                break;
            }
            thread::sleep(Duration::from_millis(300));
            let request = Request::resume(&path, &format!("{id}-{again}"), &id, last);
            response = request.send(addresses[(number + again) % 2])?;
        }
        Ok((seen, last == EVENTS))
    };
    let open = |number| {
        let addresses = addresses.clone();
        thread::spawn(move || follow(number, addresses))
    };
    (0..STREAMS).map(open).collect()
}

/// Returns how many streams hold events of several versions, and how many are whole.
fn count(callers: Vec<Caller>) -> (usize, usize) {
    let streams = callers.into_iter().filter_map(|call| call.join().expect("no panic").ok());
    streams.fold((0, 0), |(joined, whole), (versions, is_whole)| {
        (joined + usize::from(versions.len() > 1), whole + usize::from(is_whole))
    })
}

#[test]
fn a_host_out_of_step_during_a_release_does_not_join_versions() -> anyhow::Result<()> {
    let mut rig = Rig::start(PROGRAM)?;
    let (copy, copy_address) = rig.copy_store()?;
    let mut knowing = rig.start_gateway("g1")?;
    let late = rig.launch("g2", copy_address, gateway::pick_ports()?)?;
    late.wait_ready()?;
    copy.set_fault(Fault::Silent);
    rig.add_engines(&[("f1", "v2"), ("f2", "v2")])?;
    ["e1", "e2"].iter().for_each(|id| rig.store.remove("servers", id));
    wait_for("the release", || knowing.log_lines("backend servers changed").len() > 1)?;
    let engines = || rig.servers.iter().filter(|(server, _)| server.streams);
    engines().for_each(|(server, _)| server.set_behavior(Some(Behavior::BreakAfter(3))));
    let address = knowing.addresses.callers;
    let begin = |number: usize| {
        let (id, path) = (format!("s{number}"), format!("/chat/{number}"));
        thread::spawn(move || Request::new("POST", &path, &id).send(address))
    };
    // As many at a time as the servers have room for.
    for first in (0..STREAMS).step_by(6) {
        let begun: Vec<_> = (first..first + 6).map(begin).collect();
        for call in begun {
            let response = call.join().expect("no panic")?;
            anyhow::ensure!(response.event_ids() == [1, 2, 3], "{response:?}");
        }
    }
    engines().for_each(|(server, _)| server.set_behavior(None));
    knowing.kill();
    let (mut joined, mut statuses) = (0, Vec::new());
    for number in 0..STREAMS {
        let path = format!("/chat/{number}");
        let request = Request::resume(&path, &format!("s{number}-again"), &format!("s{number}"), 3);
        let response = request.send(late.addresses.callers)?;
        statuses.push(response.status);
        joined += usize::from(!response.event_ids().is_empty());
    }
    assert_eq!(joined, 0, "of {STREAMS} streams of v2 went on at v1: {statuses:?}");
    Ok(())
}

#[test]
fn streams_do_not_go_on_at_a_server_that_is_back_under_its_id_with_another_version()
-> anyhow::Result<()> {
    let (rig, mut engines) = start_engines(&["v1", "v2", "v2", "v2"])?;
    let hosts = [rig.start_gateway("g1")?, rig.start_gateway("g2")?];
    let calls = open_streams(&hosts);
    wait_for("streams at the engine", || engines[0].requests() >= 2)?;
    thread::sleep(FIRST_EVENTS);
    engines[0].kill();
    let address = engines[0].address;
    let again = Process::start_at(ENTRY, "v2", BORN + 1, address)?;
    // Entries are written some time after the start.
    thread::sleep(Duration::from_millis(800));
    list(&rig, "x0", again.address, "v2", BORN + 1);
    let (joined, whole) = count(calls);
    assert_eq!(joined, 0, "of {STREAMS} streams hold events of two versions, {whole} are whole");
    Ok(())
}

#[test]
fn streams_that_begin_at_a_server_that_is_back_under_its_id_do_not_go_on_at_its_former_version()
-> anyhow::Result<()> {
    let (rig, mut engines) = start_engines(&["v1", "v1", "v1"])?;
    let hosts = [rig.start_gateway("g1")?, rig.start_gateway("g2")?];
    let address = engines[0].address;
    engines[0].kill();
    let mut again = Process::start_at(ENTRY, "v2", BORN + 1, address)?;
    let calls = open_streams(&hosts);
    thread::sleep(FIRST_EVENTS);
    again.kill();
    let (joined, whole) = count(calls);
    assert_eq!(joined, 0, "of {STREAMS} streams hold events of two versions, {whole} are whole");
    assert!(whole >= STREAMS / 2, "only {whole} of {STREAMS} are whole");
    Ok(())
}

#[test]
fn streams_go_on_after_all_hosts_were_killed_and_a_release_began_meanwhile() -> anyhow::Result<()> {
    assert_taken_up_after_loss_of_all_hosts(None, Duration::ZERO)
}

/// Guards against taking the versions that the first host has recorded since its start for those of the hosts that were
/// lost: the second one finds them in the record.
#[test]
fn streams_go_on_after_all_hosts_were_killed_though_one_is_back_later_than_the_other()
-> anyhow::Result<()> {
    assert_taken_up_after_loss_of_all_hosts(None, Duration::from_secs(1))
}

/// Guards against a version of the record that went long ago and is taken for one at which streams may have begun.
#[test]
fn streams_go_on_after_all_hosts_were_killed_though_the_record_has_a_version_that_went_long_ago()
-> anyhow::Result<()> {
    let gone = SystemTime::now().duration_since(UNIX_EPOCH)? - Duration::from_secs(60);
    let builds = json!({"v0": gone.as_millis() as u64, "v1": null});
    let services = json!({"llm": builds, "app": {"v1": null}});
    let record = json!({"era": 0, "services": services});
    assert_taken_up_after_loss_of_all_hosts(Some(record), Duration::ZERO)
}

/// Plays a loss of all hosts and a release that begins before they are back; `record` is the record of
/// versions when they first start, and the second host is back this much later than the first.
fn assert_taken_up_after_loss_of_all_hosts(
    record: Option<Value>,
    later: Duration,
) -> anyhow::Result<()> {
    let mut rig = Rig::start(PROGRAM)?;
    if let Some(record) = record {
        rig.store.put("stream-versions", "services", record);
    }
    let mut hosts = vec![rig.start_gateway("g1")?, rig.start_gateway("g2")?];
    let engines = || rig.servers.iter().filter(|(server, _)| server.streams);
    engines().for_each(|(server, _)| server.set_behavior(Some(Behavior::BreakAfter(3))));
    for number in 0..STREAMS {
        let (id, path) = (format!("s{number}"), format!("/chat/{number}"));
        let to = hosts[number % 2].addresses.callers;
        let response = Request::new("POST", &path, &id).send(to)?;
        anyhow::ensure!(!response.event_ids().is_empty(), "{id}: {response:?}");
    }
    engines().for_each(|(server, _)| server.set_behavior(None));
    hosts.iter_mut().for_each(Gateway::kill);
    rig.add_engines(&[("f1", "v2")])?;
    let places = hosts.iter().map(|host| host.addresses).collect::<Vec<_>>();
    hosts.clear();
    for (name, at) in ["g1", "g2"].into_iter().zip(places) {
        hosts.push(rig.launch(name, rig.store_address, at)?);
        thread::sleep(later);
    }
    hosts.iter().try_for_each(Gateway::wait_ready)?;
    let known = |host: &Gateway| !host.log_lines("peer heard").is_empty();
    wait_for("the hosts to hear of each other", || hosts.iter().all(known))?;
    let mut went_on = 0;
    for number in 0..STREAMS {
        let (begun, path) = (format!("s{number}"), format!("/chat/{number}"));
        let again = format!("{begun}-again");
        let request = Request::resume(&path, &again, &begun, 3);
        let response = request.send(hosts[(number + 1) % 2].addresses.callers)?;
        went_on += usize::from(response.status == 200 && response.complete);
        assert!(rig.versions_of(&[&begun, &again]).len() <= 1, "{begun} holds two versions");
    }
    assert!(went_on >= STREAMS / 2, "only {went_on} of {STREAMS} streams went on");
    Ok(())
}

/// Guards against holding streams back from the only version that takes work: most of them keep to versions that have been
/// in service for some time, and all of its servers leave within that time.
#[test]
fn streams_begin_at_a_new_version_as_soon_as_all_servers_of_the_former_one_leave()
-> anyhow::Result<()> {
    let mut rig = Rig::start(PROGRAM)?;
    let host = rig.start_gateway("g1")?;
    rig.add_engines(&[("f1", "v2"), ("f2", "v2")])?;
    for id in ["e1", "e2"] {
        let mut entry = rig.store.get("servers", id).expect("the server is listed");
        entry["state"] = json!("draining");
        rig.store.put("servers", id, entry);
    }
    let recorded = || {
        let record = rig.store.get("stream-versions", "services").unwrap_or_default();
        record["services"]["llm"].get("v2").is_some_and(Value::is_null)
    };
    wait_for("the record of the new version", recorded)?;
    thread::sleep(Duration::from_secs(1));
    for number in 0..STREAMS {
        let (id, path) = (format!("s{number}"), format!("/chat/{number}"));
        let response = Request::new("POST", &path, &id).send(host.addresses.callers)?;
        assert_eq!((response.status, response.complete), (200, true), "{id}: {response:?}");
        assert_eq!(rig.versions_of(&[&id]), BTreeSet::from(["v2".to_string()]));
    }
    Ok(())
}

/// Two hosts, each with a store of its own and a link between them.
struct Pair {
    rig: Rig,
    knowing: Gateway,
    late: Gateway,
    /// The store of the late host.
    copy: Arc<Store>,
    link: Link,
}

impl Pair {
    fn start() -> anyhow::Result<Self> {
        let rig = Rig::start(PROGRAM)?;
        let (copy, copy_address) = rig.copy_store()?;
        let knowing = rig.start_gateway("g1")?;
        let late = rig.launch("g2", copy_address, gateway::pick_ports()?)?;
        late.wait_ready()?;
        let link = Link::start(knowing.addresses.peers, late.addresses.peers)?;
        let known = |store: &Store, name: &str| store.get("gateways", name).is_some();
        wait_for("their records", || known(&rig.store, "g1") && known(&copy, "g2"))?;
        for (from, to, name, address) in
            [(&rig.store, &copy, "g1", link.first), (&copy, &rig.store, "g2", link.second)]
        {
            let mut record = from.get("gateways", name).expect("it is there");
            record["peer"] = json!(address.to_string());
            to.put("gateways", name, record);
        }
        let heard = |host: &Gateway| !host.log_lines("peer heard").is_empty();
        wait_for("the hosts to hear of each other", || heard(&knowing) && heard(&late))?;
        Ok(Self { rig, knowing, late, copy, link })
    }

    /// Cuts the late host off from the store and from the other host, or connects it again.
    fn set_cut(&self, is_cut: bool) {
        self.copy.set_fault(if is_cut { Fault::Silent } else { Fault::None });
        self.link.set_fault(if is_cut { link::Fault::Cut } else { link::Fault::None });
    }

    /// Adds engines of `v2`, which both stores list.
    fn release(&mut self) -> anyhow::Result<()> {
        let engines = [("f1", "v2"), ("f2", "v2")];
        self.rig.add_engines(&engines)?;
        for (id, _) in engines {
            self.copy.put("servers", id, self.rig.store.get("servers", id).expect("it is listed"));
        }
        wait_for("the release", || self.knowing.log_lines("backend servers changed").len() > 1)
    }

    fn set_engines(&self, behavior: Option<Behavior>) {
        let engines = self.rig.servers.iter().filter(|(server, _)| server.streams);
        engines.for_each(|(server, _)| server.set_behavior(behavior));
    }

    /// Begins streams at the knowing host that break off after three events; returns their callers' paths and ids.
    fn begin_streams(&self) -> anyhow::Result<Vec<(String, String)>> {
        self.set_engines(Some(Behavior::BreakAfter(3)));
        let mut streams = Vec::new();
        for number in 0..STREAMS {
            let (id, path) = (format!("s{number}"), format!("/chat/{number}"));
            let response = Request::new("POST", &path, &id).send(self.knowing.addresses.callers)?;
            anyhow::ensure!(response.event_ids() == [1, 2, 3], "{response:?}");
            streams.push((path, id));
        }
        self.set_engines(None);
        Ok(streams)
    }

    /// Takes the streams up at the late host, each again and again as its caller would; returns how many hold
    /// events of several versions, and how many are whole.
    fn take_up(&self, streams: &[(String, String)]) -> (usize, usize) {
        let (to, rig) = (self.late.addresses.callers, &self.rig);
        let follow = |(path, begun): &(String, String)| -> anyhow::Result<(bool, bool)> {
            let mut attempts = vec![begun.clone()];
            let mut is_whole = false;
            while !is_whole && attempts.len() <= MOST_TRIES {
                let id = format!("{begun}-{}", attempts.len());
                let response = Request::resume(path, &id, begun, 3).send(to)?;
                is_whole = response.status == 200 && response.complete;
                attempts.push(id);
                thread::sleep(RETRY_PAUSE);
            }
            let attempts: Vec<&str> = attempts.iter().map(String::as_str).collect();
            Ok((rig.versions_of(&attempts).len() > 1, is_whole))
        };
        thread::scope(|scope| {
            let callers: Vec<_> =
                streams.iter().map(|stream| scope.spawn(move || follow(stream))).collect();
            let ends = callers.into_iter().filter_map(|call| call.join().expect("no panic").ok());
            ends.fold((0, 0), |(joined, whole), (is_joined, is_whole)| {
                (joined + usize::from(is_joined), whole + usize::from(is_whole))
            })
        })
    }
}

/// How often, and with which pause, an eager caller takes its stream up.
const MOST_TRIES: usize = 30;
const RETRY_PAUSE: Duration = Duration::from_millis(40);

/// Plays a release during which the late host is cut off for `cut`; the streams of the other host are taken up at
/// the late one from the end of the cut on, after `change` has happened.
fn assert_not_joined_after_cut(cut: Duration, change: impl Fn(&mut Pair)) -> anyhow::Result<()> {
    let mut pair = Pair::start()?;
    let began = Instant::now();
    pair.set_cut(true);
    pair.release()?;
    let streams = pair.begin_streams()?;
    thread::sleep(cut.saturating_sub(began.elapsed()));
    pair.set_cut(false);
    change(&mut pair);
    let (joined, whole) = pair.take_up(&streams);
    assert_eq!(joined, 0, "cut off for {cut:?}: {joined} of {STREAMS} hold events of two versions");
    assert!(whole >= STREAMS / 2, "cut off for {cut:?}: only {whole} of {STREAMS} streams went on");
    Ok(())
}

#[test]
fn a_host_that_was_cut_off_during_a_release_does_not_join_versions_beside_the_host_that_knows()
-> anyhow::Result<()> {
    for cut_ms in [300, 1_000, 3_000] {
        assert_not_joined_after_cut(Duration::from_millis(cut_ms), |_| {})?;
    }
    Ok(())
}

#[test]
fn a_host_that_was_cut_off_during_a_release_does_not_join_versions_if_its_peer_answers_late()
-> anyhow::Result<()> {
    // Once to connect, once in each direction; a peer is waited for for 150 ms.
    let slow = link::Fault::SlowConnections(Duration::from_millis(100));
    assert_not_joined_after_cut(Duration::from_secs(1), |pair| pair.link.set_fault(slow))
}

#[test]
fn a_host_that_was_cut_off_during_a_release_does_not_join_versions_after_the_first_server_has_failed()
-> anyhow::Result<()> {
    assert_not_joined_after_cut(Duration::from_secs(1), |pair| {
        for _ in 0..STREAMS / 4 {
            ["f1", "e1"].iter().for_each(|id| pair.rig.server(id).plan_next(Behavior::Fail));
        }
    })
}
