//! Usage counts that a holder of the duties has not heard itself: those of a host whose announcements
//! do not carry them, and those of an incarnation that ended before the holder started.

use std::{
    collections::BTreeMap,
    io::Write as _,
    net::{SocketAddr, TcpListener, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime},
};

use serde_json::{Value, json};
use wasabi_belief::announcement::{Announcement, CountReport};
use wasabi_core::units::{HostId, Incarnation, Window};
use wasabi_stand::{caller::Request, gateway::wait_for, rig::Rig, scripted};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");
/// The length of a usage window in the gateway's settings, in milliseconds.
const WINDOW_MS: u64 = 5_000;
/// Several times the time between two announcements of counts.
const ANNOUNCED_AFTER: Duration = Duration::from_millis(1_000);
/// The number of requests of workspace `w2` that the peer reports for each window.
const COUNT_PER_WINDOW: u64 = 7;

fn unix_time_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Returns the peer's counts for the present window and the three before it.
fn report() -> CountReport {
    let present = Window(unix_time_ms() / WINDOW_MS);
    let counts = BTreeMap::from([("w2".parse().expect("a name"), COUNT_PER_WINDOW)]);
    let windows = (0..4).map(|ago| (Window(present.0 - ago), counts.clone())).collect();
    CountReport { present, windows }
}

/// What a peer tells of usage counts.
#[derive(Clone, Copy, PartialEq)]
enum Tells {
    /// Its announcements carry no counts; it returns its own when asked over HTTP.
    OwnWhenAsked,
    /// Its announcements carry its own counts; when asked it also returns those of an incarnation
    /// that has ended.
    OfEndedWhenAsked,
}

/// A peer that counts [`COUNT_PER_WINDOW`] requests in each window.
struct Peer {
    address: SocketAddr,
    requests: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
}

impl Peer {
    fn start(to: SocketAddr, tells: Tells) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        let socket = UdpSocket::bind(address)?;
        let host: HostId = "peer".parse()?;
        let incarnation = Incarnation::fresh(&host);
        let requests = Arc::new(AtomicU64::new(0));
        let stop = Arc::new(AtomicBool::new(false));
        let (counter, stopped) = (requests.clone(), stop.clone());
        let reported_incarnation = incarnation.clone();
        thread::spawn(move || -> anyhow::Result<()> {
            for mut stream in listener.incoming().map_while(Result::ok) {
                scripted::read_head(&mut stream)?;
                counter.fetch_add(1, Ordering::SeqCst);
                let own = (reported_incarnation.clone(), report());
                let body = match tells {
                    Tells::OwnWhenAsked => serde_json::to_string(&own)?,
                    Tells::OfEndedWhenAsked => {
                        serde_json::to_string(&[own, ("gone:1".parse()?, report())])?
                    }
                };
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
                stream.write_all(format!("{head}{body}").as_bytes())?;
            }
            Ok(())
        });
        thread::spawn(move || -> anyhow::Result<()> {
            let mut number = 0_u64;
            while !stopped.load(Ordering::SeqCst) {
                number += 1;
                let announcement = Announcement {
                    host: host.clone(),
                    incarnation: incarnation.clone(),
                    domain: "d1".parse()?,
                    leaving: false,
                    wall_ms: unix_time_ms(),
                    truth_ms: (unix_time_ms(), 0),
                    catalog: None,
                    members: None,
                    fence: None,
                    shares: None,
                    counts: (tells == Tells::OfEndedWhenAsked).then(report),
                };
                let mut datagram = number.to_be_bytes().to_vec();
                datagram.extend_from_slice(&0_u64.to_be_bytes());
                datagram.extend_from_slice(&postcard::to_allocvec(&announcement)?);
                socket.send_to(&datagram, to)?;
                thread::sleep(Duration::from_millis(200));
            }
            Ok(())
        });
        Ok(Self { address, requests, stop })
    }
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

/// Waits until a window not before `first` is sealed, and returns the counts of `first`.
fn sealed_window(rig: &Rig, first: u64) -> anyhow::Result<Value> {
    wait_for("a sealed window that began after the peer started", || {
        let sealed = rig.store.get("usage", "sealed").unwrap_or_default();
        sealed["windows"].as_object().is_some_and(|windows| {
            windows.keys().any(|window| window.parse().is_ok_and(|window: u64| window >= first))
        })
    })?;
    let sealed = rig.store.get("usage", "sealed").unwrap_or_default();
    Ok(sealed["windows"][first.to_string()].clone())
}

#[test]
fn counts_missing_from_announcements_are_requested_from_the_peer() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    let peer = Peer::start(gateway.addresses.peers, Tells::OwnWhenAsked)?;
    let first = unix_time_ms() / WINDOW_MS + 1;
    assert_eq!(sealed_window(&rig, first)?, json!({"w2": COUNT_PER_WINDOW}));
    assert!(
        peer.requests.load(Ordering::SeqCst) >= 1,
        "the peer {} was never asked for its counts",
        peer.address
    );
    Ok(())
}

/// The holder started in the middle of the window, so it never heard the ended incarnation.
#[test]
fn counts_of_ended_incarnations_are_requested_from_peers_that_know_them() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    let first = unix_time_ms() / WINDOW_MS;
    let _peer = Peer::start(gateway.addresses.peers, Tells::OfEndedWhenAsked)?;
    assert_eq!(sealed_window(&rig, first)?, json!({"w2": 2 * COUNT_PER_WINDOW}));
    Ok(())
}

#[test]
fn a_host_tells_the_counts_of_a_peer_that_has_ended() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let (stays, mut ends) = (rig.start_gateway("g1")?, rig.start_gateway("g2")?);
    for i in 0..3 {
        let request = Request::new("GET", "/read/x", &format!("a{i}"));
        assert_eq!(request.send(ends.addresses.callers)?.status, 200);
    }
    let page = format!("http://{}/counts", stays.addresses.peers);
    let told = || -> anyhow::Result<u64> {
        let reports: Vec<(Incarnation, CountReport)> =
            serde_json::from_slice(minreq::get(&page).with_timeout(2).send()?.as_bytes())?;
        let ended = reports.iter().filter(|(from, _)| from.as_str().starts_with("g2:"));
        Ok(ended.flat_map(|(_, report)| &report.windows).flat_map(|(_, by)| by.values()).sum())
    };
    thread::sleep(ANNOUNCED_AFTER);
    ends.kill();
    wait_for("g1 to tell the counts of g2", || told().is_ok_and(|count| count == 3))
}
