//! What is known of where streams began.

use std::time::Instant;

use wasabi_belief::origins::{Origin, View};

fn origin(build: &str) -> Origin {
    Origin { service: "s".parse().expect("a name"), build: build.parse().expect("a version") }
}

#[test]
fn a_stream_on_which_hosts_do_not_agree_has_no_origin_whoever_speaks_last() {
    let (now, mut view) = (Instant::now(), View::default());
    assert_eq!(view.merge(now, 1, origin("v1")), None);
    assert_eq!(view.merge(now, 1, origin("v1")), None);
    assert_eq!(view.get(1), Some(&origin("v1")));
    assert_eq!(view.merge(now, 1, origin("v2")), Some(origin("v1")));
    for build in ["v1", "v2", "v2"] {
        assert_eq!(view.merge(now, 1, origin(build)), None);
        assert_eq!((view.get(1), view.is_uncertain(1)), (None, true), "{build}");
    }
    assert!(view.own_streams(now).is_empty() && view.take_unannounced(9).is_empty());
}

#[test]
fn a_stream_whose_version_is_not_proven_is_known_and_not_told() {
    let (now, mut view) = (Instant::now(), View::default());
    view.record_unproven(now, 1);
    assert_eq!((view.get(1), view.is_uncertain(1)), (None, true));
    assert!(view.own_streams(now).is_empty() && view.take_unannounced(9).is_empty());
    view.record(now, 1, origin("v1"));
    assert_eq!((view.get(1), view.is_uncertain(1)), (Some(&origin("v1")), false));
    view.record_unproven(now, 1);
    assert_eq!(view.get(1), Some(&origin("v1")), "a proof holds");
}
