//! Servers of two versions and hosts, all real processes, are killed while callers take their streams up
//! once. Streams have neither a length nor chunks.

use std::{
    collections::BTreeSet,
    thread::{self, JoinHandle},
    time::Duration,
};

use serde_json::json;
use wasabi_stand::{
    caller::{Request, Response},
    gateway::{self, Gateway, ListenAddresses, wait_for},
    process::{self, EVENTS, Process},
    rig::Rig,
    server,
    store::Fault,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");
const ENTRY: &str = "server_process";
/// Streams that are open when a server or all hosts are killed.
const STREAMS: usize = 24;
/// How long a slow store takes for a call.
const SLOW_CALL: Duration = Duration::from_millis(220);
/// Until a stream has its first events.
const FIRST_EVENTS: Duration = Duration::from_millis(150);
/// Until all streams have an event, once all have been sent.
const FIRST_EVENT: Duration = Duration::from_millis(60);

#[test]
fn server_process() -> anyhow::Result<()> {
    process::serve()
}

/// Engines of both versions, by their names in the store, and two hosts.
struct Site {
    rig: Rig,
    engines: Vec<(String, &'static str, Process)>,
    hosts: Vec<Gateway>,
    addresses: [ListenAddresses; 2],
}

/// What a caller got, over its tries.
#[derive(Debug, Default)]
struct Tries {
    ids: Vec<u64>,
    versions: BTreeSet<String>,
    /// Whether the last try looked complete.
    complete: bool,
}

/// How many streams broke the order, by cause.
#[derive(Debug, Default, PartialEq)]
struct Broken {
    short: usize,
    back: usize,
    gap: usize,
    joined: usize,
}

impl Site {
    fn start() -> anyhow::Result<Self> {
        let rig = Rig::start(PROGRAM)?;
        rig.store.remove("servers", "e1");
        rig.store.remove("servers", "e2");
        let addresses = [gateway::pick_ports()?, gateway::pick_ports()?];
        let mut site = Self { rig, engines: Vec::new(), hosts: Vec::new(), addresses };
        for number in 0..8 {
            site.add_engine(number, if number % 2 == 0 { "v1" } else { "v2" })?;
        }
        site.start_hosts()?;
        Ok(site)
    }

    fn add_engine(&mut self, number: usize, version: &'static str) -> anyhow::Result<()> {
        let engine = Process::start_version(ENTRY, version)?;
        let id = format!("x{number}");
        let mut entry = server::store_object("llm", engine.address, "ready");
        entry["version"] = json!(version);
        self.rig.store.put("servers", &id, entry);
        self.engines.push((id, version, engine));
        Ok(())
    }

    fn start_hosts(&mut self) -> anyhow::Result<()> {
        for (name, addresses) in ["g1", "g2"].into_iter().zip(self.addresses) {
            self.hosts.push(self.rig.launch(name, self.rig.store_address, addresses)?);
        }
        self.hosts.iter().try_for_each(Gateway::wait_ready)
    }

    /// Opens all streams, at both hosts by turns; each caller takes its stream up once after `pause`.
    fn open_streams(&self, pause: Duration) -> Vec<JoinHandle<anyhow::Result<Tries>>> {
        let addresses = self.addresses.map(|addresses| addresses.callers);
        let follow = move |number: usize| {
            let (id, path) = (format!("s{number}"), format!("/chat/{number}"));
            let mut tries = Tries::default();
            // A host may be killed before its answer begins.
            let Ok(first) = Request::new("POST", &path, &id).send(addresses[number % 2]) else {
                return Ok(tries);
            };
            tries.add(&first);
            let Some(last) = tries.ids.last().filter(|_| !first.complete).copied() else {
                return Ok(tries);
            };
            thread::sleep(pause);
            let again = Request::resume(&path, &format!("{id}-again"), &id, last);
            // A host may be down still.
            if let Ok(response) = again.send(addresses[(number + 1) % 2]) {
                tries.add(&response);
            }
            Ok(tries)
        };
        (0..STREAMS).map(|number| thread::spawn(move || follow(number))).collect()
    }
}

impl Tries {
    fn add(&mut self, response: &Response) {
        self.complete = response.complete && response.status == 200;
        if response.status == 200 {
            self.ids.extend(response.event_ids());
            let versions = response.body.lines().filter_map(|line| line.split_once(" of "));
            self.versions.extend(versions.map(|(_, version)| version.to_string()));
        }
    }
}

fn count(calls: Vec<JoinHandle<anyhow::Result<Tries>>>) -> anyhow::Result<(Broken, usize)> {
    let (mut broken, mut whole) = (Broken::default(), 0);
    for call in calls {
        let tries = call.join().expect("the caller did not panic")?;
        let pairs = || tries.ids.windows(2);
        broken.back += usize::from(pairs().any(|pair| pair[1] <= pair[0]));
        broken.gap += usize::from(pairs().any(|pair| pair[1] > pair[0] + 1));
        broken.short += usize::from(tries.complete && tries.ids.last() != Some(&EVENTS));
        broken.joined += usize::from(tries.versions.len() > 1);
        whole += usize::from(tries.complete && tries.ids == (1..=EVENTS).collect::<Vec<_>>());
    }
    Ok((broken, whole))
}

#[test]
fn streams_stay_in_order_when_servers_are_killed() -> anyhow::Result<()> {
    let mut site = Site::start()?;
    let calls = site.open_streams(FIRST_EVENTS);
    thread::sleep(FIRST_EVENTS);
    for (_, _, engine) in site.engines.iter_mut().take(4) {
        engine.kill();
    }
    let (broken, whole) = count(calls)?;
    assert_eq!(broken, Broken::default(), "{whole} of {STREAMS} are whole");
    assert!(whole >= STREAMS / 2, "only {whole} of {STREAMS} are whole");
    Ok(())
}

/// Starts streams, kills all hosts and the servers of one version, and starts the hosts with a store that has
/// this fault.
fn kill_hosts_and_a_version(mut site: Site, fault: Fault) -> anyhow::Result<()> {
    let calls = site.open_streams(Duration::from_secs(2));
    let begun = || site.engines.iter().map(|(_, _, engine)| engine.requests()).sum::<usize>();
    wait_for("the streams", || begun() >= STREAMS)?;
    thread::sleep(FIRST_EVENT);
    site.hosts.iter_mut().for_each(Gateway::kill);
    site.hosts.clear();
    let gone = site.engines.iter_mut().filter(|(_, version, _)| *version == "v1");
    for (id, _, engine) in gone {
        engine.kill();
        site.rig.store.remove("servers", id);
    }
    site.rig.store.set_fault(fault);
    site.start_hosts()?;
    let (broken, whole) = count(calls)?;
    assert_eq!(broken, Broken::default(), "{whole} of {STREAMS} are whole");
    Ok(())
}

#[test]
fn streams_stay_in_order_when_all_hosts_and_a_version_are_killed() -> anyhow::Result<()> {
    let site = Site::start()?;
    thread::sleep(Duration::from_secs(2));
    kill_hosts_and_a_version(site, Fault::None)
}

#[test]
fn streams_stay_in_order_when_all_hosts_and_a_version_are_killed_soon_after_the_start()
-> anyhow::Result<()> {
    kill_hosts_and_a_version(Site::start()?, Fault::None)
}

#[test]
fn streams_stay_in_order_when_all_hosts_and_a_version_are_killed_and_the_store_is_slow()
-> anyhow::Result<()> {
    kill_hosts_and_a_version(Site::start()?, Fault::Slow(SLOW_CALL))
}
