//! Learned speed of plain servers, on servers whose responses take longer beyond some concurrency.

use std::time::{Duration, Instant};

use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use wasabi_core::member::{Member, Phase};
use wasabi_policy::balancer::{Balancer, End, Placement, PlacementRequest};

const SLOTS: u32 = 8;
const BASE_MS: f64 = 40.0;
/// Responses within this are on time.
const TARGET_MS: f64 = 100.0;

/// A server: the factor on its response time without load, and the concurrency from which on the time
/// grows in proportion.
#[derive(Clone, Copy)]
struct Server {
    slowness: f64,
    bend: f64,
}

const TYPICAL: Server = Server { slowness: 1.0, bend: SLOTS as f64 };

struct Site {
    balancer: Balancer,
    now: Instant,
    servers: Vec<Server>,
    running: Vec<u32>,
    ends: Vec<(Instant, Placement)>,
    random: StdRng,
    /// Requests sent to each server, and those on time, since they were last taken.
    sent: Vec<u32>,
    in_time: u32,
}

impl Site {
    fn new(servers: &[Server]) -> Self {
        let now = Instant::now();
        let member = |number: usize| Member {
            id: format!("s{number}").parse().expect("a name"),
            born_ms: 1,
            service: "web".parse().expect("a name"),
            address: "127.0.0.1:1".parse().expect("an address"),
            domain: "d1".parse().expect("a name"),
            slots: SLOTS,
            build: Default::default(),
            phase: Phase::Ready,
            reclaimable: false,
        };
        let mut balancer = Balancer::new("d1".parse().expect("a name"));
        balancer.set_learns_speed(true);
        let members: Vec<Member> = (0..servers.len()).map(member).collect();
        balancer.set_servers(now, None, &members);
        Self {
            balancer,
            now,
            servers: servers.to_vec(),
            running: vec![0; servers.len()],
            ends: Vec::new(),
            random: StdRng::seed_from_u64(11),
            sent: vec![0; servers.len()],
            in_time: 0,
        }
    }

    /// Lets `seconds` pass with `rate` requests a second; returns the share on time, and the share of the
    /// requests that each server got.
    fn run(&mut self, seconds: u64, rate: f64) -> (f64, Vec<f64>) {
        (self.sent, self.in_time) = (vec![0; self.servers.len()], 0);
        let end = self.now + Duration::from_secs(seconds);
        while self.now < end {
            self.now += Duration::from_secs_f64(self.random.random_range(0.2..1.8) / rate);
            self.end_due();
            self.send();
        }
        let all: f64 = self.sent.iter().sum::<u32>().into();
        let shares = self.sent.iter().map(|sent| f64::from(*sent) / all).collect();
        (f64::from(self.in_time) / all, shares)
    }

    fn send(&mut self) {
        let ask = PlacementRequest {
            prompt: None,
            max_wait: Duration::from_secs(1),
            target_gap: None,
            urgency: 3,
            build: None,
            excluded: &[],
            avoid: &[],
            refused: &[],
        };
        let place = self.balancer.place(self.now, &ask).expect("a place");
        let index = index(&place);
        self.running[index] += 1;
        let Server { slowness, bend } = self.servers[index];
        let growth = (f64::from(self.running[index]) / bend).max(1.0);
        let noise = self.random.random_range(-0.5_f64..0.5).exp();
        let took_ms = BASE_MS * slowness * growth * noise;
        self.sent[index] += 1;
        self.in_time += u32::from(took_ms <= TARGET_MS);
        self.ends.push((self.now + Duration::from_secs_f64(took_ms / 1e3), place));
    }

    fn end_due(&mut self) {
        let now = self.now;
        self.ends.sort_by_key(|(at, _)| *at);
        let later = self.ends.split_off(self.ends.partition_point(|(at, _)| *at <= now));
        for (at, place) in std::mem::replace(&mut self.ends, later) {
            self.running[index(&place)] -= 1;
            self.balancer.record_first_output(at, &place);
            self.balancer.end(at, &place, End::Served);
        }
    }
}

fn index(place: &Placement) -> usize {
    place.member.id.as_str().trim_start_matches('s').parse().expect("a number")
}

/// Load: 300 requests a second, which keep about 12 running at four servers of 8 slots, one of which
/// takes 3 times as long, so that most of its responses are late. It must get few of them.
#[test]
fn a_slower_server_gets_less() {
    let mut site = Site::new(&[TYPICAL, Server { slowness: 3.0, ..TYPICAL }, TYPICAL, TYPICAL]);
    site.run(20, 300.0);
    let (in_time, shares) = site.run(60, 300.0);
    assert!(in_time >= 0.95, "{in_time} {shares:?}");
    assert!((0.001..0.06).contains(&shares[1]), "{shares:?}");
}

/// Load: 450 requests a second, which keep 4 to 5 running at each of four servers of 8 slots, two of
/// which take only two at a time well. Their responses must not be late while the others have room.
#[test]
fn a_server_that_bends_before_it_is_full_gets_what_it_takes_well() {
    let bending = Server { bend: 2.0, ..TYPICAL };
    let mut site = Site::new(&[TYPICAL, bending, bending, TYPICAL]);
    site.run(20, 450.0);
    let (in_time, shares) = site.run(60, 450.0);
    assert!(in_time >= 0.93, "{in_time} {shares:?}");
    assert!(shares[1] > 0.03 && shares[2] > 0.03, "{shares:?}");
}

/// Load: 350 requests a second at four alike servers whose response times scatter by a factor of 2.7.
/// Each must get its part all the time: differences by chance are not differences of speed.
#[test]
fn alike_servers_share_the_load_evenly() {
    let mut site = Site::new(&[TYPICAL; 4]);
    for second in (0..60).step_by(5) {
        let (_, shares) = site.run(5, 350.0);
        assert!(shares.iter().all(|share| (0.19..0.33).contains(share)), "{second} {shares:?}");
    }
}

/// Load: a server that took 3 times as long recovers. It gets its part again within a minute: few
/// requests reach it until then, and old response times have to be forgotten.
#[test]
fn a_server_that_recovers_gets_its_part_again() {
    let mut site = Site::new(&[TYPICAL, Server { slowness: 3.0, ..TYPICAL }, TYPICAL, TYPICAL]);
    site.run(30, 300.0);
    site.servers[1] = TYPICAL;
    site.run(40, 300.0);
    let (_, shares) = site.run(20, 300.0);
    assert!(shares[1] > 0.15, "{shares:?}");
}

/// Load: all servers of a service bend at a quarter of their slots, close to what they can answer. None
/// may be shut out, and nothing is refused for which they have slots.
#[test]
fn a_service_whose_servers_all_bend_is_still_used() {
    let mut site = Site::new(&[Server { bend: 2.0, ..TYPICAL }; 3]);
    let (_, shares) = site.run(30, 125.0);
    assert!(shares.iter().all(|share| *share > 0.2), "{shares:?}");
}
