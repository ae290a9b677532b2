//! Requests whose last byte comes late in the time that a planned stop has.

use std::{
    io::Write as _,
    net::{SocketAddr, TcpStream},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use wasabi_stand::{
    caller::{self, Request, Response},
    gateway::wait_for,
    rig::Rig,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");
/// How long the servers work on a request; the hosts of the rig have 8 s to stop.
const WORK: Duration = Duration::from_secs(7);

/// Opens a connection `open` after the stop began, begins a request, sends its last byte at `sent`, and reads the
/// response; `None` if the connection ended without one.
fn call(
    began: Instant,
    to: SocketAddr,
    request: Request,
    (open, sent): (u64, u64),
) -> JoinHandle<anyhow::Result<Option<Response>>> {
    thread::spawn(move || {
        let until = |ms: u64| {
            thread::sleep(Duration::from_millis(ms).saturating_sub(began.elapsed()));
        };
        until(open);
        let mut stream = TcpStream::connect(to)?;
        stream.set_read_timeout(Some(Duration::from_secs(12)))?;
        let Request { method, path, id, .. } = request;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: site.example\r\nrequest-id: {id}\r\n\
             deadline-ms: 10000\r\nauthorization: Token k1\r\ncontent-length: 1\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        until(sent);
        // The host may have closed the connection.
        let _ = stream.write_all(b"x");
        Ok(caller::read(&mut stream).ok())
    })
}

#[test]
fn requests_late_in_a_stop_are_refused_or_answered_and_never_cut() -> anyhow::Result<()> {
    let mut rig = Rig::start(PROGRAM)?;
    ["p1", "p2"].iter().for_each(|id| rig.store.remove("servers", id));
    rig.add_slow_server("p3", "app", WORK)?;
    let mut gateway = rig.start_gateway("g1")?;
    let to = gateway.addresses.callers;
    gateway.signal("TERM")?;
    wait_for("the stop", || !gateway.log_lines("stopping").is_empty())?;
    let began = Instant::now();
    let cases = [(100, 1_000), (500, 2_000), (1_500, 3_100), (2_000, 4_000), (2_300, 5_500)];
    let kinds = [("POST", "/write/x"), ("GET", "/read/x")];
    let calls: Vec<_> = (kinds.iter())
        .flat_map(|(method, path)| cases.map(|times| (*method, *path, times)))
        .map(|(method, path, times)| {
            let id = format!("{method}-{}", times.1);
            (id.clone(), times, call(began, to, Request::new(method, path, &id), times))
        })
        .collect();
    let mut refused = 0;
    for (id, (_, sent), call) in calls {
        let response = call.join().expect("no panic")?;
        refused += usize::from(response.as_ref().is_some_and(|response| response.status == 503));
        let runs = rig.count_runs(&id);
        match response {
            Some(response) if runs == 0 => assert_eq!(response.status, 503, "{id}: {response:?}"),
            // Nothing says that it has not run.
            Some(response) => assert_eq!(response.status, 502, "{id}: {response:?}"),
            // The connection was closed with the request unread.
            None => assert_eq!(runs, 0, "{id} was passed on and cut"),
        }
        assert!(runs == 0 || sent < 3_000, "{id} was passed on");
    }
    assert!(refused >= 4, "only {refused} of the late ones were read and refused");
    assert!(gateway.wait_exit(Duration::from_secs(2))?);
    Ok(())
}
