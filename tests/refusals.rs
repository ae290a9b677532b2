//! Refusals that a backend server writes once more on a kept connection.

use std::{io::Write as _, net::TcpStream, sync::Arc, thread, time::Duration};

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
                    log.lock().push((name, id.clone()));
                    let exchange = Exchange { id: id.clone(), head, before };
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
    id: String,
    head: String,
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
