//! The host's view of configuration, backend servers, peers, time and request counts.

use std::time::{Duration, Instant};

use wasabi_belief::{
    announcement::Announcement, catalog, cluster_clock::ClusterClock, counts::RequestCounts, era,
    members, peers::Peers,
};
use wasabi_core::{
    catalog::Catalog,
    member::{Listing, Member, Phase, Restrictions},
    units::{Era, HostId, Incarnation, RequestRate, Revision, Window},
};
use wasabi_policy::stated_limits;

const SECOND: Duration = Duration::from_secs(1);

fn catalog_at(number: u64) -> Catalog {
    Catalog { version: Revision(number), ..Catalog::default() }
}

#[test]
fn a_configuration_never_goes_back_and_its_confirmation_never_gets_older() {
    let start = Instant::now();
    let mut view = catalog::View::default();
    assert!(view.offer(catalog_at(3), start));
    assert!(!view.offer(catalog_at(2), start + SECOND));
    assert_eq!(view.revision(), Some(Revision(3)));
    assert_eq!(
        view.staleness(start + SECOND),
        Some(SECOND),
        "an old version does not confirm the present one"
    );
    view.confirm(Revision(2), start + SECOND);
    assert_eq!(view.staleness(start + SECOND), Some(SECOND));
    view.confirm(Revision(3), start + SECOND);
    assert_eq!(view.staleness(start + SECOND), Some(Duration::ZERO));
    view.confirm(Revision(3), start);
    assert_eq!(view.staleness(start + SECOND), Some(Duration::ZERO));
    assert!(view.offer(catalog_at(9), start));
    assert_eq!(
        view.staleness(start + SECOND),
        Some(SECOND),
        "a new version has its own time of confirmation"
    );
}

fn member(id: &str, port: u16) -> Member {
    Member {
        id: id.parse().expect("a name"),
        born_ms: 1,
        service: "s".parse().expect("a name"),
        address: ([127, 0, 0, 1], port).into(),
        domain: "d".parse().expect("a name"),
        slots: 1,
        build: Default::default(),
        phase: Phase::Ready,
        reclaimable: false,
    }
}

#[test]
fn a_missing_server_is_dropped_at_once_without_an_outage() {
    let start = Instant::now();
    let mut view = members::View::default();
    assert!(view.offer(start, vec![member("a", 1), member("b", 2)], start));
    assert!(!view.offer(start, vec![member("a", 1), member("b", 2)], start + SECOND / 2));
    assert!(view.offer(start + SECOND, vec![member("a", 1)], start + SECOND));
    assert_eq!(view.get().len(), 1);
}

#[test]
fn lapsed_servers_are_kept_for_a_while_after_an_outage() {
    let start = Instant::now();
    let mut view = members::View::default();
    view.offer(start, vec![member("a", 1), member("b", 2), member("c", 3)], start);
    let back = start + SECOND * 8;
    view.offer(back, vec![member("c", 3)], back);
    assert_eq!(view.get().len(), 3);
    let soon = back + SECOND;
    view.offer(soon, vec![member("a", 1), member("c", 3), member("d", 2)], soon);
    assert_eq!(view.get().len(), 3, "d has taken the address of b");
    let late = back + Duration::from_millis(2_100);
    assert!(!view.expire(late), "the lapsed server was dropped when its address was taken");
    assert_eq!(view.get().len(), 3);
    let mut other = members::View::default();
    other.offer(start, vec![member("a", 1)], start);
    other.offer(back, vec![], back);
    assert_eq!(other.get().len(), 1);
    assert!(other.expire(late));
    assert!(other.get().is_empty());
}

#[test]
fn an_older_list_is_ignored() {
    let start = Instant::now();
    let mut view = members::View::default();
    view.offer(start, vec![member("a", 1)], start + SECOND);
    assert!(!view.offer(start, vec![], start));
    assert_eq!(view.get().len(), 1);
}

/// A host on a full link hears that others have read the store, but gets no list itself.
#[test]
fn a_list_is_outdated_only_while_the_store_answers_other_hosts() {
    let start = Instant::now();
    let max_age = Duration::from_millis(1_750);
    let mut view = members::View::default();
    view.offer(start, vec![member("a", 1)], start);
    // An outage: another host has read shortly before it.
    view.record_proof(start + SECOND / 2, start + SECOND / 2);
    assert!(!view.is_outdated(start + SECOND * 5, max_age));
    view.record_proof(start + SECOND * 3 / 2, start + SECOND * 3 / 2);
    assert!(!view.is_outdated(start + SECOND * 3 / 2, max_age), "it is not old yet");
    assert!(view.is_outdated(start + SECOND * 2, max_age));
    view.offer(start + SECOND * 2, vec![member("a", 1)], start + SECOND * 2);
    assert!(!view.is_outdated(start + SECOND * 2, max_age));
}

#[test]
fn an_instance_takes_work_until_it_leaves_or_starts_again() {
    let start = Instant::now();
    let mut view = members::View::default();
    let first = member("a", 1);
    view.offer(start, vec![first.clone()], start);
    assert!(view.takes_work(&first));
    let again = Member { born_ms: first.born_ms + 1, ..first.clone() };
    assert!(!view.takes_work(&again));
    view.mark_leaving(start, members::instance(&first));
    assert!(!view.takes_work(&first));
    view.offer(start, vec![again.clone()], start);
    assert!(view.takes_work(&again));
    view.offer(start, vec![Member { phase: Phase::Draining, ..again.clone() }], start);
    assert!(!view.takes_work(&again));
}

#[test]
fn an_instance_has_ended_once_another_one_has_its_id_or_has_answered_for_it() {
    let start = Instant::now();
    let mut view = members::View::default();
    let (first, other) = (member("a", 1), member("b", 2));
    view.offer(start, vec![first.clone(), other.clone()], start);
    view.offer(start + SECOND, vec![other], start + SECOND);
    assert!(!view.takes_work(&first));
    assert!(!view.is_replaced(&first), "it may have lost its way to the store");
    let again = Member { born_ms: first.born_ms + 1, ..first.clone() };
    view.offer(start + SECOND * 2, vec![again.clone()], start + SECOND * 2);
    assert!(view.is_replaced(&first) && !view.is_replaced(&again));
    assert!(view.takes_work(&again) && view.lists(&members::instance(&again)));
    assert!(view.mark_ended(start + SECOND * 3, members::instance(&again)));
    assert!(!view.mark_ended(start + SECOND * 3, members::instance(&again)));
    assert!(view.is_replaced(&again) && !view.takes_work(&again));
    assert_eq!(view.get().iter().map(|m| m.phase).collect::<Vec<_>>(), [Phase::Draining]);
}

/// Guards against an entry of another writer, of a former process, or of an older copy of the store that ends the
/// answers of the server at the same address.
#[test]
fn an_entry_proves_the_end_only_of_an_earlier_process_of_its_service() {
    let start = Instant::now();
    let own = Member { born_ms: 5, ..member("a", 1) };
    let other_service =
        |born_ms| Member { born_ms, service: "t".parse().expect("a name"), ..member("b", 1) };
    let former = Member { born_ms: 4, ..member("b", 1) };
    let older_copy = Member { born_ms: 4, ..own.clone() };
    for entry in [other_service(4), other_service(6), former, older_copy] {
        let mut view = members::View::default();
        view.offer(start, vec![own.clone()], start);
        let back = start + SECOND * 8;
        view.offer(back, vec![entry.clone()], back);
        assert!(!view.is_replaced(&own), "{entry:?}");
        let is_kept = entry.id == own.id || view.get().contains(&own);
        assert!(is_kept, "lapsed, but not superseded by {entry:?}");
    }
    let next = Member { born_ms: 6, ..member("b", 1) };
    let mut view = members::View::default();
    view.offer(start, vec![own.clone(), next], start);
    assert!(view.is_replaced(&own));
}

fn host(name: &str) -> HostId {
    name.parse().expect("a name")
}

fn announcement(name: &str) -> Announcement {
    Announcement {
        host: host(name),
        incarnation: Incarnation::fresh(&host(name)),
        domain: "d".parse().expect("a name"),
        leaving: false,
        wall_ms: 1_000,
        truth_ms: (1_000, 0),
        catalog: Some((Revision(4), 200)),
        members: None,
        fence: None,
        shares: None,
        counts: None,
    }
}

#[test]
fn peers_are_live_while_they_are_heard_from() {
    let start = Instant::now();
    let mut peers = Peers::new(host("me"));
    let at = "127.0.0.1:9".parse().expect("an address");
    assert!(!peers.record_announcement(start, at, &announcement("me")));
    let first = announcement("a");
    assert!(peers.record_announcement(start, at, &first), "a first incarnation");
    assert!(!peers.record_announcement(start, at, &first));
    assert!(peers.record_announcement(start, at, &announcement("a")), "another incarnation");
    assert_eq!(peers.live_host_count(start), 2);
    assert!(peers.take_fallen_silent(start).is_empty());
    assert_eq!(peers.take_fallen_silent(start + SECOND * 3), [host("a")]);
    assert!(peers.take_fallen_silent(start + SECOND * 4).is_empty(), "reported once");
    assert_eq!(peers.live_host_count(start + SECOND * 3), 1);
    peers.remove_silent(start + SECOND * 61);
    assert_eq!(peers.all().count(), 0);
}

#[test]
fn the_cluster_time_starts_as_the_median_of_the_wall_clocks() {
    let start = Instant::now();
    let mut clock = ClusterClock::new(start);
    for (name, wall) in [("a", 10_000), ("b", 10_020), ("me", 14_000)] {
        clock.observe_wall_clock(start, &host(name), wall);
    }
    assert_eq!(clock.now_ms(start), 10_020);
    assert_eq!(clock.now_ms(start + SECOND), 11_020);
    clock.observe_wall_clock(start + SECOND, &host("me"), 11_010);
    assert_eq!(clock.now_ms(start + SECOND), 11_010, "the wall clock of this host was corrected");
    let late = start + SECOND * 20;
    clock.observe_wall_clock(late, &host("me"), 30_000);
    assert_eq!(
        clock.now_ms(late),
        30_000,
        "hosts that have not been heard from recently are left out"
    );
}

#[test]
fn counts_add_up_when_reports_are_repeated_or_reordered() {
    let mut counts = RequestCounts::default();
    let me = Incarnation::fresh(&host("me"));
    let other = Incarnation::fresh(&host("other"));
    let workspace = "w".parse().expect("a name");
    for _ in 0..3 {
        counts.count(Window(7), &me, &workspace);
    }
    let theirs = [(workspace.clone(), 5)].into();
    counts.merge(Window(7), &other, &theirs);
    counts.merge(Window(7), &other, &[(workspace.clone(), 4)].into());
    counts.merge(Window(7), &other, &theirs);
    assert_eq!(counts.sum(Window(7))[&workspace], 8);
    assert_eq!(counts.of(&me, 4), [(Window(7), [(workspace.clone(), 3)].into())]);
    for window in 8..40 {
        counts.count(Window(window), &me, &workspace);
    }
    assert!(counts.sum(Window(7)).is_empty(), "old windows are removed");
}

#[test]
fn an_instance_that_said_that_it_leaves_stays_draining_whatever_lists_say() {
    let now = Instant::now();
    let at = |ms: u64| now + Duration::from_millis(ms);
    let mut view = members::View::default();
    let first = member("e1", 1);
    view.offer(now, vec![first.clone(), member("e2", 2)], now);
    assert!(view.mark_leaving(at(10), members::instance(&first)));
    assert!(!view.mark_leaving(at(20), members::instance(&first)), "it is known already");
    let phases = |view: &members::View| view.get().iter().map(|m| m.phase).collect::<Vec<_>>();
    assert_eq!(phases(&view), [Phase::Draining, Phase::Ready]);
    // A later list still names it as ready; after an outage it lapses and comes back.
    view.offer(at(30), vec![first.clone(), member("e2", 2)], at(30));
    assert_eq!(phases(&view), [Phase::Draining, Phase::Ready]);
    view.offer(at(5_000), vec![member("e2", 2)], at(5_000));
    view.offer(at(5_100), vec![first.clone(), member("e2", 2)], at(5_100));
    assert_eq!(phases(&view), [Phase::Draining, Phase::Ready]);
    // Another instance under the same name, and at the same address, is another server.
    let second = Member { born_ms: 2, ..first };
    view.offer(at(8_000), vec![second, member("e2", 2)], at(8_000));
    assert_eq!(phases(&view), [Phase::Ready, Phase::Ready]);
}

#[test]
fn a_restored_store_proves_nothing_until_it_has_had_time_to_be_written_again() {
    let start = Instant::now();
    let mut saw = era::View::default();
    assert_eq!(saw.observe(start, Era(3)), None);
    assert_eq!(saw.observe(start + SECOND, Era(3)), None);
    assert!(saw.is_settled(start + SECOND), "a host that starts has seen no restore");
    let restored = start + SECOND * 9;
    assert_eq!(saw.observe(restored, Era(4)), Some(Era(3)));
    assert_eq!(saw.observe(restored, Era(3)), None, "a late answer of the former era");
    assert!(!saw.is_settled(restored + SECOND));
    assert!(saw.is_settled(restored + SECOND * 2));
    // A host that starts in between learns of it from a peer.
    let mut starts = era::View::default();
    let now = restored + SECOND;
    assert_eq!(starts.observe(now, Era(4)), None);
    assert!(starts.is_settled(now));
    assert_eq!(starts.merge(saw.known().expect("it knows")), None);
    assert!(!starts.is_settled(now));
    assert_eq!(starts.known(), saw.known(), "it counts from the restore");
}

#[test]
fn a_limit_holds_until_a_later_answer_names_none() {
    let start = Instant::now();
    let instance: members::Instance = ("s1".parse().expect("a name"), 1);
    let rate = RequestRate::new(3.5);
    let mut view = stated_limits::View::default();
    assert!(!view.record_answer(start, instance.clone(), None, start), "it never named one");
    assert!(view.record_answer(start + SECOND, instance.clone(), rate, start));
    let early = view.record_answer(start + SECOND * 2, instance.clone(), None, start);
    assert!(!early, "that request was sent before the limit was named");
    assert_eq!(view.limit(&instance), rate);
    view.retain(start + SECOND * 3_600, |_| true);
    assert_eq!(view.limit(&instance), rate, "time alone lifts no limit");
    assert!(view.record_answer(start + SECOND * 3, instance.clone(), None, start + SECOND * 2));
    assert_eq!(view.limit(&instance), None);
}

#[test]
fn the_later_statement_on_a_limit_counts_whoever_passes_it_on() {
    let start = Instant::now();
    let instance: members::Instance = ("s1".parse().expect("a name"), 1);
    let stated = |rate: f64, s: u32| stated_limits::Statement {
        rate: RequestRate::new(rate),
        at: start + SECOND * s,
    };
    let mut view = stated_limits::View::default();
    assert!(view.merge(instance.clone(), stated(2.0, 5)));
    assert!(!view.merge(instance.clone(), stated(9.0, 4)));
    assert!(
        !view.merge(instance.clone(), stated_limits::Statement { rate: None, ..stated(0.0, 3) })
    );
    assert_eq!(view.limit(&instance), RequestRate::new(2.0));
    assert!(view.merge(instance, stated_limits::Statement { rate: None, ..stated(0.0, 6) }));
    assert_eq!(view.limited().count(), 0);
    assert_eq!(view.limit(&("s1".parse().expect("a name"), 2)), None, "another instance");
}

fn ids(view: &members::View) -> Vec<String> {
    view.get().iter().map(|member| member.id.to_string()).collect()
}

#[test]
fn a_host_that_alone_was_cut_off_from_the_store_drops_a_missing_server_at_once() {
    let start = Instant::now();
    let mut view = members::View::default();
    view.offer(start, vec![member("s1", 1), member("s2", 2)], start);
    for s in 1..=4 {
        view.record_proof(start + SECOND * s, start + SECOND * s);
    }
    let now = start + SECOND * 4 + SECOND / 2;
    view.offer(now, vec![member("s1", 1)], now - SECOND / 4);
    assert_eq!(ids(&view), ["s1"], "peers have read the store all the while");
}

#[test]
fn a_return_of_the_store_that_a_peer_saw_first_gives_missing_servers_their_time() {
    let start = Instant::now();
    let mut view = members::View::default();
    view.offer(start, vec![member("s1", 1), member("s2", 2)], start);
    let back = start + SECOND * 10;
    view.record_proof(back, back);
    view.offer(back + SECOND / 4, vec![member("s1", 1)], back + SECOND / 5);
    assert_eq!(ids(&view), ["s1", "s2"]);
    assert!(view.expire(back + SECOND * 3));
    assert_eq!(ids(&view), ["s1"]);
}

fn listing(members: &[Member], cold: &[&str], evacuated: &[&str]) -> Listing {
    let restrictions = Restrictions {
        cold: cold.iter().map(|id| id.parse().expect("a name")).collect(),
        evacuated: evacuated.iter().map(|domain| domain.parse().expect("a name")).collect(),
    };
    Listing { members: members.to_vec(), restrictions }
}

/// Guards against requests to servers of a domain that the operator evacuates, and against full load on
/// them right after, before a list shows whether they are cold.
#[test]
fn servers_of_an_evacuated_domain_are_unused_and_count_as_cold_when_it_ends() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut view = members::View::default();
    let server = member("a", 1);
    let servers = std::slice::from_ref(&server);
    view.offer(start, servers.to_vec(), start);
    let digest = view.digest_age(start).map(|(digest, _)| digest);
    assert!(view.offer(at(500), listing(servers, &[], &["d"]), at(500)));
    assert_ne!(view.digest_age(at(500)).map(|(digest, _)| digest), digest, "peers must notice");
    assert!(!view.takes_work(&server));
    assert_eq!(view.get()[0].phase, Phase::Draining);
    assert!(view.offer(at(9_000), servers.to_vec(), at(9_000)));
    assert!(view.takes_work(&server) && view.is_cold(&server));
    view.offer(at(10_000), listing(servers, &["a"], &[]), at(10_000));
    assert!(view.is_cold(&server));
    view.offer(at(12_000), servers.to_vec(), at(12_000));
    assert!(!view.is_cold(&server), "a list that was read later shows it warm");
}

/// Guards against full load on a server that starts again under its id, from hosts that saw it fail and
/// whose list does not show it yet.
#[test]
fn a_server_that_has_failed_counts_as_cold_until_a_later_list_shows_it_warm() {
    let start = Instant::now();
    let mut view = members::View::default();
    let server = member("a", 1);
    view.offer(start, vec![server.clone()], start);
    assert!(!view.is_cold(&server));
    assert!(view.mark_maybe_cold(start + SECOND, &server));
    assert!(!view.mark_maybe_cold(start + SECOND, &server), "it is known already");
    // While the store is away nothing shows it warm.
    assert!(view.is_cold(&server));
    view.offer(start + SECOND * 2, vec![server.clone()], start + SECOND * 2);
    assert!(view.is_cold(&server), "the entry may be older than the failure");
    view.offer(start + SECOND * 4, vec![server.clone()], start + SECOND * 4);
    assert!(!view.is_cold(&server));
}

/// Guards against an evacuation that is lost with a restore of the store from an older copy.
#[test]
fn an_evacuation_outlives_a_restore_until_the_operator_has_written_it_again() {
    let start = Instant::now();
    let mut view = members::View::default();
    let server = member("a", 1);
    view.offer(start, listing(std::slice::from_ref(&server), &[], &["d"]), start);
    view.on_restored(start + SECOND);
    view.offer(start + SECOND, vec![server.clone()], start + SECOND);
    assert!(!view.takes_work(&server));
    view.offer(start + SECOND * 4, vec![server.clone()], start + SECOND * 4);
    assert!(view.takes_work(&server), "the operator has ended it meanwhile");
}
