//! Placement by the expected gaps between the events of streams.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use wasabi_core::{
    call::{Part, Prompt},
    catalog::Engine,
    member::{Member, Phase},
    units::{HostId, ServerId, Tokens},
};
use wasabi_policy::{
    balancer::{Balancer, End, PlacementRequest},
    load_report::LoadReport,
};

const ENGINE: Engine = Engine { slots: 16, memory: Tokens(600_000), event_tokens: 7 };
const TARGET_GAP: Duration = Duration::from_millis(250);

/// A balancer in domain d1 with the engine `near` there and the engine `far` in another domain, so that
/// none is reserved and `near` is chosen if all else is equal.
fn balancer(now: Instant) -> Balancer {
    let member = |id: &str, domain: &str| Member {
        id: id.parse().expect("a name"),
        born_ms: 1,
        service: "llm".parse().expect("a name"),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: domain.parse().expect("a name"),
        slots: ENGINE.slots,
        build: Default::default(),
        phase: Phase::Ready,
        reclaimable: false,
    };
    let mut balancer = Balancer::new("d1".parse().expect("a name"));
    balancer.set_learns_speed(true);
    balancer.set_servers(now, Some(ENGINE), &[member("near", "d1"), member("far", "d2")]);
    balancer
}

/// Places a request whose prompt has so many tokens, ends it, and returns the engine's name.
fn place(
    balancer: &mut Balancer,
    now: Instant,
    tokens: u32,
    target_gap: Option<Duration>,
) -> String {
    let prompt = Prompt { tokens, output: 60, parts: vec![Part { id: 1, tokens }] };
    let ask = PlacementRequest {
        prompt: Some(&prompt),
        max_wait: Duration::from_secs(2),
        target_gap,
        urgency: 3,
        build: None,
        excluded: &[],
        avoid: &[],
        refused: &[],
    };
    let place = balancer.place(now, &ask).expect("a place");
    balancer.end(now, &place, End::Abandoned);
    place.member.id.to_string()
}

fn announce(balancer: &mut Balancer, now: Instant, near: LoadReport, far: LoadReport) {
    let peer: HostId = "g2".parse().expect("a name");
    let reports: Vec<(ServerId, LoadReport)> = [("near", near), ("far", far)]
        .into_iter()
        .map(|(id, report)| (id.parse().expect("a name"), report))
        .collect();
    balancer.apply_announcement(now, &peer, &reports);
}

/// Load: one engine has spent most of the last second on long prompts of other hosts and its queue is
/// empty at the moment. The first event would come at once, but the prompts to come would hold up the
/// stream, which must begin elsewhere.
#[test]
fn a_stream_is_not_placed_where_its_gaps_would_exceed_the_target() {
    let start = Instant::now();
    let mut balancer = balancer(start);
    let mut now = start;
    for _ in 0..40 {
        now += Duration::from_millis(100);
        let added_ms = BTreeMap::from([(3, 95.0)]);
        let report = LoadReport { running: 2, added_ms, ..Default::default() };
        announce(&mut balancer, now, report, LoadReport::default());
    }
    now += Duration::from_millis(95);
    assert_eq!(place(&mut balancer, now, 100, None), "near");
    assert_eq!(place(&mut balancer, now, 100, Some(TARGET_GAP)), "far");
    let calm = now + Duration::from_secs(1);
    assert_eq!(place(&mut balancer, calm, 100, Some(TARGET_GAP)), "near");
}

/// Load: three light streams run at an engine, and a prompt of 30,000 tokens arrives, which is read in 15
/// steps in a row, seven of which fall into each gap. It must go to an engine without such streams.
#[test]
fn a_long_prompt_is_not_placed_where_it_makes_running_streams_late() {
    let now = Instant::now();
    let streams = LoadReport { running: 3, light: 3, ..Default::default() };
    let others = LoadReport { running: 5, ..Default::default() };
    let mut balancer = balancer(now);
    announce(&mut balancer, now, streams, others);
    assert_eq!(place(&mut balancer, now, 30_000, None), "near", "no stream has a target");
    let now = now + Duration::from_secs(2);
    assert_eq!(place(&mut balancer, now, 100, Some(TARGET_GAP)), "near");
    assert_eq!(place(&mut balancer, now, 30_000, None), "far");
    let now = now + Duration::from_secs(2);
    assert_eq!(place(&mut balancer, now, 5_000, None), "near", "read within a gap");
}
