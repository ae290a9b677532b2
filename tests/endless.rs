//! Servers whose bytes have no end, in a head or a body, and are no answer.

use std::{
    io::{self, Write as _},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde_json::json;
use wasabi_stand::{
    caller::Request,
    gateway::{Gateway, wait_for},
    rig::Rig,
    scripted::{self, Server},
    server,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");
/// Requests that run at the same time against a server without end.
const CALLERS: usize = 24;
/// The memory of a host on the smaller of the two platforms.
const HOST_MEMORY_BYTES: usize = 110 * 1024 * 1024;
const DEADLINE: Duration = Duration::from_secs(3);
/// How long past the deadline a caller waits at most for its answer.
const SLACK: Duration = Duration::from_millis(500);
/// A stream without an event for 1.5 s moves to another server; the rest is for its first events there.
const MOVE_LIMIT: Duration = Duration::from_millis(4_000);

const CHUNK: &str = "8\r\nxxxxxxxx\r\n";
const EVENTS: &str = "content-type: text/event-stream\r\n";

/// What a server sends in answer to a request: a beginning, and a part that it repeats without end.
/// `{signed}` stands for the status line and the headers of a signed response.
const FLOODS: [(&str, &str, &str); 8] = [
    ("a status line", "", "x"),
    ("headers", "HTTP/1.1 200 OK\r\n", "x-filler: xxxxxxxxxxxxxxxx\r\n"),
    ("one header", "HTTP/1.1 200 OK\r\nx-filler: ", "xxxxxxxx"),
    ("interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"),
    ("a body without framing", "{signed}\r\n", "xxxxxxxx"),
    ("chunks", "{signed}transfer-encoding: chunked\r\n\r\n", CHUNK),
    ("a chunk extension", "{signed}transfer-encoding: chunked\r\n\r\n8;", "xxxxxxxx"),
    ("trailers", "{signed}transfer-encoding: chunked\r\n\r\n0\r\n", "x-filler: xxxxxxxx\r\n"),
];

/// A server that floods each of its connections.
struct Flood {
    server: Server,
    /// Connections on which it still writes.
    open: Arc<AtomicUsize>,
}

impl Flood {
    fn start(begin: &'static str, part: &'static str, pause: Duration) -> anyhow::Result<Self> {
        Self::start_with(begin, part, pause, scripted::read_head)
    }

    /// A server that also floods whoever asks for its report.
    fn start_all(begin: &'static str, part: &'static str) -> anyhow::Result<Self> {
        Self::start_with(begin, part, Duration::ZERO, scripted::read_any_head)
    }

    fn start_with(
        begin: &'static str,
        part: &'static str,
        pause: Duration,
        read_head: fn(&mut TcpStream) -> io::Result<String>,
    ) -> anyhow::Result<Self> {
        let open = Arc::new(AtomicUsize::new(0));
        let counted = open.clone();
        let server = Server::start(move |mut stream, _| {
            let head = read_head(&mut stream)?;
            if head.is_empty() {
                return Ok(());
            }
            counted.fetch_add(1, Ordering::SeqCst);
            let signed =
                scripted::signed(&head, 200, if head.contains("/chat/") { EVENTS } else { "" });
            let signed = signed.strip_suffix("\r\n").unwrap_or_default();
            let begun = stream.write_all(begin.replace("{signed}", signed).as_bytes());
            // A part a system call would be slow.
            let repeat = if pause.is_zero() { 4_096 / part.len() } else { 1 };
            if begun.is_ok() {
                scripted::flood(&mut stream, part.repeat(repeat).as_bytes(), pause);
            }
            counted.fetch_sub(1, Ordering::SeqCst);
            Ok(())
        })?;
        Ok(Self { server, open })
    }
}

/// Sends requests at the same time and returns how many were not answered by the deadline, and the
/// statuses of complete answers.
fn send_at_once(to: SocketAddr, method: &str, path: &str, label: &str) -> (usize, Vec<u16>) {
    thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| {
                scope.spawn(move || {
                    let begun = Instant::now();
                    let request = Request::new(method, path, &format!("{label}-{number}"));
                    let response = Request { deadline: DEADLINE, ..request }.send(to);
                    let complete = response.ok().filter(|response| response.complete);
                    (begun.elapsed() > DEADLINE + SLACK, complete.map(|response| response.status))
                })
            })
            .collect();
        let ends: Vec<_> = callers.into_iter().map(|c| c.join().expect("no panic")).collect();
        let late = ends.iter().filter(|(late, _)| *late).count();
        (late, ends.into_iter().filter_map(|(_, status)| status).collect())
    })
}

/// Checks that requests to a service whose only server floods end in time, as failures, and within
/// the memory of a host.
fn assert_ends(
    service: &str,
    method: &str,
    path: &str,
    start: impl Fn(&'static str, &'static str) -> anyhow::Result<Flood>,
) -> anyhow::Result<()> {
    for (name, begin, part) in FLOODS {
        let rig = Rig::start(PROGRAM)?;
        let flood = start(begin, part)?;
        rig.replace_servers(service, flood.server.address);
        let gateway = rig.start_gateway("g1")?;
        let to = gateway.addresses.callers;
        let (late, statuses) = send_at_once(to, method, path, "flood");
        let resident = gateway.peak_resident_bytes()?;
        assert_eq!(late, 0, "{name}: callers without an answer in time");
        assert!(statuses.iter().all(|status| *status >= 500), "{name}: {statuses:?}");
        assert!(resident < HOST_MEMORY_BYTES, "{name}: {} MB", resident >> 20);
        wait_for("the connections to be closed", || flood.open.load(Ordering::SeqCst) == 0)?;
        assert_alive(&gateway);
    }
    Ok(())
}

fn assert_alive(gateway: &Gateway) {
    assert!(gateway.is_ready(), "the host is not ready any more");
}

#[test]
fn plain_requests_end_when_a_server_sends_bytes_without_end() -> anyhow::Result<()> {
    assert_ends("app", "GET", "/read/x", |begin, part| Flood::start(begin, part, Duration::ZERO))
}

#[test]
fn streams_end_when_a_server_sends_bytes_without_end() -> anyhow::Result<()> {
    assert_ends("llm", "POST", "/chat/x", |begin, part| Flood::start(begin, part, Duration::ZERO))
}

/// Guards against the report of a server, which hosts ask for before streams, read as if it were a large answer.
#[test]
fn streams_end_when_a_server_reports_bytes_without_end() -> anyhow::Result<()> {
    assert_ends("llm", "POST", "/chat/x", Flood::start_all)
}

/// Guards against limits that hold for each service, or for answers and bodies by themselves, and not for all together.
#[test]
fn several_services_without_end_beside_large_bodies_stay_within_the_memory() -> anyhow::Result<()> {
    const SERVICES: [&str; 3] = ["app", "app2", "app3"];
    const CALLERS_OF_EACH: usize = 100;
    const BODIES: usize = 24;
    let rig = Rig::start(PROGRAM)?;
    let mut floods = Vec::new();
    rig.configure(2, |config| {
        for service in &SERVICES[1..] {
            let mut route = config["routes"][3].clone();
            route["name"] = json!(format!("r-{service}"));
            route["path_prefix"] = json!(format!("/{service}/"));
            route["service"] = json!(service);
            let mut entry = config["services"][1].clone();
            entry["name"] = json!(service);
            config["routes"].as_array_mut().expect("a list").push(route);
            config["services"].as_array_mut().expect("a list").push(entry);
        }
    });
    for service in SERVICES {
        let flood = Flood::start("{signed}\r\n", "xxxxxxxx", Duration::ZERO)?;
        let entry = server::store_object(service, flood.server.address, "ready");
        if service == SERVICES[0] {
            rig.replace_servers(service, flood.server.address);
        } else {
            rig.store.put("servers", &format!("y-{service}"), entry);
        }
        floods.push(flood);
    }
    let gateway = rig.start_gateway("g1")?;
    let to = gateway.addresses.callers;
    let statuses: Vec<u16> = thread::scope(|scope| {
        let ask = |number: usize| {
            let path = ["/read/x", "/app2/x", "/app3/x"][number % 3];
            let request = Request::new("GET", path, &format!("f{number}"));
            let request = Request { deadline: DEADLINE, ..request };
            scope.spawn(move || request.send(to).map_or(0, |response| response.status))
        };
        let upload = |number: usize| {
            let request = Request::new("POST", "/long/x", &format!("b{number}"));
            let request = Request { deadline: DEADLINE, body: vec![b'x'; 1_000_000], ..request };
            scope.spawn(move || request.send(to).map_or(0, |response| response.status))
        };
        let mut calls: Vec<_> = (0..CALLERS_OF_EACH * SERVICES.len()).map(ask).collect();
        calls.extend((0..BODIES).map(upload));
        calls.into_iter().map(|call| call.join().expect("no panic")).collect()
    });
    let resident = gateway.peak_resident_bytes()?;
    assert!(resident < HOST_MEMORY_BYTES, "{} MB; {statuses:?}", resident >> 20);
    assert_alive(&gateway);
    let served = Request::new("POST", "/chat/x", "after").send(to)?;
    assert!(served.status == 200 && served.complete, "{served:?}");
    Ok(())
}

/// Each byte counts as a sign of life of the connection, but not of progress.
#[test]
fn a_stream_of_single_bytes_without_an_event_moves_to_another_server() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let begin = "{signed}transfer-encoding: chunked\r\n\r\n";
    let drip = Flood::start(begin, "1\r\nx\r\n", Duration::from_millis(100))?;
    rig.store.remove("servers", "e1");
    let entry = server::store_object("llm", drip.server.address, "ready");
    rig.store.put("servers", "x1", entry);
    let gateway = rig.start_repeating_gateway("g1")?;
    let mut moved = 0;
    for number in 0..8 {
        let before = drip.server.connections();
        let begun = Instant::now();
        let request = Request::new("POST", "/chat/x", &format!("d{number}"));
        let response = request.send(gateway.addresses.callers)?;
        assert!(response.complete, "{response:?}");
        assert!(begun.elapsed() < MOVE_LIMIT, "{:?}", begun.elapsed());
        moved += usize::from(drip.server.connections() > before);
    }
    assert!(moved > 0, "the server that drips was never tried");
    wait_for("its connections to be closed", || drip.open.load(Ordering::SeqCst) == 0)
}
