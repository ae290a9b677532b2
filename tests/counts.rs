//! Usage counts of a host whose announcements do not carry them.

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

use serde_json::json;
use wasabi_belief::announcement::{Announcement, CountReport};
use wasabi_core::units::{HostId, Incarnation, Window};
use wasabi_stand::{gateway::wait_for, rig::Rig, scripted};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");
/// The length of a usage window in the gateway's settings, in milliseconds.
const WINDOW_MS: u64 = 5_000;
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

/// A peer whose announcements carry no counts; it returns them when asked over HTTP.
struct Peer {
    address: SocketAddr,
    requests: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
}

impl Peer {
    fn start(to: SocketAddr) -> anyhow::Result<Self> {
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
                let body = serde_json::to_string(&(&reported_incarnation, report()))?;
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
                    counts: None,
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

#[test]
fn counts_missing_from_announcements_are_requested_from_the_peer() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    let peer = Peer::start(gateway.addresses.peers)?;
    let first = unix_time_ms() / WINDOW_MS + 1;
    wait_for("a sealed window that began after the peer started", || {
        let sealed = rig.store.get("usage", "sealed").unwrap_or_default();
        sealed["windows"].as_object().is_some_and(|windows| {
            windows.keys().any(|window| window.parse().is_ok_and(|window: u64| window >= first))
        })
    })?;
    let sealed = rig.store.get("usage", "sealed").unwrap_or_default();
    assert_eq!(sealed["windows"][first.to_string()], json!({"w2": COUNT_PER_WINDOW}), "{sealed}");
    assert!(
        peer.requests.load(Ordering::SeqCst) >= 1,
        "the peer {} was never asked for its counts",
        peer.address
    );
    Ok(())
}
