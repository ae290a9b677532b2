//! Refusals that a backend server writes once more on a kept connection.

use std::{
    io::Write as _,
    net::{Shutdown, SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

use parking_lot::Mutex;
use wasabi_core::call::Framing;
use wasabi_stand::{
    caller::{Request, Response},
    gateway::Gateway,
    rig::Rig,
    scripted::{self, Server},
    server,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");
const EVENTS: &str = "content-type: text/event-stream\r\n";
/// Paths of requests that may run once at most.
const ONCE: [&str; 2] = ["/write/x", "/long/x"];
/// Paths of requests that may run again.
const REPEATABLE: [&str; 2] = ["/read/x", "/chat/x"];
/// Statuses by which a host states that the request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// Time in which a host notices what a server has written on an idle connection.
const IDLE: Duration = Duration::from_millis(60);
/// Status and headers of earlier answers.
const STALE: [(u16, &str); 6] = [
    (503, "not-executed: 1\r\n"),
    (503, "not-executed: 1\r\nretry-after: 30\r\n"),
    (429, "not-executed: 1\r\n"),
    (421, ""),
    (200, "response-signature: s\r\n"),
    (500, "response-signature: s\r\n"),
];

/// The ids of requests that servers have received, in order, each with the server's name.
type Arrivals = Arc<Mutex<Vec<(&'static str, String)>>>;

/// Scripted servers in place of all those of a deployment, and a gateway that may repeat requests.
struct Play {
    _rig: Rig,
    arrivals: Arrivals,
    gateway: Gateway,
    _servers: Vec<Server>,
}

impl Play {
    /// Starts a server for each pair of a name and a service; `script` answers one request.
    fn start(
        names: &[(&'static str, &str)],
        script: impl Fn(&mut TcpStream, &Exchange) -> std::io::Result<()>
        + Clone
        + Send
        + Sync
        + 'static,
    ) -> anyhow::Result<Self> {
        let rig = Rig::start(PROGRAM)?;
        let arrivals = Arrivals::default();
        let mut servers = Vec::new();
        for (server, _) in &rig.servers {
            rig.store.remove("servers", &server.id);
        }
        for &(name, service) in names {
            let (script, log) = (script.clone(), arrivals.clone());
            let server = Server::start(move |mut stream, _| {
                let mut before = None;
                loop {
                    let head = scripted::read_head(&mut stream)?;
                    if head.is_empty() {
                        return Ok(());
                    }
                    let id = scripted::header(&head, "request-id");
                    let earlier = {
                        let mut log = log.lock();
                        let same = log.iter().filter(|(_, other)| *other == id);
                        let earlier = same.map(|(server, _)| *server).collect();
                        log.push((name, id.clone()));
                        earlier
                    };
                    let exchange = Exchange { server: name, id: id.clone(), head, earlier, before };
                    script(&mut stream, &exchange)?;
                    before = Some(id);
                }
            })?;
            let entry = server::store_object(service, server.address, "ready");
            rig.store.put("servers", name, entry);
            servers.push(server);
        }
        let gateway = rig.start_repeating_gateway("g1")?;
        Ok(Self { _rig: rig, arrivals, gateway, _servers: servers })
    }

    fn send(&self, path: &str, id: &str) -> anyhow::Result<Response> {
        let method = if path.starts_with("/read") { "GET" } else { "POST" };
        let mut request = Request::new(method, path, id);
        request.deadline = Duration::from_millis(2_500);
        request.send(self.gateway.addresses.callers)
    }

    /// Returns the servers that have received the request with this id, in order.
    fn arrivals(&self, id: &str) -> Vec<&'static str> {
        let arrivals = self.arrivals.lock();
        arrivals.iter().filter(|(_, other)| other == id).map(|(server, _)| *server).collect()
    }
}

/// One request at a scripted server.
struct Exchange {
    server: &'static str,
    id: String,
    head: String,
    /// The servers that have received the same id before.
    earlier: Vec<&'static str>,
    /// The id of the request before it on the connection.
    before: Option<String>,
}

impl Exchange {
    /// The whole answer of a server that has run the request.
    fn answer(&self) -> String {
        let text = format!("id: 1\ndata: answer to {}\n\n", self.id);
        scripted::framed(&self.head, Framing::Length, EVENTS, &text)
    }

    fn refusal(&self) -> String {
        stale(503, "not-executed: 1\r\n", Some(&self.id))
    }
}

/// An answer to the request `id`, or one that bears no id.
fn stale(status: u16, headers: &str, id: Option<&str>) -> String {
    let id = id.map(|id| format!("request-id: {id}\r\n")).unwrap_or_default();
    format!("HTTP/1.1 {status} X\r\n{id}{headers}content-length: 5\r\n\r\nstale")
}

/// Plays each kind of earlier answer, which the server writes before it runs the next request on a kept
/// connection and answers it.
fn play_stale(paths: [&str; 2], check: impl Fn(&Response, &[&str], &str)) -> anyhow::Result<()> {
    for (status, headers) in STALE {
        for has_id in [false, true] {
            let play = Play::start(&[("x1", "app"), ("x2", "llm")], move |stream, exchange| {
                if let Some(before) = &exchange.before {
                    let id = has_id.then_some(before.as_str());
                    stream.write_all(stale(status, headers, id).as_bytes())?;
                }
                stream.write_all(exchange.answer().as_bytes())
            })?;
            for (number, path) in paths.iter().enumerate() {
                let (first, second) = (format!("a{number}"), format!("b{number}"));
                assert_eq!(play.send(path, &first)?.status, 200);
                thread::sleep(IDLE);
                let response = play.send(path, &second)?;
                let label = format!("{path}, {status} {headers:?}, id {has_id}: {response:?}");
                assert!(!response.body.contains("stale"), "{label}");
                check(&response, &play.arrivals(&second), &label);
            }
        }
    }
    Ok(())
}

#[test]
fn a_stale_refusal_is_no_promise_for_a_request_that_may_run_once() -> anyhow::Result<()> {
    play_stale(ONCE, |response, arrivals, label| {
        assert_eq!(arrivals.len(), 1, "{label}");
        assert_eq!(response.status, 502, "{label}");
    })
}

#[test]
fn a_stale_refusal_is_no_promise_for_a_request_that_may_run_again() -> anyhow::Result<()> {
    play_stale(REPEATABLE, |response, arrivals, label| {
        assert_eq!(response.status, 200, "{label}");
        assert!(arrivals.len() <= 2, "{label}");
        assert!(!NOT_RUN.contains(&response.status), "{label}");
    })
}

/// Only answers that bear the id of the request tell of the server that was asked.
#[test]
fn a_stale_refusal_neither_pauses_nor_limits_its_server() -> anyhow::Result<()> {
    for headers in ["retry-after: 30\r\n", "server-leaving: 1\r\n", "server-limit: 0.01\r\n"] {
        for id in [None, Some("a0")] {
            let play = Play::start(&[("x1", "app")], move |stream, exchange| {
                if exchange.id == "b0" {
                    let headers = format!("not-executed: 1\r\n{headers}");
                    stream.write_all(stale(503, &headers, id).as_bytes())?;
                }
                stream.write_all(exchange.answer().as_bytes())
            })?;
            for (request, status) in [("a0", 200), ("b0", 502), ("c0", 200), ("d0", 200)] {
                let response = play.send("/write/x", request)?;
                assert_eq!(response.status, status, "{request}, {headers}, {id:?}: {response:?}");
            }
        }
    }
    Ok(())
}

/// The head of a refusal is cut inside a header, and the answer follows.
#[test]
fn half_a_refusal_before_the_answer_is_no_promise() -> anyhow::Result<()> {
    for status in [503, 429, 421, 500] {
        for headers in ["not-executed: 1\r\nx-old: ", "not-executed: 1\r\nx-old: abc", "x-old: "] {
            let play = Play::start(&[("x1", "app"), ("x2", "llm")], move |stream, exchange| {
                let half = format!("HTTP/1.1 {status} X\r\n{headers}");
                stream.write_all((half + &exchange.answer()).as_bytes())
            })?;
            for path in ONCE {
                let response = play.send(path, path)?;
                let label = format!("{path}, {status} {headers:?}: {response:?}");
                assert_eq!(response.status, 502, "{label}");
                assert!(!response.body.contains("answer to"), "{label}");
                assert_eq!(play.arrivals(path).len(), 1, "{label}");
            }
        }
    }
    Ok(())
}

/// An answer that is broken off within its first line, at each byte, and the true answer behind it.
#[test]
fn an_answer_that_breaks_off_in_its_first_line_lends_its_status_to_no_other() -> anyhow::Result<()>
{
    const LINES: [&str; 8] = [
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 204 No Content\r\n",
        "HTTP/1.1 408 Request Timeout\r\n",
        "HTTP/1.1 421 Misdirected Request\r\n",
        "HTTP/1.1 429 Too Many Requests\r\n",
        "HTTP/1.1 500 Internal Server Error\r\n",
        "HTTP/1.1 503 Service Unavailable\r\n",
        "HTTP/1.1 504 Gateway Timeout\r\n",
    ];
    let play = Play::start(&[("x1", "app"), ("x2", "llm")], |stream, exchange| {
        let mut words = exchange.id.split('-').filter_map(|word| word.parse::<usize>().ok());
        let (Some(line), Some(length)) = (words.next(), words.next()) else { return Ok(()) };
        let torn = LINES[line][..length].to_string();
        stream.write_all((torn + &exchange.answer()).as_bytes())
    })?;
    for (number, line) in LINES.iter().enumerate() {
        for length in 1..line.len() {
            for path in ["write", "long"] {
                let id = format!("{path}-{number}-{length}");
                let response = play.send(&format!("/{path}/{id}"), &id)?;
                let label = format!("{:?}: {response:?}", &line[..length]);
                assert_eq!(response.status, 502, "{label}");
                assert!(!response.headers.contains_key("response-signature"), "{label}");
                assert_eq!(play.arrivals(&id).len(), 1, "{label}");
            }
        }
    }
    Ok(())
}

/// A server that refuses a request and, if it gets it again, writes that refusal once more and runs it.
fn refuse_and_repeat(stream: &mut TcpStream, exchange: &Exchange) -> std::io::Result<()> {
    stream.write_all(exchange.refusal().as_bytes())?;
    if exchange.earlier.contains(&exchange.server) {
        stream.write_all(exchange.answer().as_bytes())?;
    }
    Ok(())
}

#[test]
fn a_request_is_not_sent_again_to_the_server_whose_refusal_may_be_repeated() -> anyhow::Result<()> {
    for path in ONCE.into_iter().chain(REPEATABLE) {
        let play = Play::start(&[("x1", "app"), ("x2", "llm")], refuse_and_repeat)?;
        let response = play.send(path, "a0")?;
        assert_eq!(play.arrivals("a0").len(), 1, "{path}: {response:?}");
        assert_eq!(response.status, 503, "{path}: {response:?}");
        let wait: f64 = response.headers["retry-after"].parse()?;
        assert!(wait > 0.0 && wait <= 2.0, "{path}: {wait}");
    }
    Ok(())
}

#[test]
fn all_servers_get_a_request_before_its_refusals_are_final() -> anyhow::Result<()> {
    for path in ONCE {
        let play = Play::start(
            &[("x1", "app"), ("x2", "llm"), ("x3", "app"), ("x4", "llm")],
            refuse_and_repeat,
        )?;
        let response = play.send(path, "a0")?;
        let mut arrivals = play.arrivals("a0");
        arrivals.sort_unstable();
        arrivals.dedup();
        assert_eq!((response.status, arrivals.len()), (503, 2), "{path}: {response:?}");
        assert_eq!(play.arrivals("a0").len(), 2, "{path}");
    }
    Ok(())
}

/// The refusal is written once more while the connection idles, or in one write with itself.
#[test]
fn a_refusal_repeated_between_two_requests_answers_neither() -> anyhow::Result<()> {
    for pause in [Duration::ZERO, IDLE / 3] {
        let play = Play::start(&[("x1", "app")], move |stream, exchange| {
            if !exchange.id.starts_with('r') {
                return stream.write_all(exchange.answer().as_bytes());
            }
            let refusal = exchange.refusal();
            if pause.is_zero() {
                return stream.write_all(refusal.repeat(2).as_bytes());
            }
            stream.write_all(refusal.as_bytes())?;
            thread::sleep(pause);
            stream.write_all(refusal.as_bytes())
        })?;
        for number in 0..4 {
            let (refused, served) = (format!("r{number}"), format!("s{number}"));
            assert_eq!(play.send("/write/x", &refused)?.status, 503);
            thread::sleep(pause * 3);
            let response = play.send("/write/x", &served)?;
            assert_eq!(response.status, 200, "{pause:?}: {response:?}");
            assert!(response.body.contains(&served), "{pause:?}: {response:?}");
            assert_eq!(play.arrivals(&served).len(), 1, "{pause:?}");
        }
    }
    Ok(())
}

#[test]
fn a_refusal_repeated_in_one_write_with_the_next_answer_is_no_promise() -> anyhow::Result<()> {
    for path in ONCE {
        for has_id in [true, false] {
            let play = Play::start(&[("x1", "app"), ("x2", "llm")], move |stream, exchange| {
                match exchange.id.as_str() {
                    "a0" => return stream.write_all(exchange.refusal().as_bytes()),
                    "b0" => {
                        let refusal = stale(503, "not-executed: 1\r\n", has_id.then_some("a0"));
                        return stream.write_all((refusal + &exchange.answer()).as_bytes());
                    }
                    _ => thread::sleep(IDLE),
                }
                stream.write_all(exchange.answer().as_bytes())
            })?;
            // Two connections are kept; the one that carries the refusal may be closed.
            let opening = ["o0", "o1"].map(|id| (id, &play));
            thread::scope(|scope| {
                let sent = opening.map(|(id, play)| scope.spawn(move || play.send(path, id)));
                sent.into_iter().for_each(|sent| {
                    assert_eq!(sent.join().expect("sent").expect("answered").status, 200);
                });
            });
            thread::sleep(IDLE);
            assert_eq!(play.send(path, "a0")?.status, 503);
            let response = play.send(path, "b0")?;
            let runs = play.arrivals("b0").len();
            assert_eq!((response.status, runs), (502, 1), "{path}, id {has_id}: {response:?}");
        }
    }
    Ok(())
}

/// Plays a stream that one server refuses and the other one fails, in either order. The refusal is repeated
/// if its server gets the same id again.
fn play_refused_stream(
    fail: impl Fn(&mut TcpStream, &Exchange) -> std::io::Result<()> + Clone + Send + Sync + 'static,
) -> anyhow::Result<()> {
    for refusing in [0, 1] {
        for number in 0..2 {
            let fail = fail.clone();
            let play =
                Play::start(
                    &[("x1", "llm"), ("x2", "llm")],
                    move |stream, exchange| match exchange.earlier.len() {
                        turn if turn == refusing => stream.write_all(exchange.refusal().as_bytes()),
                        0 | 1 => fail(stream, exchange),
                        _ if exchange.earlier.get(refusing) == Some(&exchange.server) => {
                            refuse_and_repeat(stream, exchange)
                        }
                        _ => stream.write_all(exchange.answer().as_bytes()),
                    },
                )?;
            let id = format!("a{number}");
            let response = play.send("/chat/x", &id)?;
            let arrivals = play.arrivals(&id);
            let refuser = arrivals.get(refusing).copied();
            let again = arrivals.iter().filter(|server| Some(**server) == refuser).count();
            assert_eq!(again, 1, "refused by {refuser:?}, sent to {arrivals:?}: {response:?}");
            assert!(!NOT_RUN.contains(&response.status), "{response:?}");
        }
    }
    Ok(())
}

#[test]
fn a_stuck_stream_does_not_move_to_a_server_whose_refusal_may_be_repeated() -> anyhow::Result<()> {
    play_refused_stream(|stream, _| scripted::read_head(stream).map(drop))
}

#[test]
fn a_broken_stream_does_not_go_on_at_a_server_whose_refusal_may_be_repeated() -> anyhow::Result<()>
{
    play_refused_stream(|stream, exchange| {
        // It leaves, so that only the refusing server takes work afterwards.
        let headers = format!("{EVENTS}server-leaving: 1\r\ntransfer-encoding: chunked\r\n");
        stream.write_all(scripted::signed(&exchange.head, 200, &headers).as_bytes())?;
        stream.write_all(b"11\r\nid: 1\ndata: one\n\n\r\n")?;
        stream.shutdown(Shutdown::Both)
    })
}

#[test]
fn a_peer_does_not_send_a_request_to_a_server_whose_refusal_may_be_repeated() -> anyhow::Result<()>
{
    let play = Play::start(&[("x1", "app")], |stream, exchange| {
        stream.write_all(exchange.answer().as_bytes())
    })?;
    let peer: SocketAddr = play.gateway.addresses.peers;
    for (id, refused, status) in [("a0", "[]", 200), ("b0", "[\"x1\"]", 503)] {
        let mut request = Request::new("POST", "/write/x", id);
        let handover = format!(
            "{{\"from\":\"g2\",\"possible_runs\":0,\"origin\":null,\"refused\":{refused}}}"
        );
        request.headers.push(("wasabi-handover".to_string(), handover));
        let response = request.send(peer)?;
        assert_eq!(response.status, status, "{id}: {response:?}");
        assert_eq!(play.arrivals(id).len(), usize::from(status == 200));
    }
    Ok(())
}

/// The peer refuses both before it places them: their stream began at a service that their route does not use.
#[test]
fn a_peer_does_not_state_that_a_request_has_not_run_that_may_have_run_before() -> anyhow::Result<()>
{
    let play = Play::start(&[("x1", "app")], |stream, exchange| {
        stream.write_all(exchange.answer().as_bytes())
    })?;
    let peer: SocketAddr = play.gateway.addresses.peers;
    for (possible_runs, status) in [(0, 503), (1, 502)] {
        let mut request = Request::new("POST", "/chat/x", &format!("c{possible_runs}"));
        let handover = format!(
            "{{\"from\":\"g2\",\"possible_runs\":{possible_runs},\
             \"origin\":{{\"service\":\"app\",\"build\":\"v1\"}}}}"
        );
        request.headers.push(("wasabi-handover".to_string(), handover));
        let response = request.send(peer)?;
        assert_eq!(response.status, status, "{response:?}");
    }
    Ok(())
}
