//! What hosts of two builds tell each other: servers that leave, requests that crash servers, and requests
//! that a host without servers hands over; and the settings that both read.

use std::{
    collections::BTreeSet,
    net::IpAddr,
    process::Command,
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use wasabi_stand::{
    caller::Request,
    gateway::{Gateway, older_program, pick_ports, settings, wait_for},
    proxy::NetworkFault,
    rig::Rig,
    server::Arrival,
};

const TODAY: &str = env!("CARGO_BIN_EXE_wasabirouter");
/// The part of prompts that crashes servers.
const FATAL_PART: &str = "bad0001";
/// How long after the beginning of a cut callers may be served worse.
const GRACE: Duration = Duration::from_millis(3_000);

/// The pause between two requests.
const PAUSE: Duration = Duration::from_millis(40);
/// Requests that are sent to see how many are served; two thirds are, as in tests/partition.rs.
const REQUESTS: usize = 45;

/// Two programs: that of the host which learns something, and that of the one which is told.
fn both_ways() -> anyhow::Result<[[String; 2]; 2]> {
    let (today, older) = (TODAY.to_string(), older_program(TODAY)?);
    Ok([[today.clone(), older.clone()], [older, today]])
}

fn wait_for_peers(gateways: [&Gateway; 2]) -> anyhow::Result<()> {
    let heard = |gateway: &Gateway| !gateway.log_lines("peer heard").is_empty();
    wait_for("the peers", || gateways.into_iter().all(heard))
}

#[test]
fn beside_the_older_build_a_leaving_server_is_known_to_both() -> anyhow::Result<()> {
    for [first, second] in both_ways()? {
        let mut rig = Rig::start(&first)?;
        let told = rig.start_gateway("g1")?;
        rig.set_program(&second);
        let other = rig.start_gateway("g2")?;
        wait_for_peers([&told, &other])?;
        rig.server("p1").set_leaving(true);
        wait_for("the server to be used", || {
            let sent = Request::new("GET", "/read/x", "r").send(told.addresses.callers);
            sent.is_ok() && !told.log_lines("backend server leaves").is_empty()
        })?;
        wait_for("the other host to hear of it", || {
            !other.log_lines("backend server leaves").is_empty()
        })?;
        let before = rig.server("p1").arrivals().len();
        for i in 0..12 {
            let request = Request::new("GET", "/read/x", &format!("a{i}"));
            assert_eq!(request.send(other.addresses.callers)?.status, 200);
        }
        assert_eq!(rig.server("p1").arrivals().len(), before);
    }
    Ok(())
}

fn fatal(id: &str) -> Request {
    let headers = [
        ("prompt-prefix", format!("{FATAL_PART}:100,ff{id}:50")),
        ("token-usage", "150,20".to_string()),
    ];
    let headers = headers.map(|(name, value)| (name.to_string(), value));
    Request { headers: headers.into(), ..Request::new("POST", "/long/x", &format!("f{id}")) }
}

#[test]
fn beside_the_older_build_requests_that_crash_servers_are_known_to_both() -> anyhow::Result<()> {
    for [first, second] in both_ways()? {
        let mut rig = Rig::start(&first)?;
        rig.add_engines(&[("e3", "v1"), ("e4", "v1"), ("e5", "v1"), ("e6", "v1")])?;
        let has_fatal_part = |arrival: &Arrival| {
            arrival.header("prompt-prefix").is_some_and(|parts| parts.contains(FATAL_PART))
        };
        rig.servers.iter().for_each(|(server, _)| server.set_fatal(has_fatal_part));
        let crashing = rig.start_repeating_gateway("g1")?;
        rig.set_program(&second);
        let other = rig.start_repeating_gateway("g2")?;
        wait_for_peers([&crashing, &other])?;
        for number in 0..16 {
            // It is broken off or refused.
            let _ = fatal(&format!("{number:06x}")).send(crashing.addresses.callers);
            thread::sleep(Duration::from_millis(200));
        }
        let crashes =
            || rig.servers.iter().map(|(server, _)| server.crashed_at().len()).sum::<usize>();
        let before = crashes();
        assert!(before >= 3, "the servers crash");
        thread::sleep(Duration::from_secs(1));
        for number in 100..110 {
            let answer = fatal(&format!("{number:06x}")).send(other.addresses.callers)?;
            assert_eq!(answer.status, 503, "{answer:?}");
            assert!(answer.body.contains("1207"), "{answer:?}");
        }
        assert_eq!(crashes(), before, "no further server crashes");
    }
    Ok(())
}

/// Requests of a host that is cut off from all servers go over the peer of the other build, each once.
#[test]
fn beside_the_older_build_a_cut_host_hands_requests_over() -> anyhow::Result<()> {
    let source = IpAddr::from([127, 0, 0, 2]);
    for [first, second] in both_ways()? {
        let mut rig = Rig::start(&first)?;
        let proxies = rig.proxy_servers()?;
        let cut = rig.start_gateway_from("g1", source)?;
        rig.set_program(&second);
        let other = rig.start_gateway_from("g2", IpAddr::from([127, 0, 0, 3]))?;
        wait_for_peers([&cut, &other])?;
        let send = |id: &str, path: &str| {
            // The other host is in use, so it knows that servers answer.
            let request = Request::new("GET", "/read/x", &format!("other-{id}"));
            assert_eq!(request.send(other.addresses.callers)?.status, 200);
            let mut request = Request::new("POST", path, id);
            request.deadline = Duration::from_millis(1_500);
            request.send(cut.addresses.callers)
        };
        assert_eq!(send("before", "/write/x")?.status, 200);
        proxies.iter().for_each(|proxy| proxy.set_for(source, NetworkFault::Close));
        let end = Instant::now() + GRACE;
        let mut sent = 0;
        while Instant::now() < end {
            sent += 1;
            // Some fail until the host knows that it is cut off.
            let _ = send(&format!("early{sent}"), ["/write/x", "/read/x", "/chat/x"][sent % 3]);
            thread::sleep(PAUSE);
        }
        let mut served = 0;
        for number in 0..REQUESTS {
            let (id, path) =
                (format!("late{number}"), ["/write/x", "/read/x", "/chat/x"][number % 3]);
            let response = send(&id, path)?;
            thread::sleep(PAUSE);
            let runs = rig.count_runs(&id);
            match response.status {
                200 => {
                    assert!(
                        response.complete && runs == 1,
                        "{path} ran {runs} times: {response:?}"
                    );
                    served += 1;
                }
                503 => assert_eq!(runs, 0, "{path}: {response:?}"),
                // A probe of whether the cut is over: it may have run.
                status => assert_eq!((status, runs), (502, 0), "{path}: {response:?}"),
            }
        }
        assert!(served * 3 >= REQUESTS * 2, "{served} of {REQUESTS} served");
        assert!(!other.log_lines("taken from a peer").is_empty());
        for number in (1..=sent).filter(|number| number % 3 == 0) {
            assert!(rig.count_runs(&format!("early{number}")) <= 1, "a write ran twice");
        }
    }
    Ok(())
}

/// Guards against a setting in the template that a host cannot take back when it returns to the older build.
#[test]
fn beside_the_older_build_the_settings_of_the_template_are_valid_for_both() -> anyhow::Result<()> {
    let rig = Rig::start(TODAY)?;
    let addresses = pick_ports()?;
    let mut settings = settings("g1", &addresses, rig.store_address, rig.duties_address);
    settings["bounds"]["leave_ms"] = json!(2_000);
    let template = include_str!("../deploy/settings.json.tmpl");
    let quoted = template.split('"').skip(1).step_by(2);
    let named: BTreeSet<&str> = quoted.filter(|text| !text.contains("{{")).collect();
    let fields = |value: &Value| {
        let fields = value.as_object().into_iter().flatten();
        fields.map(|(name, _)| name.clone()).collect::<Vec<_>>()
    };
    let checked = [fields(&settings), fields(&settings["bounds"])].concat();
    assert_eq!(named, checked.iter().map(String::as_str).collect());
    let path = std::env::temp_dir().join(format!("template-{}.json", std::process::id()));
    std::fs::write(&path, settings.to_string())?;
    for program in both_ways()?.concat() {
        let check =
            Command::new(&program).args(["gateway", "--check", "--settings"]).arg(&path).output();
        let output = check?;
        assert!(output.status.success(), "{program}: {}", String::from_utf8_lossy(&output.stderr));
    }
    std::fs::remove_file(&path)?;
    Ok(())
}
