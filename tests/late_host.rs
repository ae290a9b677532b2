//! A host that is behind: one that hears that others have a younger list of servers, but cannot get it: its link is full, or
//! the store and its peers do not answer it; one that gets no processor time.

use std::{
    net::UdpSocket,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde_json::json;
use wasabi_belief::{
    announcement::{Addition, Announcement},
    facts::Facts,
};
use wasabi_core::units::{HostId, Incarnation, Revision};
use wasabi_gateway::share::echo::{EchoTracker, HEADER_BYTES};
use wasabi_stand::{
    caller::Request,
    gateway::{pick_ports, wait_for},
    proxy::{NetworkFault, Proxy},
    rig::Rig,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");
/// The time after which a server that leaves gets no request; the default of the settings.
const LEAVE_LIMIT: Duration = Duration::from_millis(2_000);
const PERIOD: Duration = Duration::from_millis(50);

/// Answers each datagram of a host with an announcement whose list of servers is another one and
/// has just been read. Its content cannot be fetched.
fn announce(socket: &UdpSocket, stop: &AtomicBool) -> anyhow::Result<()> {
    let host: HostId = "g9".parse()?;
    let announcement = Announcement {
        incarnation: Incarnation::fresh(&host),
        host,
        domain: "d1".parse()?,
        leaving: false,
        wall_ms: 0,
        truth_ms: (0, 0),
        catalog: Some((Revision(1), 0)),
        members: Some((12_345, 0)),
        fence: None,
        shares: None,
        counts: None,
    };
    let content = postcard::to_allocvec(&(announcement, Addition::default(), Facts::default()))?;
    let mut echoes = EchoTracker::new(7);
    let mut buffer = [0; 64 * 1024];
    socket.set_read_timeout(Some(PERIOD))?;
    while !stop.load(Ordering::SeqCst) {
        let Ok((length, from)) = socket.recv_from(&mut buffer) else { continue };
        if length >= HEADER_BYTES {
            echoes.receive(from, &buffer[..HEADER_BYTES]);
            let mut datagram = echoes.begin(Instant::now()).header(from).to_vec();
            datagram.extend_from_slice(&content);
            socket.send_to(&datagram, from)?;
        }
    }
    Ok(())
}

#[test]
fn a_host_with_an_old_list_of_servers_refuses_requests_as_not_run() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let proxy = Proxy::start(rig.runtime.handle(), rig.store_address)?;
    let socket = UdpSocket::bind(("127.0.0.1", 0))?;
    let peer = socket.local_addr()?;
    rig.store.put(
        "gateways",
        "g9",
        json!({"name": "g9", "incarnation": "g9:1", "domain": "d1", "peer": peer}),
    );
    let stop = Arc::new(AtomicBool::new(false));
    let announcing = stop.clone();
    let announcer = thread::spawn(move || announce(&socket, &announcing));
    let gateway = rig.launch("g1", proxy.address, pick_ports()?)?;
    gateway.wait_ready()?;
    wait_for("the peer", || !gateway.log_lines("peer heard").is_empty())?;
    let read = |id: &str| Request::new("GET", "/read/x", id).send(gateway.addresses.callers);
    assert_eq!(read("before")?.status, 200);

    proxy.set(NetworkFault::Silence);
    thread::sleep(LEAVE_LIMIT);
    let response = read("late")?;
    assert_eq!(response.status, 503, "{}", response.body);
    assert_eq!(rig.count_runs("late"), 0);
    wait_for("the reason in the log", || {
        gateway.log_lines("refused").iter().any(|line| line["code"] == 1205)
    })?;
    stop.store(true, Ordering::SeqCst);
    announcer.join().expect("the announcer does not panic")?;
    Ok(())
}

#[test]
fn a_process_that_runs_late_says_so() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    gateway.signal("STOP")?;
    thread::sleep(Duration::from_millis(1_000));
    gateway.signal("CONT")?;
    wait_for("the end", || !gateway.log_lines("process is on time again").is_empty())?;
    let lines = gateway.log_lines("process runs late");
    assert_eq!(lines.len(), 1);
    assert!(lines[0]["late_ms"].as_u64().is_some_and(|late| late >= 800), "{lines:?}");
    assert!(gateway.page("/metrics")?.contains("wasabi_gateway_lateness_seconds"));
    Ok(())
}
