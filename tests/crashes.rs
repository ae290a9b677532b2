//! Requests that crash the backend servers that run them, and sound ones that share something with them.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use wasabi_stand::{
    caller::{Request, Response},
    gateway::Gateway,
    rig::Rig,
    server::{Arrival, Behavior, Server},
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");
/// The part of prompts that crashes servers.
const FATAL_PART: &str = "bad0001";
/// From this time after the last crash that is needed as evidence, hosts must have learned from it.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Crashes that are needed as evidence against a part of prompts.
const PART_CRASHES: usize = 5;
/// How many requests may reach servers afterwards.
const MAX_LATE_ARRIVALS: usize = 3;

/// A rig with six engines and three hosts that may repeat as many requests as they like.
fn rig_with_hosts() -> anyhow::Result<(Rig, Vec<Gateway>)> {
    let mut rig = Rig::start(PROGRAM)?;
    rig.add_engines(&[("e3", "v1"), ("e4", "v1"), ("e5", "v1"), ("e6", "v1")])?;
    let gateways = ["g1", "g2", "g3"].map(|name| rig.start_repeating_gateway(name));
    let gateways = gateways.into_iter().collect::<anyhow::Result<Vec<_>>>()?;
    Ok((rig, gateways))
}

fn engines(rig: &Rig) -> impl Iterator<Item = &Arc<Server>> {
    rig.servers.iter().map(|(server, _)| server).filter(|server| server.streams)
}

/// A stream request whose prompt has these shared parts and one of its own.
fn prompt(path: &str, id: &str, shared: &[&str]) -> Request {
    static NUMBER: AtomicU64 = AtomicU64::new(1);
    let own = format!("ff{:06x}:50", NUMBER.fetch_add(1, Ordering::Relaxed));
    let mut parts: Vec<String> = shared.iter().map(|part| format!("{part}:100")).collect();
    parts.push(own);
    let tokens = format!("{},20", 100 * shared.len() + 50);
    let headers = [("prompt-prefix", parts.join(",")), ("token-usage", tokens)];
    let headers = headers.map(|(name, value)| (name.to_string(), value));
    Request { headers: headers.into(), ..Request::new("POST", path, id) }
}

fn has_fatal_part(arrival: &Arrival) -> bool {
    let parts = arrival.header("prompt-prefix");
    parts.is_some_and(|parts| parts.split(',').any(|part| part.starts_with(FATAL_PART)))
}

/// Makes requests with [`FATAL_PART`] crash all engines.
fn set_fatal_part(rig: &Rig) {
    engines(rig).for_each(|engine| engine.set_fatal(has_fatal_part));
}

/// Returns when the engines have crashed, in order.
fn crashes(rig: &Rig) -> Vec<Instant> {
    let mut crashes: Vec<Instant> =
        rig.servers.iter().flat_map(|(server, _)| server.crashed_at()).collect();
    crashes.sort();
    crashes
}

/// Returns how many of the requests that `selected` selects servers received later than [`CONTACT`] after
/// the crash number `evidence`.
fn late_arrivals(rig: &Rig, evidence: usize, selected: impl Fn(&Arrival) -> bool) -> usize {
    let since = crashes(rig)[evidence - 1] + CONTACT;
    let arrivals = rig.servers.iter().flat_map(|(server, _)| server.arrivals());
    arrivals.filter(|arrival| arrival.at > since && selected(arrival)).count()
}

/// What became of the requests that one caller sent.
#[derive(Default)]
struct Sent {
    answers: Vec<(Instant, Response)>,
}

impl Sent {
    /// Returns the answers to requests that were sent at `since` or later.
    fn since(&self, since: Instant) -> impl Iterator<Item = &Response> {
        self.answers.iter().filter(move |(sent, _)| *sent >= since).map(|(_, answer)| answer)
    }
}

/// Sends the requests that `next` makes of their numbers, each `interval` after the one before and to
/// each host in turn, until `end`.
fn send_each(
    gateways: &[Gateway],
    interval: Duration,
    end: Instant,
    next: impl Fn(usize) -> Request + Sync,
) -> Sent {
    let mut sent = Sent::default();
    thread::scope(|scope| {
        let mut tries = Vec::new();
        for number in 0.. {
            let now = Instant::now();
            if now >= end {
                break;
            }
            let (request, to) = (next(number), gateways[number % gateways.len()].addresses.callers);
            // A host may close the connection without an answer.
            tries.push((now, scope.spawn(move || request.send(to).unwrap_or_default())));
            thread::sleep(interval);
        }
        for (at, answer) in tries {
            sent.answers.push((at, answer.join().expect("the caller does not panic")));
        }
    });
    sent
}

/// Checks that at least half of the requests sent since `since` have begun, of 20 or more.
fn assert_half_begin(sent: &Sent, since: Instant) {
    let all = sent.since(since).count();
    let begun = sent.since(since).filter(|answer| answer.status == 200).count();
    assert!(all >= 20, "only {all} sound requests were sent");
    assert!(begun * 2 >= all, "only {begun} of {all} sound requests began");
}

/// Checks that all requests sent since `since` were refused with the error of requests that crash servers.
fn assert_refused(sent: &Sent, since: Instant) {
    for answer in sent.since(since) {
        assert_eq!((answer.status, answer.complete), (503, true), "{answer:?}");
        assert!(answer.body.contains("1207"), "{answer:?}");
        assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
    }
}

/// Sends requests with the fatal part on `path` for 12 s, beside sound ones of the same caller with the
/// other parts, and checks that servers are spared and sound requests served.
fn assert_servers_are_spared_a_part(path: &str) -> anyhow::Result<()> {
    let (rig, gateways) = rig_with_hosts()?;
    set_fatal_part(&rig);
    let end = Instant::now() + CONTACT * 4;
    let (fatal, sound) = thread::scope(|scope| {
        let fatal = scope.spawn(|| {
            send_each(&gateways, Duration::from_millis(150), end, |number| {
                let middle = ["a2", "a3"][number % 2];
                prompt(path, &format!("fatal{number}"), &["a1", middle, FATAL_PART])
            })
        });
        let sound = scope.spawn(|| {
            send_each(&gateways, Duration::from_millis(40), end, |number| {
                let middle = ["a2", "a3", "a4"][number % 3];
                prompt(path, &format!("sound{number}"), &["a1", middle])
            })
        });
        (fatal.join().expect("no panic"), sound.join().expect("no panic"))
    });
    let known = crashes(&rig)[PART_CRASHES - 1] + CONTACT;
    let late = late_arrivals(&rig, PART_CRASHES, has_fatal_part);
    assert!(late <= MAX_LATE_ARRIVALS, "{late} requests with the fatal part reached servers");
    assert!(fatal.since(known).count() > 20, "such requests still come");
    assert_refused(&fatal, known + CONTACT);
    assert_half_begin(&sound, known + CONTACT);
    Ok(())
}

#[test]
fn streams_with_a_prompt_part_that_crashes_servers_are_not_sent_on() -> anyhow::Result<()> {
    assert_servers_are_spared_a_part("/long/x")
}

#[test]
fn resumable_streams_with_a_prompt_part_that_crashes_servers_are_not_sent_on() -> anyhow::Result<()>
{
    assert_servers_are_spared_a_part("/chat/x")
}

/// Sends requests with the fatal part to the first host for 4 s, beside sound ones if `is_mixed`, and replaces that
/// host by one that starts.
fn crash_at_a_host_that_is_replaced(is_mixed: bool) -> anyhow::Result<(Rig, Vec<Gateway>)> {
    let (rig, mut gateways) = rig_with_hosts()?;
    set_fatal_part(&rig);
    let end = Instant::now() + Duration::from_secs(4);
    let first = &gateways[..1];
    thread::scope(|scope| {
        scope.spawn(|| {
            send_each(first, Duration::from_millis(250), end, |n| fatal_prompt("first", n))
        });
        if is_mixed {
            scope.spawn(|| {
                send_each(first, Duration::from_millis(40), end, |n| sound_prompt("sound", n))
            });
        }
    });
    assert!(crashes(&rig).len() >= 3, "the servers crash");
    gateways[0].kill();
    gateways.remove(0);
    gateways.push(rig.start_repeating_gateway("g4")?);
    // A host that starts learns with the first announcements of its peers.
    thread::sleep(Duration::from_secs(1));
    Ok((rig, gateways))
}

fn fatal_prompt(label: &str, number: usize) -> Request {
    prompt("/long/x", &format!("{label}{number}"), &["a1", FATAL_PART])
}

fn sound_prompt(label: &str, number: usize) -> Request {
    prompt("/long/x", &format!("{label}{number}"), &["a1", "a2"])
}

#[test]
fn a_host_that_has_seen_no_crash_learns_of_the_prompt_part_that_caused_them() -> anyhow::Result<()>
{
    let (rig, gateways) = crash_at_a_host_that_is_replaced(true)?;
    let (before, since) = (crashes(&rig).len(), Instant::now());
    let end = since + Duration::from_secs(2);
    let (fatal, sound) = thread::scope(|scope| {
        let send = |next: fn(&str, usize) -> Request, label: &'static str, ms| {
            let gateways = &gateways;
            let interval = Duration::from_millis(ms);
            scope.spawn(move || send_each(gateways, interval, end, |n| next(label, n)))
        };
        let sent = (send(fatal_prompt, "second", 100), send(sound_prompt, "more", 40));
        (sent.0.join().expect("no panic"), sent.1.join().expect("no panic"))
    });
    assert_eq!(crashes(&rig).len(), before, "no further server crashes");
    assert!(fatal.since(since).all(|answer| answer.status == 503));
    assert_half_begin(&sound, since);
    Ok(())
}

/// Without a sound request, the crashes may have been an outage, and a host lets a request through now and then.
#[test]
fn a_host_that_has_seen_no_crash_seldom_tries_a_part_that_may_have_caused_them()
-> anyhow::Result<()> {
    let (rig, gateways) = crash_at_a_host_that_is_replaced(false)?;
    let (before, since) = (crashes(&rig).len(), Instant::now());
    let end = since + Duration::from_secs(8);
    let sent = send_each(&gateways, Duration::from_millis(100), end, |n| fatal_prompt("second", n));
    let tried = crashes(&rig).len() - before;
    assert!(tried <= MAX_LATE_ARRIVALS, "{tried} requests crashed servers");
    let refused = sent.since(since).filter(|answer| answer.status == 503).count();
    assert_eq!(refused + tried, sent.since(since).count());
    Ok(())
}

#[test]
fn sound_prompts_begin_while_servers_crash_for_another_reason() -> anyhow::Result<()> {
    let (rig, gateways) = rig_with_hosts()?;
    let begin = Instant::now();
    let end = begin + Duration::from_secs(10);
    let sent = thread::scope(|scope| {
        let sent = scope.spawn(|| {
            send_each(&gateways, Duration::from_millis(25), end, |number| {
                let rare = format!("b{}", number % 40);
                prompt("/long/x", &format!("sound{number}"), &["a1", &rare])
            })
        });
        for round in 0..8 {
            thread::sleep(Duration::from_millis(500));
            match round % 2 {
                0 => engines(&rig).for_each(|engine| engine.crash()),
                _ => engines(&rig).skip(round / 2).take(1).for_each(|engine| engine.crash()),
            }
        }
        sent.join().expect("no panic")
    });
    let during = sent.since(begin).filter(|answer| answer.body.contains("1207")).count();
    assert_eq!(during, 0, "requests were refused for crashes that they had not caused");
    assert_half_begin(&sent, begin + Duration::from_secs(5));
    Ok(())
}

/// Crashes that are needed as evidence against a request.
const REQUEST_CRASHES: usize = 3;

/// A plain request that crashes servers: always the same but for its id.
fn fatal_call(method: &str, path: &str, number: usize) -> Request {
    let body = if method == "GET" { Vec::new() } else { b"fatal".to_vec() };
    Request { body, ..Request::new(method, path, &format!("fatal{number}")) }
}

/// Sends a request that crashes servers again and again, beside sound ones of the same caller and route,
/// and checks that servers are spared and sound requests served.
fn assert_servers_are_spared_a_request(
    method: &str,
    path: &str,
    interval: Duration,
) -> anyhow::Result<()> {
    let (mut rig, gateways) = rig_with_hosts()?;
    rig.add_server("p3", "app", false)?;
    for (server, _) in &rig.servers {
        server.set_fatal(|arrival| arrival.target.ends_with("/fatal"));
    }
    let end = Instant::now() + CONTACT * 4;
    let fatal_path = format!("{path}fatal");
    let (fatal, sound) = thread::scope(|scope| {
        let fatal = scope.spawn(|| {
            let next = |number| fatal_call(method, &fatal_path, number);
            send_each(&gateways, interval, end, next)
        });
        let sound = scope.spawn(|| {
            send_each(&gateways, Duration::from_millis(40), end, |number| {
                Request::new(method, &format!("{path}{}", number % 50), &format!("sound{number}"))
            })
        });
        (fatal.join().expect("no panic"), sound.join().expect("no panic"))
    });
    let known = crashes(&rig)[REQUEST_CRASHES - 1] + CONTACT;
    let late = late_arrivals(&rig, REQUEST_CRASHES, |arrival| arrival.target.ends_with("/fatal"));
    assert!(late <= MAX_LATE_ARRIVALS, "the fatal request reached servers {late} times");
    assert!(fatal.since(known + CONTACT).count() > 0, "it still comes");
    assert_refused(&fatal, known + CONTACT);
    assert_half_begin(&sound, known + CONTACT);
    Ok(())
}

#[test]
fn a_repeatable_request_that_crashes_servers_is_not_sent_on() -> anyhow::Result<()> {
    assert_servers_are_spared_a_request("GET", "/read/", Duration::from_millis(400))
}

#[test]
fn a_request_that_may_run_once_and_crashes_servers_is_not_sent_on_when_it_comes_again()
-> anyhow::Result<()> {
    assert_servers_are_spared_a_request("POST", "/write/", Duration::from_millis(300))
}

#[test]
fn a_stream_that_crashes_servers_is_not_sent_on_when_it_comes_again() -> anyhow::Result<()> {
    assert_servers_are_spared_a_request("POST", "/chat/", Duration::from_millis(300))
}

#[test]
fn servers_whose_answers_end_inside_an_event_in_an_orderly_way_have_not_crashed()
-> anyhow::Result<()> {
    let (rig, gateways) = rig_with_hosts()?;
    engines(&rig).for_each(|engine| engine.set_behavior(Some(Behavior::EndInside(4))));
    let end = Instant::now() + Duration::from_secs(3);
    send_each(&gateways, Duration::from_millis(200), end, |number| {
        prompt("/long/x", &format!("cut{number}"), &["a1", "a2"])
    });
    engines(&rig).for_each(|engine| engine.set_behavior(None));
    let answer = prompt("/long/x", "whole", &["a1", "a2"]).send(gateways[0].addresses.callers)?;
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    Ok(())
}

/// Guards against blaming the part behind the fatal one, which all requests of a template have: sound requests with
/// another part in the place of the fatal one were refused for minutes.
#[test]
fn sound_prompts_begin_that_share_all_parts_but_the_one_that_crashes_servers() -> anyhow::Result<()>
{
    let (rig, gateways) = rig_with_hosts()?;
    set_fatal_part(&rig);
    let start = Instant::now();
    let end = start + CONTACT * 4;
    let late = |label: &str, number: usize, middle: &str| {
        prompt("/long/x", &format!("{label}{number}"), &["a1", middle, "e1", "e2"])
    };
    let sound = thread::scope(|scope| {
        scope.spawn(|| {
            send_each(&gateways, Duration::from_millis(400), end, |n| late("fatal", n, FATAL_PART))
        });
        scope.spawn(|| {
            send_each(&gateways, Duration::from_millis(100), end, |n| {
                prompt("/long/x", &format!("other{n}"), &["c1", "c2"])
            })
        });
        // The template is new, so nothing has shown that its parts are sound.
        thread::sleep(CONTACT);
        send_each(&gateways, Duration::from_millis(100), end, |n| late("sound", n, "d1"))
    });
    assert!(crashes(&rig).len() >= 3, "the servers crash");
    let known = crashes(&rig).into_iter().take(PART_CRASHES).max().expect("a crash");
    assert_half_begin(&sound, known + CONTACT * 2);
    let after = known + CONTACT;
    let late = rig.servers.iter().flat_map(|(server, _)| server.arrivals());
    let late = late.filter(|arrival| arrival.at > after && has_fatal_part(arrival)).count();
    assert!(late <= MAX_LATE_ARRIVALS, "{late} requests with the fatal part reached servers");
    Ok(())
}
