//! Servers that say that they are brittle: one that turns away more requests in a second than it names
//! falls over.

use std::{
    thread,
    time::{Duration, Instant},
};

use wasabi_stand::{caller::Request, rig::Rig};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");
/// The plain servers of a rig.
const SERVERS: [&str; 2] = ["p1", "p2"];
/// Their slots, as they are listed.
const SLOTS: usize = 8;
/// The requests that a server may turn away in a second.
const TURNED_AWAY: usize = 5;
/// Callers at each host. Together they send more than all servers take.
const CALLERS: usize = 30;
/// How long after servers have said that they are brittle they may let fewer requests wait.
const GRACE: Duration = Duration::from_millis(3_000);

/// Sends reads to the hosts from many callers until `end`; returns how many were served.
fn overload(hosts: &[std::net::SocketAddr], end: Instant) -> usize {
    let callers: Vec<_> = (0..CALLERS * hosts.len())
        .map(|caller| {
            let to = hosts[caller % hosts.len()];
            thread::spawn(move || {
                let mut served = 0;
                for number in 0.. {
                    if Instant::now() >= end {
                        break;
                    }
                    let sent =
                        Request::new("GET", "/read/x", &format!("c{caller}-{number}")).send(to);
                    match sent {
                        Ok(response) if response.status == 200 => served += 1,
                        // Refused callers come back after a while.
                        _ => thread::sleep(Duration::from_millis(200)),
                    }
                }
                served
            })
        })
        .collect();
    callers.into_iter().map(|caller| caller.join().expect("a caller does not panic")).sum()
}

#[test]
fn brittle_servers_are_not_turned_over_by_requests_that_they_have_no_room_for() -> anyhow::Result<()>
{
    let rig = Rig::start(PROGRAM)?;
    let gateways = ["g1", "g2", "g3"].map(|name| rig.start_gateway(name));
    let gateways = gateways.into_iter().collect::<anyhow::Result<Vec<_>>>()?;
    let hosts: Vec<_> = gateways.iter().map(|gateway| gateway.addresses.callers).collect();
    // They still let many wait, but say already that they are brittle.
    for server in SERVERS {
        rig.server(server).set_brittle(SLOTS * 20, Some(TURNED_AWAY));
    }
    overload(&hosts, Instant::now() + GRACE);
    SERVERS.iter().for_each(|server| rig.server(server).set_brittle(SLOTS, Some(TURNED_AWAY)));
    let served = overload(&hosts, Instant::now() + Duration::from_secs(6));
    let falls: usize = SERVERS.iter().map(|server| rig.server(server).falls()).sum();
    assert!(falls <= 2 + SERVERS.len() / 10, "{falls} falls, {served} requests served");
    println!("{falls} falls, {served} requests served");
    assert!(served > 1_000, "only {served} requests were served");
    Ok(())
}
