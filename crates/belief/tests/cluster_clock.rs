//! The cluster time while wall clocks jump.

use std::time::{Duration, Instant};

use wasabi_belief::cluster_clock::ClusterClock;
use wasabi_core::units::HostId;

const SECOND: Duration = Duration::from_secs(1);
const HOSTS: usize = 7;

fn host(number: usize) -> HostId {
    format!("h{number}").parse().expect("a name")
}

/// Records the wall clocks of all hosts at `at` seconds; the first `wrong` are off by `step_ms`.
fn record_clocks(clock: &mut ClusterClock, start: Instant, at: u64, wrong: usize, step_ms: i64) {
    for number in 0..HOSTS {
        let step = if number < wrong { step_ms } else { 0 };
        let wall = 1_000_000 + at as i64 * 1_000 + step;
        clock.observe_wall_clock(start + SECOND * at as u32, &host(number), wall as u64);
    }
}

/// The error of the cluster time at `seconds`, in milliseconds.
fn error_ms(clock: &ClusterClock, start: Instant, seconds: u64) -> i64 {
    clock.now_ms(start + SECOND * seconds as u32) as i64 - 1_000_000 - seconds as i64 * 1_000
}

/// Most wall clocks, or all, are off for ten seconds.
#[test]
fn a_short_jump_of_most_clocks_is_ignored() {
    for (wrong, step_ms) in [(4, -4_000), (7, -4_000), (4, 8_000), (7, 3_000)] {
        let start = Instant::now();
        let mut clock = ClusterClock::new(start);
        for second in 0..40 {
            let off = if (10..20).contains(&second) { wrong } else { 0 };
            record_clocks(&mut clock, start, second, off, step_ms);
            assert_eq!(error_ms(&clock, start, second), 0, "{wrong} off by {step_ms} at {second}");
        }
    }
}

#[test]
fn a_host_that_starts_among_wrong_clocks_learns_the_time_from_its_peers() {
    let start = Instant::now();
    let mut clock = ClusterClock::new(start);
    record_clocks(&mut clock, start, 0, HOSTS, 4_000);
    clock.observe_peer_time(start, 1_000_000, SECOND * 30);
    for second in 1..9 {
        record_clocks(&mut clock, start, second, HOSTS, 4_000);
        assert_eq!(error_ms(&clock, start, second), 0);
    }
    let now = start + SECOND * 9;
    clock.observe_peer_time(now, 1_009_000 + 5_000, SECOND * 5);
    assert_eq!(
        error_ms(&clock, start, 9),
        0,
        "a time that was held for less time does not replace it"
    );
    assert!(clock.held_for(now) >= SECOND * 39);
}

#[test]
fn a_lasting_deviation_of_the_clocks_is_followed() {
    let start = Instant::now();
    let mut clock = ClusterClock::new(start);
    record_clocks(&mut clock, start, 0, 0, 0);
    for second in 5..64 {
        record_clocks(&mut clock, start, second, HOSTS, 5_000);
    }
    assert_eq!(error_ms(&clock, start, 63), 0);
    record_clocks(&mut clock, start, 66, HOSTS, 5_000);
    assert_eq!(error_ms(&clock, start, 66), 5_000);
    let small = start + SECOND * 67;
    for number in 0..HOSTS {
        clock.observe_wall_clock(small, &host(number), 1_067_000 + 5_100);
    }
    assert_eq!(error_ms(&clock, start, 67), 5_100, "small corrections are applied at once");
}
