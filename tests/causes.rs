//! Provokes failed sends and refusals from outside and checks that the gateway's metrics count each
//! by its cause or code.

use std::{
    collections::BTreeSet,
    io::Write as _,
    net::{Shutdown, SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use serde_json::json;
use wasabi_stand::{
    caller::{self, Request},
    gateway::{self, Gateway, wait_for},
    rig::Rig,
    scripted::{self, Server},
    server::Behavior,
    store::Fault,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");

/// Returns all values of a label of a metric.
fn label_values(gateway: &Gateway, metric: &str, label: &str) -> anyhow::Result<BTreeSet<String>> {
    let page = gateway.page("/metrics")?;
    let lines = page.lines().filter(|line| line.starts_with(&format!("{metric}{{")));
    let prefix = format!("{label}=\"");
    let values = lines.filter_map(|line| line.split_once(&prefix)?.1.split_once('"'));
    Ok(values.map(|(value, _)| value.to_string()).collect())
}

fn causes(gateway: &Gateway) -> anyhow::Result<BTreeSet<String>> {
    label_values(gateway, "wasabi_gateway_failed_sends_total", "cause")
}

fn codes(gateway: &Gateway) -> anyhow::Result<BTreeSet<String>> {
    label_values(gateway, "wasabi_gateway_refusals_total", "code")
}

fn get(to: SocketAddr, path: &str, id: &str) -> anyhow::Result<caller::Response> {
    Request::new("GET", path, id).send(to)
}

/// Returns a request with a deadline of `ms` milliseconds.
fn with_deadline(method: &str, path: &str, id: &str, ms: u64) -> Request {
    Request { deadline: Duration::from_millis(ms), ..Request::new(method, path, id) }
}

fn string_set(values: &[&str]) -> BTreeSet<String> {
    values.iter().map(ToString::to_string).collect()
}

#[test]
fn failures_at_servers_are_counted_by_cause() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    let to = gateway.addresses.callers;
    // The retry budget of a host that has just started covers the first of these requests only; the
    // others are not retried.
    for behavior in [
        Behavior::Hang,
        Behavior::TurnAway,
        Behavior::LoseAnswer,
        Behavior::Cross,
        Behavior::Unsigned,
        Behavior::Fail,
    ] {
        for server in ["p1", "p2"] {
            rig.server(server).set_behavior(Some(behavior));
        }
        with_deadline("GET", "/read/x", &format!("{behavior:?}"), 1_500).send(to)?;
    }
    for server in ["e1", "e2"] {
        rig.server(server).set_behavior(Some(Behavior::BreakAfter(2)));
    }
    with_deadline("POST", "/chat/x", "broken", 1_500).send(to)?;
    let found = causes(&gateway)?;
    let expected = string_set(&[
        "turned away",
        "connection broke",
        "answer to another request",
        "answer is not the server's own",
        "stuck",
        "stream broke off",
    ]);
    assert!(expected.is_subset(&found), "{found:?}");
    Ok(())
}

#[test]
fn a_stream_that_fails_to_resume_is_counted() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    rig.server("e1").set_behavior(Some(Behavior::BreakAfter(1)));
    rig.server("e2").set_behavior(Some(Behavior::Fail));
    wait_for("a stream that fails to resume", || {
        let sent = with_deadline("POST", "/chat/x", "more", 1_500).send(gateway.addresses.callers);
        sent.is_ok() && causes(&gateway).is_ok_and(|found| found.contains("failed to resume"))
    })
}

#[test]
fn failures_on_connections_are_counted_by_cause() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let server = Server::start(|mut stream, _| {
        let head = scripted::read_head(&mut stream)?;
        let mut respond = |extra: &str, body: &str| {
            stream.write_all(format!("{}{body}", scripted::signed(&head, 200, extra)).as_bytes())
        };
        match scripted::header(&head, "request-id").as_str() {
            "cut" => respond("content-length: 50\r\n", "part")?,
            "slow" => {
                respond("content-length: 50\r\n", "part")?;
                thread::sleep(Duration::from_secs(2));
            }
            "plain" => {
                let response = "HTTP/1.1 500 X\r\nrequest-id: plain\r\ncontent-length: 0\r\n\r\n";
                stream.write_all(response.as_bytes())?;
            }
            "hold" => thread::sleep(Duration::from_secs(3)),
            _ => respond("content-length: 0\r\n", "")?,
        }
        stream.shutdown(Shutdown::Both)
    })?;
    rig.replace_servers("app", server.address);
    rig.configure(2, |config| config["services"][1]["max_connections"] = json!(1));
    let gateway = rig.start_gateway("g1")?;
    let to = gateway.addresses.callers;
    for id in ["cut", "slow", "plain"] {
        with_deadline("GET", "/read/x", id, 900).send(to)?;
    }
    // The gateway opens up to four connections even if `max_connections` is lower.
    let held: Vec<TcpStream> = (0..4)
        .map(|_| with_deadline("POST", "/write/x", "hold", 2_500).open(to))
        .collect::<anyhow::Result<_>>()?;
    wait_for("all connections to be in use", || server.connections() >= 7)?;
    with_deadline("GET", "/read/x", "more", 900).send(to)?;
    drop(held);
    let closed = std::net::TcpListener::bind(("127.0.0.1", 0))?.local_addr()?;
    rig.replace_servers("app", closed);
    wait_for("the new address to be in use", || {
        with_deadline("GET", "/read/x", "none", 900).send(to).is_ok()
            && causes(&gateway).is_ok_and(|found| found.contains("no connection"))
    })?;
    let found = causes(&gateway)?;
    let expected = string_set(&[
        "answer broke off",
        "answer did not end in time",
        "answer without a signature",
        "connection limit",
        "no connection",
    ]);
    assert!(expected.is_subset(&found), "{found:?}");
    Ok(())
}

#[test]
fn ends_of_answers_are_counted_by_framing() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    let to = gateway.addresses.callers;
    let framings = || label_values(&gateway, "wasabi_gateway_response_ends_total", "framing");
    get(to, "/read/x", "a")?;
    Request::new("POST", "/chat/x", "b").send(to)?;
    assert_eq!(framings()?, string_set(&["length", "chunked"]));
    let server = Server::start(|mut stream, _| {
        let head = scripted::read_head(&mut stream)?;
        stream.write_all(scripted::signed(&head, 200, "").as_bytes())?;
        stream.shutdown(Shutdown::Both)
    })?;
    rig.replace_servers("app", server.address);
    wait_for("an answer that ends with its connection", || {
        get(to, "/read/x", "c").is_ok()
            && framings().is_ok_and(|framings| framings.contains("close"))
    })
}

#[test]
fn refusals_are_counted_by_code() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    let to = gateway.addresses.callers;
    assert_eq!(get(to, "/nowhere/x", "a")?.status, 404);
    let mut request = Request::new("GET", "/read/x", "b");
    request.key = None;
    assert_eq!(request.send(to)?.status, 401);
    request.key = Some("other".to_string());
    assert_eq!(request.send(to)?.status, 401);
    let mut large = Request::new("POST", "/write/x", "c");
    large.body = vec![b'x'; 1_100_000];
    assert_eq!(large.send(to)?.status, 413);
    let mut open = TcpStream::connect(to)?;
    let head = "POST /write/x HTTP/1.1\r\nhost: site.example\r\nrequest-id: d\r\n\
                deadline-ms: 400\r\nauthorization: Token k1\r\n";
    open.write_all(format!("{head}content-length: 10\r\n\r\nhalf").as_bytes())?;
    assert_eq!(caller::read(&mut open)?.status, 408);
    let mut broken = TcpStream::connect(to)?;
    broken.write_all(format!("{head}transfer-encoding: chunked\r\n\r\nzz\r\n").as_bytes())?;
    // The connection may be closed before the response has been read.
    let _ = caller::read(&mut broken);
    for server in ["p1", "p2"] {
        rig.server(server).set_behavior(Some(Behavior::TurnAway));
    }
    assert_eq!(get(to, "/read/x", "e")?.status, 503);
    for server in ["p1", "p2"] {
        rig.server(server).set_behavior(Some(Behavior::Hang));
    }
    assert_eq!(with_deadline("POST", "/write/x", "f", 600).send(to)?.status, 504);
    rig.configure(2, |config| config["services"][0]["engine"]["slots"] = json!(0));
    wait_for("a refusal because of load", || {
        with_deadline("POST", "/chat/x", "g", 900)
            .send(to)
            .is_ok_and(|response| response.status == 503)
    })?;
    rig.store.set_fault(Fault::Silent);
    wait_for("a refusal because the configuration was last confirmed too long ago", || {
        get(to, "/read/x", "h").is_ok_and(|response| {
            response.status == 503 && codes(&gateway).is_ok_and(|codes| codes.contains("1205"))
        })
    })?;
    let fresh = rig.launch("g2", rig.store_address, gateway::pick_ports()?)?;
    let to = fresh.addresses.callers;
    wait_for("the port", || TcpStream::connect(to).is_ok())?;
    assert_eq!(get(to, "/read/x", "i")?.status, 503);
    let mut found = codes(&gateway)?;
    found.extend(codes(&fresh)?);
    let expected = string_set(&[
        "1001", "1002", "1101", "1104", "1106", "1107", "1202", "1204", "1205", "1301", "1304",
    ]);
    assert!(expected.is_subset(&found), "{found:?}");
    Ok(())
}
