//! Servers that want no request for a while, or that bear few requests for which they have no room.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use wasabi_core::member::{Member, Phase};
use wasabi_policy::{
    balancer::{Balancer, End, Placement, PlacementRequest, Refusal},
    pause::Pause,
};

const SECOND: Duration = Duration::from_secs(1);
const SERVERS: usize = 4;

fn balancer(now: Instant) -> Balancer {
    let member = |i: usize| Member {
        id: format!("s{i}").parse().expect("a name"),
        born_ms: 1,
        service: "app".parse().expect("a name"),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "d1".parse().expect("a name"),
        slots: 6,
        build: Default::default(),
        phase: Phase::Ready,
        reclaimable: false,
    };
    let mut balancer = Balancer::new("d1".parse().expect("a name"));
    balancer.set_servers(now, None, &(0..SERVERS).map(member).collect::<Vec<_>>());
    balancer
}

fn place(balancer: &mut Balancer, now: Instant) -> Result<Placement, Refusal> {
    let request = PlacementRequest {
        prompt: None,
        max_wait: SECOND,
        target_gap: None,
        urgency: 5,
        build: None,
        excluded: &[],
        avoid: &[],
        refused: &[],
    };
    balancer.place(now, &request)
}

/// Places and ends one request a millisecond for `length`; returns how many each server got.
fn play(
    balancer: &mut Balancer,
    start: Instant,
    length: Duration,
    mut answer: impl FnMut(&mut Balancer, Instant, &Placement) -> End,
) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for ms in 0..length.as_millis() as u64 {
        let now = start + Duration::from_millis(ms);
        let Ok(placement) = place(balancer, now) else { continue };
        *counts.entry(placement.member.id.to_string()).or_default() += 1;
        let end = answer(balancer, now, &placement);
        balancer.end(now, &placement, end);
    }
    counts
}

/// One server turns every request away for three seconds, each time with the rest of that time.
#[test]
fn under_load_a_pausing_server_gets_one_request_a_pause_and_the_others_take_the_rest() {
    let start = Instant::now();
    let mut balancer = balancer(start);
    let counts = play(&mut balancer, start, SECOND * 3, |balancer, now, placement| {
        if placement.member.id.as_str() != "s0" {
            return End::Served;
        }
        balancer.pause(now, placement, start + SECOND * 3 - now, 0.5);
        End::Rejected
    });
    assert_eq!(counts["s0"], 1, "{counts:?}");
    let rest = counts.iter().filter(|(id, _)| id.as_str() != "s0");
    assert_eq!(rest.map(|(_, count)| count).sum::<usize>(), 2_999, "{counts:?}");
    let later = play(&mut balancer, start + SECOND * 5, SECOND, |_, _, _| End::Served);
    assert!(later["s0"] > 100, "it is used again: {later:?}");
}

#[test]
fn a_service_that_pauses_as_a_whole_is_refused_until_the_first_server_is_back() {
    let now = Instant::now();
    let mut balancer = balancer(now);
    for wait in [9, 4, 30, 7] {
        let placement = place(&mut balancer, now).expect("a server");
        balancer.pause(now, &placement, SECOND * wait, 0.0);
        balancer.end(now, &placement, End::Rejected);
    }
    assert_eq!(place(&mut balancer, now), Err(Refusal::Paused(SECOND * 4)));
    assert_eq!(place(&mut balancer, now + SECOND * 3), Err(Refusal::Paused(SECOND)));
    assert!(place(&mut balancer, now + SECOND * 4).is_ok());
}

#[test]
fn a_pause_is_never_shortened_and_never_endless() {
    let now = Instant::now();
    let mut pause = Pause::default();
    assert_eq!(pause.remaining(now), Duration::ZERO);
    pause.begin(now, SECOND * 10, 0.0);
    pause.begin(now + SECOND, Duration::from_millis(200), 0.0);
    assert_eq!(pause.remaining(now + SECOND), SECOND * 9);
    pause.begin(now + SECOND, SECOND * 20, 0.0);
    assert_eq!(pause.remaining(now + SECOND), SECOND * 20, "a further answer extends it");
    pause.begin(now, Duration::MAX, 1.0);
    assert!(pause.remaining(now) <= Duration::from_secs(3_601));
}

#[test]
fn hosts_come_back_spread_over_time_and_none_too_early() {
    let now = Instant::now();
    let back = (0..=10).map(|host| {
        let mut pause = Pause::default();
        pause.begin(now, SECOND * 2, f64::from(host) / 10.0);
        pause.remaining(now)
    });
    let back: Vec<Duration> = back.collect();
    assert_eq!(back[0], SECOND * 2);
    assert_eq!(back[10], Duration::from_millis(2_500));
    assert!(back.windows(2).all(|pair| pair[0] < pair[1]), "{back:?}");
}

/// The requests that a brittle server can turn away in a second.
const REJECTIONS: u32 = 5;

/// Seven hosts of which each sends on as soon as it may, to servers that turn every request away.
#[test]
fn all_hosts_together_are_turned_away_less_often_than_a_brittle_server_bears() {
    const HOSTS: usize = 7;
    let start = Instant::now();
    let mut turned_away: BTreeMap<String, usize> = BTreeMap::new();
    for _ in 0..HOSTS {
        let mut host = balancer(start);
        host.set_host_count(HOSTS);
        host.record_brittle(start, start, Some(REJECTIONS));
        let counts = play(&mut host, start, SECOND * 10, |_, _, _| End::Rejected);
        counts
            .into_iter()
            .for_each(|(server, count)| *turned_away.entry(server).or_default() += count);
    }
    let most = turned_away.values().max().copied().unwrap_or(0);
    assert!(most <= REJECTIONS as usize * 10, "{turned_away:?}");
    assert!(most > 0);
}

#[test]
fn an_answer_that_says_nothing_of_it_ends_the_care_for_brittle_servers() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut host = balancer(start);
    let most = |host: &mut Balancer, now: Instant| {
        let placed: Vec<_> = std::iter::from_fn(|| place(host, now).ok()).collect();
        placed.iter().for_each(|placement| host.end(now, placement, End::Served));
        placed.len()
    };
    let usual = most(&mut host, start);
    host.record_brittle(at(10), at(5), Some(REJECTIONS));
    let careful = most(&mut host, at(11));
    assert!(careful < SERVERS * 6 && careful > 0, "{careful} of {usual}");
    // The request was sent before a server last said that it is brittle.
    host.record_brittle(at(12), at(8), None);
    assert_eq!(most(&mut host, at(13)), careful);
    host.record_brittle(at(15), at(14), None);
    assert_eq!(most(&mut host, at(16)), usual);
}

/// Guards against an entry at another server's address that gets request after request.
#[test]
fn pauses_of_an_entry_at_another_servers_address_get_longer_up_to_a_minute() {
    let start = Instant::now();
    let (mut pause, mut now) = (Pause::default(), start);
    for seconds in [1, 2, 4, 8, 16, 32, 60, 60] {
        pause.misdirect(now, 0.0);
        assert_eq!(pause.remaining(now), SECOND * seconds);
        now += SECOND * seconds;
        assert!(pause.remaining(now).is_zero());
    }
}
