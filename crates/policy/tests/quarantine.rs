//! Which features of requests are quarantined, by the runs that broke off and those that ended well.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use quickcheck::quickcheck;
use wasabi_core::units::PoolId;
use wasabi_policy::quarantine::{
    BrokenRun, Combination, Evidence, Feature, PROVISIONAL_QUARANTINE, QUARANTINE, View,
};

const SETTLED: Duration = Duration::from_millis(1_000);

fn service() -> PoolId {
    "llm".parse().expect("a name")
}

fn part(id: u64) -> Feature {
    Feature::part(&service(), id)
}

fn parts(ids: &[u64]) -> Vec<Feature> {
    ids.iter().map(|id| part(*id)).collect()
}

/// A run on `server` that was sent `lasted` before it broke off at `ended`.
fn broken(server: &str, ended: Instant, lasted: Duration, ids: &[u64]) -> BrokenRun {
    static NEXT: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(1);
    let id = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let server = server.parse().expect("a name");
    BrokenRun {
        id,
        service: service(),
        server,
        sent: ended - lasted,
        ended,
        features: parts(ids),
        controlled: false,
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Whether requests with this part are refused at `now`.
fn refused(view: &mut View, now: Instant, id: u64) -> bool {
    view.refresh(now);
    view.check(now, &parts(&[id])).is_some()
}

/// A start that lies far enough in the future for all times of a test.
fn start() -> Instant {
    Instant::now() + QUARANTINE * 10
}

/// Three crashes, 500 ms apart, of runs with the parts 1, 2 and 9; the parts 1 and 2 are proven in between.
fn three_crashes(view: &mut View, start: Instant) -> Instant {
    for crash in 0..3 {
        let ended = start + ms(500) * crash;
        view.record_broken(broken(&format!("s{crash}"), ended, ms(100), &[1, 2, 9]));
        view.record_sound(ended + ms(50), &service(), &parts(&[1, 2, 3]));
        view.record_broken(broken(
            &format!("s{crash}"),
            ended,
            ms(300),
            &[1, 4 + u64::from(crash)],
        ));
    }
    start + ms(1_000)
}

#[test]
fn the_part_that_explains_three_crashes_is_quarantined_and_no_other() {
    let (mut view, start) = (View::new(0.0), start());
    let last = three_crashes(&mut view, start);
    assert!(!refused(&mut view, start + ms(999), 9), "it has not settled");
    assert!(refused(&mut view, last, 9));
    for sound in [1, 2, 3, 4, 5, 6] {
        assert!(!refused(&mut view, last, sound), "part {sound}");
    }
    assert_eq!(view.refresh(last), Vec::new(), "nothing has changed");
}

#[test]
fn two_crashes_do_not_suffice() {
    let (mut view, start) = (View::new(0.0), start());
    for crash in 0..2 {
        view.record_broken(broken(&format!("s{crash}"), start + ms(500) * crash, ms(100), &[9]));
    }
    assert!(!refused(&mut view, start + ms(5_000), 9));
}

#[test]
fn runs_that_break_off_with_one_server_are_one_crash() {
    let (mut view, start) = (View::new(0.0), start());
    for run in 0..20 {
        view.record_broken(broken("s1", start + ms(run), ms(1_000), &[9]));
    }
    assert!(!refused(&mut view, start + ms(5_000), 9));
}

#[test]
fn servers_that_fail_at_once_are_one_crash_for_a_proven_part() {
    let (mut view, start) = (View::new(0.0), start());
    view.record_sound(start - ms(10_000), &service(), &parts(&[9]));
    for outage in 0..3 {
        for server in 0..20 {
            let ended = start + ms(2_000) * outage + ms(server);
            view.record_broken(broken(&format!("s{server}"), ended, ms(400), &[9]));
        }
    }
    assert!(!refused(&mut view, start + ms(9_000), 9));
}

#[test]
fn copies_of_a_request_that_crash_servers_at_once_are_held_back_soon_and_tried_again_soon() {
    let (mut view, start) = (View::new(0.0), start());
    for server in 0..3 {
        view.record_broken(broken(&format!("s{server}"), start + ms(server), ms(60), &[9]));
    }
    assert!(refused(&mut view, start + SETTLED, 9));
    let over = start + PROVISIONAL_QUARANTINE;
    assert!(refused(&mut view, over - ms(1), 9));
    assert!(!refused(&mut view, over, 9));
    view.record_sent(over, &parts(&[9]));
    view.record_sound(over, &service(), &parts(&[7]));
    view.record_broken(broken("s7", over + ms(60), ms(60), &[9]));
    assert!(refused(&mut view, over + QUARANTINE, 9), "crashes of two moments");
}

#[test]
fn a_part_that_another_host_has_proven_is_proven_everywhere() {
    let (mut here, mut there, start) = (View::new(0.0), View::new(0.0), start());
    there.record_sound(start - ms(10_000), &service(), &parts(&[9]));
    for server in 0..3 {
        here.record_broken(broken(&format!("s{server}"), start + ms(server), ms(60), &[9]));
    }
    let now = start + ms(100);
    there.merge(now, here.next_evidence(now), Some(now));
    here.merge(now, there.next_evidence(now), Some(now));
    assert!(!refused(&mut here, start + SETTLED, 9));
}

#[test]
fn outages_that_a_part_happens_to_meet_each_time_are_not_put_down_to_it() {
    let (mut view, start) = (View::new(0.0), start());
    for outage in 0..6 {
        let ended = start + ms(1_000) * outage;
        view.record_broken(broken("s0", ended, ms(100), &[9, 10]));
        for server in 1..4 {
            view.record_broken(broken(
                &format!("s{server}"),
                ended + ms(server),
                ms(100),
                &[server],
            ));
        }
    }
    assert!(!refused(&mut view, start + ms(9_000), 9));
}

#[test]
fn crashes_that_many_requests_met_alike_are_put_down_to_none() {
    let (mut view, start) = (View::new(0.0), start());
    for crash in 0..5 {
        for id in 10..16 {
            view.record_broken(broken(
                &format!("s{crash}"),
                start + ms(500) * crash,
                ms(90),
                &[id],
            ));
        }
    }
    assert!((10..16).all(|id| !refused(&mut view, start + ms(4_000), id)));
}

#[test]
fn of_two_requests_that_met_crashes_alike_the_sound_one_is_soon_let_through() {
    let (mut view, start) = (View::new(0.0), start());
    let crash = |view: &mut View, number: u64, ids: &[u64]| {
        let ended = start + ms(1_000) * number as u32;
        for id in ids {
            view.record_broken(broken(&format!("s{number}"), ended, ms(100), &[1, *id]));
        }
        view.record_sound(ended + ms(50), &service(), &parts(&[1]));
        ended
    };
    for number in 0..3 {
        crash(&mut view, number, &[8, 9]);
    }
    let last = start + ms(2_000);
    assert!(refused(&mut view, last, 8));
    assert!(refused(&mut view, last, 9));
    let over = last + PROVISIONAL_QUARANTINE;
    assert!(!refused(&mut view, over, 8));
    assert!(!refused(&mut view, over, 9));
    view.record_sent(over, &parts(&[9]));
    let last = crash(&mut view, 8, &[9]);
    assert!(refused(&mut view, last + QUARANTINE - ms(1), 9));
    assert!(!refused(&mut view, last, 8));
}

#[test]
fn servers_that_one_request_crashes_in_turn_are_several_crashes() {
    let (mut view, start) = (View::new(0.0), start());
    for server in 0..3 {
        view.record_broken(broken(&format!("s{server}"), start + ms(50) * server, ms(40), &[9]));
    }
    assert!(refused(&mut view, start + SETTLED, 9));
}

#[test]
fn a_part_that_has_been_proven_needs_one_crash_more_and_others_that_run_well() {
    let (mut view, start) = (View::new(0.0), start());
    view.record_sound(start - ms(10_000), &service(), &parts(&[9]));
    for crash in 0..4 {
        assert!(!refused(&mut view, start + ms(500) * crash, 9), "after {crash} crashes");
        view.record_broken(broken(&format!("s{crash}"), start + ms(500) * crash, ms(100), &[9]));
    }
    assert!(
        !refused(&mut view, start + ms(1_600), 9),
        "the service may have broken off everything"
    );
    view.record_sound(start + ms(1_200), &service(), &parts(&[7]));
    view.record_broken(broken("s4", start + ms(2_000), ms(100), &[9]));
    assert!(refused(&mut view, start + ms(2_000), 9));
}

#[test]
fn a_run_that_ends_well_ends_a_quarantine() {
    let (mut view, start) = (View::new(0.0), start());
    let last = three_crashes(&mut view, start);
    assert!(refused(&mut view, last, 9));
    view.record_sound(last + ms(20), &service(), &parts(&[1, 2, 9]));
    let changes = view.refresh(last + ms(20));
    assert_eq!(changes.len(), 1);
    assert_eq!(
        (&changes[0].features, changes[0].quarantine),
        (&Combination::from_iter([part(9)]), None)
    );
    assert!(!refused(&mut view, last + ms(20), 9));
}

#[test]
fn after_a_quarantine_one_request_is_let_through_and_a_crash_renews_it() {
    let (mut view, start) = (View::new(0.5), start());
    let last = three_crashes(&mut view, start);
    let over = last + QUARANTINE.mul_f64(1.5);
    assert!(refused(&mut view, over - ms(1), 9));
    assert!(!refused(&mut view, over, 9));
    assert!(!refused(&mut view, over, 9), "none has been sent");
    view.record_sent(over, &parts(&[1, 9]));
    assert!(refused(&mut view, over + ms(1), 9), "no other one meanwhile");
    view.record_broken(broken("s7", over + ms(200), ms(200), &[1, 2, 9]));
    assert!(refused(&mut view, over + ms(200), 9));
    assert!(refused(&mut view, over + QUARANTINE, 9));
}

#[test]
fn hosts_that_have_seen_a_crash_each_conclude_the_same() {
    let start = start();
    let mut views: Vec<View> = (0..3).map(|_| View::new(0.0)).collect();
    for (crash, view) in (0..).zip(&mut views) {
        let ended = start + ms(500) * crash;
        view.record_broken(broken(&format!("s{crash}"), ended, ms(100), &[1, 9]));
        view.record_broken(broken(
            &format!("s{crash}"),
            ended,
            ms(300),
            &[1, 20 + u64::from(crash)],
        ));
    }
    // Another host knows that part 1 is sound.
    let mut observer = View::new(0.0);
    let now = start + ms(1_500);
    for view in &mut views {
        observer.merge(now, view.next_evidence(now), Some(now));
    }
    observer.record_sound(now, &service(), &parts(&[1]));
    for view in &mut views {
        view.merge(now, observer.next_evidence(now), Some(now));
    }
    assert!(refused(&mut observer, now, 9));
    // From now on it repeats the runs that made the quarantine, one at a time.
    let told: Vec<Evidence> = (0..3).map(|_| observer.next_evidence(now)).collect();
    for view in &mut views {
        told.iter().for_each(|evidence| view.merge(now, evidence.clone(), Some(now)));
        assert!(refused(view, now, 9));
        assert!(!refused(view, now, 1));
        assert!((20..23).all(|sound| !refused(view, now, sound)));
    }
}

#[test]
fn a_host_that_starts_learns_of_a_quarantine_from_any_other_host() {
    let (mut view, start) = (View::new(0.0), start());
    let last = three_crashes(&mut view, start);
    view.refresh(last);
    // What the hosts announced at the time is gone.
    for _ in 0..10 {
        view.next_evidence(last);
    }
    let (mut late, now) = (View::new(0.0), last + ms(60_000));
    for _ in 0..3 {
        late.merge(now, view.next_evidence(now), Some(now));
    }
    assert!(refused(&mut late, now, 9));
    assert!(!refused(&mut late, now, 1));
}

#[test]
fn proofs_without_a_bound_on_their_age_are_ignored() {
    let (mut view, start) = (View::new(0.0), start());
    let last = three_crashes(&mut view, start);
    let mut other = View::new(0.0);
    other.merge(last, view.all_evidence(last, 10), Some(last));
    other.record_sound(last + ms(10), &service(), &parts(&[9]));
    view.merge(last + ms(10), other.all_evidence(last + ms(10), 10), None);
    assert!(refused(&mut view, last + ms(10), 9));
}

#[test]
fn a_flood_of_unrelated_crashes_does_not_end_a_quarantine() {
    let (mut view, start) = (View::new(0.0), start());
    let last = three_crashes(&mut view, start);
    assert!(refused(&mut view, last, 9));
    for run in 0..2_000 {
        view.record_broken(broken("s9", last + ms(run), ms(5), &[1_000 + run]));
    }
    assert!(refused(&mut view, last + ms(2_000), 9));
    assert!(view.all_evidence(last, usize::MAX).runs.len() <= 512);
}

/// Three crashes, 500 ms apart, of requests with these parts; a part of other requests is proven in between.
fn crashes_of(view: &mut View, start: Instant, ids: &[u64]) -> Instant {
    for crash in 0..3 {
        let ended = start + ms(500) * crash;
        view.record_broken(broken(&format!("s{crash}"), ended, ms(100), ids));
        view.record_sound(ended + ms(50), &service(), &parts(&[7]));
    }
    start + ms(1_000)
}

fn any_refused(view: &mut View, now: Instant, ids: &[u64]) -> bool {
    view.refresh(now);
    view.check(now, &parts(ids)).is_some()
}

/// Guards against taking one of several parts that always came together for the cause: it may be another one, and sound
/// requests that share the first were refused for minutes.
#[test]
fn parts_that_always_crashed_servers_together_are_refused_only_together() {
    for sound in [1, 2, 3] {
        let (mut view, start) = (View::new(0.0), start());
        let last = crashes_of(&mut view, start, &[1, 2, 3]);
        assert!(any_refused(&mut view, last, &[1, 2, 3, 50]), "one of the three is the cause");
        assert!(!any_refused(&mut view, last, &[sound, 50]));
        view.record_sound(last + ms(50), &service(), &parts(&[sound, 50]));
        let now = last + ms(50);
        let rest: Vec<u64> = [1, 2, 3].into_iter().filter(|id| *id != sound).collect();
        assert!(any_refused(&mut view, now, &[rest[0], rest[1], 60]), "without {sound}");
        assert!(!any_refused(&mut view, now, &[sound, rest[0]]));
        view.record_sound(now, &service(), &parts(&[rest[0]]));
        let now = now + ms(50);
        assert!(any_refused(&mut view, now, &[rest[1]]), "only {} is left", rest[1]);
        assert!(any_refused(&mut view, last + QUARANTINE - ms(1), &[rest[1]]));
    }
}

/// Guards against a narrow quarantine that lets requests with the fatal part through for long: each crash without one of
/// the others takes that one out.
#[test]
fn a_crash_without_one_of_the_parts_narrows_the_quarantine_to_the_others() {
    let (mut view, start) = (View::new(0.0), start());
    let last = crashes_of(&mut view, start, &[1, 2, 3]);
    assert!(!any_refused(&mut view, last, &[2, 3]));
    view.record_broken(broken("s8", last + ms(100), ms(50), &[2, 3]));
    let now = last + ms(100);
    assert!(any_refused(&mut view, now, &[2, 3]), "also without 1");
    assert!(!any_refused(&mut view, now, &[1, 2]));
    view.record_broken(broken("s9", now + ms(100), ms(50), &[1, 2]));
    let now = now + ms(100);
    assert!(any_refused(&mut view, now, &[2]), "only 2 is in all of them");
    assert!(!any_refused(&mut view, now, &[1, 3]));
}

/// Hosts that know different crashes agree once they have told each other, and a host that starts learns it too.
#[test]
fn parts_that_crash_servers_together_are_refused_alike_by_hosts_that_know_different_crashes() {
    let start = start();
    let mut views: Vec<View> = (0..3).map(|_| View::new(0.0)).collect();
    for (crash, view) in (0..).zip(&mut views) {
        let ended = start + ms(500) * crash;
        view.record_broken(broken(&format!("s{crash}"), ended, ms(100), &[1, 9, 20]));
    }
    let now = start + ms(1_500);
    let told: Vec<Evidence> = views.iter_mut().map(|view| view.next_evidence(now)).collect();
    for view in &mut views {
        told.iter().for_each(|evidence| view.merge(now, evidence.clone(), Some(now)));
        assert!(any_refused(view, now, &[1, 9, 20]));
        assert!(!any_refused(view, now, &[1, 30, 20]));
    }
    let now = now + ms(50);
    views[0].record_sound(now, &service(), &parts(&[1, 30, 20]));
    let proof = views[0].next_evidence(now);
    views[1].merge(now, proof, Some(now));
    assert!(any_refused(&mut views[1], now, &[1, 9, 40]), "9 alone is left");
    let mut late = View::new(0.0);
    for _ in 0..6 {
        late.merge(now, views[1].next_evidence(now), Some(now));
    }
    assert!(any_refused(&mut late, now, &[9]));
    assert!(!any_refused(&mut late, now, &[1, 20]));
}

/// Once the quarantine of several parts is over, one request with all of them is sent at a time.
#[test]
fn a_quarantine_of_several_parts_lets_one_request_through_and_stays_narrowed() {
    let (mut view, start) = (View::new(0.0), start());
    let last = crashes_of(&mut view, start, &[1, 2]);
    let over = last + QUARANTINE;
    assert!(any_refused(&mut view, over - ms(1), &[1, 2]));
    assert!(!any_refused(&mut view, over, &[1, 2]));
    view.record_sent(over, &parts(&[1, 2]));
    assert!(any_refused(&mut view, over + ms(1), &[1, 2]), "no other one meanwhile");
    view.record_sound(over + ms(2), &service(), &parts(&[1]));
    assert!(any_refused(&mut view, over + ms(50), &[2]), "the outcome is not known yet");
}

quickcheck! {
    /// Runs of a few shared parts on servers that crash at random, while every request ends well within
    /// 800 ms elsewhere: no part is ever refused.
    fn parts_of_requests_that_end_well_are_never_refused(crashes: Vec<(u8, u8, u8)>) -> bool {
        let (mut view, mut now) = (View::new(0.0), start());
        let mut ending: VecDeque<(Instant, [u64; 2])> = VecDeque::new();
        for (server, shared, gap) in crashes {
            now += ms(u64::from(gap) * 8);
            while let Some((end, ids)) = ending.pop_front_if(|(end, _)| *end <= now) {
                view.record_sound(end, &service(), &parts(&ids));
            }
            let ids = [1, 10 + u64::from(shared % 4)];
            view.record_broken(broken(&format!("s{}", server % 8), now, ms(200), &ids));
            if ids.iter().any(|id| refused(&mut view, now, *id)) {
                return false;
            }
            ending.push_back((now + ms(800), ids));
        }
        true
    }
}
