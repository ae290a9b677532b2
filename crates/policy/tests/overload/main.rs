//! What callers get while a service is short of capacity.

mod play;

use std::time::{Duration, Instant};

use play::{Caller, Play, Setup, Source, play};
use quickcheck::{Gen, QuickCheck, TestResult};
use wasabi_core::call::Prompt;
use wasabi_policy::{
    fair_share::View,
    overload::{Control, Request},
    return_times::Book,
};

const SMALL: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// When a surge or a burst begins; by then, usual rates are known.
const BEGIN: f64 = 15.0;

/// Workspaces with 98 requests a second together; 8 engines serve about 127.
fn sources(surge: fn(f64) -> f64, others: fn(f64) -> f64) -> Vec<Source> {
    let source = |name, usual, factor| Source { name, usual, factor, urgency: 3, waits: true };
    let mut sources = vec![source("surge", 10.0, surge), source("large", 40.0, others)];
    sources.extend(SMALL.map(|name| source(name, 8.0, others)));
    sources
}

fn steady(_: f64) -> f64 {
    1.0
}

/// 7.5 times the usual load for 12 s.
fn surge(second: f64) -> f64 {
    if (BEGIN..BEGIN + 12.0).contains(&second) { 7.5 } else { 1.0 }
}

/// 2.5 times the capacity for 6 s.
fn burst(second: f64) -> f64 {
    if (BEGIN..BEGIN + 6.0).contains(&second) { 3.2 } else { 1.0 }
}

fn setup(sources: Vec<Source>, controlled: bool) -> Setup {
    Setup { sources, hosts: 12, engines: 8, seconds: 30, seed: 1, controlled, announces: true }
}

/// Checks that each workspace is served at least a quarter as often as all, and the largest tenth of
/// the requests at least half as often.
fn check_nobody_starves(play: &Play, sources: usize) -> Result<(), String> {
    let all = play.served(|_| true);
    for source in 0..sources {
        let served = play.served(|c| c.source == source && c.second >= BEGIN);
        if served < all / 4.0 {
            return Err(format!("workspace {source} is served {served:.3}, all {all:.3}"));
        }
    }
    let large = play.served(|c| c.large && c.second >= BEGIN);
    if large < all / 2.0 {
        return Err(format!("the largest are served {large:.3}, all {all:.3}"));
    }
    Ok(())
}

/// A workspace that sends 7.5 times its usual load must not take capacity from the others, whatever
/// hosts its requests come to.
#[test]
fn a_surge_of_one_workspace_does_not_hurt_the_others() -> Result<(), String> {
    for hosts in [1, 12] {
        let [before, now] = [false, true]
            .map(|controlled| play(Setup { hosts, ..setup(sources(surge, steady), controlled) }));
        let surging = |c: &Caller| surge(c.second) > 1.0;
        let others = |play: &Play| play.on_target(|c| c.source > 0 && surging(c));
        let (before, after) = (others(&before), others(&now));
        assert!(after > 0.9 && after > before + 0.2, "{hosts} hosts: {after:.3}, was {before:.3}");
        for source in 1..8 {
            let one = now.on_target(|c| c.source == source && surging(c));
            assert!(one > 0.8, "{hosts} hosts, workspace {source}: {one:.3}");
        }
        check_nobody_starves(&now, 8)?;
    }
    Ok(())
}

/// Each of 80 hosts sees one request of the surging workspace a second. Their own counts alone show the
/// excess late and roughly.
#[test]
fn a_surge_spread_over_many_hosts_is_seen() {
    let [alone, together] = [false, true].map(|announces| {
        let setup =
            Setup { hosts: 80, seconds: 27, announces, ..setup(sources(surge, steady), true) };
        play(setup).on_target(|c| c.source > 0 && surge(c.second) > 1.0)
    });
    assert!(together > 0.8 && together > alone, "{together:.3}, without announcements {alone:.3}");
}

/// A workspace that sends one request here and many to peers must be over its share here, as long as
/// the peers' counts are recent.
#[test]
fn work_at_peers_counts() {
    let mut now = Instant::now();
    let mut view = View::new(now);
    let [even, surging] = ["even", "surging"].map(|name| name.parse().expect("a name"));
    let prompt = Prompt { tokens: 2_500, output: 60, parts: Vec::new() };
    let mut peer = View::new(now);
    for step in 0..200_u32 {
        now += Duration::from_millis(100);
        let surges = step >= 150;
        for _ in 0..if surges { 15 } else { 2 } {
            peer.record_accepted(now, Some(&surging), Some(&prompt), 50.0, false);
        }
        if surges {
            view.mark_short(now, 3);
            peer.record_refused(now, Some(&even), Some(&prompt), false);
        }
        for view in [&mut view, &mut peer] {
            view.record_accepted(now, Some(&even), Some(&prompt), 50.0, false);
        }
        if let Some(report) = peer.report(now) {
            view.apply(now, &"peer".parse().expect("a name"), report);
        }
    }
    let excess =
        |view: &mut View, now, workspace| view.standing(now, Some(workspace), Some(&prompt)).excess;
    assert!(excess(&mut view, now, &surging) > 1.0);
    assert!(excess(&mut view, now, &even) < 1.0);
    let later = now + Duration::from_secs(3);
    assert!(excess(&mut view, later, &surging) < 1.0, "old counts of peers no longer count");
}

/// While there is room, sharing must change nothing.
#[test]
fn without_overload_all_is_as_before() {
    let [before, now] = [false, true].map(|controlled| {
        let play = play(Setup { engines: 16, ..setup(sources(steady, steady), controlled) });
        let outcomes = play.callers.iter().map(|c| (c.refusals, c.first_event));
        outcomes.collect::<Vec<(u32, Option<Duration>)>>()
    });
    assert!(before == now);
}

/// All workspaces send 2.5 times what can be served: none of them is over its share, and none is
/// starved, nor the largest requests.
#[test]
fn a_burst_of_all_starves_nobody() -> Result<(), String> {
    let [before, now] =
        [false, true].map(|controlled| play(setup(sources(burst, burst), controlled)));
    let bursting = |c: &Caller| burst(c.second) > 1.0;
    let on_target =
        |play: &Play, of: &dyn Fn(&Caller) -> bool| play.on_target(|c| bursting(c) && of(c));
    let (old, all) = (on_target(&before, &|_| true), on_target(&now, &|_| true));
    assert!(all > old + 0.2, "{all:.3}, was {old:.3}");
    let large = on_target(&now, &|c| c.source == 1);
    assert!(large > all * 0.8, "the largest workspace gets {large:.3}, all {all:.3}");
    let longest = now.longest_wait();
    assert!(
        longest < Duration::from_millis(1_500),
        "one waited {longest:?} after its last attempt"
    );
    check_nobody_starves(&now, 8)
}

/// A time that was given with a promise is one at which the caller is served, also while everything is
/// asked for 2.5 times; refusals again and again would make it give up.
#[test]
fn promises_are_kept() {
    for (sources, least) in [(sources(surge, steady), 0.9), (sources(burst, burst), 0.8)] {
        let play = play(setup(sources, true));
        let promises: u32 = play.callers.iter().map(|c| c.promises).sum();
        let kept = play.kept();
        assert!(promises > 200 && kept > least, "{kept:.3} of {promises}");
    }
}

/// Callers of a more urgent workspace that return again and again before their time must not keep less
/// urgent requests from being served.
#[test]
fn early_returns_hold_back_only_themselves() {
    let now = Instant::now();
    let mut control = Control::new(now);
    let prompt = Prompt { tokens: 2_500, output: 60, parts: Vec::new() };
    let wait = Duration::from_millis(425);
    let [urgent, other] = ["urgent", "other"].map(|name| name.parse().expect("a name"));
    let request = |workspace, urgency| Request {
        workspace: Some(workspace),
        prompt: Some(&prompt),
        urgency,
        is_return: false,
        first_wait: wait,
        max_wait: wait,
    };
    let mut refuse = |now: Instant| {
        let limit = control.limit(now, &request(&urgent, 3));
        let times = (Duration::from_secs(9), Duration::from_secs(10));
        control.refuse(now, &request(&urgent, 3), &limit, wait * 2, times, 0.5);
        (limit.max_queue, control.limit(now, &request(&other, 6)).max_queue)
    };
    assert_eq!(refuse(now).0, Duration::MAX);
    let early = now + Duration::from_millis(100);
    assert_eq!(refuse(early), (Duration::ZERO, wait));
}

/// Half of the workspaces return 100 ms after each refusal, whatever they are asked. With the same
/// preference for every return, they were on target three times as often as those that wait.
#[test]
fn callers_that_do_not_wait_gain_nothing() {
    let mut sources = sources(burst, burst);
    sources.iter_mut().skip(2).step_by(2).for_each(|source| source.waits = false);
    let play = play(setup(sources, true));
    let share = |waits: bool| {
        play.on_target(|c| c.source > 1 && (c.source % 2 == 1) == waits && burst(c.second) > 1.0)
    };
    let (waiting, hasty) = (share(true), share(false));
    assert!(hasty < waiting + 0.05, "hasty callers {hasty:.3}, others {waiting:.3}");
}

/// Capacity must not be promised twice, whatever the order of the requests, and every time must lie
/// within the caller's range.
#[test]
fn capacity_is_promised_once() {
    fn holds(requests: Vec<(u8, u8, u16)>) -> bool {
        let mut now = Instant::now();
        let mut book = Book::new(now);
        let rate_ms = 500.0;
        requests.into_iter().all(|(step, work_ms, earliest)| {
            now += Duration::from_millis(u64::from(step));
            let earliest = Duration::from_millis(u64::from(earliest % 2_000));
            let range = (earliest, Duration::from_secs(3));
            let offer = book.offer(now, 3, f64::from(work_ms), rate_ms, range, 0.5);
            let within = (1..=30)
                .map(|tenths| Duration::from_millis(100 * tenths))
                .all(|ahead| book.due_ms(now, 3, ahead) <= rate_ms * (ahead.as_secs_f64() + 0.05));
            within && (range.0..=range.1).contains(&offer.wait)
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 3))
        .tests(200)
        .quickcheck(holds as fn(Vec<(u8, u8, u16)>) -> bool);
}

/// Whichever workspaces of one rank surge, and wherever: none of them and no size may starve.
#[test]
fn nobody_starves_under_any_load() {
    fn holds(seed: u64, surging: u8) -> TestResult {
        let mut sources = sources(burst, burst);
        for (index, source) in sources.iter_mut().enumerate() {
            source.factor = if surging >> index & 1 == 1 { surge } else { steady };
        }
        let play = play(Setup { hosts: 6, seed, seconds: 24, ..setup(sources, true) });
        check_nobody_starves(&play, 8).map_or_else(TestResult::error, |()| TestResult::passed())
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 5))
        .tests(10)
        .quickcheck(holds as fn(u64, u8) -> TestResult);
}

/// Whatever the workspaces send and whatever their ranks: more urgent requests are on target
/// at least as often as less urgent ones.
#[test]
fn ranks_hold_under_any_load() {
    fn holds(seed: u64, urgent: u8, surging: u8) -> TestResult {
        let mut sources = sources(burst, burst);
        for (index, source) in sources.iter_mut().enumerate() {
            source.urgency = if urgent >> index & 1 == 1 { 3 } else { 6 };
            source.factor = if surging >> index & 1 == 1 { surge } else { steady };
        }
        let play = play(Setup { hosts: 6, seed, seconds: 24, ..setup(sources, true) });
        let rank = |urgency: u8| move |c: &Caller| c.urgency == urgency && c.second >= BEGIN;
        if !play.callers.iter().any(rank(3)) || !play.callers.iter().any(rank(6)) {
            return TestResult::discard();
        }
        let (high, low) = (play.on_target(rank(3)), play.on_target(rank(6)));
        if high + 0.05 < low {
            return TestResult::error(format!("urgent {high:.3} on target, others {low:.3}"));
        }
        TestResult::passed()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 7))
        .tests(12)
        .quickcheck(holds as fn(u64, u8, u8) -> TestResult);
}
