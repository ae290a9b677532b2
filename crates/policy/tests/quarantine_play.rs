//! Plays requests that crash servers against the decisions of several hosts, in virtual time.

use std::time::{Duration, Instant};

use rand::{Rng as _, SeedableRng as _, rngs::StdRng, seq::IndexedRandom as _};
use wasabi_core::units::PoolId;
use wasabi_policy::quarantine::{BrokenRun, Feature, QUARANTINE, View};

const STEP: Duration = Duration::from_millis(5);
const LENGTH: Duration = Duration::from_secs(60);
/// The period of announcements between the hosts of a small fleet, and between domains in a large one.
const PERIODS: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(1_200)];
/// How long a server is away after a crash.
const DOWN: Duration = Duration::from_secs(3);
/// From this time after the crash that is needed as evidence, few requests may reach servers.
const CONTACT: Duration = Duration::from_secs(3);
/// After this time callers send a request again that has failed.
const RETURN_DELAY: Duration = Duration::from_millis(500);
/// Requests that crash servers come from this time on.
const FATAL_FROM: Duration = Duration::from_secs(6);
/// From this time on sound requests share the further parts of those that crash servers.
const TEMPLATE_FROM: Duration = Duration::from_secs(9);
/// The servers to which one try of a request may be sent.
const MAX_SENDS: usize = 3;

/// What is played.
#[derive(Clone, Copy)]
struct Play {
    hosts: usize,
    /// The period of announcements between hosts.
    period: Duration,
    servers: usize,
    /// Sound requests a second.
    sound_rate: f64,
    /// Requests a second that crash servers, in bursts.
    fatal_rate: f64,
    /// How many of them come at once at most.
    copies: usize,
    /// The crashes that are needed as evidence.
    evidence: usize,
    /// Whether the requests that crash servers are alike, and not only their second part.
    alike: bool,
    /// How often each server crashes for another reason, in a second, and the share of outages that take
    /// all of them.
    other_crashes: (f64, f64),
    /// How long all servers break off everything, once in ten seconds.
    broken_for: Duration,
    /// The share of sound requests that are all the same one, as of callers that poll.
    polled: f64,
    /// Further parts that all requests with the fatal part have, and the share of them that each has lost by chance;
    /// from [`TEMPLATE_FROM`] on, a third of the sound requests have them too.
    companions: (u64, f64),
}

/// A service of three plain servers, one host and one copy at a time.
const SMALL: Play = Play {
    hosts: 7,
    period: PERIODS[0],
    servers: 3,
    sound_rate: 35.0,
    fatal_rate: 1.0,
    copies: 1,
    evidence: 3,
    alike: true,
    other_crashes: (0.0, 0.0),
    broken_for: Duration::ZERO,
    polled: 0.0,
    companions: (0, 0.0),
};

/// A service of engines.
const LARGE: Play =
    Play { servers: 18, sound_rate: 60.0, fatal_rate: 1.7, evidence: 5, alike: false, ..SMALL };

/// A request that runs, or ran.
struct Run {
    host: usize,
    server: usize,
    fatal: bool,
    features: Vec<Feature>,
    sent: Instant,
    ends: Instant,
    sends: usize,
}

impl Run {
    /// The record of this run, which broke off with an instance of its server.
    fn broken(&self, rng: &mut StdRng, ended: Instant, instance: u32) -> BrokenRun {
        let service = "s".parse().expect("a name");
        let server = format!("s{}-{instance}", self.server).parse().expect("a name");
        let (sent, features) = (self.sent, self.features.clone());
        BrokenRun { id: rng.random(), service, server, sent, ended, features, controlled: false }
    }
}

struct Outcome {
    late: usize,
    sound: usize,
    refused_sound: usize,
}

fn play(play: &Play, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now() + QUARANTINE * 10;
    let service: PoolId = "s".parse().expect("a name");
    let mut hosts: Vec<View> = (0..play.hosts).map(|_| View::new(rng.random())).collect();
    let mut up_at = vec![start; play.servers];
    let mut instance = vec![0_u32; play.servers];
    let mut runs: Vec<Run> = Vec::new();
    let mut fatal_crashes: Vec<Instant> = Vec::new();
    // Sound requests that failed, and when they come again.
    let mut returning: Vec<(Instant, Run)> = Vec::new();
    let mut fatal_sends: Vec<Instant> = Vec::new();
    let (mut sound, mut refused_sound, mut next) = (0, 0, 0_u64);
    let mut now = start;
    while now < start + LENGTH {
        now += STEP;
        let mut arriving: Vec<Run> = Vec::new();
        let arrive = |rng: &mut StdRng, fatal: bool, next: u64| {
            let shared = [1, 10 + rng.random_range(0..4)];
            let own = match (fatal, play.alike) {
                (true, true) => u64::MAX,
                (false, _) if rng.random_bool(play.polled) => 999,
                // Some sound requests are sent again and again, as callers poll.
                (false, _) if rng.random_bool(0.2) => 1_000 + rng.random_range(0..20),
                _ => 100_000 + next,
            };
            let part = |id: u64| Feature::part(&service, id);
            let mut features = vec![part(shared[0]), part(shared[1])];
            if fatal && !play.alike {
                features.insert(1, part(9));
            }
            let (companions, lost) = play.companions;
            if fatal || (now > start + TEMPLATE_FROM && rng.random_bool(1.0 / 3.0)) {
                let kept = (0..companions).filter(|_| !fatal || !rng.random_bool(lost));
                features.extend(kept.map(|id| part(20 + id)));
            }
            features.push(Feature::request(&service, own));
            let host = rng.random_range(0..play.hosts);
            let (server, sends) = (usize::MAX, 0);
            Run { host, server, fatal, features, sent: now, ends: now, sends }
        };
        if rng.random_bool(play.sound_rate * STEP.as_secs_f64()) {
            next += 1;
            arriving.push(arrive(&mut rng, false, next));
        }
        if now > start + FATAL_FROM && rng.random_bool(play.fatal_rate * STEP.as_secs_f64()) {
            for _ in 0..rng.random_range(1..=play.copies) {
                next += 1;
                arriving.push(arrive(&mut rng, true, next));
            }
        }
        // Crashes break off all runs of a server; those that may be repeated are sent again.
        let fatal = runs.iter().filter(|run| run.fatal && run.ends <= now);
        let mut crashed: Vec<usize> = fatal.map(|run| run.server).collect();
        let (rate, of_all) = play.other_crashes;
        let rate = rate * STEP.as_secs_f64();
        crashed.extend((0..play.servers).filter(|_| rng.random_bool(rate)));
        if rng.random_bool(rate * of_all) {
            crashed.extend(0..play.servers);
        }
        let elapsed = now.saturating_duration_since(start);
        let is_broken = elapsed.as_millis() % 10_000 >= 10_000 - play.broken_for.as_millis();
        if is_broken {
            let (broken, rest): (Vec<Run>, Vec<Run>) =
                runs.drain(..).partition(|run| run.sent + STEP * 2 <= now);
            runs = rest;
            for run in broken {
                hosts[run.host].record_broken(run.broken(&mut rng, now, instance[run.server]));
                if run.sends < MAX_SENDS {
                    arriving.push(run);
                } else if !run.fatal {
                    returning.push((now + RETURN_DELAY, run));
                }
            }
        }
        for (_, run) in returning.extract_if(.., |(at, _)| *at <= now) {
            arriving.push(Run { sends: 0, ..run });
        }
        for server in crashed {
            if up_at[server] > now {
                continue;
            }
            up_at[server] = now + DOWN;
            let (broken, rest): (Vec<Run>, Vec<Run>) =
                runs.drain(..).partition(|run| run.server == server);
            runs = rest;
            if broken.iter().any(|run| run.fatal && run.ends <= now) {
                fatal_crashes.push(now);
            }
            for run in broken {
                hosts[run.host].record_broken(run.broken(&mut rng, now, instance[server]));
                if run.sends < MAX_SENDS && rng.random_bool(0.5) {
                    arriving.push(run);
                }
            }
            instance[server] += 1;
        }
        for run in runs.extract_if(.., |run| run.ends <= now) {
            hosts[run.host].record_sound(now, &service, &run.features);
        }
        for mut run in arriving {
            let host = &mut hosts[run.host];
            host.refresh(now);
            let is_first = run.sends == 0;
            sound += usize::from(is_first && !run.fatal);
            if host.check(now, &run.features).is_some() {
                refused_sound += usize::from(!run.fatal);
                continue;
            }
            let up: Vec<usize> = (0..play.servers).filter(|at| up_at[*at] <= now).collect();
            let Some(server) = up.choose(&mut rng) else { continue };
            host.record_sent(now, &run.features);
            if run.fatal {
                fatal_sends.push(now);
            }
            let lasts = match run.fatal {
                true => rng.random_range(50..110),
                false => rng.random_range(30..200),
            };
            run.server = *server;
            run.sent = now;
            run.ends = now + Duration::from_millis(lasts);
            run.sends += 1;
            runs.push(run);
        }
        let elapsed = now.saturating_duration_since(start).as_millis();
        if elapsed.is_multiple_of(play.period.as_millis()) {
            let told: Vec<_> = hosts.iter_mut().map(|host| host.next_evidence(now)).collect();
            for (from, evidence) in told.into_iter().enumerate() {
                for (_, host) in hosts.iter_mut().enumerate().filter(|(to, _)| *to != from) {
                    host.merge(now, evidence.clone(), Some(now));
                }
            }
        }
    }
    let known = fatal_crashes.get(play.evidence - 1).map(|at| *at + CONTACT);
    let late = known.map_or(0, |known| fatal_sends.iter().filter(|sent| **sent > known).count());
    Outcome { late, sound, refused_sound }
}

/// Plays many seeds; returns the worst number of late sends and the refused share of sound requests.
fn play_all(what: &Play) -> (usize, f64) {
    let seeds = std::env::var("SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    let outcomes: Vec<Outcome> =
        (0..seeds.unwrap_or(DEFAULT_SEEDS)).map(|seed| play(what, seed)).collect();
    for (seed, outcome) in outcomes.iter().enumerate() {
        if outcome.late > MAX_LATE {
            println!("seed {seed}: {} late sends", outcome.late);
        }
    }
    let refused: usize = outcomes.iter().map(|outcome| outcome.refused_sound).sum();
    let sound: usize = outcomes.iter().map(|outcome| outcome.sound).sum();
    let late = outcomes.iter().map(|outcome| outcome.late).max().unwrap_or(0);
    (late, refused as f64 / sound as f64)
}

/// The seeds that are played unless the variable `SEEDS` states another number.
const DEFAULT_SEEDS: u64 = 2;
/// At most this many requests may reach servers after [`CONTACT`].
const MAX_LATE: usize = 3;
/// At most this share of sound requests may be refused for crashes.
const MAX_REFUSED: f64 = 0.01;

/// Plays `what` with fleets and bursts of several sizes.
fn assert_kept(what: Play) {
    for (hosts, copies) in [(3, 1), (7, 1), (7, 3), (7, 6)] {
        let (late, refused) = play_all(&Play { hosts, copies, ..what });
        println!("{hosts} hosts, {copies} copies: {late} late, {refused:.4} of the sound refused");
        assert!(late <= MAX_LATE, "{late} late sends");
        assert!(refused <= MAX_REFUSED, "{refused} of the sound requests were refused");
    }
}

#[test]
fn a_request_that_comes_again_in_bursts_at_a_small_service() {
    assert_kept(SMALL);
}

#[test]
fn requests_with_a_part_that_crashes_servers_at_a_larger_service() {
    assert_kept(LARGE);
}

#[test]
fn sound_requests_are_not_refused_while_servers_crash_for_other_reasons() {
    for what in [SMALL, LARGE] {
        for other_crashes in [(0.05, 1.0), (0.2, 0.2)] {
            let what = Play { fatal_rate: 0.0, other_crashes, ..what };
            let (_, refused) = play_all(&what);
            println!("{} servers, {other_crashes:?}: {refused:.4} refused", what.servers);
            assert!(refused <= MAX_REFUSED, "{refused} of the sound requests were refused");
        }
    }
}

#[test]
fn sound_requests_are_not_refused_after_all_servers_have_broken_off_everything_for_a_while() {
    for what in [SMALL, LARGE] {
        for polled in [0.0, 1.0] {
            let broken_for = Duration::from_secs(2);
            let what = Play { fatal_rate: 0.0, broken_for, polled, ..what };
            let (_, refused) = play_all(&what);
            println!("{} servers, {polled} polled: {refused:.4} refused", what.servers);
            assert!(refused <= MAX_REFUSED, "{refused} of the sound requests were refused");
        }
    }
}

#[test]
fn requests_that_crash_servers_beside_other_crashes() {
    assert_kept(Play { other_crashes: (0.02, 0.5), ..SMALL });
    assert_kept(Play { other_crashes: (0.02, 0.5), ..LARGE });
}

#[test]
fn hosts_that_hear_of_each_other_late() {
    assert_kept(Play { period: PERIODS[1], ..LARGE });
}

/// Guards against blaming a part that the fatal one always came with, for which sound requests were refused.
#[test]
fn sound_requests_that_share_all_other_parts_of_those_that_crash_servers_are_not_refused() {
    for companions in [(1, 0.0), (2, 0.3), (4, 0.7)] {
        assert_kept(Play { companions, ..LARGE });
    }
    assert_kept(Play { companions: (4, 0.3), period: PERIODS[1], ..LARGE });
    assert_kept(Play { companions: (2, 0.3), other_crashes: (0.02, 0.5), ..LARGE });
}
