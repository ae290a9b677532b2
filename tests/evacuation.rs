//! Failure domains that the operator evacuates, and servers that are cold.

use std::{
    process::Command,
    thread,
    time::{Duration, Instant},
};

use serde_json::json;
use wasabi_stand::{
    caller::Request,
    gateway::{self, Gateway, wait_for},
    rig::Rig,
    server::Arrival,
    store::Fault,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");
const CLIENT: &str = env!("CARGO_BIN_EXE_wasabictl");
/// Within this time after its request an evacuation has taken effect.
const EVACUATE_WITHIN: Duration = Duration::from_millis(5_000);
/// What a cold server tolerates in a second: 4 x 1.5 + 4 = 10 requests.
const COLD_RATE: f64 = 4.0;
const COLD_BOUND: &str = "1.5,4";
const COLD_MOST: usize = 10;

/// Starts gateways where evacuations and cold servers are known; `p2` is in the domain `d2`.
fn start_fleet(names: &[&str]) -> anyhow::Result<(Rig, Vec<Gateway>)> {
    let rig = Rig::start(PROGRAM)?;
    set_field(&rig, "p2", "zone", json!("d2"));
    rig.configure(2, |config| {
        config["services"][1]["cold_start_s"] = json!(3.0);
        config["services"][1]["cold_per_s"] = json!(COLD_RATE);
    });
    let gateways = names.iter().map(|name| start_gateway(&rig, name)).collect::<Result<_, _>>()?;
    Ok((rig, gateways))
}

fn start_gateway(rig: &Rig, name: &str) -> anyhow::Result<Gateway> {
    let addresses = gateway::pick_ports()?;
    let mut settings = gateway::settings(name, &addresses, rig.store_address, rig.duties_address);
    settings["evacuate_ms"] = json!(EVACUATE_WITHIN.as_millis() as u64);
    settings["cold_bound"] = json!(COLD_BOUND);
    let gateway = Gateway::start(PROGRAM.as_ref(), addresses, &settings)?;
    gateway.wait_ready()?;
    Ok(gateway)
}

fn set_field(rig: &Rig, server: &str, field: &str, value: serde_json::Value) {
    let mut entry = rig.store.get("servers", server).expect("it is listed");
    entry[field] = value;
    rig.store.put("servers", server, entry);
}

/// Sends requests from `callers` callers a host, each as soon as the one before is answered; returns how many
/// were served.
fn send_for(gateways: &[Gateway], callers: usize, length: Duration) -> usize {
    let end = Instant::now() + length;
    thread::scope(|scope| {
        let send = |gateway: &Gateway, caller: usize| {
            let to = gateway.addresses.callers;
            (0..)
                .take_while(|_| Instant::now() < end)
                .filter(|number| {
                    let id = format!("{to}-{caller}-{number}");
                    let sent = Request::new("GET", "/read/x", &id).send(to);
                    sent.is_ok_and(|response| response.status == 200)
                })
                .count()
        };
        let callers = gateways.iter().flat_map(|gateway| (0..callers).map(move |n| (gateway, n)));
        let running: Vec<_> =
            callers.map(|(gateway, n)| scope.spawn(move || send(gateway, n))).collect();
        running.into_iter().map(|caller| caller.join().unwrap_or(0)).sum()
    })
}

fn arrived_since(arrivals: &[Arrival], since: Instant) -> usize {
    arrivals.iter().filter(|arrival| arrival.at >= since).count()
}

fn most_in_a_second(arrivals: &[Arrival], from: Instant) -> usize {
    let at: Vec<Instant> = arrivals.iter().map(|a| a.at).filter(|at| *at >= from).collect();
    let within = |start: Instant| {
        at.iter().filter(|at| (start..start + Duration::from_secs(1)).contains(*at)).count()
    };
    at.iter().map(|start| within(*start)).max().unwrap_or(0)
}

fn evacuate(rig: &Rig, arguments: &[&str]) -> anyhow::Result<String> {
    let store = rig.store_address.to_string();
    let output =
        Command::new(CLIENT).args(["evacuate", "--objects", &store]).args(arguments).output()?;
    anyhow::ensure!(output.status.success(), "{output:?}");
    Ok(String::from_utf8(output.stdout)?)
}

/// Guards against requests to servers of a domain that the operator has evacuated, and against a return at
/// full load of servers that have become cold meanwhile.
#[test]
fn an_evacuated_domain_gets_nothing_until_it_is_taken_back_and_then_a_cold_start()
-> anyhow::Result<()> {
    let (rig, gateways) = start_fleet(&["g1", "g2", "g3"])?;
    assert!(send_for(&gateways, 1, Duration::from_millis(500)) > 0);
    assert!(!rig.server("p2").arrivals().is_empty(), "it is used before");
    assert!(evacuate(&rig, &["d2"])?.contains("evacuated: d2"));
    let requested = Instant::now();
    let served = send_for(&gateways, 2, EVACUATE_WITHIN + Duration::from_secs(2));
    let late = arrived_since(&rig.server("p2").arrivals(), requested + EVACUATE_WITHIN);
    assert_eq!(late, 0, "requests after the evacuation had to be in effect");
    assert!(served > 50, "the other domain serves: {served}");
    let page = gateways[0].page("/dump")?;
    assert!(page.contains(r#""evacuated":["d2"]"#), "{page}");
    // Its servers have become cold; their entries show it only with the next heartbeat.
    assert!(evacuate(&rig, &["--end", "d2"])?.contains("no domain"));
    let ended = Instant::now();
    thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(Duration::from_millis(1_200));
            set_field(&rig, "p2", "cold_remaining_ms", json!(2_000));
        });
        send_for(&gateways, 4, Duration::from_secs(4));
    });
    let arrivals = rig.server("p2").arrivals();
    let most = most_in_a_second(&arrivals, ended);
    assert!(most <= COLD_MOST, "{most} requests in a second at a cold server");
    assert!(arrived_since(&arrivals, ended) > 0, "it is used again");
    Ok(())
}

/// Guards against hosts that forget an evacuation when they all start again, or when the store is away.
#[test]
fn an_evacuation_outlives_all_hosts_and_an_absent_store() -> anyhow::Result<()> {
    let (rig, mut gateways) = start_fleet(&["g1", "g2"])?;
    evacuate(&rig, &["d2"])?;
    wait_for("the evacuation", || {
        gateways.iter().all(|gateway| !gateway.log_lines("evacuation changed").is_empty())
    })?;
    rig.store.set_fault(Fault::Busy);
    let away = Instant::now();
    send_for(&gateways, 1, Duration::from_secs(2));
    assert_eq!(arrived_since(&rig.server("p2").arrivals(), away), 0, "while the store is away");
    rig.store.set_fault(Fault::None);
    gateways.iter_mut().for_each(Gateway::kill);
    let gateways = [start_gateway(&rig, "g1")?, start_gateway(&rig, "g2")?];
    let restarted = Instant::now();
    assert!(send_for(&gateways, 1, Duration::from_secs(1)) > 0);
    assert_eq!(arrived_since(&rig.server("p2").arrivals(), restarted), 0, "after the restart");
    Ok(())
}

/// Guards against a server that starts, or turns cold again, and falls over under the requests of all hosts.
#[test]
fn a_cold_server_gets_what_it_tolerates_from_all_hosts_together() -> anyhow::Result<()> {
    let (rig, mut gateways) = start_fleet(&["g1", "g2", "g3"])?;
    set_field(&rig, "p2", "cold_remaining_ms", json!(3_000));
    wait_for("the list", || {
        gateways.iter().all(|gateway| {
            gateway.page("/dump").is_ok_and(|page| page.contains(r#""cold_servers":1"#))
        })
    })?;
    let cold = Instant::now();
    send_for(&gateways, 4, Duration::from_secs(3));
    // A host that has just started knows nothing of what was sent.
    gateways[0].kill();
    gateways[0] = start_gateway(&rig, "g1")?;
    let served = send_for(&gateways, 4, Duration::from_secs(3));
    let arrivals = rig.server("p2").arrivals();
    let most = most_in_a_second(&arrivals, cold);
    assert!(most <= COLD_MOST, "{most} requests in a second at a cold server");
    assert!(arrived_since(&arrivals, cold) >= 6, "it warms up under some load");
    assert!(served > 100, "the other server serves: {served}");
    set_field(&rig, "p2", "cold_remaining_ms", json!(0));
    wait_for("the list", || {
        gateways.iter().all(|gateway| {
            gateway.page("/dump").is_ok_and(|page| page.contains(r#""cold_servers":0"#))
        })
    })?;
    let warm = Instant::now();
    send_for(&gateways, 4, Duration::from_secs(1));
    assert!(arrived_since(&rig.server("p2").arrivals(), warm) > COLD_MOST, "warm again");
    Ok(())
}
