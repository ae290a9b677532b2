//! Responses whose status is none that can end a response (RFC 9110, section 15): below 200 or above 599.
//!
//! Guards against passing such a response on as a complete one, from a server or a peer.

use std::{
    net::{IpAddr, SocketAddr},
    sync::atomic::{AtomicUsize, Ordering},
    thread,
    time::{Duration, Instant},
};

use serde_json::json;
use wasabi_core::call::Framing;
use wasabi_stand::{
    caller::{Request, Response},
    cut::{Answer, Received, Server},
    gateway::wait_for,
    proxy::NetworkFault,
    rig::Rig,
    scripted, server,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");
const LOCAL: SocketAddr = SocketAddr::new(IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Each kind of route, with methods, and how often a request may run.
const KINDS: [(&str, &str, usize); 4] =
    [("POST", "/chat/", 2), ("POST", "/long/", 1), ("POST", "/write/", 1), ("GET", "/read/", 2)];
const STATUSES: [&str; 7] = ["000", "042", "099", "101", "600", "777", "999"];
const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunked, Framing::Close];
/// Servers of each service, so that some take work whenever others are avoided.
const SERVERS: usize = 4;
/// Requests that are sent at the same time.
const CALLERS: usize = 16;
/// How long a request is sent again until a server gets it.
const ARRIVAL_LIMIT: Duration = Duration::from_secs(10);
const STREAM: &str = "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n";
const DOCUMENT: &str = "{}";

/// The answer that a request asks for by its path, `.../status-STATUS-FRAMING`; 200 if it asks for none.
fn answer(request: &Received) -> Answer {
    let path = request.head.split(' ').nth(1).unwrap_or_default();
    let asked = path.split_once("status-").and_then(|(_, asked)| asked.split_once('-'));
    let (status, framing) = asked.unwrap_or(("200", "0"));
    let framing = FRAMINGS[framing.parse::<usize>().unwrap_or_default()];
    let (kind, body) = match path.starts_with("/chat/") || path.starts_with("/long/") {
        true => ("content-type: text/event-stream\r\n", STREAM),
        false => ("content-type: application/json\r\n", DOCUMENT),
    };
    let text = scripted::framed(&request.head, framing, kind, body);
    let text = text.replacen(" 200 ", &format!(" {status} "), 1);
    Answer { text, closes: framing == Framing::Close, is_cut: false }
}

/// Replaces all servers by some whose answers have the statuses that requests ask for.
fn replace_servers(
    rig: &Rig,
    answer: fn(&Received) -> Answer,
    services: &[&str],
) -> anyhow::Result<Vec<Server>> {
    rig.servers.iter().for_each(|(server, _)| rig.store.remove("servers", &server.id));
    let names = services.iter().flat_map(|service| (0..SERVERS).map(move |n| (service, n)));
    let start = |(service, number): (&&str, usize)| {
        let server = Server::start(LOCAL, answer)?;
        let entry = server::store_object(service, server.address, "ready");
        rig.store.put("servers", &format!("{service}{number}"), entry);
        Ok(server)
    };
    names.map(start).collect()
}

fn count(servers: &[Server], id: &str) -> usize {
    servers.iter().map(|server| server.count(id)).sum()
}

/// Sends a request until a server gets it; returns its response and how many servers got it.
fn fetch(
    to: SocketAddr,
    servers: &[Server],
    method: &str,
    path: &str,
) -> anyhow::Result<(Response, usize)> {
    static NEXT_ID: AtomicUsize = AtomicUsize::new(0);
    let begun = Instant::now();
    loop {
        let id = format!("r{}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
        let response = Request::new(method, path, &id).send(to)?;
        match count(servers, &id) {
            0 => anyhow::ensure!(begun.elapsed() < ARRIVAL_LIMIT, "no server gets {path}"),
            arrivals => return Ok((response, arrivals)),
        }
        thread::sleep(Duration::from_millis(10));
    }
}

/// Each status with each framing, as the end of a path.
fn cases() -> impl Iterator<Item = String> {
    let framings = 0..FRAMINGS.len();
    STATUSES
        .iter()
        .flat_map(move |status| framings.clone().map(move |f| format!("status-{status}-{f}")))
}

#[test]
fn a_response_without_a_valid_status_is_never_passed_on() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let servers = replace_servers(&rig, answer, &["llm", "app"])?;
    let gateway = rig.start_repeating_gateway("g1")?;
    let to = gateway.addresses.callers;
    let mut wrong = Vec::new();
    for (method, path, most_runs) in KINDS {
        for case in cases() {
            let (sound, _) = fetch(to, &servers, method, path)?;
            assert_eq!((sound.status, sound.complete), (200, true), "{path}: {sound:?}");
            let path = format!("{path}{case}");
            let (response, runs) = fetch(to, &servers, method, &path)?;
            let told = (response.status, response.complete);
            if told != (502, true) || runs > most_runs {
                wrong.push(format!("{method} {path}: {told:?} after {runs} runs"));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    Ok(())
}

/// The request may have run, so it runs again only where its route allows that.
#[test]
fn a_request_whose_response_has_no_valid_status_is_served_elsewhere() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let start = |service: &&str| {
        let server = Server::start(LOCAL, answer)?;
        let entry = server::store_object(service, server.address, "ready");
        rig.store.put("servers", &format!("x{}", server.address.port()), entry);
        anyhow::Ok(server)
    };
    let services = ["llm", "app"].repeat(SERVERS);
    let wrong = services.iter().map(start).collect::<anyhow::Result<Vec<_>>>()?;
    rig.configure(2, |config| {
        config["routes"].as_array_mut().into_iter().flatten().for_each(|route| {
            route["max_attempts"] = json!(8);
        });
    });
    let gateway = rig.start_repeating_gateway("g1")?;
    let (to, wrong) = (gateway.addresses.callers, &wrong);
    for (method, path) in [("POST", "/chat/"), ("GET", "/read/")] {
        let mut moved = 0;
        for status in ["101", "600", "999"] {
            // At the same time, so that no server is idle.
            let send = |number: usize| {
                let id = format!("{}{status}{number}", path.replace('/', "."));
                let path = format!("{path}status-{status}-0");
                let response = Request::new(method, &path, &id).send(to)?;
                anyhow::Ok((response, count(wrong, &id)))
            };
            let answered = thread::scope(|scope| {
                let callers: Vec<_> = (0..CALLERS).map(|n| scope.spawn(move || send(n))).collect();
                let joined = callers.into_iter().map(|caller| caller.join().expect("no panic"));
                joined.collect::<anyhow::Result<Vec<_>>>()
            })?;
            for (response, wrong_before) in answered {
                let what = format!("{path}{status} after {wrong_before}: {response:?}");
                assert_eq!((response.status, response.complete), (200, true), "{what}");
                assert!(path != "/chat/" || response.event_ids().into_iter().eq(1..=10), "{what}");
                moved += usize::from(wrong_before > 0);
            }
        }
        assert!(moved > 0, "{path}: no server with a wrong status was asked");
    }
    Ok(())
}

/// A stream breaks off, and where it goes on the response has no valid status.
#[test]
fn a_stream_does_not_go_on_with_a_response_without_a_valid_status() -> anyhow::Result<()> {
    fn resumed(request: &Received) -> Answer {
        match request.header("last-event-id").as_str() {
            "" => {
                let head = scripted::signed(
                    &request.head,
                    200,
                    "transfer-encoding: chunked\r\ncontent-type: text/event-stream\r\n",
                );
                let text = format!("{head}{:x}\r\n{STREAM}\r\n", STREAM.len());
                Answer { text, closes: true, is_cut: false }
            }
            _ => answer(request),
        }
    }
    let rig = Rig::start(PROGRAM)?;
    let servers = replace_servers(&rig, resumed, &["llm"])?;
    let gateway = rig.start_repeating_gateway("g1")?;
    let mut moved = 0;
    for case in cases() {
        let path = format!("/chat/{case}");
        let (response, runs) = fetch(gateway.addresses.callers, &servers, "POST", &path)?;
        assert_eq!((response.status, response.complete), (200, false), "{path}: {response:?}");
        assert_eq!(response.body, STREAM, "{path}");
        moved += usize::from(runs > 1);
    }
    assert!(moved > 0, "no stream was sent to a second server");
    Ok(())
}

/// A host that is cut from the servers hands requests to a peer, whose responses have no valid status.
#[test]
fn a_peer_whose_response_has_no_valid_status_gives_no_response() -> anyhow::Result<()> {
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
    let peer = Server::start(peer.addresses.peers, answer)?;
    let mut handed_over = [0; KINDS.len()];
    for status in STATUSES {
        for (kind, (method, path, most)) in KINDS.into_iter().enumerate() {
            let path = format!("{path}status-{status}-0");
            let id = path.replace('/', ".");
            let response = Request::new(method, &path, &id).send(gateway.addresses.callers)?;
            assert!(response.complete && (500..600).contains(&response.status), "{response:?}");
            if peer.count(&id) > 0 {
                assert_eq!(response.status, 502, "{path}: {response:?}");
                assert!(peer.count(&id) <= most, "{} sends of {path}", peer.count(&id));
                handed_over[kind] += 1;
            }
        }
    }
    assert!(handed_over.iter().all(|count| *count > 0), "{handed_over:?}");
    Ok(())
}
