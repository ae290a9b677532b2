//! The lease state machine against an in-memory store, under generated schedules of faults.

use std::time::{Duration, Instant};

use quickcheck::{QuickCheck, TestResult};
use wasabi_belief::lease::{Lease, Record, StoreCall, Times, is_candidate};
use wasabi_core::units::{HostId, Incarnation, Version};

const LENGTH: Duration = Duration::from_millis(3_000);

fn times() -> Times {
    Times { length: LENGTH, margin: LENGTH / 4, renew_interval: LENGTH / 3, cooldown: LENGTH * 2 }
}

fn lease(name: &str, started_at: Instant) -> Lease {
    let host: HostId = name.parse().expect("a name");
    let incarnation = Incarnation::fresh(&host);
    Lease::new(host, incarnation, times(), started_at)
}

#[derive(Default)]
struct Store {
    record: Option<(Version, Record)>,
    count: u64,
}

impl Store {
    /// A write that changes nothing makes no version.
    fn write(&mut self, expected: Option<Version>, record: &Record) -> Result<Version, ()> {
        if self.record.as_ref().map(|(version, _)| *version) != expected {
            return Err(());
        }
        if let Some((version, same)) = &self.record
            && same == record
        {
            return Ok(*version);
        }
        self.count += 1;
        self.record = Some((Version(self.count), record.clone()));
        Ok(Version(self.count))
    }
}

/// The number of the host that held the lease first under each fencing token.
type Holders = std::collections::BTreeMap<u64, usize>;

/// Returns what is wrong if two hosts hold the lease now, or one holds it under the token of another.
fn holder_problem(hosts: &[Lease], now: Instant, holders: &mut Holders) -> Option<String> {
    let holding: Vec<usize> = (0..hosts.len()).filter(|h| hosts[*h].fence(now).is_some()).collect();
    if holding.len() > 1 {
        return Some(format!("{holding:?} hold it"));
    }
    let fence = hosts[*holding.first()?].fence(now)?.0;
    let first = *holders.entry(fence).or_insert(holding[0]);
    (first != holding[0]).then(|| format!("fencing token {fence} has two holders"))
}

/// What happens to a host and its store call in one tick.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// The call is lost on its way to the store.
    CallLost,
    /// The call takes effect and its answer is lost.
    AnswerLost,
    /// The host is paused during this tick.
    Paused,
}

fn tick(lease: &mut Lease, store: &mut Store, now: Instant, peer_holds: bool, fault: Fault) {
    if fault == Fault::Paused {
        return;
    }
    lease.expire(now);
    let call = lease.next_call(now, peer_holds);
    let (expected, record) = match call {
        StoreCall::Wait => return,
        StoreCall::Read => {
            if fault == Fault::None {
                lease.on_read(now, store.record.clone());
            }
            return;
        }
        StoreCall::Create(record) => (None, record),
        StoreCall::Replace(version, record) => (Some(version), record),
    };
    if fault == Fault::CallLost {
        return lease.on_unanswered(now);
    }
    let written = store.write(expected, &record);
    match written {
        _ if fault == Fault::AnswerLost => lease.on_unanswered(now),
        Ok(version) => lease.on_written(now, now, version, record),
        Err(()) => lease.on_conflict(now, store.record.clone()),
    }
}

/// Lets the host make its calls each 100 ms, at `since` and so many milliseconds later.
fn tick_during(lease: &mut Lease, store: &mut Store, since: Instant, ms: std::ops::Range<u64>) {
    for ms in ms.step_by(100) {
        tick(lease, store, since + Duration::from_millis(ms), false, Fault::None);
    }
}

fn release(lease: &Lease, store: &mut Store, now: Instant) {
    let (version, record) = lease.release_write(now).expect("it is held");
    store.write(Some(version), &record).expect("nobody else wrote");
}

#[test]
fn a_lease_is_kept_while_renewed_and_taken_over_after_expiry() {
    let start = Instant::now();
    let mut store = Store::default();
    let (mut a, mut b) = (lease("a", start), lease("b", start));
    for ms in (0..10_000).step_by(100) {
        let now = start + Duration::from_millis(ms);
        tick(&mut a, &mut store, now, false, Fault::None);
        tick(&mut b, &mut store, now, false, Fault::None);
        assert!(b.fence(now).is_none());
    }
    let now = start + Duration::from_secs(10);
    let before = a.fence(now).expect("a holds it");
    let mut taken = None;
    for ms in (0..6_000).step_by(100) {
        let now = now + Duration::from_millis(ms);
        tick(&mut b, &mut store, now, false, Fault::None);
        assert!(a.fence(now).is_none() || b.fence(now).is_none(), "both hold it at {ms} ms");
        if taken.is_none() {
            taken = b.fence(now);
        }
    }
    assert!(taken.expect("b has taken it") > before);
}

#[test]
fn another_host_takes_a_released_lease_at_once() {
    let start = Instant::now();
    let mut store = Store::default();
    let (mut a, mut b) = (lease("a", start), lease("b", start));
    tick_during(&mut a, &mut store, start, 0..3_000);
    let now = start + LENGTH;
    release(&a, &mut store, now);
    tick_during(&mut b, &mut store, now, 0..500);
    assert!(b.fence(now + Duration::from_millis(500)).is_some());
}

/// What the former incarnation of a host did less than a lease length ago, it does not know.
#[test]
fn a_host_that_starts_again_leaves_a_released_lease_alone_for_a_lease_length() {
    let start = Instant::now();
    let mut store = Store::default();
    let (mut a, mut b) = (lease("a", start), lease("b", start));
    tick_during(&mut a, &mut store, start, 0..3_000);
    let mut now = start + LENGTH;
    release(&a, &mut store, now);
    for _ in 0..2 {
        tick(&mut b, &mut store, now, false, Fault::None);
        now += LENGTH / 3;
    }
    release(&b, &mut store, now);
    let mut again = lease("a", now);
    for ms in (0..2_900).step_by(100) {
        let at = now + Duration::from_millis(ms);
        tick(&mut again, &mut store, at, false, Fault::None);
        assert_eq!(again.fence(at), None, "taken {ms} ms after its start");
    }
    tick_during(&mut again, &mut store, now, 2_900..4_000);
    assert!(again.fence(now + Duration::from_millis(4_000)).is_some());
}

/// Calls of the former incarnation may still be on their way.
#[test]
fn a_host_that_starts_again_waits_until_its_former_lease_has_expired() {
    let start = Instant::now();
    let mut store = Store::default();
    let mut a = lease("a", start);
    tick_during(&mut a, &mut store, start, 0..1_000);
    let now = start + Duration::from_secs(1);
    let mut again = lease("a", now);
    for ms in (0..2_900).step_by(100) {
        let at = now + Duration::from_millis(ms);
        tick(&mut again, &mut store, at, false, Fault::None);
        assert_eq!(again.fence(at), None, "taken {ms} ms after its start");
    }
}

#[test]
fn the_lease_is_released_only_when_its_calls_are_over() {
    let start = Instant::now();
    let mut store = Store::default();
    let mut a = lease("a", start);
    tick_during(&mut a, &mut store, start, 0..1_000);
    let now = start + Duration::from_secs(1);
    assert!(a.begin_call(now).is_some());
    a.begin_release();
    assert_eq!(a.begin_call(now), None, "a call began while the duties were given back");
    assert_eq!(a.release_write(now), None);
    a.end_call();
    assert!(a.release_write(now).is_some());
}

#[test]
fn a_call_has_to_be_over_before_another_host_can_be_the_holder() {
    let start = Instant::now();
    let mut store = Store::default();
    let mut a = lease("a", start);
    tick_during(&mut a, &mut store, start, 0..1_000);
    let renewed = start + Duration::from_millis(800);
    let permit = a.begin_call(start + Duration::from_millis(2_000)).expect("it is held");
    assert!(permit.until <= renewed + LENGTH - times().margin, "{permit:?}");
}

#[test]
fn a_host_that_lost_the_lease_stays_away_during_the_cooldown() {
    let start = Instant::now();
    let mut store = Store::default();
    let mut a = lease("a", start);
    tick_during(&mut a, &mut store, start, 0..1_000);
    let now = start + Duration::from_secs(1);
    a.on_fenced(now);
    assert!(a.fence(now).is_none());
    assert_eq!(a.next_call(now + LENGTH, false), StoreCall::Wait);
}

#[test]
fn with_lost_calls_and_pauses_at_most_one_host_acts_and_no_fence_has_two_holders() {
    fn property(seed: Vec<u8>) -> TestResult {
        if seed.len() < 40 {
            return TestResult::discard();
        }
        let start = Instant::now();
        let mut store = Store::default();
        let mut hosts = [lease("a", start), lease("b", start), lease("c", start)];
        let mut holders = Holders::default();
        for (i, byte) in seed.iter().cycle().take(600).enumerate() {
            let now = start + Duration::from_millis(i as u64 * 100);
            for (h, lease) in hosts.iter_mut().enumerate() {
                let fault = match byte.rotate_left(h as u32 * 3) % 8 {
                    0 => Fault::CallLost,
                    1 => Fault::AnswerLost,
                    2 | 3 => Fault::Paused,
                    _ => Fault::None,
                };
                tick(lease, &mut store, now, false, fault);
            }
            if let Some(problem) = holder_problem(&hosts, now, &mut holders) {
                return TestResult::error(format!("{problem} at tick {i}"));
            }
        }
        TestResult::passed()
    }
    QuickCheck::new().tests(200).quickcheck(property as fn(Vec<u8>) -> TestResult);
}

/// Hosts hear each other's tokens, and notice a restore of the store with its next answer.
#[test]
fn with_restores_too_at_most_one_host_acts_and_no_fence_has_two_holders() {
    fn property(seed: Vec<u8>) -> TestResult {
        if seed.len() < 40 {
            return TestResult::discard();
        }
        let start = Instant::now();
        let mut store = Store::default();
        let mut history: Vec<Option<(Version, Record)>> = Vec::new();
        let mut era = 0;
        let mut hosts = [lease("a", start), lease("b", start), lease("c", start)];
        let mut eras = [0; 3];
        let mut holders = Holders::default();
        for (i, byte) in seed.iter().cycle().take(900).enumerate() {
            let now = start + Duration::from_millis(i as u64 * 100);
            history.push(store.record.clone());
            if i % 97 == 96 {
                // The copy is some seconds old; versions are given out again from there.
                let age = 1 + usize::from(*byte) % 60;
                store.record = history[history.len().saturating_sub(age)].clone();
                store.count = store.record.as_ref().map_or(0, |(version, _)| version.0);
                era += 1;
            }
            for h in 0..hosts.len() {
                let fault = match byte.rotate_left(h as u32 * 3) % 8 {
                    0 => Fault::CallLost,
                    1 => Fault::AnswerLost,
                    2 => Fault::Paused,
                    _ => Fault::None,
                };
                tick(&mut hosts[h], &mut store, now, false, fault);
                if fault == Fault::None && eras[h] != era {
                    eras[h] = era;
                    hosts[h].on_restored(now);
                }
            }
            let highest = hosts.iter().map(Lease::highest_fence).max();
            highest
                .into_iter()
                .for_each(|fence| hosts.iter_mut().for_each(|h| h.note_fence(fence)));
            if let Some(problem) = holder_problem(&hosts, now, &mut holders) {
                return TestResult::error(format!("{problem} at tick {i}"));
            }
        }
        TestResult::passed()
    }
    QuickCheck::new().tests(200).quickcheck(property as fn(Vec<u8>) -> TestResult);
}

#[test]
fn a_few_hosts_try_to_take_the_duties_first_and_then_more() {
    let hosts: Vec<HostId> =
        (0..195).map(|number| format!("h{number}").parse().expect("a name")).collect();
    let candidates = |waited: Duration| {
        let others = |me| hosts.iter().filter(move |host| *host != me);
        hosts.iter().filter(|me| is_candidate(me, others(*me), waited)).count()
    };
    assert_eq!(candidates(Duration::ZERO), 4);
    assert_eq!(candidates(Duration::from_millis(1_900)), 8);
    assert_eq!(candidates(Duration::from_secs(6)), 195);
    assert_eq!(candidates(Duration::from_secs(1_000_000)), 195);
    assert!(is_candidate(&hosts[0], [].into_iter(), Duration::ZERO));
}

/// A write that changes nothing is a renewal for nobody but its writer.
#[test]
fn a_renewal_after_one_whose_answer_was_lost_changes_the_record() {
    let start = Instant::now();
    let mut store = Store::default();
    let mut holder = lease("h1", start);
    holder.on_read(start, None);
    let StoreCall::Create(record) = holder.next_call(start, false) else { panic!("no write") };
    let version = store.write(None, &record).expect("it is created");
    holder.on_written(start, start, version, record);
    let due = start + times().renew_interval;
    let StoreCall::Replace(version, lost) = holder.next_call(due, false) else {
        panic!("no write")
    };
    store.write(Some(version), &lost).expect("it takes effect");
    holder.on_unanswered(due);
    let StoreCall::Replace(version, again) = holder.next_call(due, false) else {
        panic!("no write")
    };
    assert!(store.write(Some(version), &again).is_err());
    holder.on_conflict(due, store.record.clone());
    let StoreCall::Replace(version, next) = holder.next_call(due, false) else {
        panic!("no write")
    };
    let renewed = store.write(Some(version), &next).expect("it takes effect");
    assert!(renewed > version, "{next:?} changes nothing");
}
