//! Hosts that are partitioned from all backend servers, while callers, the store and their peers still
//! reach them.

use std::{
    net::{IpAddr, SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use anyhow::Context as _;
use serde_json::{Value, json};
use wasabi_stand::{
    caller::{self, Request},
    gateway::{Gateway, wait_for},
    proxy::{NetworkFault, Proxy},
    rig::Rig,
    server::Behavior,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");
/// How long after the beginning of a partition callers may be served worse.
const GRACE: Duration = Duration::from_millis(3_000);
/// The pause between two requests to the same host.
const PAUSE: Duration = Duration::from_millis(40);
/// Requests that are sent to each host to see how many are served.
const REQUESTS: usize = 45;

/// Gateways that connect to proxied servers from addresses of their own.
struct Fleet {
    rig: Rig,
    proxies: Vec<Proxy>,
    gateways: Vec<Gateway>,
    /// Makes the request ids of each count unique.
    counts: usize,
}

fn source(number: usize) -> IpAddr {
    IpAddr::from([127, 0, 0, 2 + number as u8])
}

impl Fleet {
    fn start(gateways: usize) -> anyhow::Result<Self> {
        let rig = Rig::start(PROGRAM)?;
        let proxies = rig.proxy_servers()?;
        let gateways = (0..gateways)
            .map(|number| rig.start_gateway_from(&format!("g{number}"), source(number)))
            .collect::<anyhow::Result<Vec<_>>>()?;
        for gateway in &gateways {
            wait_for("the peers", || gateway.log_lines("peer heard").len() >= gateways.len() - 1)?;
        }
        Ok(Self { rig, proxies, gateways, counts: 0 })
    }

    /// Sets the fault on the way from a gateway to all servers.
    fn cut(&self, gateway: usize, fault: NetworkFault) {
        self.proxies.iter().for_each(|proxy| proxy.set_for(source(gateway), fault));
    }

    /// Sends reads, writes and streams to all gateways at the same time, and returns how many each of them
    /// served at the first attempt.
    fn count_served(&mut self) -> Vec<usize> {
        self.counts += 1;
        let count = self.counts;
        let callers: Vec<_> = self
            .gateways
            .iter()
            .enumerate()
            .map(|(number, gateway)| {
                let to = gateway.addresses.callers;
                thread::spawn(move || {
                    let served = |request: usize| {
                        let path = ["/read/x", "/write/x", "/chat/x"][request % 3];
                        let id = format!("c{count}-{number}-{request}");
                        let mut request = Request::new("POST", path, &id);
                        request.deadline = Duration::from_millis(1_500);
                        thread::sleep(PAUSE);
                        request.send(to).is_ok_and(|r| r.status == 200 && r.complete)
                    };
                    (0..REQUESTS).filter(|request| served(*request)).count()
                })
            })
            .collect();
        callers.into_iter().map(|caller| caller.join().expect("a caller does not panic")).collect()
    }

    /// Keeps all gateways busy for a while.
    fn run_for(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.count_served();
        }
    }

    /// Asserts that no write ran more than once.
    fn assert_writes_ran_once(&self) {
        for count in 1..=self.counts {
            for (number, request) in
                (0..self.gateways.len()).flat_map(|n| (0..REQUESTS).map(move |r| (n, r)))
            {
                let id = format!("c{count}-{number}-{request}");
                assert!(request % 3 != 1 || self.rig.count_runs(&id) <= 1, "{id} ran twice");
            }
        }
    }
}

/// Cuts the first hosts, checks how their callers are served, and that the hosts are back afterwards.
fn assert_served_through_a_cut(
    fault: NetworkFault,
    hosts: usize,
    cut: usize,
) -> anyhow::Result<()> {
    let mut fleet = Fleet::start(hosts)?;
    assert!(fleet.count_served().iter().all(|served| *served == REQUESTS));
    (0..cut).for_each(|gateway| fleet.cut(gateway, fault));
    fleet.run_for(GRACE);
    let served = fleet.count_served();
    let others = served[cut..].iter().sum::<usize>() * cut / (hosts - cut);
    let own = served[..cut].iter().sum::<usize>();
    assert!(own * 3 >= others * 2, "{fault:?}: {served:?} of {REQUESTS} served at each host");
    for (number, gateway) in fleet.gateways.iter().enumerate() {
        assert_eq!(gateway.is_ready(), number >= cut, "{fault:?}: readiness of g{number}");
    }
    (0..cut).for_each(|gateway| fleet.cut(gateway, NetworkFault::None));
    for gateway in &fleet.gateways[..cut] {
        wait_for("the host to come back", || gateway.is_ready())?;
    }
    let served = fleet.count_served();
    assert!(served.iter().all(|served| *served >= REQUESTS - 1), "after {fault:?}: {served:?}");
    fleet.assert_writes_ran_once();
    Ok(())
}

#[test]
fn callers_of_a_host_whose_connections_to_servers_are_reset_are_served() -> anyhow::Result<()> {
    assert_served_through_a_cut(NetworkFault::Close, 3, 1)
}

#[test]
fn callers_of_a_host_whose_connections_to_servers_hang_are_served() -> anyhow::Result<()> {
    assert_served_through_a_cut(NetworkFault::Silence, 3, 1)
}

#[test]
fn callers_of_a_host_whose_new_connections_to_servers_are_refused_are_served() -> anyhow::Result<()>
{
    let mut fleet = Fleet::start(3)?;
    assert!(fleet.count_served().iter().all(|served| *served == REQUESTS));
    // The connections to plain servers live on, those to engines are gone.
    for (proxy, (server, _)) in fleet.proxies.iter().zip(&fleet.rig.servers) {
        let fault = if server.streams { NetworkFault::Close } else { NetworkFault::RefuseNew };
        proxy.set_for(source(0), fault);
    }
    fleet.run_for(GRACE);
    let served = fleet.count_served();
    let others = served[1..].iter().sum::<usize>() / 2;
    assert!(served[0] >= others * 9 / 10, "{served:?} of {REQUESTS} served at each host");
    assert!(!fleet.gateways[0].is_ready(), "it takes new callers");
    fleet.cut(0, NetworkFault::None);
    wait_for("the host to come back", || fleet.gateways[0].is_ready())?;
    fleet.assert_writes_ran_once();
    Ok(())
}

/// Changes the settings of a gateway, and has it read them again.
fn change_settings(gateway: &Gateway, change: impl FnOnce(&mut Value)) -> anyhow::Result<()> {
    let known = gateway.log_lines("settings changed").len();
    let text = std::fs::read_to_string(&gateway.settings_path)?;
    let mut settings: Value = serde_json::from_str(&text)?;
    change(&mut settings);
    std::fs::write(&gateway.settings_path, settings.to_string())?;
    gateway.signal("HUP")?;
    wait_for("the new settings", || gateway.log_lines("settings changed").len() > known)
}

/// Changes the address from which a gateway connects to servers.
fn set_source(gateway: &Gateway, source: IpAddr) -> anyhow::Result<()> {
    change_settings(gateway, |settings| settings["source"] = json!(source))
}

#[test]
fn callers_of_a_host_that_cannot_connect_to_servers_at_all_are_served() -> anyhow::Result<()> {
    let mut fleet = Fleet::start(3)?;
    assert!(fleet.count_served().iter().all(|served| *served == REQUESTS));
    // No connection can be opened from an address that is not the host's own.
    set_source(&fleet.gateways[0], IpAddr::from([192, 0, 2, 1]))?;
    fleet.cut(0, NetworkFault::Close);
    thread::sleep(PAUSE * 5);
    fleet.cut(0, NetworkFault::None);
    fleet.run_for(GRACE);
    let served = fleet.count_served();
    let others = served[1..].iter().sum::<usize>() / 2;
    assert!(served[0] * 3 >= others * 2, "{served:?} of {REQUESTS} served at each host");
    assert!(!fleet.gateways[0].is_ready(), "it takes new callers");
    set_source(&fleet.gateways[0], source(0))?;
    wait_for("the host to come back", || fleet.gateways[0].is_ready())?;
    fleet.assert_writes_ran_once();
    Ok(())
}

#[test]
fn callers_of_most_hosts_are_served_by_the_one_that_reaches_servers() -> anyhow::Result<()> {
    assert_served_through_a_cut(NetworkFault::Close, 3, 2)
}

#[test]
fn hosts_stay_ready_while_the_servers_are_down_for_everybody() -> anyhow::Result<()> {
    let mut fleet = Fleet::start(2)?;
    assert!(fleet.count_served().iter().all(|served| *served == REQUESTS));
    fleet.proxies.iter().for_each(|proxy| proxy.set(NetworkFault::Close));
    let end = Instant::now() + GRACE;
    while Instant::now() < end {
        fleet.count_served();
        assert!(fleet.gateways.iter().all(Gateway::is_ready));
    }
    fleet.proxies.iter().for_each(|proxy| proxy.set(NetworkFault::None));
    wait_for("service", || {
        let sent = Request::new("GET", "/read/x", "back").send(fleet.gateways[0].addresses.callers);
        sent.is_ok_and(|response| response.status == 200)
    })?;
    fleet.assert_writes_ran_once();
    Ok(())
}

/// Requests that keep a host in contact with servers.
struct Load {
    running: Arc<AtomicBool>,
    sending: thread::JoinHandle<()>,
}

impl Load {
    fn start(to: SocketAddr) -> Self {
        let running = Arc::new(AtomicBool::new(true));
        let flag = running.clone();
        let sending = thread::spawn(move || {
            let mut number = 0;
            while flag.load(Ordering::SeqCst) {
                number += 1;
                let _ = Request::new("GET", "/read/x", &format!("busy{number}")).send(to);
                thread::sleep(PAUSE);
            }
        });
        Self { running, sending }
    }

    fn stop(self) {
        self.running.store(false, Ordering::SeqCst);
        self.sending.join().expect("the load does not panic");
    }
}

#[test]
fn a_stream_whose_host_is_cut_from_servers_goes_on_through_a_peer() -> anyhow::Result<()> {
    let mut fleet = Fleet::start(2)?;
    fleet.rig.configure(2, |config| config["routes"][0]["max_attempts"] = json!(4));
    fleet.count_served();
    let load = Load::start(fleet.gateways[1].addresses.callers);
    for (server, _) in fleet.rig.servers.iter().filter(|(server, _)| server.streams) {
        server.set_behavior(Some(Behavior::StallAfter(3)));
    }
    let mut stream =
        Request::new("POST", "/chat/x", "s1").open(fleet.gateways[0].addresses.callers)?;
    thread::sleep(Duration::from_millis(300));
    for (server, _) in fleet.rig.servers.iter().filter(|(server, _)| server.streams) {
        server.set_behavior(None);
    }
    fleet.cut(0, NetworkFault::Close);
    let response = caller::read(&mut stream)?;
    assert!(response.complete, "{response:?}");
    assert!(response.event_ids().into_iter().eq(1..=10), "{response:?}");
    load.stop();
    Ok(())
}

/// Waits until the caller has been sent this event; reads nothing.
fn wait_event(stream: &TcpStream, event: u64) -> anyhow::Result<()> {
    wait_for("an event", || {
        let mut bytes = [0; 16 * 1024];
        let count = stream.peek(&mut bytes).unwrap_or(0);
        String::from_utf8_lossy(&bytes[..count]).contains(&format!("id: {event}\n"))
    })
}

#[test]
fn a_stream_whose_last_repeat_was_answered_goes_on_through_a_peer_after_a_cut() -> anyhow::Result<()>
{
    let fleet = Fleet::start(2)?;
    fleet.rig.configure(2, |config| config["routes"][0]["max_attempts"] = json!(4));
    for gateway in &fleet.gateways {
        wait_for("the configuration", || {
            let _ = Request::new("GET", "/read/x", "first").send(gateway.addresses.callers);
            gateway.log_lines("placed").iter().any(|line| line["version"] == 2)
        })?;
    }
    // One repeat in each window is always allowed, and no other here.
    change_settings(&fleet.gateways[0], |settings| {
        settings["bounds"]["repeat_ratio"] = json!(0);
        settings["bounds"]["repeat_allowance"] = json!(0);
    })?;
    let load = Load::start(fleet.gateways[1].addresses.callers);
    let engines = fleet.proxies.iter().zip(&fleet.rig.servers);
    let engines: Vec<_> = engines.filter(|(_, (server, _))| server.streams).collect();
    let stall = |after| {
        let behavior = Some(Behavior::StallAfter(after));
        engines.iter().for_each(|(_, (server, _))| server.set_behavior(behavior));
    };
    stall(3);
    let mut stream =
        Request::new("POST", "/chat/x", "s1").open(fleet.gateways[0].addresses.callers)?;
    wait_event(&stream, 3)?;
    stall(6);
    let began = engines.iter().find(|(_, (server, _))| !server.arrivals().is_empty());
    let (proxy, _) = began.context("an engine runs the stream")?;
    proxy.set_for(source(0), NetworkFault::Close);
    wait_event(&stream, 6)?;
    engines.iter().for_each(|(_, (server, _))| server.set_behavior(None));
    fleet.cut(0, NetworkFault::Close);
    let response = caller::read(&mut stream)?;
    assert!(response.complete, "{response:?}");
    assert!(response.event_ids().into_iter().eq(1..=10), "{response:?}");
    load.stop();
    Ok(())
}

/// Each cut breaks the same write off at one server, and nothing else at that moment.
#[test]
fn a_request_that_cuts_of_the_link_break_off_is_not_taken_for_one_that_crashes_servers()
-> anyhow::Result<()> {
    const CUTS: usize = 6;
    let fleet = Fleet::start(2)?;
    let (host, load) = (&fleet.gateways[0], Load::start(fleet.gateways[1].addresses.callers));
    let plain = fleet.rig.servers.iter().filter(|(server, _)| !server.streams);
    let plain: Vec<_> = plain.map(|(server, _)| server).collect();
    for number in 0..CUTS {
        plain.iter().for_each(|server| server.set_behavior(Some(Behavior::Hang)));
        let id = format!("w{number}");
        let mut write = Request::new("POST", "/write/x", &id).open(host.addresses.callers)?;
        wait_for("the write", || fleet.rig.count_runs(&id) == 1)?;
        plain.iter().for_each(|server| server.set_behavior(None));
        fleet.cut(0, NetworkFault::Close);
        assert_eq!(caller::read(&mut write)?.status, 502, "{id}");
        let ends = |message| host.log_lines(message).len() > number;
        wait_for("the cut", || {
            let _ =
                Request::new("GET", "/read/x", &format!("r{number}")).send(host.addresses.callers);
            ends("cut off from all backend servers")
        })?;
        fleet.proxies.iter().for_each(|proxy| proxy.clear_for(source(0)));
        wait_for("its end", || ends("backend servers reached again"))?;
    }
    let response = Request::new("POST", "/write/x", "last").send(host.addresses.callers)?;
    assert_eq!(response.status, 200, "{response:?}");
    for gateway in &fleet.gateways {
        assert!(gateway.log_lines("requests that crash servers quarantined").is_empty());
    }
    load.stop();
    Ok(())
}

/// As above, with all hosts cut at the same time, so that no peer shows that it is the link.
#[test]
fn a_request_that_cuts_of_all_links_break_off_is_not_taken_for_one_that_crashes_servers()
-> anyhow::Result<()> {
    const CUTS: usize = 6;
    const CUT: Duration = Duration::from_millis(400);
    let fleet = Fleet::start(2)?;
    let hosts: Vec<SocketAddr> = fleet.gateways.iter().map(|host| host.addresses.callers).collect();
    let plain = || fleet.rig.servers.iter().filter(|(server, _)| !server.streams);
    for cut in 0..CUTS {
        plain().for_each(|(server, _)| server.set_behavior(Some(Behavior::Hang)));
        let mut writes = Vec::new();
        for (number, host) in hosts.iter().enumerate() {
            let id = format!("w{cut}-{number}");
            writes.push(Request::new("POST", "/write/x", &id).open(*host)?);
            wait_for("the write", || fleet.rig.count_runs(&id) == 1)?;
        }
        plain().for_each(|(server, _)| server.set_behavior(None));
        (0..hosts.len()).for_each(|number| fleet.cut(number, NetworkFault::Close));
        for write in &mut writes {
            assert_eq!(caller::read(write)?.status, 502);
        }
        thread::sleep(CUT);
        for number in 0..hosts.len() {
            fleet.proxies.iter().for_each(|proxy| proxy.clear_for(source(number)));
        }
        for host in &hosts {
            wait_for("the end of the cut", || {
                let read = Request::new("GET", "/read/x", &format!("r{cut}"));
                read.send(*host).is_ok_and(|response| response.status == 200)
            })?;
        }
    }
    for host in &hosts {
        let response = Request::new("POST", "/write/x", "last").send(*host)?;
        assert_eq!(response.status, 200, "{response:?}");
    }
    for gateway in &fleet.gateways {
        assert!(gateway.log_lines("requests that crash servers quarantined").is_empty());
    }
    Ok(())
}

#[test]
fn a_request_that_its_caller_gives_up_ends_at_the_server_behind_a_peer() -> anyhow::Result<()> {
    const LIMIT: Duration = Duration::from_millis(500);
    let mut fleet = Fleet::start(2)?;
    fleet.cut(0, NetworkFault::Close);
    fleet.run_for(GRACE);
    for (server, _) in fleet.rig.servers.iter().filter(|(server, _)| server.streams) {
        server.set_behavior(Some(Behavior::StallAfter(3)));
    }
    let stream =
        Request::new("POST", "/chat/x", "left").open(fleet.gateways[0].addresses.callers)?;
    let arrival = || {
        let arrivals = fleet.rig.servers.iter().flat_map(|(server, _)| server.arrivals());
        arrivals.into_iter().find(|arrival| arrival.id == "left")
    };
    wait_for("the request", || arrival().is_some())?;
    thread::sleep(Duration::from_millis(200));
    drop(stream);
    let left = Instant::now();
    wait_for("the server to notice", || arrival().is_some_and(|a| a.client_gone_at.is_some()))?;
    let noticed = arrival().and_then(|arrival| arrival.client_gone_at).unwrap_or(left);
    let took = noticed.saturating_duration_since(left);
    assert!(took < LIMIT, "the server went on for {took:?}");
    Ok(())
}
