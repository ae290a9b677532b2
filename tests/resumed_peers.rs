//! Streams that go on through a peer, which may be of an older build: its part is compared with where the
//! stream stands, like that of a server.

use std::{
    io::Write as _,
    net::{IpAddr, Shutdown, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use wasabi_core::call::Framing;
use wasabi_stand::{
    caller::{self, Request, Response},
    gateway::{Gateway, wait_for},
    proxy::{NetworkFault, Proxy},
    rig::Rig,
    scripted::{self, Server},
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");
const FRAMINGS: [Framing; 2] = [Framing::Close, Framing::Chunked];
const EVENTS: &str = "content-type: text/event-stream\r\n";
/// The header of a request that a host hands over.
const HANDOVER: &str = "wasabi-handover";
/// Events of a stream before it breaks off.
const BEGUN: u64 = 4;
/// The addresses from which the two hosts connect to servers.
const SOURCES: [IpAddr; 2] = [
    IpAddr::V4(std::net::Ipv4Addr::new(127, 0, 0, 2)),
    IpAddr::V4(std::net::Ipv4Addr::new(127, 0, 0, 3)),
];
const PAUSE: Duration = Duration::from_millis(20);

fn events(ids: impl IntoIterator<Item = u64>) -> String {
    ids.into_iter().map(|id| format!("id: {id}\ndata: event {id}\n\n")).collect()
}

/// What a peer sends in answer to a stream that goes on, and what the caller has of it.
struct Part {
    name: &'static str,
    sent: fn(&str, Framing) -> String,
    /// The last event that the caller gets, from the first one that it lacks on.
    last: u64,
    /// Whether the caller gets a complete stream.
    whole: bool,
}

const PARTS: [Part; 8] = [
    part("the rest", |head, framing| send(head, framing, events(5..=8)), 8, true),
    part("the beginning", |head, framing| send(head, framing, events(1..=8)), 8, true),
    part("a gap", |head, framing| send(head, framing, events(7..=8)), 4, false),
    part("a late gap", |head, framing| send(head, framing, events([5, 6, 8])), 6, false),
    part("text", |head, framing| send(head, framing, "it failed\n\n".to_string()), 4, false),
    part("repeats", |head, framing| send(head, framing, events(1..=3)), 4, false),
    part("half", |head, framing| send(head, framing, events(5..=5) + "id: 6\nda"), 5, false),
    part(
        "another's",
        |head, framing| {
            send(&head.replace("request-id: ", "request-id: z"), framing, events(5..=8))
        },
        4,
        false,
    ),
];

const fn part(
    name: &'static str,
    sent: fn(&str, Framing) -> String,
    last: u64,
    whole: bool,
) -> Part {
    Part { name, sent, last, whole }
}

fn send(head: &str, framing: Framing, body: String) -> String {
    scripted::framed(head, framing, EVENTS, &body)
}

/// Index of the part and framing that a request asks for in its path.
fn asked(head: &str) -> (usize, Framing) {
    let mut numbers = head.split(' ').nth(1).unwrap_or_default().rsplit('/');
    let mut number = || numbers.next().and_then(|text| text.parse().ok()).unwrap_or(0);
    (number(), FRAMINGS[number()])
}

/// A host that is cut from all servers beside a peer whose answers are scripted, and the streams that
/// the host has open at a server.
struct Stage {
    _rig: Rig,
    _proxies: Vec<Proxy>,
    host: Gateway,
    open: Vec<TcpStream>,
    /// Ends the open streams at their server.
    ends: Arc<AtomicBool>,
}

impl Stage {
    fn start(open: impl Iterator<Item = String>) -> anyhow::Result<Self> {
        let rig = Rig::start(PROGRAM)?;
        let ends = Arc::new(AtomicBool::new(false));
        let ending = ends.clone();
        let engine = Server::start(move |mut connection, _| {
            let head = scripted::read_head(&mut connection)?;
            let begun = events(1..=BEGUN);
            connection.write_all(scripted::signed(&head, 200, EVENTS).as_bytes())?;
            connection.write_all(begun.as_bytes())?;
            while !ending.load(Ordering::SeqCst) {
                thread::sleep(PAUSE);
            }
            connection.write_all(b"id: 5")?;
            connection.shutdown(Shutdown::Both)
        })?;
        let proxies = rig.proxy_servers()?;
        let engine_proxy = Proxy::start(rig.runtime.handle(), engine.address)?;
        rig.replace_servers("llm", engine_proxy.address);
        let host = rig.start_gateway_from("g1", SOURCES[0])?;
        let mut peer = rig.start_gateway_from("g2", SOURCES[1])?;
        wait_for("the peers", || {
            [&host, &peer].iter().all(|gateway| !gateway.log_lines("peer heard").is_empty())
        })?;
        let open = open
            .map(|path| Request::new("POST", &path, &path).open(host.addresses.callers))
            .collect::<anyhow::Result<Vec<_>>>()?;
        wait_for("the streams", || host.log_lines("first event").len() == open.len())?;
        engine_proxy.set_for(SOURCES[0], NetworkFault::RefuseNew);
        proxies.iter().for_each(|proxy| proxy.set_for(SOURCES[0], NetworkFault::Close));
        let deadline = Instant::now() + Duration::from_secs(15);
        while host.log_lines("cut off from all backend servers").is_empty() {
            anyhow::ensure!(Instant::now() < deadline, "the host does not notice the cut");
            for gateway in [&peer, &host] {
                // Only to make the host notice, and to keep the peer in contact with servers.
                let _ = Request::new("GET", "/read/x", "busy").send(gateway.addresses.callers);
            }
        }
        let address = peer.addresses.peers;
        peer.kill();
        Server::start_at(address, |mut connection, _| {
            let head = scripted::read_head(&mut connection)?;
            if !scripted::header(&head, HANDOVER).is_empty() {
                let (number, framing) = asked(&head);
                connection.write_all((PARTS[number].sent)(&head, framing).as_bytes())?;
            }
            connection.shutdown(Shutdown::Both)
        })?;
        let proxies = proxies.into_iter().chain([engine_proxy]).collect();
        Ok(Self { _rig: rig, _proxies: proxies, host, open, ends })
    }
}

fn paths(framing: usize) -> impl Iterator<Item = (&'static Part, String)> {
    let all = PARTS.iter().enumerate();
    all.map(move |(number, part)| (part, format!("/chat/{framing}/{number}")))
}

fn assert_part(part: &Part, path: &str, response: &Response, from: u64, whole: bool) {
    let name = part.name;
    assert_eq!(response.body, events(from..=part.last), "{name} {path}");
    assert_eq!(response.complete, whole, "{name} {path}: {}", response.body);
}

#[test]
fn a_resumed_stream_is_compared_with_what_a_peer_sends() -> anyhow::Result<()> {
    for framing in 0..FRAMINGS.len() {
        let mut stage = Stage::start(paths(framing).map(|(_, path)| path))?;
        stage.ends.store(true, Ordering::SeqCst);
        for ((part, path), connection) in paths(framing).zip(&mut stage.open) {
            let response = caller::read(connection)?;
            assert_part(part, &path, &response, 1, part.whole);
        }
        let logged = || stage.host.log_lines("stream of a peer broke off").len() >= PARTS.len() - 2;
        wait_for("the causes", logged)?;
    }
    Ok(())
}

#[test]
fn a_resumed_stream_of_its_caller_is_compared_with_what_a_peer_sends() -> anyhow::Result<()> {
    let stage = Stage::start(std::iter::empty())?;
    for (part, path) in (0..FRAMINGS.len()).flat_map(paths) {
        let request = Request::resume(&path, &path, "begun", BEGUN);
        let response = request.send(stage.host.addresses.callers)?;
        if part.name == "another's" {
            assert_eq!(response.status, 502, "{response:?}");
            continue;
        }
        assert_part(part, &path, &response, BEGUN + 1, part.whole);
    }
    Ok(())
}
