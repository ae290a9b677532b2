//! Tests of the gateway with connections that fall silent, servers that respond early, incompletely
//! or twice, and callers that read slowly.

use std::{
    io::{Read as _, Write as _},
    net::Shutdown,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde_json::json;
use wasabi_stand::{
    caller::{self, Request},
    gateway::wait_for,
    proxy::{NetworkFault, Proxy},
    rig::Rig,
    scripted::{self, Server},
    server::Behavior,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");
/// The longest time that a request may take that moves from a stuck server to another one. Its
/// route's target for the first event is half a second, and a stuck request is detected within a
/// second; the rest is slack.
const MOVE_LIMIT: Duration = Duration::from_millis(2_000);

/// The size of a stream of [`serve_large_stream`].
const EVENTS: usize = 400;
const EVENT_BYTES: usize = 64 * 1024;

/// Starts a server whose stream is larger than all buffers on its way, and returns it with the
/// number of bytes of events that it has written.
fn serve_large_stream() -> anyhow::Result<(Server, Arc<AtomicUsize>)> {
    let written = Arc::new(AtomicUsize::new(0));
    let count = written.clone();
    let server = Server::start(move |mut stream, _| {
        let head = scripted::read_head(&mut stream)?;
        let extra = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
        stream.write_all(scripted::signed(&head, 200, extra).as_bytes())?;
        for event in 1..=EVENTS {
            let text = format!("id: {event}\ndata: {}\n\n", "x".repeat(EVENT_BYTES));
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            count.fetch_add(text.len(), Ordering::SeqCst);
        }
        stream.write_all(b"0\r\n\r\n")
    })?;
    Ok((server, written))
}

#[test]
fn a_read_that_is_stuck_is_answered_elsewhere() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    rig.server("p1").set_behavior(Some(Behavior::Hang));
    for i in 0..6 {
        let begun = Instant::now();
        let response =
            Request::new("GET", "/read/x", &format!("a{i}")).send(gateway.addresses.callers)?;
        assert_eq!(response.status, 200);
        assert!(begun.elapsed() < MOVE_LIMIT, "{:?}", begun.elapsed());
    }
    let stuck = rig.server("p1").arrivals();
    assert!(!stuck.is_empty(), "the server that hangs was never tried");
    wait_for("the stuck requests to be cancelled", || {
        rig.server("p1").arrivals().iter().all(|arrival| arrival.client_gone_at.is_some())
    })
}

/// A stuck write may have run, so it is not moved; later requests avoid the server that hangs.
#[test]
fn a_write_that_is_stuck_runs_once_and_its_server_is_avoided() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    let to = gateway.addresses.callers;
    rig.server("p1").set_behavior(Some(Behavior::Hang));
    rig.server("p2").set_behavior(Some(Behavior::Hang));
    let mut request = Request::new("POST", "/write/x", "b1");
    request.deadline = Duration::from_millis(1_500);
    let begun = Instant::now();
    assert_eq!(request.send(to)?.status, 504);
    assert!(begun.elapsed() < Duration::from_millis(2_000), "{:?}", begun.elapsed());
    assert_eq!(rig.count_runs("b1"), 1);
    let (hung, other) = match rig.server("p1").arrivals().is_empty() {
        true => ("p2", "p1"),
        false => ("p1", "p2"),
    };
    rig.server(other).set_behavior(None);
    let before = rig.server(hung).arrivals().len();
    for i in 0..5 {
        let response = Request::new("POST", "/write/x", &format!("b2{i}")).send(to)?;
        assert_eq!(response.status, 200);
    }
    assert_eq!(rig.server(hung).arrivals().len(), before, "{hung} was sent more requests");
    Ok(())
}

#[test]
fn a_stream_that_stalls_goes_on_elsewhere() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    for (id, behavior) in
        [("c1", Behavior::Hang), ("c2", Behavior::StallAfter(0)), ("c3", Behavior::StallAfter(4))]
    {
        rig.server("e1").plan_next(behavior);
        rig.server("e2").plan_next(Behavior::Serve);
        let begun = Instant::now();
        let response = Request::new("POST", "/chat/x", id).send(gateway.addresses.callers)?;
        assert!(response.complete, "{id}");
        assert_eq!(response.event_ids(), (1..=10).collect::<Vec<_>>(), "{id}");
        assert!(begun.elapsed() < MOVE_LIMIT + Duration::from_millis(500), "{:?}", begun.elapsed());
    }
    Ok(())
}

/// The stream's route is not resumable, so the stream is cut at its deadline instead.
#[test]
fn a_stream_goes_on_although_the_next_server_cannot_be_connected() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_repeating_gateway("g1")?;
    let changes = gateway.log_lines("backend servers changed").len();
    for id in ["x1", "x2"] {
        let unused = std::net::TcpListener::bind(("127.0.0.1", 0))?.local_addr()?;
        rig.store.put("servers", id, wasabi_stand::server::store_object("llm", unused, "ready"));
    }
    wait_for("the list", || gateway.log_lines("backend servers changed").len() > changes)?;
    for id in ["e1", "e2"] {
        rig.server(id).set_behavior(Some(Behavior::BreakNew(3)));
    }
    for number in 0..12 {
        let (path, id) = (format!("/chat/{number}"), format!("s{number}"));
        let response = Request::new("POST", &path, &id).send(gateway.addresses.callers)?;
        assert!(response.complete && response.event_ids().len() == 10, "{id}: {response:?}");
    }
    Ok(())
}

#[test]
fn a_stream_that_must_not_run_twice_is_not_moved() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    for server in ["e1", "e2"] {
        rig.server(server).set_behavior(Some(Behavior::StallAfter(2)));
    }
    let mut request = Request::new("POST", "/long/x", "d1");
    request.deadline = Duration::from_millis(2_500);
    let response = request.send(gateway.addresses.callers)?;
    assert!(!response.complete);
    assert_eq!(response.event_ids(), [1, 2]);
    assert_eq!(rig.count_runs("d1"), 1);
    Ok(())
}

/// Open connections stop carrying bytes for good, while new ones to the same server work.
#[test]
fn connections_that_fall_silent_are_not_used_again() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let (_, at) = rig.servers[2];
    let proxy = Proxy::start(rig.runtime.handle(), at)?;
    rig.replace_servers("app", proxy.address);
    // The proxy forwards to p1, which turns away requests for an instance of another name.
    let entry = rig.store.get("servers", "x1").expect("the entry was written");
    rig.store.remove("servers", "x1");
    rig.store.put("servers", "p1", entry);
    let gateway = rig.start_gateway("g1")?;
    let to = gateway.addresses.callers;
    assert_eq!(Request::new("GET", "/read/x", "e1").send(to)?.status, 200);
    proxy.set(NetworkFault::Silence);
    let mut request = Request::new("GET", "/read/x", "e2");
    request.deadline = Duration::from_millis(1_000);
    let begun = Instant::now();
    assert_eq!(request.send(to)?.status, 504);
    assert!(begun.elapsed() < Duration::from_millis(1_300), "{:?}", begun.elapsed());
    proxy.set(NetworkFault::None);
    assert_eq!(Request::new("GET", "/read/x", "e3").send(to)?.status, 200);
    Ok(())
}

/// The server responds before it has read a long upload, and reads the rest later. The rest of the
/// upload still reaches it, and the connection is used again only after that.
#[test]
fn an_early_answer_to_a_long_upload_is_delivered() -> anyhow::Result<()> {
    const BYTES: usize = 900_000;
    let rig = Rig::start(PROGRAM)?;
    let bytes_read = Arc::new(AtomicUsize::new(0));
    let counter = bytes_read.clone();
    let server = Server::start(move |mut stream, _| {
        loop {
            let head = scripted::read_head(&mut stream)?;
            if head.is_empty() {
                return Ok(());
            }
            let length: usize = scripted::header(&head, "content-length").parse().unwrap_or(0);
            let status = if length > 0 { 413 } else { 200 };
            stream
                .write_all(scripted::signed(&head, status, "content-length: 5\r\n").as_bytes())?;
            stream.write_all(b"early")?;
            thread::sleep(Duration::from_millis(300));
            let mut body = vec![0; length];
            stream.read_exact(&mut body)?;
            if body.iter().all(|byte| *byte == b'u') {
                counter.fetch_add(body.len(), Ordering::SeqCst);
            }
        }
    })?;
    rig.replace_servers("app", server.address);
    let gateway = rig.start_gateway("g1")?;
    let to = gateway.addresses.callers;
    let mut request = Request::new("POST", "/write/x", "f1");
    request.body = vec![b'u'; BYTES];
    let begun = Instant::now();
    let response = request.send(to)?;
    assert_eq!((response.status, response.body.as_str()), (413, "early"));
    assert!(begun.elapsed() < Duration::from_millis(280), "{:?}", begun.elapsed());
    assert_eq!(Request::new("GET", "/read/x", "f2").send(to)?.body, "early");
    wait_for("the rest of the upload", || bytes_read.load(Ordering::SeqCst) == BYTES)
}

/// A response without a length ends when its connection is closed; it is incomplete if the
/// connection is reset instead.
#[test]
fn an_answer_without_a_length_is_complete_only_if_its_connection_closes_normally()
-> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let server = Server::start(|mut stream, number| {
        let head = scripted::read_head(&mut stream)?;
        stream.write_all(scripted::signed(&head, 200, "").as_bytes())?;
        stream.write_all(b"part one, ")?;
        if number % 2 == 1 {
            // A linger time of zero makes the drop reset the connection.
            reset_on_drop(&stream)?;
            return Ok(());
        }
        stream.write_all(b"part two")?;
        stream.shutdown(Shutdown::Both)
    })?;
    rig.replace_servers("app", server.address);
    let gateway = rig.start_gateway("g1")?;
    let to = gateway.addresses.callers;
    let whole = Request::new("GET", "/read/x", "g1").send(to)?;
    assert_eq!((whole.status, whole.body.as_str()), (200, "part one, part two"));
    assert!(whole.complete);
    let cut = Request::new("POST", "/write/x", "g2").send(to)?;
    assert_eq!(cut.status, 502, "{cut:?}");
    Ok(())
}

/// The server sends each response twice; the second one answers no request and reaches no caller.
#[test]
fn an_unsolicited_answer_is_dropped() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let server = Server::start(|mut stream, _| {
        loop {
            let head = scripted::read_head(&mut stream)?;
            if head.is_empty() {
                return Ok(());
            }
            let id = scripted::header(&head, "request-id");
            let response =
                scripted::signed(&head, 200, &format!("content-length: {}\r\n", id.len()));
            let twice = format!("{response}{id}").repeat(2);
            stream.write_all(twice.as_bytes())?;
        }
    })?;
    rig.replace_servers("app", server.address);
    let gateway = rig.start_gateway("g1")?;
    for i in 0..8 {
        let id = format!("h{i}");
        let response = Request::new("GET", "/read/x", &id).send(gateway.addresses.callers)?;
        assert_eq!((response.status, response.body.as_str()), (200, id.as_str()));
    }
    assert!(server.connections() >= 8, "a connection with unread bytes was used again");
    Ok(())
}

/// A caller that stops reading for a while delays no other request, uses a bounded amount of
/// memory, and still gets its complete response.
#[test]
fn a_slow_reader_gets_its_answer_and_holds_up_nobody() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let (server, written) = serve_large_stream()?;
    rig.replace_servers("llm", server.address);
    let gateway = rig.start_gateway("g1")?;
    let to = gateway.addresses.callers;
    let resident_before = gateway.resident_bytes()?;
    let mut slow = Request::new("POST", "/chat/x", "i1").open(to)?;
    thread::sleep(Duration::from_millis(1_000));
    let buffered = written.load(Ordering::SeqCst);
    assert!(buffered < EVENTS * EVENT_BYTES / 2, "{buffered} bytes are buffered for one caller");
    let held = gateway.resident_bytes()?.saturating_sub(resident_before);
    assert!(held < EVENTS * EVENT_BYTES / 2, "the gateway holds {held} bytes for one caller");
    assert_eq!(Request::new("GET", "/read/x", "i2").send(to)?.status, 200);
    thread::sleep(Duration::from_millis(1_500));
    let response = caller::read(&mut slow)?;
    assert!(response.complete, "only {} bytes were received", response.body.len());
    assert_eq!(response.event_ids().len(), EVENTS);
    Ok(())
}

/// A caller that reads fast and then stops has as little buffered as one that never reads.
#[test]
fn a_reader_that_stops_after_a_fast_start_has_a_bounded_backlog() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let (server, written) = serve_large_stream()?;
    rig.replace_servers("llm", server.address);
    let gateway = rig.start_gateway("g1")?;
    let mut caller = Request::new("POST", "/chat/x", "j1").open(gateway.addresses.callers)?;
    socket2::SockRef::from(&caller).set_recv_buffer_size(EVENT_BYTES)?;
    let mut start = vec![0; EVENTS * EVENT_BYTES / 3];
    caller.read_exact(&mut start)?;
    thread::sleep(Duration::from_millis(1_000));
    let backlog = written.load(Ordering::SeqCst).saturating_sub(start.len());
    assert!(backlog < EVENTS * EVENT_BYTES / 2, "{backlog} bytes are buffered for one caller");
    Ok(())
}

/// A scaling order whose response is lost is repeated, with the same content as long as nothing
/// else changes.
#[test]
fn an_order_whose_answer_is_lost_is_repeated_as_it_was() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    rig.configure(1, |config| {
        config["services"][0]["scaling"] = json!({"min": 1, "max": 6, "boot_s": 3.0,
            "zone_prices": {"d1": 1.0}, "spot_price": 0.3});
    });
    rig.duties.set_loses_answers(true);
    let _gateway = rig.start_gateway("g1")?;
    let orders = || {
        let calls = rig.duties.calls().into_iter();
        calls.filter(|call| call.path == "/scale").collect::<Vec<_>>()
    };
    wait_for("repeated orders", || orders().len() >= 4)?;
    rig.duties.set_loses_answers(false);
    thread::sleep(Duration::from_millis(2_500));
    let settled = orders();
    for reclaimable in [true, false] {
        let kind = settled.iter().filter(|call| call.body["spot"].as_bool() == Some(reclaimable));
        let counts = kind.map(|call| call.body["desired"].clone()).collect::<Vec<_>>();
        assert!(counts.windows(2).all(|pair| pair[0] == pair[1]), "{counts:?}");
    }
    thread::sleep(Duration::from_millis(1_500));
    assert_eq!(orders().len(), settled.len(), "an answered order was repeated at once");
    Ok(())
}

fn reset_on_drop(stream: &std::net::TcpStream) -> std::io::Result<()> {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO))
}
