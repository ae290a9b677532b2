//! Requests that only one software version of the servers may run.

use std::time::{Duration, Instant};

use wasabi_core::{
    errors::Code,
    member::{Member, Phase},
    note::Server,
    units::{Build, PoolId, Tokens},
};
use wasabi_policy::{
    balancer::{Balancer, End, PlacementRequest, Refusal},
    scheduler::{Options, Scheduler},
    ticket::{Decision, Outcome, Ticket, TicketId},
};

const SECOND: Duration = Duration::from_secs(1);

fn build(text: &str) -> Build {
    text.parse().expect("a version")
}

fn pool() -> PoolId {
    "pool".parse().expect("a name")
}

fn server(name: &str, version: &str) -> Server {
    Server {
        name: name.parse().expect("a name"),
        address: "127.0.0.1:1".parse().expect("an address"),
        build: build(version),
        domain: "d".parse().expect("a name"),
        reclaimable: false,
        slots: 1,
    }
}

fn ticket(version: Option<&str>) -> Ticket {
    Ticket {
        pool: pool(),
        class: "c".parse().expect("a name"),
        tier: 0,
        workspace: "w".parse().expect("a name"),
        weight: 1,
        max_running: None,
        token_rate: None,
        max_gap: SECOND * 10,
        patience: SECOND * 10,
        expected: Tokens(10),
        preemptible: false,
        avoid: None,
        prefix: 0,
        features: Vec::new(),
        build: version.map(build),
        resumed: version.is_some(),
    }
}

fn granted(decisions: &[Decision]) -> Vec<(TicketId, String)> {
    let granted = decisions.iter().filter_map(|decision| match decision {
        Decision::Grant { ticket, server } => Some((*ticket, server.name.to_string())),
        _ => None,
    });
    granted.collect()
}

#[test]
fn a_ticket_that_waits_for_its_version_holds_up_no_other_one() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(Options::default());
    scheduler.set_servers(now, &pool(), &[server("a", "v1"), server("b", "v2")]);
    let (first, decisions) = scheduler.arrive(now, ticket(Some("v1")));
    assert_eq!(granted(&decisions), [(first, "a".to_string())]);
    let (second, decisions) = scheduler.arrive(now, ticket(Some("v1")));
    assert_eq!(granted(&decisions), [], "the only server of v1 is busy");
    let (third, decisions) = scheduler.arrive(now, ticket(None));
    assert_eq!(granted(&decisions), [(third, "b".to_string())]);
    let decisions = scheduler.finish(now, third, Outcome::Done);
    assert_eq!(granted(&decisions), [], "the freed server has another version");
    let decisions = scheduler.finish(now, first, Outcome::Done);
    assert_eq!(granted(&decisions), [(second, "a".to_string())]);
}

#[test]
fn a_ticket_whose_version_is_gone_is_refused() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(Options::default());
    scheduler.set_servers(now, &pool(), &[server("a", "v1"), server("b", "v2")]);
    scheduler.arrive(now, ticket(Some("v1")));
    let (waiting, _) = scheduler.arrive(now, ticket(Some("v1")));
    let refused = |decisions: &[Decision], id: TicketId| {
        decisions.iter().any(|decision| {
            matches!(decision, Decision::Refuse { ticket, code: Code::ServerUnavailable, .. }
                if *ticket == id)
        })
    };
    let decisions = scheduler.set_servers(now, &pool(), &[server("b", "v2")]);
    assert!(refused(&decisions, waiting), "{decisions:?}");
    let (late, decisions) = scheduler.arrive(now, ticket(Some("v1")));
    assert!(refused(&decisions, late), "{decisions:?}");
}

#[test]
fn a_placement_keeps_to_its_version_whatever_the_cost() {
    let now = Instant::now();
    let member = |id: &str, version: &str| Member {
        id: id.parse().expect("a name"),
        born_ms: 1,
        service: pool(),
        address: ([127, 0, 0, 1], 1).into(),
        build: build(version),
        domain: "d".parse().expect("a name"),
        slots: 4,
        phase: Phase::Ready,
        reclaimable: false,
    };
    let mut balancer = Balancer::new("d".parse().expect("a name"));
    balancer.set_servers(now, None, &[member("a", "v1"), member("b", "v2"), member("c", "v2")]);
    let (v1, v3) = (build("v1"), build("v3"));
    let avoid = ["a".parse().expect("a name")];
    let request = |build| PlacementRequest {
        prompt: None,
        max_wait: SECOND,
        target_gap: None,
        urgency: 5,
        build: Some(build),
        excluded: &[],
        avoid: &avoid,
        refused: &[],
    };
    for _ in 0..3 {
        let placement = balancer.place(now, &request(&v1)).expect("a server of its version");
        assert_eq!(placement.member.id.as_str(), "a", "avoided, but the only one");
        balancer.end(now, &placement, End::Failed);
    }
    assert_eq!(balancer.place(now, &request(&v3)), Err(Refusal::NoServer));
    let excluded = [build("v1"), build("v2")];
    let any = |excluded| PlacementRequest { build: None, avoid: &[], excluded, ..request(&v1) };
    let placement = balancer.place(now, &any(&excluded[..1])).expect("a server of v2");
    assert_eq!(placement.member.build, build("v2"));
    assert_eq!(balancer.place(now, &any(&excluded)), Err(Refusal::NoServer));
}
