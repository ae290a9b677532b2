//! Ejection and probing of servers that are slow or fail.

use std::time::{Duration, Instant};

use wasabi_core::{note::Server, units::Tokens};
use wasabi_policy::servers::{Pick, Selection, Servers};

const TOKENS: Tokens = Tokens(20);

fn servers(count: u32) -> Servers {
    let server = |i: u32| Server {
        name: format!("s{i}").parse().expect("a name"),
        address: "127.0.0.1:1".parse().expect("an address"),
        build: Default::default(),
        domain: "d".parse().expect("a name"),
        reclaimable: false,
        slots: 2,
    };
    let list: Vec<Server> = (0..count).map(server).collect();
    let mut servers = Servers::default();
    servers.set(&list);
    servers
}

fn record_interval(servers: &mut Servers, now: Instant, name: &str, ms_per_token: u64) -> bool {
    let took = Duration::from_millis(ms_per_token) * TOKENS.0 as u32;
    servers.record_token_interval(now, &name.parse().expect("a name"), TOKENS, took)
}

fn healthy_count(servers: &Servers) -> usize {
    servers.view().iter().filter(|(_, _, _, healthy)| *healthy).count()
}

#[test]
fn a_straggler_is_ejected_probed_and_judged_by_its_first_request() {
    let mut servers = servers(6);
    let now = Instant::now();
    for _ in 0..4 {
        (1..6).for_each(|i| assert!(!record_interval(&mut servers, now, &format!("s{i}"), 10)));
        record_interval(&mut servers, now, "s0", 40);
    }
    assert_eq!(healthy_count(&servers), 5);
    let later = now + Duration::from_secs(3);
    let granted_to_s0 = |servers: &mut Servers, now| {
        let mut names = Vec::new();
        let wanted = Selection {
            pick: Pick::LeastBusy,
            upper_tier: false,
            prefix: 0,
            avoid: None,
            build: None,
        };
        while let Some(server) = servers.acquire(now, &wanted) {
            names.push(server.name.to_string());
        }
        names.iter().for_each(|name| servers.release(&name.parse().expect("a name")));
        names.iter().filter(|name| *name == "s0").count()
    };
    assert_eq!(granted_to_s0(&mut servers, now), 0);
    assert_eq!(granted_to_s0(&mut servers, later), 1, "one request is tried on it");
    assert!(record_interval(&mut servers, later, "s0", 40), "still slow, so ejected again at once");
    assert_eq!(
        granted_to_s0(&mut servers, later + Duration::from_secs(3)),
        0,
        "the second ejection lasts longer than the first"
    );
    let much_later = later + Duration::from_secs(10);
    assert_eq!(granted_to_s0(&mut servers, much_later), 1);
    assert!(!record_interval(&mut servers, much_later, "s0", 10));
    servers.record_success(&"s0".parse().expect("a name"), TOKENS, Duration::from_millis(200));
    assert_eq!(healthy_count(&servers), 6);
}

#[test]
fn no_more_than_half_of_the_servers_is_ejected_for_slowness() {
    let mut servers = servers(7);
    let now = Instant::now();
    for name in ["s0", "s1", "s2"] {
        servers.record_failure(now, &name.parse().expect("a name"));
    }
    for _ in 0..6 {
        for i in 3..7 {
            let slow =
                record_interval(&mut servers, now, &format!("s{i}"), if i == 3 { 90 } else { 10 });
            assert!(!slow, "the fourth server of seven must not be ejected");
        }
    }
    assert_eq!(healthy_count(&servers), 4);
}
