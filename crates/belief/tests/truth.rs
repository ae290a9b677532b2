//! The true time of day over clocks that jump.

use std::time::{Duration, Instant};

use wasabi_belief::truth::Truth;
use wasabi_core::units::HostId;

const SECOND: Duration = Duration::from_secs(1);
const HOSTS: usize = 7;

fn host(number: usize) -> HostId {
    format!("h{number}").parse().expect("a name")
}

/// Hears all hosts at `at` seconds, of which the first `wrong` are off by `step_ms`.
fn hear(truth: &mut Truth, start: Instant, at: u64, wrong: usize, step_ms: i64) {
    for number in 0..HOSTS {
        let step = if number < wrong { step_ms } else { 0 };
        let wall = 1_000_000 + at as i64 * 1_000 + step;
        truth.heard(start + SECOND * at as u32, &host(number), wall as u64);
    }
}

fn at(truth: &Truth, start: Instant, seconds: u64) -> i64 {
    truth.now_ms(start + SECOND * seconds as u32) as i64 - 1_000_000 - seconds as i64 * 1_000
}

/// Most clocks, or all, are off for some seconds.
#[test]
fn a_jump_of_most_clocks_changes_nothing() {
    for (wrong, step_ms) in [(4, -4_000), (7, -4_000), (4, 8_000), (7, 3_000)] {
        let start = Instant::now();
        let mut truth = Truth::new(start);
        for second in 0..40 {
            let off = if (10..20).contains(&second) { wrong } else { 0 };
            hear(&mut truth, start, second, off, step_ms);
            assert_eq!(at(&truth, start, second), 0, "{wrong} off by {step_ms} at {second}");
        }
    }
}

#[test]
fn a_host_that_starts_among_wrong_clocks_learns_the_time_from_its_peers() {
    let start = Instant::now();
    let mut truth = Truth::new(start);
    hear(&mut truth, start, 0, HOSTS, 4_000);
    truth.told(start, 1_000_000, SECOND * 30);
    for second in 1..9 {
        hear(&mut truth, start, second, HOSTS, 4_000);
        assert_eq!(at(&truth, start, second), 0);
    }
    let now = start + SECOND * 9;
    truth.told(now, 1_009_000 + 5_000, SECOND * 5);
    assert_eq!(at(&truth, start, 9), 0, "a time that was held for less does not replace it");
    assert!(truth.held(now) >= SECOND * 39);
}

#[test]
fn clocks_that_keep_contradicting_it_are_followed_in_the_end() {
    let start = Instant::now();
    let mut truth = Truth::new(start);
    hear(&mut truth, start, 0, 0, 0);
    for second in 5..64 {
        hear(&mut truth, start, second, HOSTS, 5_000);
    }
    assert_eq!(at(&truth, start, 63), 0);
    hear(&mut truth, start, 66, HOSTS, 5_000);
    assert_eq!(at(&truth, start, 66), 5_000);
    let small = start + SECOND * 67;
    for number in 0..HOSTS {
        truth.heard(small, &host(number), 1_067_000 + 5_100);
    }
    assert_eq!(at(&truth, start, 67), 5_100, "small corrections are followed at once");
}
