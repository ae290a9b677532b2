//! Servers that answer a long upload before they have read it: 200 without a length, a part of the body, then a
//! reset while the upload is still being written.
//!
//! Guards against taking the reset for the end of the body: the kernel reports it to the write, and a read after
//! that finds the end of the stream.

use std::{
    collections::BTreeMap,
    io::{Read as _, Write as _},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use serde_json::json;
use socket2::SockRef;
use wasabi_core::call::Framing;
use wasabi_stand::{
    caller::{self, Request, Response},
    gateway::{Gateway, wait_for},
    rig::Rig,
    scripted, server,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");
const LOCAL: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// The address from which the host connects that is cut off from the servers.
const CUT_SOURCE: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 2));
const KINDS: [(&str, &str); 4] =
    [("POST", "/chat/"), ("POST", "/long/"), ("POST", "/write/"), ("GET", "/read/")];
/// The limit of the configuration, and sizes up to it: within one segment, within the buffers of a connection,
/// and beyond them.
const MAX_BODY_BYTES: usize = 4_194_304;
const BODY_BYTES: [usize; 4] = [1_000, 65_536, 1_000_000, MAX_BODY_BYTES];
/// How much of the upload a server reads, and how long it waits before the reset.
const ENDS: [(usize, Duration); 4] = [
    (0, Duration::ZERO),
    (0, Duration::from_millis(10)),
    (200_000, Duration::ZERO),
    (900_000, Duration::from_millis(2)),
];
/// Servers of each service, so that some take work whenever others are avoided.
const SERVERS: usize = 4;
/// How long a request is sent again until a server gets it.
const ARRIVAL_LIMIT: Duration = Duration::from_secs(10);
const EVENTS: &str = "content-type: text/event-stream\r\n";
const TEXT: &str = "content-type: text/plain\r\n";
const BEGUN: &str = "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n";
const NEXT: &str = "id: 3\ndata: event 3\n\n";

/// Makes request ids unique.
static NEXT_ID: AtomicUsize = AtomicUsize::new(0);

/// What servers have received.
#[derive(Clone, Default)]
struct Received {
    /// How many requests, by id.
    requests: Arc<Mutex<BTreeMap<String, usize>>>,
    /// Early responses to requests that were not the first on their connection.
    kept_alive: Arc<AtomicUsize>,
    /// Whether connections from [`CUT_SOURCE`] are closed at once.
    cut: Arc<AtomicBool>,
}

impl Received {
    fn count(&self, id: &str) -> usize {
        self.requests.lock().get(id).copied().unwrap_or_default()
    }

    /// Serves requests on one connection. A path with `early-END` asks for an early response, with `resumed-END`
    /// for one where its stream goes on; others are answered whole.
    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let is_cut = stream.peer_addr()?.ip() == CUT_SOURCE && self.cut.load(Ordering::SeqCst);
        for number in 0.. {
            if is_cut {
                break;
            }
            let head = scripted::read_head(&mut stream)?;
            if head.is_empty() {
                break;
            }
            *self.requests.lock().entry(scripted::header(&head, "request-id")).or_default() += 1;
            let path = head.split(' ').nth(1).unwrap_or_default();
            let streams = path.starts_with("/chat/") || path.starts_with("/long/");
            let goes_on = !scripted::header(&head, "last-event-id").is_empty();
            let end = |name: &str| path.split_once(name).and_then(|(_, end)| end.parse().ok());
            let early: Option<usize> =
                end("early-").or_else(|| end("resumed-").filter(|_| goes_on));
            let (kind, body) = match (streams, goes_on) {
                (true, false) => (EVENTS, BEGUN),
                (true, true) => (EVENTS, NEXT),
                (false, _) => (TEXT, "the first line\n"),
            };
            if let Some(end) = early {
                if number > 0 {
                    self.kept_alive.fetch_add(1, Ordering::SeqCst);
                }
                let (read, pause) = ENDS[end];
                let text = scripted::framed(&head, Framing::Close, kind, body);
                stream.write_all(text.as_bytes())?;
                let length = scripted::header(&head, "content-length").parse().unwrap_or(0);
                read_some(&mut stream, read.min(length))?;
                thread::sleep(pause);
                return SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
            read_some(&mut stream, scripted::header(&head, "content-length").parse().unwrap_or(0))?;
            let whole = scripted::framed(&head, Framing::Length, kind, body);
            if path.contains("resumed-") {
                let chunked = format!("{EVENTS}transfer-encoding: chunked\r\n");
                let head = scripted::signed(&head, 200, &chunked);
                return write!(stream, "{head}{:x}\r\n{BEGUN}\r\n", BEGUN.len());
            }
            stream.write_all(whole.as_bytes())?;
        }
        Ok(())
    }
}

fn read_some(stream: &mut TcpStream, mut length: usize) -> std::io::Result<()> {
    let mut buffer = [0; 65_536];
    while length > 0 {
        let most = length.min(buffer.len());
        match stream.read(&mut buffer[..most])? {
            0 => break,
            read => length -= read,
        }
    }
    Ok(())
}

/// Replaces all servers by some that answer early where a request asks for that.
fn replace_servers(rig: &Rig) -> anyhow::Result<Received> {
    let received = Received::default();
    rig.servers.iter().for_each(|(server, _)| rig.store.remove("servers", &server.id));
    for (service, number) in
        ["llm", "app"].iter().flat_map(|name| (0..SERVERS).map(move |n| (name, n)))
    {
        let serving = received.clone();
        let server = scripted::Server::start_at(LOCAL, move |stream, _| serving.serve(stream))?;
        let entry = server::store_object(service, server.address, "ready");
        rig.store.put("servers", &format!("{service}{number}"), entry);
    }
    rig.configure(2, |config| config["limits"]["max_body_bytes"] = json!(MAX_BODY_BYTES));
    Ok(received)
}

/// Sends a request with a body until a server gets it.
fn fetch(
    stream: &mut TcpStream,
    received: &Received,
    (method, path): (&str, &str),
    body_bytes: usize,
) -> anyhow::Result<(Response, usize)> {
    let begun = Instant::now();
    loop {
        let id = format!("r{}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
        let body = vec![b'x'; body_bytes];
        Request { body, ..Request::new(method, path, &id) }.write(stream)?;
        let response = caller::read(stream)?;
        match received.count(&id) {
            0 => anyhow::ensure!(begun.elapsed() < ARRIVAL_LIMIT, "no server gets {path}"),
            arrivals => return Ok((response, arrivals)),
        }
        if !response.complete {
            anyhow::bail!("{path} was not sent and has an incomplete response");
        }
        thread::sleep(Duration::from_millis(10));
    }
}

/// Plays all ends with all sizes for each of `kinds`; after a `whole` request on the same connection if there is
/// one. Returns the complete responses with other statuses than 502.
fn play(
    to: SocketAddr,
    received: &Received,
    kinds: &[(&str, &str)],
    name: &str,
    after_whole: bool,
) -> anyhow::Result<Vec<String>> {
    let mut wrong = Vec::new();
    for (method, path) in kinds {
        for body_bytes in BODY_BYTES {
            for end in 0..ENDS.len() {
                let mut stream = TcpStream::connect(to)?;
                stream.set_read_timeout(Some(Duration::from_secs(12)))?;
                if after_whole {
                    let (whole, _) = fetch(&mut stream, received, (method, path), 1_000)?;
                    anyhow::ensure!((whole.status, whole.complete) == (200, true), "{whole:?}");
                }
                let path = format!("{path}{name}-{end}");
                let (response, _) = fetch(&mut stream, received, (method, &path), body_bytes)?;
                if response.complete && response.status != 502 {
                    wrong.push(format!("{path}, body of {body_bytes}: {response:?}"));
                }
            }
        }
    }
    Ok(wrong)
}

fn start() -> anyhow::Result<(Rig, Received, Gateway)> {
    let rig = Rig::start(PROGRAM)?;
    let received = replace_servers(&rig)?;
    let gateway = rig.start_repeating_gateway("g1")?;
    Ok((rig, received, gateway))
}

#[test]
fn an_early_response_that_breaks_off_is_not_complete_on_a_new_connection() -> anyhow::Result<()> {
    let (_rig, received, gateway) = start()?;
    let wrong = play(gateway.addresses.callers, &received, &KINDS, "early", false)?;
    assert!(wrong.is_empty(), "{wrong:#?}");
    Ok(())
}

#[test]
fn an_early_response_that_breaks_off_is_not_complete_on_a_kept_connection() -> anyhow::Result<()> {
    let (_rig, received, gateway) = start()?;
    let wrong = play(gateway.addresses.callers, &received, &KINDS, "early", true)?;
    assert!(wrong.is_empty(), "{wrong:#?}");
    assert!(received.kept_alive.load(Ordering::SeqCst) > 0, "no connection was used again");
    Ok(())
}

#[test]
fn an_early_response_that_breaks_off_does_not_complete_a_stream_that_goes_on() -> anyhow::Result<()>
{
    let (_rig, received, gateway) = start()?;
    let wrong = play(gateway.addresses.callers, &received, &KINDS[..1], "resumed", false)?;
    assert!(wrong.is_empty(), "{wrong:#?}");
    Ok(())
}

/// A host that is cut off from the servers, beside a peer that reaches them.
fn start_cut() -> anyhow::Result<(Rig, Received, Gateway, Gateway)> {
    let rig = Rig::start(PROGRAM)?;
    let received = replace_servers(&rig)?;
    let gateway = rig.start_gateway_from("g1", CUT_SOURCE)?;
    let peer = rig.start_repeating_gateway("g2")?;
    wait_for("the peer", || !gateway.log_lines("peer heard").is_empty())?;
    received.cut.store(true, Ordering::SeqCst);
    wait_for("the cut to be noticed", || {
        for gateway in [&gateway, &peer] {
            // Only to bring the hosts in touch with servers.
            let _ = Request::new("GET", "/read/x", "a1").send(gateway.addresses.callers);
        }
        !gateway.log_lines("cut off from all backend servers").is_empty()
    })?;
    Ok((rig, received, gateway, peer))
}

#[test]
fn an_early_response_that_breaks_off_is_not_complete_through_a_peer() -> anyhow::Result<()> {
    let (_rig, received, gateway, _peer) = start_cut()?;
    for (kinds, name) in [(&KINDS[..], "early"), (&KINDS[..1], "resumed")] {
        let wrong = play(gateway.addresses.callers, &received, kinds, name, false)?;
        assert!(wrong.is_empty(), "{wrong:#?}");
    }
    assert!(!gateway.log_lines("handed to a peer").is_empty(), "no request was handed over");
    Ok(())
}

#[test]
fn an_early_response_of_a_peer_that_breaks_off_is_not_complete() -> anyhow::Result<()> {
    let (_rig, _, gateway, mut peer) = start_cut()?;
    // A killed host is taken for live for some seconds.
    peer.kill();
    let received = Received::default();
    let serving = received.clone();
    scripted::Server::start_at(peer.addresses.peers, move |stream, _| serving.serve(stream))?;
    let mut handed_over = 0;
    for (method, path) in KINDS {
        for body_bytes in BODY_BYTES {
            for end in 0..ENDS.len() {
                let id = format!("r{}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
                let request = Request::new(method, &format!("{path}early-{end}"), &id);
                let request = Request { body: vec![b'x'; body_bytes], ..request };
                let response = request.send(gateway.addresses.callers);
                // The head of the peer's answer may have been passed on by then.
                let complete = response.ok().filter(|response| response.complete);
                let status = complete.as_ref().map_or(502, |response| response.status);
                assert!(status >= 500, "{path}early-{end}, body of {body_bytes}: {complete:?}");
                handed_over += received.count(&id);
            }
        }
    }
    assert!(handed_over > 0, "no request was handed over");
    Ok(())
}
