//! Requests that come late in the time that a planned stop has, over connections that callers keep open.

use std::{
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

/// Opens a connection `open` after the stop began, sends a request over it at `sent`, and reads the response;
/// `None` if the connection ended without one.
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
        until(sent);
        request.write(&mut stream)?;
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
    // The last one of each kind comes when no connection is accepted any more.
    let cases = [(100, 1_000), (500, 2_000), (2_300, 3_100), (2_400, 4_000), (2_450, 5_500)];
    let kinds = [("POST", "/write/x"), ("GET", "/read/x")];
    let calls: Vec<_> = (kinds.iter())
        .flat_map(|(method, path)| cases.map(|times| (*method, *path, times)))
        .map(|(method, path, times)| {
            let id = format!("{method}-{}", times.1);
            (id.clone(), times, call(began, to, Request::new(method, path, &id), times))
        })
        .collect();
    for (id, (_, sent), call) in calls {
        let response = call.join().expect("no panic")?;
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
    assert!(gateway.wait_exit(Duration::from_secs(2))?);
    Ok(())
}
