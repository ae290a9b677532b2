//! Answers with neither a length nor chunks whose server process is killed: the kernel closes the
//! connections as in order.

use std::{
    io::Write as _,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use anyhow::Context as _;
use socket2::{Domain, SockRef, Socket, Type};
use wasabi_core::call::Framing;
use wasabi_stand::{
    caller::{self, Request, Response},
    gateway::{Gateway, wait_for},
    process::{self, EVENTS, FIRST_PART, LARGE_EVENTS, Process},
    rig::Rig,
    scripted::{self, Server},
    server,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");
/// The test that is the entry of the server processes.
const ENTRY: &str = "server_process";
/// Streams that are open when their server is killed.
const STREAMS: usize = 8;
/// Until a stream has its first events.
const FIRST_EVENTS: Duration = Duration::from_millis(150);

#[test]
fn server_process() -> anyhow::Result<()> {
    process::serve()
}

/// Starts a rig with a server process as the only server of `service`, and a gateway.
fn start_process(service: &str) -> anyhow::Result<(Rig, Process, Gateway)> {
    let rig = Rig::start(PROGRAM)?;
    let server = Process::start(ENTRY)?;
    rig.replace_servers(service, server.address);
    let gateway = rig.start_gateway("g1")?;
    Ok((rig, server, gateway))
}

/// Sends `count` requests at once to `path`, each from a thread.
fn send_all(
    to: SocketAddr,
    path: &'static str,
    count: usize,
) -> Vec<JoinHandle<anyhow::Result<Response>>> {
    let send = move |number| Request::new("POST", path, &format!("k{number}")).send(to);
    (0..count).map(|number| thread::spawn(move || send(number))).collect()
}

fn join_all(calls: Vec<JoinHandle<anyhow::Result<Response>>>) -> anyhow::Result<Vec<Response>> {
    calls.into_iter().map(|call| call.join().expect("the caller did not panic")).collect()
}

/// Returns the responses that look complete and lack events, with the ids that they have.
fn short_as_complete(responses: &[Response]) -> Vec<Vec<u64>> {
    let whole: Vec<u64> = (1..=EVENTS).collect();
    let complete = responses.iter().filter(|response| response.complete);
    complete.map(Response::event_ids).filter(|ids| *ids != whole).collect()
}

#[test]
fn streams_of_a_killed_server_never_look_complete() -> anyhow::Result<()> {
    let (_rig, mut engine, gateway) = start_process("llm")?;
    let calls = send_all(gateway.addresses.callers, "/long/x", STREAMS);
    wait_for("the streams", || engine.requests() == STREAMS)?;
    thread::sleep(FIRST_EVENTS);
    engine.kill();
    let responses = join_all(calls)?;
    let short = short_as_complete(&responses);
    assert!(short.is_empty(), "{} of {STREAMS} look complete: {short:?}", short.len());
    assert!(responses.iter().all(|response| !response.event_ids().is_empty()), "{responses:?}");
    Ok(())
}

#[test]
fn streams_of_a_killed_server_go_on_elsewhere() -> anyhow::Result<()> {
    let mut rig = Rig::start(PROGRAM)?;
    for id in ["e3", "e4"] {
        rig.add_server(id, "llm", true)?;
    }
    let mut engine = Process::start(ENTRY)?;
    rig.store.put("servers", "x1", server::store_object("llm", engine.address, "ready"));
    let gateway = rig.start_repeating_gateway("g1")?;
    let calls = send_all(gateway.addresses.callers, "/chat/x", 3 * STREAMS);
    wait_for("streams at the process", || engine.requests() > 0)?;
    thread::sleep(FIRST_EVENTS);
    engine.kill();
    let responses = join_all(calls)?;
    let short = short_as_complete(&responses);
    let of = engine.requests();
    assert!(short.is_empty(), "{} of {of} look complete: {short:?}", short.len());
    let broken = responses.iter().filter(|response| !response.complete).count();
    assert_eq!(broken, 0, "broken off, though they may go on elsewhere");
    Ok(())
}

#[test]
fn a_plain_answer_of_a_killed_server_is_not_passed_on() -> anyhow::Result<()> {
    for path in ["/read/x", "/write/x"] {
        let rig = Rig::start(PROGRAM)?;
        let mut server = Process::start(ENTRY)?;
        rig.replace_servers("app", server.address);
        let gateway = rig.start_gateway("g1")?;
        let calls = send_all(gateway.addresses.callers, path, STREAMS);
        wait_for("the requests", || server.requests() == STREAMS)?;
        thread::sleep(FIRST_EVENTS);
        server.kill();
        for response in join_all(calls)? {
            assert_eq!(response.status, 502, "{path}: {response:?}");
            assert!(!response.body.contains(FIRST_PART), "{path}: {response:?}");
        }
    }
    Ok(())
}

/// Whether it has ended after its last event or was taken away before, nobody can tell.
#[test]
fn the_last_stream_of_a_server_that_leaves_is_complete_only_if_it_still_answers()
-> anyhow::Result<()> {
    for (path, lives) in [("/long/leave", false), ("/long/leave-later", true)] {
        let (_rig, _engine, gateway) = start_process("llm")?;
        let response = Request::new("POST", path, "l1").send(gateway.addresses.callers)?;
        assert_eq!(response.event_ids(), (1..=EVENTS).collect::<Vec<_>>(), "{path}");
        assert_eq!(response.complete, lives, "{path}");
    }
    Ok(())
}

#[test]
fn streams_of_a_server_that_is_taken_away_after_its_notice_never_look_complete()
-> anyhow::Result<()> {
    let (rig, mut engine, gateway) = start_process("llm")?;
    let calls = send_all(gateway.addresses.callers, "/long/leave-later", STREAMS);
    wait_for("the streams", || engine.requests() == STREAMS)?;
    let notice = server::store_object("llm", engine.address, "draining");
    rig.store.put("servers", "x1", notice);
    thread::sleep(FIRST_EVENTS);
    engine.kill();
    let responses = join_all(calls)?;
    let short = short_as_complete(&responses);
    assert!(short.is_empty(), "{} of {STREAMS} look complete: {short:?}", short.len());
    Ok(())
}

#[test]
fn plain_answers_of_a_server_that_is_taken_away_after_its_notice_are_not_passed_on()
-> anyhow::Result<()> {
    let (rig, mut server, gateway) = start_process("app")?;
    let calls = send_all(gateway.addresses.callers, "/write/x", STREAMS);
    wait_for("the requests", || server.requests() == STREAMS)?;
    let notice = server::store_object("app", server.address, "draining");
    rig.store.put("servers", "x1", notice);
    wait_for("the notice", || gateway.log_lines("backend servers changed").len() > 1)?;
    server.kill();
    let responses = join_all(calls)?;
    let statuses: Vec<u16> = responses.iter().map(|response| response.status).collect();
    assert_eq!(statuses, [502; STREAMS]);
    Ok(())
}

/// The connection that shows that the server lives serves the next request.
#[test]
fn an_end_that_is_confirmed_costs_no_connection() -> anyhow::Result<()> {
    const REQUESTS: usize = 8;
    let rig = Rig::start(PROGRAM)?;
    let server = Server::start(|mut stream, _| {
        let head = scripted::read_head(&mut stream)?;
        if head.is_empty() {
            return Ok(());
        }
        let answer =
            scripted::framed(&head, Framing::Close, "content-type: text/plain\r\n", "whole");
        stream.write_all(answer.as_bytes())
    })?;
    rig.replace_servers("app", server.address);
    let gateway = rig.start_gateway("g1")?;
    for number in 0..REQUESTS {
        let request = Request::new("POST", "/write/x", &format!("c{number}"));
        let response = request.send(gateway.addresses.callers)?;
        assert_eq!((response.status, response.body.as_str()), (200, "whole"));
    }
    let connections = server.connections();
    assert!(connections <= REQUESTS + 1, "{connections} connections for {REQUESTS} requests");
    let evidence = gateway.page("/metrics")?;
    assert!(
        evidence.contains("wasabi_gateway_closed_ends_total{evidence=\"accepted\""),
        "{evidence}"
    );
    Ok(())
}

/// A stalled caller's gateway does not read, so it learns of the end of the connection late.
#[test]
fn a_stalled_stream_of_a_killed_server_never_looks_complete() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let mut engine = Process::start(ENTRY)?;
    rig.replace_servers("llm", engine.address);
    let gateway = rig.start_gateway("g1")?;
    let mut slow = Request::new("POST", "/long/large", "s1").open(gateway.addresses.callers)?;
    wait_for("the stream", || engine.requests() == 1)?;
    thread::sleep(Duration::from_millis(1_000));
    engine.kill();
    thread::sleep(Duration::from_millis(500));
    let response = caller::read(&mut slow)?;
    let ids = response.event_ids();
    assert!(!response.complete, "{} events look complete", ids.len());
    assert!(ids.len() < LARGE_EVENTS as usize, "the caller did not stall");
    assert_eq!(ids, (1..=ids.len() as u64).collect::<Vec<_>>());
    Ok(())
}

/// A listener whose queue is full leaves attempts to connect unanswered.
#[test]
fn an_end_of_a_server_that_no_longer_answers_is_not_believed() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    listener.listen(0)?;
    let address = listener.local_addr()?.as_socket().context("not an IP address")?;
    rig.replace_servers("app", address);
    let gateway = rig.start_gateway("g1")?;
    let call = send_all(gateway.addresses.callers, "/write/x", 1);
    let mut stream = TcpStream::from(listener.accept()?.0);
    let head = scripted::read_head(&mut stream)?;
    let connect = || TcpStream::connect_timeout(&address, FIRST_EVENTS);
    let queued: Vec<TcpStream> = std::iter::from_fn(|| connect().ok()).collect();
    let answer = scripted::framed(&head, Framing::Close, "content-type: text/plain\r\n", "whole?");
    stream.write_all(answer.as_bytes())?;
    drop(stream);
    let ended = Instant::now();
    let responses = join_all(call)?;
    assert_eq!(responses[0].status, 502, "{responses:?}");
    assert!(ended.elapsed() < Duration::from_secs(1), "{:?}", ended.elapsed());
    drop(queued);
    Ok(())
}

/// As a server does that has all the connections that it accepts.
#[test]
fn a_whole_answer_of_a_server_that_resets_new_connections_is_passed_on() -> anyhow::Result<()> {
    const REQUESTS: usize = 20;
    let rig = Rig::start(PROGRAM)?;
    let resets = Arc::new(AtomicUsize::new(0));
    let counted = resets.clone();
    let server = Server::start(move |mut stream, number| {
        if number % 2 == 1 {
            SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
            drop(stream);
            counted.fetch_add(1, Ordering::SeqCst);
            return Ok(());
        }
        let head = scripted::read_head(&mut stream)?;
        let answer =
            scripted::framed(&head, Framing::Close, "content-type: text/plain\r\n", "whole");
        stream.write_all(answer.as_bytes())
    })?;
    rig.replace_servers("app", server.address);
    let gateway = rig.start_gateway("g1")?;
    let mut statuses = Vec::new();
    for number in 0..REQUESTS {
        let request = Request::new("POST", "/write/x", &format!("r{number}"));
        statuses.push(request.send(gateway.addresses.callers)?.status);
        wait_for("the reset", || resets.load(Ordering::SeqCst) > number)?;
    }
    assert_eq!(statuses, [200; REQUESTS], "{}", gateway.page("/metrics")?);
    Ok(())
}

/// Its entry lapses in the store, or is that of its next process, which listens at the same address.
#[test]
fn a_plain_answer_of_a_killed_server_without_its_entry_is_not_passed_on() -> anyhow::Result<()> {
    for restarts in [false, true] {
        let rig = Rig::start(PROGRAM)?;
        let mut server = Process::start(ENTRY)?;
        rig.replace_servers("app", server.address);
        let gateway = rig.start_gateway("g1")?;
        let calls = send_all(gateway.addresses.callers, "/write/x", STREAMS);
        wait_for("the requests", || server.requests() == STREAMS)?;
        let changes = || gateway.log_lines("backend servers changed").len();
        let before = changes();
        let mut entry = server::store_object("app", server.address, "ready");
        entry["born"] = 2_000.into();
        match restarts {
            true => rig.store.put("servers", "x1", entry),
            false => rig.store.remove("servers", "x1"),
        }
        wait_for("the list", || changes() > before)?;
        server.kill();
        let _next =
            restarts.then(|| Server::start_at(server.address, |_, _| Ok(()))).transpose()?;
        let responses = join_all(calls)?;
        let statuses: Vec<u16> = responses.iter().map(|response| response.status).collect();
        assert_eq!(statuses, [502; STREAMS], "starts again: {restarts}");
    }
    Ok(())
}
