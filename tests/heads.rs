//! Servers and peers that stop in the middle of the head of an answer, at each of its bytes.

use std::{
    collections::BTreeMap,
    io::Read as _,
    net::{IpAddr, SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use serde_json::json;
use wasabi_stand::{
    caller::{self, Request, Response},
    cut::{Answer, Cut, End, Received, Server},
    gateway::wait_for,
    proxy::NetworkFault,
    rig::Rig,
    server,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");
const LOCAL: SocketAddr = SocketAddr::new(IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Each kind of route, with methods.
const KINDS: [(&str, &str); 5] = [
    ("POST", "/chat/"),
    ("POST", "/long/"),
    ("POST", "/write/"),
    ("GET", "/read/"),
    ("HEAD", "/read/"),
];
/// Servers of each service, so that some take work whenever others are avoided.
const SERVERS: usize = 4;
const CALLERS: usize = 6;
/// The longest time that a request may take whose server closes its connection at once.
const LIMIT: Duration = Duration::from_secs(2);
/// How long a request is sent again until a server gets it.
const ARRIVAL_LIMIT: Duration = Duration::from_secs(10);
const STREAM: &str = "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n";
const DOCUMENT: &str = "{}";
const HEADS: usize = 8;

/// Returns the head of an answer that a server begins, and its body.
fn answer(request: &Received, head: usize) -> (String, String) {
    let id = request.header("request-id");
    let streams = request.head.contains("/chat/") || request.head.contains("/long/");
    let (kind, body) = match streams {
        true => ("text/event-stream", STREAM),
        false => ("application/json", DOCUMENT),
    };
    let own = format!("request-id: {id}\r\nresponse-signature: s\r\nserver-load: 1,0,8\r\n");
    let (kind, length) =
        (format!("content-type: {kind}\r\n"), format!("content-length: {}\r\n", body.len()));
    let chunk = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
    let (head, body) = match head {
        0 => (format!("HTTP/1.1 200 OK\r\n{kind}{own}{length}\r\n"), body.to_string()),
        1 => (format!("HTTP/1.1 200 OK\r\n{own}content-length: 0\r\n{kind}\r\n"), String::new()),
        2 => (format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n{own}{kind}\r\n"), chunk),
        3 => (format!("HTTP/1.1 200 OK\r\n{own}{kind}\r\n"), body.to_string()),
        4 => (
            format!("HTTP/1.1 103 X\r\nlink: x\r\n\r\nHTTP/1.1 200 OK\r\n{own}{length}{kind}\r\n"),
            body.to_string(),
        ),
        5 => (format!("HTTP/1.1 204 X\r\n{own}\r\n"), String::new()),
        // An answer without a head, as in HTTP/0.9.
        6 => ("{\"id\": 1}\r\n\r\n{}".to_string(), String::new()),
        _ => (
            format!(
                "HTTP/1.1 503 X\r\nnot-executed: 1\r\nretry-after: 1\r\n{own}content-length: 0\r\n\r\n"
            ),
            String::new(),
        ),
    };
    match request.head.starts_with("HEAD ") {
        true => (head, String::new()),
        false => (head, body),
    }
}

/// Starts a server that cuts the answers to the requests that say so, and serves the others.
fn cutting_server(address: SocketAddr) -> anyhow::Result<Server> {
    Server::start(address, |request| {
        let (head, body) = answer(request, request.cut.map_or(0, |cut| cut.head));
        Answer { text: head + &body, closes: false, is_cut: true }
    })
}

/// Returns the number of bytes of the head of an answer to a request of this kind.
fn head_bytes(method: &str, path: &str, head: usize) -> usize {
    let text = format!("{method} {path} HTTP/1.1\r\nrequest-id: {}\r\n\r\n", id(0));
    answer(&Received { head: text, cut: None, number: 0 }, head).0.len()
}

/// Returns a request id; all have the same length.
fn id(number: usize) -> String {
    format!("r{number:07}")
}

/// Each cut within a head, at most `step` bytes apart.
fn cuts(method: &str, path: &str, ends: &[End], step: usize) -> Vec<Cut> {
    let heads = (0..HEADS).flat_map(|head| {
        (0..head_bytes(method, path, head)).step_by(step).map(move |length| (head, length))
    });
    let heads: Vec<_> = heads.collect();
    ends.iter()
        .flat_map(|end| heads.iter().map(|&(head, length)| Cut { head, length, end: *end }))
        .collect()
}

/// A request that asks for a cut.
struct Case {
    method: &'static str,
    path: &'static str,
    cut: Cut,
    body_bytes: usize,
}

/// The answer to a case: the id of the last request for it, its answer, and how long it took.
struct Answered {
    id: String,
    response: Response,
    took: Duration,
}

/// Sends a request on an open connection and reads the answer, whose body HEAD leaves out.
fn exchange(stream: &mut TcpStream, request: &Request) -> anyhow::Result<Response> {
    request.write(stream)?;
    if request.method != "HEAD" {
        return caller::read(stream);
    }
    let mut head = Vec::new();
    let mut byte = [0; 1];
    while !head.ends_with(b"\r\n\r\n") {
        anyhow::ensure!(stream.read(&mut byte)? == 1, "the connection was closed");
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head).into_owned();
    let status = text.split(' ').nth(1).unwrap_or_default().parse()?;
    Ok(Response { status, complete: true, ..Response::default() })
}

/// Sends all cases over a few connections, each after a request that is answered whole, and again until
/// one of `servers` has got it. The connections stay usable throughout.
fn play(to: SocketAddr, cases: &[Case], servers: &[Server]) -> anyhow::Result<Vec<Answered>> {
    thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let own = cases.iter().skip(caller).step_by(CALLERS);
                scope.spawn(move || play_some(to, own, caller, servers))
            })
            .collect();
        let mut answered = BTreeMap::new();
        for (caller, played) in callers.into_iter().enumerate() {
            let played = played.join().expect("a caller does not panic")?.into_iter().enumerate();
            answered.extend(played.map(|(place, answer)| (caller + place * CALLERS, answer)));
        }
        Ok(answered.into_values().collect())
    })
}

/// Sends cases over one connection, see [`play`].
fn play_some<'a>(
    to: SocketAddr,
    cases: impl Iterator<Item = &'a Case>,
    caller: usize,
    servers: &[Server],
) -> anyhow::Result<Vec<Answered>> {
    let mut ids = (caller..).step_by(CALLERS).map(id);
    let mut stream = TcpStream::connect(to)?;
    stream.set_read_timeout(Some(LIMIT * 5))?;
    let mut send = |case: &Case, what: &str, body: Vec<u8>| {
        let id = ids.next().unwrap_or_default();
        let path = format!("{}{what}", case.path);
        let request = Request { body, ..Request::new(case.method, &path, &id) };
        let sent = Instant::now();
        let response = exchange(&mut stream, &request).map_err(|e| e.context(path.clone()))?;
        anyhow::Ok(Answered { id, response, took: sent.elapsed() })
    };
    let mut answered = Vec::new();
    for case in cases {
        let begun = Instant::now();
        loop {
            send(case, "whole", Vec::new())?;
            let answer = send(case, &case.cut.to_string(), vec![b'x'; case.body_bytes])?;
            if servers.iter().any(|server| server.count(&answer.id) > 0) {
                answered.push(answer);
                break;
            }
            anyhow::ensure!(begun.elapsed() < ARRIVAL_LIMIT, "no server gets {}", case.cut);
            thread::sleep(Duration::from_millis(10));
        }
    }
    Ok(answered)
}

/// Replaces the servers of a service by some that cut, or adds those to `sound` ones.
fn add_cutting_servers(rig: &Rig, service: &str, sound: &[&str]) -> anyhow::Result<Vec<Server>> {
    let replaced = rig
        .servers
        .iter()
        .filter(|(server, _)| server.service == service && !sound.contains(&server.id.as_str()));
    replaced.for_each(|(server, _)| rig.store.remove("servers", &server.id));
    let start = |number| {
        let server = cutting_server(LOCAL)?;
        let entry = server::store_object(service, server.address, "ready");
        rig.store.put("servers", &format!("{service}{number}"), entry);
        Ok(server)
    };
    (0..SERVERS).map(start).collect()
}

/// Plays cases against servers of which all cut, and checks what callers are told and what ran how often.
fn assert_told_the_truth(cases: &[Case]) -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let mut servers = add_cutting_servers(&rig, "llm", &[])?;
    servers.extend(add_cutting_servers(&rig, "app", &[])?);
    let gateway = rig.start_repeating_gateway("g1")?;
    let answered = play(gateway.addresses.callers, cases, &servers)?;
    for (case, Answered { id, response, took }) in cases.iter().zip(answered) {
        let what = format!("{} {}{}: {response:?}", case.method, case.path, case.cut);
        let arrivals: usize = servers.iter().map(|server| server.count(&id)).sum();
        assert_eq!((response.status, response.complete), (502, true), "{what}");
        assert!(took < LIMIT, "{took:?} for {what}");
        let most = if ["/chat/", "/read/"].contains(&case.path) { 2 } else { 1 };
        assert!((1..=most).contains(&arrivals), "{arrivals} servers got {what}");
    }
    let received = servers.iter().flat_map(|server| server.received().into_values().flatten());
    let cut = received.filter(|request| request.cut.is_some());
    let (new, kept): (Vec<_>, Vec<_>) = cut.partition(|request| request.number == 0);
    assert!(!new.is_empty() && !kept.is_empty(), "{} new, {} kept", new.len(), kept.len());
    Ok(())
}

fn cases(ends: &[End], step: usize, body_bytes: usize) -> Vec<Case> {
    let all = KINDS.into_iter().flat_map(|(method, path)| {
        let cuts = cuts(method, path, ends, step).into_iter();
        cuts.map(move |cut| Case { method, path, cut, body_bytes })
    });
    all.collect()
}

#[test]
fn a_head_that_ends_at_any_byte_is_never_an_answer() -> anyhow::Result<()> {
    assert_told_the_truth(&cases(&[End::Close], 1, 0))
}

#[test]
fn a_head_whose_connection_is_reset_is_never_an_answer() -> anyhow::Result<()> {
    assert_told_the_truth(&cases(&[End::Reset], 5, 0))
}

#[test]
fn a_head_that_ends_while_the_request_is_sent_is_never_an_answer() -> anyhow::Result<()> {
    assert_told_the_truth(&cases(&[End::Early], 13, 600_000))
}

/// Where the head ends, so does the doubt: the same answers with their last byte are answers.
#[test]
fn a_head_with_its_last_byte_is_an_answer() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let mut servers = add_cutting_servers(&rig, "llm", &[])?;
    servers.extend(add_cutting_servers(&rig, "app", &[])?);
    let gateway = rig.start_repeating_gateway("g1")?;
    for (head, status) in [(1, 200), (5, 204)] {
        let case = |(method, path): &(&'static str, &'static str)| {
            let length = head_bytes(method, path, head);
            let cut = Cut { head, length, end: End::Close };
            Case { method, path, cut, body_bytes: 0 }
        };
        let cases: Vec<Case> = KINDS.iter().skip(2).map(case).collect();
        for answered in play(gateway.addresses.callers, &cases, &servers)? {
            assert_eq!(answered.response.status, status, "{:?}", answered.response);
        }
    }
    Ok(())
}

#[test]
fn a_request_whose_answer_ends_within_its_head_is_served_elsewhere() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let mut servers = add_cutting_servers(&rig, "llm", &["e1", "e2"])?;
    servers.extend(add_cutting_servers(&rig, "app", &["p1", "p2"])?);
    rig.configure(2, |config| {
        config["routes"].as_array_mut().into_iter().flatten().for_each(|route| {
            route["max_attempts"] = json!(8);
        });
    });
    let gateway = rig.start_repeating_gateway("g1")?;
    for (method, path) in [("POST", "/chat/"), ("GET", "/read/")] {
        let mut cut_before = 0;
        for (number, cut) in cuts(method, path, &[End::Close, End::Reset], 37).iter().enumerate() {
            let request = Request::new(method, &format!("{path}{cut}"), &id(number));
            let response = request.send(gateway.addresses.callers)?;
            assert_eq!((response.status, response.complete), (200, true), "{cut}: {response:?}");
            if path == "/chat/" {
                assert!(response.event_ids().into_iter().eq(1..=10), "{cut}: {response:?}");
            }
            cut_before += servers.iter().map(|server| server.count(&id(number))).sum::<usize>();
        }
        assert!(cut_before > 0, "no answer was cut");
    }
    Ok(())
}

/// A stream breaks off, and where it goes on the head of the answer ends early.
#[test]
fn a_stream_that_goes_on_at_a_head_that_ends_early_never_looks_complete() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    for (server, _) in &rig.servers {
        rig.store.remove("servers", &server.id);
    }
    let start = |number| {
        let server = Server::start(LOCAL, |request| {
            let (head, body) = answer(request, request.cut.map_or(0, |cut| cut.head));
            let chunk = format!("{:x}\r\n{STREAM}\r\n", STREAM.len());
            let begun = answer(request, 2).0 + &chunk;
            match request.header("last-event-id").as_str() {
                "" => Answer { text: begun, closes: true, is_cut: false },
                _ => Answer { text: head + &body, closes: false, is_cut: true },
            }
        })?;
        let entry = server::store_object("llm", server.address, "ready");
        rig.store.put("servers", &format!("x{number}"), entry);
        anyhow::Ok(server)
    };
    let servers = (0..SERVERS).map(start).collect::<anyhow::Result<Vec<_>>>()?;
    let gateway = rig.start_repeating_gateway("g1")?;
    let to = gateway.addresses.callers;
    let cuts: Vec<(usize, Cut)> =
        cuts("POST", "/chat/", &[End::Close, End::Reset], 19).into_iter().enumerate().collect();
    let answered = thread::scope(|scope| {
        let send = |(number, cut): &(usize, Cut)| {
            let request = Request::new("POST", &format!("/chat/{cut}"), &id(*number));
            anyhow::Ok((*number, *cut, request.send(to)?))
        };
        let callers: Vec<_> = cuts
            .chunks(cuts.len().div_ceil(CALLERS))
            .map(|cuts| {
                scope.spawn(move || cuts.iter().map(send).collect::<anyhow::Result<Vec<_>>>())
            })
            .collect();
        let joined = callers.into_iter().map(|caller| caller.join().expect("no panic"));
        joined.collect::<anyhow::Result<Vec<_>>>()
    })?;
    let mut moved = 0;
    for (number, cut, response) in answered.into_iter().flatten() {
        let sent: usize = servers.iter().map(|server| server.count(&id(number))).sum();
        assert!(!response.complete || response.status >= 500, "{cut}: {response:?}");
        if sent > 0 {
            assert_eq!((response.status, response.body.as_str()), (200, STREAM), "{cut}");
        }
        moved += usize::from(sent > 1);
    }
    assert!(moved > 0, "no stream moved");
    Ok(())
}

/// A host that is cut from the servers hands requests to a peer, whose answers end within their heads.
#[test]
fn a_peer_whose_answer_ends_within_its_head_gives_no_answer() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let proxies = rig.proxy_servers()?;
    let source = IpAddr::from([127, 0, 0, 2]);
    let gateway = rig.start_gateway_from("g1", source)?;
    let mut peer = rig.start_gateway("g2")?;
    wait_for("the peer", || !gateway.log_lines("peer heard").is_empty())?;
    proxies.iter().for_each(|proxy| proxy.set_for(source, NetworkFault::Close));
    wait_for("the cut to be noticed", || {
        for gateway in [&gateway, &peer] {
            // Only to bring the hosts in touch with servers.
            let _ = Request::new("GET", "/read/x", "a1").send(gateway.addresses.callers);
        }
        !gateway.log_lines("cut off from all backend servers").is_empty()
    })?;
    // A killed host is taken for live for some seconds.
    peer.kill();
    let server = cutting_server(peer.addresses.peers)?;
    let kinds = [("POST", "/write/", 7), ("POST", "/chat/", 7), ("GET", "/read/", 7)];
    let cases: Vec<Case> = kinds
        .iter()
        .flat_map(|(method, path, step)| {
            let cuts = cuts(method, path, &[End::Close, End::Reset], *step);
            cuts.into_iter().map(|cut| Case { method, path, cut, body_bytes: 0 })
        })
        .collect();
    let to = gateway.addresses.callers;
    let answered = thread::scope(|scope| {
        let sending: Vec<_> = cases
            .chunks(cases.len().div_ceil(CALLERS))
            .enumerate()
            .map(|(caller, cases)| {
                scope.spawn(move || {
                    let send = |(number, case): (usize, &Case)| {
                        let id = id(caller * 1_000 + number);
                        let path = format!("{}{}", case.path, case.cut);
                        let response = Request::new(case.method, &path, &id).send(to)?;
                        anyhow::Ok((path, id, response))
                    };
                    cases.iter().enumerate().map(send).collect::<anyhow::Result<Vec<_>>>()
                })
            })
            .collect();
        let joined = sending.into_iter().map(|caller| caller.join().expect("no panic"));
        joined.collect::<anyhow::Result<Vec<_>>>()
    })?;
    let mut handed_over = BTreeMap::new();
    for (path, id, response) in answered.into_iter().flatten() {
        assert!(response.complete, "{path}: {response:?}");
        if server.count(&id) > 0 {
            let most = if path.starts_with("/write/") { 1 } else { 2 };
            assert!(server.count(&id) <= most, "{} sends of {path}", server.count(&id));
            assert_eq!(response.status, 502, "{path}: {response:?}");
            *handed_over.entry(path[..6].to_string()).or_insert(0) += 1;
        }
        assert!(response.status >= 500, "{path}: {response:?}");
    }
    assert_eq!(handed_over.len(), kinds.len(), "{handed_over:?}");
    Ok(())
}

/// The framing of a body is cut at each of its bytes: in a chunk's size, its data and the last chunk.
#[test]
fn a_framed_body_that_ends_at_any_byte_never_looks_complete() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let mut servers = add_cutting_servers(&rig, "llm", &[])?;
    servers.extend(add_cutting_servers(&rig, "app", &[])?);
    let gateway = rig.start_repeating_gateway("g1")?;
    let mut cases = Vec::new();
    for (method, path) in &KINDS[..4] {
        for head in [0, 2] {
            let text = format!("{method} {path} HTTP/1.1\r\nrequest-id: {}\r\n\r\n", id(0));
            let request = Received { head: text, cut: None, number: 0 };
            let (head_text, body) = answer(&request, head);
            for (length, end) in (0..body.len()).zip([End::Close, End::Reset].into_iter().cycle()) {
                let cut = Cut { head, length: head_text.len() + length, end };
                cases.push(Case { method, path, cut, body_bytes: 0 });
            }
        }
    }
    let to = gateway.addresses.callers;
    let mut ids = (0..).map(id);
    for case in cases {
        for sends in 0.. {
            let id = ids.next().unwrap_or_default();
            let path = format!("{}{}", case.path, case.cut);
            let response = Request::new(case.method, &path, &id).send(to)?;
            let what = format!("{path}: {response:?}");
            assert!(!response.complete || response.status >= 500, "{what}");
            assert!(response.status != 200 || STREAM.starts_with(&response.body), "{what}");
            if servers.iter().any(|server| server.count(&id) > 0) {
                assert!([200, 502].contains(&response.status), "{what}");
                break;
            }
            assert!(sends < 1_000, "{what}");
            thread::sleep(Duration::from_millis(10));
        }
    }
    Ok(())
}
