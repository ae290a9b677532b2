//! Cost of a gateway, which is the router run as `wasabirouter gateway`: CPU time per short call
//! and per event, and memory with open streams.

use std::{net::SocketAddr, thread, time::Duration};

use wasabi_stand::{
    caller::{self, Request},
    rig::Rig,
    server::Behavior,
};
use wasabi_standin::{
    process::{cpu_seconds, resident_bytes},
    rig::Programs,
};

const CALLERS: usize = 8;
const CALLS_PER_CALLER: usize = 250;
const STREAMS_PER_CALLER: usize = 40;
/// Number of events in each stream of the stand-in server.
const EVENTS: usize = 10;
const OPEN_STREAMS: usize = 300;
/// Delay between two streams that are opened for the memory measurement.
const OPEN_INTERVAL: Duration = Duration::from_millis(5);
const ROUTES: usize = 100;
const WORKSPACES: usize = 10;

/// Runs all measurements and prints the results.
pub fn run(programs: &Programs) -> anyhow::Result<()> {
    let program = programs.router.to_string_lossy().into_owned();
    let rig = Rig::start(&program)?;
    rig.configure_large(2, ROUTES, WORKSPACES);
    let gateway = rig.start_gateway("g1")?;
    let to = gateway.addresses.callers;
    let empty_bytes = resident_bytes(gateway.id());

    let calls = CALLERS * CALLS_PER_CALLER;
    let cpu = cpu_seconds_during(gateway.id(), || for_each_caller(|caller| call(to, caller)))?;
    println!(
        "gateway: {:.0} us of CPU a short call on kept connections, {calls} calls (target: 90)",
        1e6 * cpu / calls as f64
    );
    let streams = CALLERS * STREAMS_PER_CALLER;
    let cpu = cpu_seconds_during(gateway.id(), || for_each_caller(|caller| stream(to, caller)))?;
    println!(
        "gateway: {:.0} us of CPU an event, {streams} streams of {EVENTS} events",
        1e6 * cpu / (streams * EVENTS) as f64
    );

    for engine in ["e1", "e2"] {
        rig.server(engine).set_behavior(Some(Behavior::StallAfter(1)));
    }
    let running = || {
        let arrivals = rig.servers.iter().flat_map(|(server, _)| server.arrivals());
        arrivals.filter(|arrival| arrival.id.starts_with("open")).count()
    };
    let mut open = Vec::new();
    // The gateway refuses some streams while many start at the same time, so more are opened than
    // needed.
    while running() < OPEN_STREAMS {
        anyhow::ensure!(open.len() < 2 * OPEN_STREAMS, "only {} streams run", running());
        open.push(Request::new("POST", "/long/x", &format!("open{}", open.len())).open(to)?);
        thread::sleep(OPEN_INTERVAL);
    }
    let megabytes = |bytes: u64| bytes as f64 / 1e6;
    println!(
        "gateway: {:.1} MB with {ROUTES} routes and {WORKSPACES} workspaces, {:.1} MB with \
         {OPEN_STREAMS} open streams besides (target: 40)",
        megabytes(empty_bytes),
        megabytes(resident_bytes(gateway.id()))
    );
    drop(open);
    Ok(())
}

/// Returns the CPU time that a process uses during `work`, in seconds.
fn cpu_seconds_during(
    process: u32,
    work: impl FnOnce() -> anyhow::Result<()>,
) -> anyhow::Result<f64> {
    let before = cpu_seconds(process);
    work()?;
    Ok(cpu_seconds(process) - before)
}

/// Runs `work` for each caller on a thread of its own; fails if one of them fails.
fn for_each_caller(work: impl Fn(usize) -> anyhow::Result<()> + Sync) -> anyhow::Result<()> {
    thread::scope(|scope| {
        let spawn_caller = |caller| {
            let work = &work;
            scope.spawn(move || work(caller))
        };
        let callers: Vec<_> = (0..CALLERS).map(spawn_caller).collect();
        callers.into_iter().try_for_each(|caller| caller.join().expect("no panic"))
    })
}

/// Makes all short calls of a caller on one connection.
fn call(to: SocketAddr, caller: usize) -> anyhow::Result<()> {
    let first = Request::new("GET", "/read/x", &format!("c{caller}"));
    let mut connection = first.open(to)?;
    anyhow::ensure!(caller::read(&mut connection)?.status == 200, "a call failed");
    for number in 1..CALLS_PER_CALLER {
        Request::new("GET", "/read/x", &format!("c{caller}-{number}")).write(&mut connection)?;
        anyhow::ensure!(caller::read(&mut connection)?.status == 200, "a call failed");
    }
    Ok(())
}

/// Makes all streams of a caller, one after the other, then waits 100 ms.
fn stream(to: SocketAddr, caller: usize) -> anyhow::Result<()> {
    for number in 0..STREAMS_PER_CALLER {
        let response = Request::new("POST", "/chat/x", &format!("s{caller}-{number}")).send(to)?;
        anyhow::ensure!(response.complete, "a stream failed");
    }
    thread::sleep(Duration::from_millis(100));
    Ok(())
}
