//! Formats of what hosts send each other and store: they are stated, and a host leaves unread what it does
//! not know.

use std::{
    net::{SocketAddr, TcpStream, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use wasabi_belief::{
    announcement::{Addition, Announcement},
    facts::Facts,
    link,
};
use wasabi_core::{
    format,
    units::{Epoch, HostId, Incarnation},
};
use wasabi_gateway::share::echo::{EchoTracker, HEADER_BYTES};
use wasabi_stand::{
    caller::{self, Request},
    gateway::{Gateway, wait_for},
    rig::Rig,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");
/// Fields and layout are other ones than this build's.
const OTHER_LAYOUT: u8 = 200;
/// Of this build's layout, with more at the end.
const NEWER: u8 = 9;
/// The number by which no peer stops.
const STOP: u8 = u8::MAX;

/// A peer of the host under test, without a process: it answers each datagram with an announcement of the
/// chosen format that claims the highest fencing token `token`.
struct FakePeer {
    format: Arc<AtomicU8>,
    /// The first bytes of the numbers in the datagrams of the host.
    heard: Arc<AtomicU8>,
    thread: Option<thread::JoinHandle<()>>,
}

impl FakePeer {
    fn start(rig: &Rig, format: u8, token: u64) -> anyhow::Result<Self> {
        let socket = UdpSocket::bind(("127.0.0.1", 0))?;
        socket.set_read_timeout(Some(Duration::from_millis(50)))?;
        let peer = socket.local_addr()?;
        let entry = json!({"name": "g9", "incarnation": "g9:1", "domain": "d1", "peer": peer});
        rig.store.put("gateways", "g9", entry);
        let format = Arc::new(AtomicU8::new(format));
        let heard = Arc::new(AtomicU8::new(0));
        let mut content = content(token)?;
        // What a newer build adds.
        content.extend([7; 20]);
        let (stated, first_bytes) = (format.clone(), heard.clone());
        let thread = thread::spawn(move || {
            let mut echoes = EchoTracker::new(7);
            let mut buffer = [0; 64 * 1024];
            while stated.load(Ordering::SeqCst) != STOP {
                let Ok((length, from)) = socket.recv_from(&mut buffer) else { continue };
                if length < HEADER_BYTES {
                    continue;
                }
                first_bytes.store(buffer[0], Ordering::SeqCst);
                echoes.receive(from, &buffer[..HEADER_BYTES]);
                let mut datagram = echoes.begin(Instant::now()).header(from).to_vec();
                datagram[0] = stated.load(Ordering::SeqCst);
                datagram.extend_from_slice(&content);
                // The host may have ended.
                let _ = socket.send_to(&datagram, from);
            }
        });
        Ok(Self { format, heard, thread: Some(thread) })
    }
}

impl Drop for FakePeer {
    fn drop(&mut self) {
        self.format.store(STOP, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the peer does not panic");
        }
    }
}

fn content(token: u64) -> anyhow::Result<Vec<u8>> {
    let host: HostId = "g9".parse()?;
    let announcement = Announcement {
        incarnation: Incarnation::fresh(&host),
        host,
        domain: "d1".parse()?,
        leaving: false,
        wall_ms: 0,
        truth_ms: (0, 0),
        catalog: None,
        members: None,
        fence: None,
        shares: None,
        counts: None,
    };
    let addition = Addition { highest_fence: Epoch(token), ..Addition::default() };
    let content = (announcement, addition, Facts::default(), link::Report::default());
    Ok(postcard::to_allocvec(&content)?)
}

fn dump(gateway: &Gateway) -> anyhow::Result<Value> {
    Ok(serde_json::from_str(&gateway.page("/dump")?)?)
}

/// Returns the highest fencing token of the calls to the duties.
fn token(rig: &Rig) -> u64 {
    rig.duties.calls().iter().map(|call| call.token).max().unwrap_or(0)
}

/// Hands a request to a host as a peer does; returns the status and the body of its answer.
fn hand_over(to: SocketAddr, id: &str, handover: &str) -> anyhow::Result<(u16, String)> {
    let mut request = Request::new("POST", "/write/x", id);
    request.headers = vec![("wasabi-handover".to_string(), handover.to_string())];
    let mut stream: TcpStream = request.open(to)?;
    let response = caller::read(&mut stream)?;
    Ok((response.status, response.body))
}

#[test]
fn all_that_hosts_send_and_store_states_its_format() -> anyhow::Result<()> {
    let mut rig = Rig::start(PROGRAM)?;
    rig.add_engines(&[("f1", "v2")])?;
    let peer = FakePeer::start(&rig, format::ANNOUNCEMENT.0, 0)?;
    let gateway = rig.start_gateway("g1")?;
    let stream = Request::new("POST", "/chat/x", "s1").send(gateway.addresses.callers)?;
    assert_eq!(stream.status, 200);
    let kinds = [
        ("gateways", "g1"),
        ("leases", "duties"),
        ("usage", "sealed"),
        ("stream-versions", "services"),
        ("stream-origins", "g1"),
    ];
    for (kind, name) in kinds {
        let written = || rig.store.history(kind, name).pop();
        wait_for(kind, || written().is_some_and(|value| value != json!([])))?;
        let value = written().unwrap_or_default();
        assert_eq!(format::Format::of(&value), format::STORED, "{kind}: {value}");
    }
    wait_for("datagrams", || peer.heard.load(Ordering::SeqCst) == format::ANNOUNCEMENT.0)?;
    let page = minreq::get(format!("http://{}/counts", gateway.addresses.peers)).send()?;
    let stated = page.headers.iter().find(|(name, _)| name == "wasabi-format");
    assert_eq!(stated.map(|(_, value)| value.clone()), Some(format::PAGE.0.to_string()));
    assert_eq!(dump(&gateway)?["formats"]["announcement"], format::ANNOUNCEMENT.0);
    Ok(())
}

#[test]
fn what_a_newer_announcement_adds_is_left_out_and_said_once() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let _peer = FakePeer::start(&rig, NEWER, 70)?;
    let gateway = rig.start_gateway("g1")?;
    wait_for("a call with a token above the announced one", || token(&rig) > 70)?;
    let lines = gateway.log_lines("peer runs another build");
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert_eq!((&lines[0]["peer"], &lines[0]["format"]), (&json!("g9"), &json!(NEWER)));
    assert_eq!(dump(&gateway)?["peers"][0]["format"], NEWER);
    assert!(gateway.page("/metrics")?.contains("wasabi_peers_of_other_builds 1"));
    Ok(())
}

#[test]
fn an_announcement_of_another_layout_is_left_unread() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let peer = FakePeer::start(&rig, OTHER_LAYOUT, 70)?;
    let gateway = rig.start_gateway("g1")?;
    wait_for("a call for the duties", || token(&rig) > 0)?;
    assert!(token(&rig) < 70, "a fact of an unknown layout was taken over");
    let message = "peer's announcements are of a format that this build cannot read";
    assert_eq!(gateway.log_lines(message).len(), 1);
    assert!(
        gateway.page("/metrics")?.contains("wasabi_unread_messages_total{what=\"announcement\"}")
    );

    peer.format.store(0, Ordering::SeqCst);
    wait_for("the peer as an older build", || !gateway.log_lines("peer heard").is_empty())?;
    assert_eq!(dump(&gateway)?["peers"][0]["format"], 0);
    Ok(())
}

#[test]
fn a_handover_that_cannot_be_read_is_not_taken_for_a_page() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    let peers = gateway.addresses.peers;
    let older = json!({"from": "g9", "possible_runs": 0, "origin": null});
    assert_eq!(hand_over(peers, "older", &older.to_string())?.0, 200);
    let newer = json!({"format": NEWER, "from": "g9", "possible_runs": 0, "more": 1});
    assert_eq!(hand_over(peers, "newer", &newer.to_string())?.0, 200);
    let other = json!({"format": OTHER_LAYOUT, "from": "g9", "possible_runs": 0});
    for (id, handover) in [("other", other.to_string()), ("broken", "x".to_string())] {
        let (status, body) = hand_over(peers, id, &handover)?;
        assert_eq!(status, 502, "{body}");
        assert!(body.contains("\"code\":3202") && body.contains("\"ran\":\"unknown\""), "{body}");
        assert_eq!(rig.count_runs(id), 0);
    }
    Ok(())
}

/// Guards against a host that takes an object which it cannot read for none, and replaces it.
#[test]
fn stored_objects_of_another_layout_are_left_alone() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let object = |more: Value| {
        let mut object = json!({"format": OTHER_LAYOUT});
        object
            .as_object_mut()
            .expect("an object")
            .extend(more.as_object().cloned().unwrap_or_default());
        object
    };
    let objects = [
        (
            "leases",
            "duties",
            object(json!({"holder": null, "incarnation": "g9:1", "fence": 1, "renewal": 1})),
        ),
        ("usage", "sealed", object(json!({"windows": {}}))),
        ("stream-versions", "services", object(json!({"services": {}}))),
        ("gateways", "g1", object(json!({"name": "g1"}))),
    ];
    for (kind, name, value) in &objects {
        rig.store.put(kind, name, value.clone());
    }
    let gateway = rig.start_gateway("g1")?;
    for id in ["r1", "r2"] {
        let response = Request::new("POST", "/write/x", id).send(gateway.addresses.callers)?;
        assert_eq!(response.status, 200);
    }
    thread::sleep(Duration::from_secs(6));
    for (kind, name, value) in &objects {
        assert_eq!(rig.store.get(kind, name).as_ref(), Some(value), "{kind}");
        assert!(rig.store.history(kind, name).is_empty(), "{kind} was written");
    }
    assert!(rig.duties.calls().is_empty(), "the duties were taken without the lease");
    Ok(())
}

#[test]
fn what_states_no_known_number_is_of_an_unknown_layout() {
    use wasabi_core::format::Format;
    let of = |value: Value| Format::of(&value);
    assert_eq!(of(json!({"holder": null})), Format(0));
    assert_eq!(of(json!([{"format": 1}, {"format": 3}, {}])), Format(3));
    for odd in [json!(256), json!(-1), json!("1"), json!(null)] {
        assert!(!of(json!({"format": odd})).is_readable(format::STORED));
    }
    assert!(Format(127).is_readable(format::STORED) && !Format(128).is_readable(format::STORED));
    let stamped = format::STORED.stamp(json!([{"a": 1}]));
    assert_eq!(stamped, json!([{"a": 1, "format": format::STORED}]));
}
