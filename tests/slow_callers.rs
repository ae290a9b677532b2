//! Callers that do not read their responses, and servers that read uploads slowly: what a host holds for them is
//! bounded, and others are served meanwhile.

use std::{
    cell::Cell,
    io::{Read as _, Write as _},
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde_json::json;
use wasabi_core::call::Framing;
use wasabi_stand::{
    caller::{self, Request},
    gateway::{self, Gateway, wait_for},
    rig::Rig,
    scripted::{self, Server},
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");
/// The memory of the smaller hosts, and what the process may take at most.
const MEMORY_MB: usize = 110;
const MAX_PEAK_BYTES: usize = 100_000_000;
/// Callers that do not read, some of them after others.
const SLOW_CALLERS: usize = 240;
const ROUND: usize = 40;
/// The size of a plain response.
const RESPONSE_BYTES: usize = 2_000_000;
const EVENTS: usize = 600;
const EVENT_BYTES: usize = 16_384;
/// An event near the largest that is passed on, and the streams of such events.
const LARGE_EVENT_BYTES: usize = 900_000;
const STREAMS: usize = 80;
/// What a host and the kernel may hold of a stream whose caller does not read.
const MAX_HELD_BYTES: usize = 3_000_000;
/// How long a server lets a response remain unread.
const CUT_AFTER: Duration = Duration::from_millis(2_000);
const UPLOADS: usize = 6;
const UPLOAD_BYTES: usize = 4_000_000;

fn start_small(rig: &Rig) -> anyhow::Result<Gateway> {
    let addresses = gateway::pick_ports()?;
    let mut settings = gateway::settings("g1", &addresses, rig.store_address, rig.duties_address);
    settings["memory_mb"] = json!(MEMORY_MB);
    settings["bounds"]["repeat_ratio"] = json!(100);
    let gateway = Gateway::start(PROGRAM.as_ref(), addresses, &settings)?;
    gateway.wait_ready()?;
    Ok(gateway)
}

/// Answers each request with a body of [`RESPONSE_BYTES`].
fn serve_large() -> anyhow::Result<Server> {
    Server::start(|mut stream, _| {
        loop {
            let head = scripted::read_head(&mut stream)?;
            if head.is_empty() {
                return Ok(());
            }
            let body = "x".repeat(RESPONSE_BYTES);
            let text = "content-type: text/plain\r\n";
            stream.write_all(scripted::framed(&head, Framing::Length, text, &body).as_bytes())?;
        }
    })
}

/// Guards against callers that take the memory of all responses by not reading theirs.
#[test]
fn callers_that_do_not_read_neither_fill_the_memory_nor_crowd_out_others() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    rig.replace_servers("app", serve_large()?.address);
    let gateway = start_small(&rig)?;
    let to = gateway.addresses.callers;
    let mut slow = Vec::new();
    for number in 0..SLOW_CALLERS {
        slow.push(Request::new("GET", "/read/x", &format!("s{number}")).open(to)?);
        if number % ROUND == ROUND - 1 {
            thread::sleep(Duration::from_millis(400));
        }
    }
    let begun = Instant::now();
    wait_for("a large response to be served", || {
        let id = format!("f{}", begun.elapsed().as_micros());
        let response = Request::new("GET", "/read/x", &id).send(to);
        response.is_ok_and(|response| response.status == 200 && response.complete)
    })?;
    let peak = gateway.peak_resident_bytes()?;
    assert!(peak < MAX_PEAK_BYTES, "{peak} bytes for {SLOW_CALLERS} callers");
    assert!(!gateway.log_lines("callers do not read").is_empty(), "no connection was ended");
    let cut = slow.iter_mut().filter_map(|stream| caller::read(stream).ok());
    let cut = cut.filter(|response| response.status == 200 && !response.complete).count();
    assert!(cut > 0, "no caller sees that its response is incomplete");
    Ok(())
}

/// What an engine has sent of streams.
#[derive(Clone, Default)]
struct Sent {
    bytes: Arc<AtomicUsize>,
    /// Streams that remained unread for too long, or whose host has left.
    cut: Arc<AtomicUsize>,
}

/// Sends a stream of large events, also from a later event on, and cuts one that remains unread for `cut_after`.
fn serve_stream(cut_after: Duration, event_bytes: usize) -> anyhow::Result<(Server, Sent)> {
    let sent = Sent::default();
    let counted = sent.clone();
    let server = Server::start(move |mut stream, _| {
        let head = scripted::read_head(&mut stream)?;
        let after = scripted::header(&head, "last-event-id").parse().unwrap_or(0);
        let kind = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
        stream.write_all(scripted::signed(&head, 200, kind).as_bytes())?;
        // What the server's own kernel buffers is not held by the host.
        socket2::SockRef::from(&stream).set_send_buffer_size(EVENT_BYTES)?;
        stream.set_write_timeout(Some(cut_after))?;
        for id in after + 1..=EVENTS {
            let event = format!("id: {id}\ndata: {}\n\n", "x".repeat(event_bytes));
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if let Err(e) = stream.write_all(chunk.as_bytes()) {
                counted.cut.fetch_add(1, Ordering::SeqCst);
                socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
                return Err(e);
            }
            counted.bytes.fetch_add(chunk.len(), Ordering::SeqCst);
        }
        stream.write_all(b"0\r\n\r\n")
    })?;
    Ok((server, sent))
}

/// Reads a stream that its server has cut while nobody read; returns it with the gateway.
fn read_late(path: &str) -> anyhow::Result<(caller::Response, Gateway)> {
    let rig = Rig::start(PROGRAM)?;
    let (server, sent) = serve_stream(CUT_AFTER, EVENT_BYTES)?;
    rig.replace_servers("llm", server.address);
    let gateway = start_small(&rig)?;
    let mut stream = Request::new("POST", path, "l1").open(gateway.addresses.callers)?;
    wait_for("the server to cut the stream", || sent.cut.load(Ordering::SeqCst) > 0)?;
    let held = sent.bytes.load(Ordering::SeqCst);
    assert!(held < MAX_HELD_BYTES, "{held} bytes were taken from the server");
    Ok((caller::read(&mut stream)?, gateway))
}

fn causes(gateway: &Gateway) -> Vec<String> {
    let lines = gateway.log_lines("send failed");
    lines.iter().map(|line| line["cause"].as_str().unwrap_or_default().to_string()).collect()
}

#[test]
fn a_stream_that_was_cut_unread_ends_incomplete_where_it_cannot_go_on() -> anyhow::Result<()> {
    let (response, gateway) = read_late("/long/x")?;
    assert!(!response.complete, "{} bytes", response.body.len());
    let ids = response.event_ids();
    assert!(!ids.is_empty() && ids.iter().copied().eq(1..=ids.len() as u64), "{ids:?}");
    // The server is not to blame.
    wait_for("the end to be logged", || causes(&gateway) == ["the caller did not read"])
}

#[test]
fn a_stream_that_was_cut_unread_goes_on_when_its_caller_reads_again() -> anyhow::Result<()> {
    let (response, gateway) = read_late("/chat/x")?;
    assert!(response.complete, "{} bytes", response.body.len());
    assert!(response.event_ids().into_iter().eq(1..=EVENTS as u64));
    assert_eq!(causes(&gateway), ["the caller did not read"]);
    Ok(())
}

/// Guards against a queue that is bounded in events but not in bytes.
#[test]
fn large_events_of_unread_streams_do_not_fill_the_memory() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let (server, sent) = serve_stream(Duration::from_secs(20), LARGE_EVENT_BYTES)?;
    rig.replace_servers("llm", server.address);
    rig.configure(2, |config| config["services"][0]["engine"]["slots"] = json!(400));
    let gateway = start_small(&rig)?;
    let to = gateway.addresses.callers;
    let open = |number| Request::new("POST", "/long/x", &format!("e{number}")).open(to);
    let _unread = (0..STREAMS).map(open).collect::<anyhow::Result<Vec<_>>>()?;
    wait_for("the streams to be open", || server.connections() >= STREAMS / 2)?;
    let before = Cell::new(0);
    wait_for("the server to be able to send no more", || {
        thread::sleep(Duration::from_millis(500));
        let now = sent.bytes.load(Ordering::SeqCst);
        now > 0 && before.replace(now) == now
    })?;
    let before = before.get();
    let peak = gateway.peak_resident_bytes()?;
    let streams = server.connections();
    assert!(peak < MAX_PEAK_BYTES, "{peak} bytes for {streams} streams, {before} sent");
    Ok(())
}

/// Guards against streams that hold a slot of an engine for as long as their callers do not read.
#[test]
fn an_unread_stream_leaves_its_server_at_its_deadline() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let (server, sent) = serve_stream(Duration::from_secs(20), EVENT_BYTES)?;
    rig.replace_servers("llm", server.address);
    let gateway = start_small(&rig)?;
    let request = Request::new("POST", "/long/x", "d1");
    let deadline = Duration::from_millis(1_500);
    let begun = Instant::now();
    let _unread = Request { deadline, ..request }.open(gateway.addresses.callers)?;
    wait_for("the stream to end", || sent.cut.load(Ordering::SeqCst) > 0)?;
    let took = begun.elapsed();
    assert!(took > deadline && took < deadline * 2, "{took:?}");
    Ok(())
}

/// Guards against a second copy of each body in the buffers of the connection to its server.
#[test]
fn an_upload_that_its_server_reads_slowly_is_held_once() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    rig.configure(2, |config| config["limits"]["max_body_bytes"] = json!(UPLOAD_BYTES));
    let received = Arc::new(AtomicUsize::new(0));
    let counted = received.clone();
    let server = Server::start(move |mut stream: TcpStream, _| {
        let head = scripted::read_head(&mut stream)?;
        counted.fetch_add(1, Ordering::SeqCst);
        let length: usize = scripted::header(&head, "content-length").parse().unwrap_or(0);
        thread::sleep(Duration::from_millis(1_500));
        let mut body = vec![0; length];
        stream.read_exact(&mut body)?;
        let text = "content-type: application/json\r\n";
        stream.write_all(scripted::framed(&head, Framing::Length, text, "{}").as_bytes())
    })?;
    rig.replace_servers("app", server.address);
    let gateway = start_small(&rig)?;
    let to = gateway.addresses.callers;
    let before = gateway.resident_bytes()?;
    let callers: Vec<_> = (0..UPLOADS)
        .map(|number| {
            let request = Request::new("POST", "/write/x", &format!("u{number}"));
            let request = Request { body: vec![b'x'; UPLOAD_BYTES], ..request };
            thread::spawn(move || request.send(to))
        })
        .collect();
    for caller in callers {
        let response = caller.join().expect("no panic")?;
        assert_eq!((response.status, response.complete), (200, true), "{response:?}");
    }
    assert_eq!(received.load(Ordering::SeqCst), UPLOADS);
    let held = gateway.peak_resident_bytes()?.saturating_sub(before);
    assert!(held < UPLOADS * UPLOAD_BYTES * 3 / 2, "{held} bytes for {UPLOADS} uploads");
    Ok(())
}
