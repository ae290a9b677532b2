//! Which connections are ended under each load of callers that do not read.

use std::time::{Duration, Instant};

use wasabi_policy::slow_callers::{Callers, Limits, MIN_WAIT};

const LIMITS: Limits =
    Limits { connections: 4, time: Duration::from_secs(15), lacks_memory: false };

/// Connections of which each begins to wait a millisecond after the one before.
fn waiting(count: u64, now: Instant) -> (Callers, Vec<u64>) {
    let mut callers = Callers::default();
    let numbers: Vec<u64> = (0..count).map(|_| callers.add()).collect();
    for (after, number) in numbers.iter().enumerate() {
        callers.record_blocked(now + Duration::from_millis(after as u64), *number);
    }
    (callers, numbers)
}

#[test]
fn callers_on_slow_links_are_left_alone() {
    let now = Instant::now();
    let (callers, _) = waiting(100, now);
    let limits = Limits { lacks_memory: true, ..LIMITS };
    assert!(callers.overdue(now + MIN_WAIT - Duration::from_millis(1), limits).is_empty());
}

#[test]
fn a_few_callers_may_wait_as_long_as_a_connection_may_be_idle() {
    let now = Instant::now();
    let (callers, numbers) = waiting(4, now);
    assert!(callers.overdue(now + Duration::from_secs(14), LIMITS).is_empty());
    assert_eq!(callers.overdue(now + Duration::from_secs(15), LIMITS), numbers[..1]);
    assert_eq!(callers.overdue(now + Duration::from_secs(16), LIMITS), numbers);
}

#[test]
fn of_too_many_the_longest_waiting_are_ended() {
    let now = Instant::now();
    let (callers, numbers) = waiting(10, now);
    assert_eq!(callers.overdue(now + MIN_WAIT * 2, LIMITS), numbers[..6]);
}

/// Guards against slow callers that hold the memory of all responses while others are refused.
#[test]
fn while_memory_lacks_half_of_the_waiting_are_ended() {
    let now = Instant::now();
    let (callers, numbers) = waiting(3, now);
    let limits = Limits { lacks_memory: true, ..LIMITS };
    assert_eq!(callers.overdue(now + MIN_WAIT * 2, limits), numbers[..2]);
}

#[test]
fn a_caller_that_reads_again_has_not_waited() {
    let now = Instant::now();
    let (mut callers, numbers) = waiting(5, now);
    // More waiting does not change since when it waits.
    callers.record_blocked(now + MIN_WAIT, numbers[1]);
    callers.record_taken(numbers[0]);
    callers.record_blocked(now + MIN_WAIT, numbers[0]);
    assert_eq!(callers.waiting(), 5);
    let limits = Limits { connections: 0, ..LIMITS };
    assert_eq!(
        callers.overdue(now + MIN_WAIT * 2 - Duration::from_millis(1), limits),
        numbers[1..]
    );
}
