//! A sound server that falls silent for a second or so and goes on: nothing is lost because of it, and nothing
//! runs again that must not.

use std::{net::TcpStream, thread, time::Duration};

use wasabi_stand::{
    caller::{self, Request},
    gateway::{Gateway, wait_for},
    proxy::{NetworkFault, Proxy},
    rig::Rig,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");
/// How long a server may still work on a request that has moved.
const MAX_CANCEL_TIME: Duration = Duration::from_millis(400);
/// How long the servers are silent.
const SILENCE: Duration = Duration::from_millis(1_200);
/// How long a slow engine works on each event.
const FIRST_EVENT: Duration = Duration::from_millis(200);
/// Rounds in each of which one engine is silent, and their streams.
const ROUNDS: usize = 4;
const STREAMS: usize = 8;
/// Requests of each kind; each server gets some of them.
const REQUESTS: usize = 6;

/// A rig with proxies in front of its servers, and a gateway.
fn start() -> anyhow::Result<(Rig, Vec<Proxy>, Gateway)> {
    let rig = Rig::start(PROGRAM)?;
    let proxies = rig.proxy_servers()?;
    let gateway = rig.start_gateway("g1")?;
    Ok((rig, proxies, gateway))
}

/// Holds up what the first engine and the first plain server receive and send for a moment, each by the
/// length of the silence.
fn silence(proxies: &[Proxy]) {
    let silent = [0, 2].map(|server: usize| &proxies[server]);
    silent.iter().for_each(|proxy| proxy.set(NetworkFault::Delay(SILENCE)));
    thread::sleep(Duration::from_millis(60));
    silent.iter().for_each(|proxy| proxy.set(NetworkFault::None));
}

/// Returns whether the first event has arrived, without reading it.
fn has_first_event(stream: &TcpStream) -> bool {
    let mut buffer = [0; 4096];
    let received = stream.peek(&mut buffer).unwrap_or(0);
    String::from_utf8_lossy(&buffer[..received]).contains("id: 1")
}

/// Checks that the first of two runs of a stream was cancelled or had ended [`MAX_CANCEL_TIME`] after the second one
/// began.
fn assert_left(rig: &Rig, id: &str) {
    let runs = || {
        let arrivals = rig.servers.iter().flat_map(|(server, _)| server.arrivals());
        let mut runs: Vec<_> = arrivals.filter(|arrival| arrival.id == id && arrival.ran).collect();
        runs.sort_by_key(|run| run.at);
        runs
    };
    let second = runs()[1].at;
    while runs()[0].worked_until().is_none() && second.elapsed() < MAX_CANCEL_TIME {
        thread::sleep(Duration::from_millis(10));
    }
    let until = runs()[0].worked_until().expect("the first run is over");
    let overlap = until.saturating_duration_since(second);
    assert!(overlap <= MAX_CANCEL_TIME, "{id}: both work on it for {overlap:?}");
}

fn assert_not_cut(gateway: &Gateway) {
    assert!(gateway.is_ready());
    assert!(gateway.log_lines("cut off from all backend servers").is_empty());
}

/// A stream that may run twice moves before its first event; then its first run is cancelled, or had ended unseen.
#[test]
fn requests_at_servers_that_fall_silent_before_they_answer_end_well() -> anyhow::Result<()> {
    let (rig, proxies, gateway) = start()?;
    let to = gateway.addresses.callers;
    let send = move |path: &'static str, number: usize| {
        thread::spawn(move || {
            let id = format!("{}{number}", &path[1..2]);
            Request::new("POST", path, &id).send(to).map(|response| (path, id, response))
        })
    };
    let requests: Vec<_> = (0..REQUESTS)
        .flat_map(|number| ["/long/x", "/write/x", "/chat/x"].map(|path| send(path, number)))
        .collect();
    silence(&proxies);
    for request in requests {
        let (path, id, response) = request.join().expect("a caller does not panic")?;
        assert!(response.status == 200 && response.complete, "{id}: {response:?}");
        let runs = rig.count_runs(&id);
        let moved = path == "/chat/x" && runs == 2;
        assert!(runs == 1 || moved, "{id} ran {runs} times");
        if moved {
            assert_left(&rig, &id);
        }
    }
    assert_not_cut(&gateway);
    Ok(())
}

#[test]
fn streams_of_a_server_that_falls_silent_after_their_first_event_run_once() -> anyhow::Result<()> {
    let (rig, proxies, gateway) = start()?;
    let mut streams = Vec::new();
    for number in 0..REQUESTS {
        let id = format!("c{number}");
        let stream = Request::new("POST", "/chat/x", &id).open(gateway.addresses.callers)?;
        wait_for("the first event", || has_first_event(&stream))?;
        streams.push((id, stream));
    }
    silence(&proxies);
    for (id, mut stream) in streams {
        let response = caller::read(&mut stream)?;
        assert!(response.status == 200 && response.complete, "{id}: {response:?}");
        assert_eq!(rig.count_runs(&id), 1, "{id}");
    }
    assert_not_cut(&gateway);
    Ok(())
}

/// A silent server does not see that its caller is gone, so a stream must not leave it too early.
#[test]
fn a_stream_that_leaves_a_silent_server_before_its_first_event_is_worked_on_there_for_400_ms_at_most()
-> anyhow::Result<()> {
    let mut rig = Rig::start(PROGRAM)?;
    ["e1", "e2"].iter().for_each(|id| rig.store.remove("servers", id));
    rig.add_slow_engine("e3", FIRST_EVENT)?;
    rig.add_slow_engine("e4", FIRST_EVENT)?;
    let gateway = rig.start_gateway("g1")?;
    let to = gateway.addresses.callers;
    for round in 0..ROUNDS {
        let streams: Vec<_> = (0..STREAMS)
            .map(|number| {
                let id = format!("r{round}n{number}");
                thread::spawn(move || {
                    Request::new("POST", "/chat/x", &id).send(to).map(|r| (id, r))
                })
            })
            .collect();
        thread::sleep(Duration::from_millis(50));
        rig.server(["e3", "e4"][round % 2]).silence(SILENCE);
        for stream in streams {
            let (id, response) = stream.join().expect("a caller does not panic")?;
            assert!(response.status == 200 && response.complete, "{id}: {response:?}");
            if rig.count_runs(&id) == 2 {
                assert_left(&rig, &id);
            }
        }
        // What a round has shown of its servers is over.
        thread::sleep(SILENCE);
    }
    Ok(())
}
