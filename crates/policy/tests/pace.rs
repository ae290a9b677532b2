//! Limits that servers name for all hosts together, over fleets of different sizes.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use wasabi_core::{
    member::{Member, Phase},
    units::{HostId, RequestRate},
};
use wasabi_policy::{
    balancer::{Balancer, End, PlacementRequest, Refusal},
    pace::{self, Fleet},
};

const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(10);
/// The span in which a server may get one and a half times its limit, and five requests more.
const SPAN: Duration = Duration::from_secs(4);

fn allowed(rate: f64) -> usize {
    (1.5 * rate * SPAN.as_secs_f64() + 5.0) as usize
}

fn member(id: &str) -> Member {
    Member {
        id: id.parse().expect("a name"),
        born_ms: 1,
        service: "app".parse().expect("a name"),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "d1".parse().expect("a name"),
        slots: 600,
        build: Default::default(),
        phase: Phase::Ready,
        reclaimable: false,
    }
}

fn hosts(count: usize) -> Vec<HostId> {
    (0..count).map(|number| format!("h{number}").parse().expect("a name")).collect()
}

fn fleet(hosts: &[HostId], me: usize) -> Fleet {
    let others = hosts.iter().enumerate().filter(|(number, _)| *number != me);
    Fleet::new(hosts[me].clone(), others.map(|(_, host)| host.clone()).collect())
}

/// A fleet whose hosts all place as much as they can on one server.
struct Play {
    hosts: Vec<HostId>,
    balancers: Vec<Balancer>,
    sent: Vec<Instant>,
}

impl Play {
    fn new(start: Instant, count: usize) -> Self {
        let balancer = |_| {
            let mut balancer = Balancer::new("d1".parse().expect("a name"));
            balancer.set_servers(start, None, &[member("s1")]);
            balancer
        };
        Self {
            hosts: hosts(count),
            balancers: (0..count).map(balancer).collect(),
            sent: Vec::new(),
        }
    }

    fn set_limit(&mut self, now: Instant, rate: Option<RequestRate>) {
        for (number, balancer) in self.balancers.iter_mut().enumerate() {
            balancer.share_limits(now, &fleet(&self.hosts, number), |_| rate);
        }
    }

    fn run(&mut self, start: Instant, length: Duration) {
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
        let mut now = start;
        while now < start + length {
            for balancer in &mut self.balancers {
                while let Ok(placement) = balancer.place(now, &request) {
                    balancer.end(now, &placement, End::Served);
                    self.sent.push(now);
                    if self.sent.len() > 100_000 {
                        return;
                    }
                }
            }
            now += STEP;
        }
    }

    fn most_in_a_span(&self) -> usize {
        self.most_within(SPAN)
    }

    fn most_within(&self, span: Duration) -> usize {
        let in_span = |start: Instant| {
            self.sent.iter().filter(|at| (start..start + span).contains(*at)).count()
        };
        self.sent.iter().map(|start| in_span(*start)).max().unwrap_or(0)
    }
}

#[test]
fn fleets_of_all_sizes_keep_a_limit_and_use_it() {
    let start = Instant::now();
    for count in [1, 2, 7, 30, 89, 360] {
        for per_second in [0.0, 0.4, 1.5, 3.5, 20.0, 75.0] {
            let mut play = Play::new(start, count);
            play.set_limit(start, RequestRate::new(per_second));
            play.run(start, SECOND * 30);
            let most = play.most_in_a_span();
            let allowed = allowed(per_second);
            assert!(most <= allowed, "{count} hosts, {per_second}/s: {most}, allowed {allowed}");
            let least = (per_second * 30.0 * 0.8) as usize;
            let all = play.sent.len();
            assert!(all >= least, "{count} hosts, {per_second}/s: {all} in 30 s");
        }
    }
}

#[test]
fn a_limit_is_kept_after_a_quiet_time_and_through_changes() {
    let start = Instant::now();
    let mut play = Play::new(start, 7);
    play.set_limit(start, RequestRate::new(9.0));
    play.run(start, SECOND * 10);
    let lower = start + SECOND * 40;
    play.set_limit(lower, RequestRate::new(1.5));
    play.sent.clear();
    play.run(lower, SECOND * 20);
    let most = play.most_in_a_span();
    assert!(most <= allowed(1.5), "{most} after the limit fell, allowed {}", allowed(1.5));
    let end = lower + SECOND * 20;
    play.set_limit(end, None);
    play.sent.clear();
    play.run(end, STEP);
    assert!(play.sent.len() > 10_000, "no limit any more: {}", play.sent.len());
}

#[test]
fn senders_that_change_with_the_fleet_save_nothing_up() {
    let start = Instant::now();
    let mut play = Play::new(start, 20);
    play.set_limit(start, RequestRate::new(3.5));
    play.run(start, SECOND * 8);
    // A host goes, and its part passes to another one.
    for gone in 0..5 {
        play.hosts.remove(0);
        play.balancers.remove(0);
        let now = start + SECOND * (8 + 10 * gone);
        play.set_limit(now, RequestRate::new(3.5));
        play.run(now, SECOND * 10);
    }
    let most = play.most_in_a_span();
    assert!(most <= allowed(3.5), "{most}, allowed {}", allowed(3.5));
}

#[test]
fn a_service_at_its_limits_is_refused_with_the_time_until_a_server_takes_a_request() {
    let start = Instant::now();
    let mut play = Play::new(start, 1);
    play.set_limit(start, RequestRate::new(0.5));
    play.run(start, SECOND * 10);
    let now = start + SECOND * 10;
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
    let Err(Refusal::Paused(wait)) = play.balancers[0].place(now, &request) else {
        panic!("the server is at its limit");
    };
    assert!(wait > Duration::ZERO && wait <= SECOND * 2, "{wait:?}");
    assert!(play.balancers[0].place(now + wait, &request).is_ok());
}

#[test]
fn each_server_has_senders_of_its_own() {
    let start = Instant::now();
    let hosts = hosts(89);
    let servers: Vec<Member> = (0..40).map(|number| member(&format!("s{number}"))).collect();
    let mut senders: BTreeMap<usize, usize> = BTreeMap::new();
    for number in 0..hosts.len() {
        let mut balancer = Balancer::new("d1".parse().expect("a name"));
        balancer.set_servers(start, None, &servers);
        balancer.share_limits(start, &fleet(&hosts, number), |_| RequestRate::new(3.0));
        let now = start + SECOND * 60;
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
        while let Ok(placement) = balancer.place(now, &request) {
            balancer.end(now, &placement, End::Served);
            *senders.entry(number).or_default() += 1;
        }
    }
    assert!(senders.len() > 60, "of 89 hosts only {} may send at all", senders.len());
}

#[test]
fn a_burst_at_all_hosts_of_a_large_fleet_after_a_quiet_time_keeps_a_limit() {
    let start = Instant::now();
    for count in [30, 89, 360] {
        let mut play = Play::new(start, count);
        play.set_limit(start, RequestRate::new(3.5));
        play.run(start + SECOND * 60, SECOND * 10);
        let most = play.most_in_a_span();
        assert!(most <= allowed(3.5), "{count} hosts: {most}, allowed {}", allowed(3.5));
    }
}

/// Guards against a cold server that falls over because hosts together exceed in one second what it
/// tolerates, also when it turns cold under full load and when hosts come and go.
#[test]
fn a_cold_server_gets_no_more_in_any_second_than_it_tolerates() {
    let start = Instant::now();
    for count in [1, 2, 7, 30, 61, 360] {
        for (tolerated, overage, slack) in [(9.8, 1.5, 5.0), (2.0, 1.5, 5.0), (30.0, 1.2, 0.0)] {
            let most = tolerated * overage + slack;
            let rate = RequestRate::new(tolerated).expect("a rate");
            let shared = pace::rate_within(rate, most);
            let mut play = Play::new(start, count);
            play.set_limit(start, Some(shared));
            play.run(start, SECOND * 6);
            // A third of the hosts restart, so they know nothing of what they have sent.
            let again = start + SECOND * 6;
            for balancer in play.balancers.iter_mut().take(count / 3) {
                *balancer = Balancer::new("d1".parse().expect("a name"));
                balancer.set_servers(again, None, &[member("s1")]);
            }
            play.set_limit(again, Some(shared));
            play.run(again, SECOND * 6);
            let seen = play.most_within(SECOND);
            assert!(seen as f64 <= most, "{count} hosts, {tolerated}/s: {seen}, allowed {most}");
            let least = shared.per_second() * 12.0 * 0.8;
            let all = play.sent.len();
            assert!(all as f64 >= least, "{count} hosts, {tolerated}/s: {all} in 12 s");
        }
    }
}
