//! When a host finds that its own link to the servers is cut, and when it must not.

use std::time::{Duration, Instant};

use wasabi_belief::link::{Connection, Link};
use wasabi_core::units::ServerId;

const SERVERS: usize = 6;

fn server(number: usize) -> ServerId {
    format!("s{number}").parse().expect("a server id")
}

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

/// A link on which servers fail at `start`, on connections of this kind.
fn failing(start: Instant, servers: usize, connection: Connection) -> Link {
    let mut link = Link::default();
    (0..servers).for_each(|number| link.record_failure(start, &server(number), connection));
    link
}

#[test]
fn servers_that_fail_for_every_host_do_not_cut_the_link() {
    let start = Instant::now();
    let mut link = failing(start, SERVERS, Connection::New);
    let now = after(start, 5_000);
    assert!(link.needs_probe(now, SERVERS));
    // The last answer of a peer is about as old as the first failure here.
    assert!(!link.record_unanswered_probes(now, [after(start, 200)], SERVERS));
    assert!(!link.is_cut());
}

#[test]
fn a_peer_that_is_answered_later_shows_that_the_link_is_cut() {
    let start = Instant::now();
    let mut link = failing(start, 2, Connection::Established);
    assert!(link.record_unanswered_probes(after(start, 700), [after(start, 600)], SERVERS));
    assert!(link.is_cut());
    assert!(link.needs_probe(after(start, 701), SERVERS));
    let cut_for = link.record_answer(after(start, 2_700), Connection::New);
    assert_eq!(cut_for, Some(Duration::from_millis(2_000)));
    assert!(!link.is_cut() && !link.needs_probe(after(start, 5_000), SERVERS));
}

#[test]
fn one_silent_server_puts_the_link_under_no_suspicion() {
    let start = Instant::now();
    let link = failing(start, 1, Connection::Established);
    assert_eq!(link.suspected_since(SERVERS), None);
    assert!(!link.needs_probe(after(start, 5_000), SERVERS));
}

#[test]
fn one_failed_server_is_enough_to_probe_for_a_verdict_that_is_awaited() {
    let start = Instant::now();
    let mut link = failing(start, 1, Connection::Established);
    assert!(link.await_verdict());
    assert!(!link.needs_probe(after(start, 100), SERVERS), "other answers may still come");
    assert!(link.needs_probe(after(start, 150), SERVERS));
    assert!(!link.record_unanswered_probes(after(start, 700), [after(start, 600)], SERVERS));
    link.record_failed_probe(after(start, 700), &server(1));
    assert!(link.record_unanswered_probes(after(start, 700), [after(start, 600)], SERVERS));
}

#[test]
fn an_answer_ends_the_wait_for_a_verdict() {
    let start = Instant::now();
    let mut link = Link::default();
    assert!(!link.await_verdict(), "nothing has failed");
    link.record_failure(start, &server(0), Connection::Established);
    assert!(link.await_verdict());
    link.record_answer(after(start, 50), Connection::Established);
    assert!(!link.await_verdict());
    link.record_failure(after(start, 60), &server(0), Connection::Established);
    link.record_failed_probe(after(start, 70), &server(1));
    assert!(!link.needs_probe(after(start, 500), SERVERS), "nobody waits any more");
}

#[test]
fn a_sole_server_is_enough_for_a_suspicion() {
    let start = Instant::now();
    let link = failing(start, 1, Connection::New);
    assert_eq!(link.suspected_since(1), Some(start));
}

#[test]
fn answers_on_old_connections_do_not_hide_that_new_ones_are_refused() {
    let start = Instant::now();
    let mut link = failing(start, 3, Connection::New);
    assert_eq!(link.record_answer(after(start, 400), Connection::Established), None);
    assert!(link.record_unanswered_probes(after(start, 700), [after(start, 600)], SERVERS));
    assert_eq!(link.record_answer(after(start, 900), Connection::Established), None);
    assert!(link.is_cut() && link.is_in_doubt());
}

#[test]
fn a_cut_that_old_connections_outlast_is_probed_until_a_new_one_is_answered() {
    let start = Instant::now();
    let mut link = failing(start, 2, Connection::Established);
    assert!(link.record_unanswered_probes(after(start, 700), [after(start, 600)], SERVERS));
    link.record_answer(after(start, 900), Connection::Established);
    assert!(link.is_in_doubt() && link.needs_probe(after(start, 901), SERVERS));
    link.record_answer(after(start, 950), Connection::New);
    assert!(!link.is_in_doubt());
}

#[test]
fn an_answer_before_the_probes_ends_the_suspicion() {
    let start = Instant::now();
    let mut link = failing(start, 3, Connection::Established);
    assert!(!link.needs_probe(after(start, 100), SERVERS), "other answers may still come");
    link.record_answer(after(start, 120), Connection::Established);
    assert!(!link.needs_probe(after(start, 500), SERVERS));
    assert!(!link.record_unanswered_probes(after(start, 700), [after(start, 600)], SERVERS));
}

#[test]
fn what_is_announced_has_the_age_of_the_last_answer() {
    let start = Instant::now();
    let mut link = Link::default();
    assert_eq!(link.report(start).answered_ms, None);
    link.record_answer(start, Connection::Established);
    assert_eq!(link.report(after(start, 250)).answered_ms, Some(250));
}
