//! Servers that name in their answers how many requests a second they take from all hosts together.

use std::{
    thread,
    time::{Duration, Instant},
};

use wasabi_stand::{
    caller::Request,
    gateway::{Gateway, wait_for},
    rig::Rig,
    server::{Arrival, Behavior},
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");
/// The bound on arrivals holds for each span of this length.
const SPAN: Duration = Duration::from_secs(4);
/// From this time after the first answer that names a limit on, the bound holds.
const SETTLING: Duration = Duration::from_secs(3);
/// How many times the limit may be exceeded in a span, and by how many requests besides.
const TOLERANCE: (f64, f64) = (1.5, 5.0);

/// Sends requests from one caller a host, each as soon as the one before is answered, for `length`.
fn send_steadily(gateways: &[Gateway], method: &str, path: &str, length: Duration) {
    let end = Instant::now() + length;
    thread::scope(|scope| {
        for (host, gateway) in gateways.iter().enumerate() {
            scope.spawn(move || {
                let mut number = 0;
                while Instant::now() < end {
                    number += 1;
                    let request = Request::new(method, path, &format!("{host}-{number}"));
                    // Refusals and failures are part of some plays.
                    let _ = request.send(gateway.addresses.callers);
                }
            });
        }
    });
}

/// Returns the most arrivals in a span that begins at `from` or later.
fn most_in_a_span(arrivals: &[Arrival], from: Instant) -> usize {
    let counted: Vec<Instant> =
        arrivals.iter().map(|arrival| arrival.at).filter(|at| *at >= from).collect();
    let in_span =
        |start: Instant| counted.iter().filter(|at| (start..start + SPAN).contains(*at)).count();
    counted.iter().map(|start| in_span(*start)).max().unwrap_or(0)
}

/// Checks the bound for a server that named `limit` a second from `named` on.
fn assert_limit_kept(arrivals: &[Arrival], named: Instant, limit: f64) {
    let most = most_in_a_span(arrivals, named + SETTLING);
    let allowed = TOLERANCE.0 * limit * SPAN.as_secs_f64() + TOLERANCE.1;
    assert!(most as f64 <= allowed, "{most} requests in {SPAN:?}, allowed {allowed}");
}

#[test]
fn a_server_gets_no_more_requests_from_all_hosts_than_the_limit_that_it_names() -> anyhow::Result<()>
{
    let rig = Rig::start(PROGRAM)?;
    let gateways = ["g1", "g2", "g3"].map(|name| rig.start_gateway(name));
    let gateways = gateways.into_iter().collect::<anyhow::Result<Vec<_>>>()?;
    rig.server("p1").set_limit(Some("2.5"));
    let named = Instant::now();
    send_steadily(&gateways, "GET", "/read/x", SETTLING + SPAN * 2);
    let arrivals = rig.server("p1").arrivals();
    assert_limit_kept(&arrivals, named, 2.5);
    assert!(
        arrivals.iter().any(|arrival| arrival.at > named + SETTLING),
        "it still gets some requests"
    );
    Ok(())
}

#[test]
fn repeats_and_resumed_streams_keep_the_limit_that_a_server_names() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateways = ["g1", "g2", "g3"].map(|name| rig.start_gateway(name));
    let gateways = gateways.into_iter().collect::<anyhow::Result<Vec<_>>>()?;
    rig.server("e1").set_limit(Some("1.5"));
    rig.server("e2").set_behavior(Some(Behavior::BreakAfter(1)));
    let named = Instant::now();
    send_steadily(&gateways, "POST", "/chat/x", SETTLING + SPAN * 2);
    assert_limit_kept(&rig.server("e1").arrivals(), named, 1.5);
    Ok(())
}

#[test]
fn a_limit_that_is_lifted_binds_no_host_any_more() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateways = ["g1", "g2", "g3"].map(|name| rig.start_gateway(name));
    let gateways = gateways.into_iter().collect::<anyhow::Result<Vec<_>>>()?;
    rig.server("p1").set_limit(Some("2"));
    send_steadily(&gateways, "GET", "/read/x", Duration::from_secs(2));
    for gateway in &gateways {
        wait_for("the limit to be known", || {
            !gateway.log_lines("backend server's limit changed").is_empty()
        })?;
    }
    rig.server("p1").set_limit(None);
    for gateway in &gateways {
        wait_for("the host to use the server freely again", || {
            let before = rig.server("p1").arrivals().len();
            let length = Duration::from_millis(500);
            send_steadily(std::slice::from_ref(gateway), "GET", "/read/x", length);
            rig.server("p1").arrivals().len() >= before + 5
        })?;
    }
    Ok(())
}

#[test]
fn a_service_whose_servers_are_all_at_their_limits_is_refused_with_a_time() -> anyhow::Result<()> {
    let rig = Rig::start(PROGRAM)?;
    let gateway = rig.start_gateway("g1")?;
    for server in ["p1", "p2"] {
        rig.server(server).set_limit(Some("0.5"));
    }
    let mut refused = None;
    for number in 0..40 {
        let request = Request::new("GET", "/read/x", &format!("r{number}"));
        let response = request.send(gateway.addresses.callers)?;
        if response.status == 503 {
            refused = Some(response);
            break;
        }
    }
    let refused = refused.expect("the limits are used up");
    let wait: f64 = refused.headers["retry-after"].parse()?;
    assert!(wait > 0.0 && wait <= 5.0, "{wait}");
    Ok(())
}
