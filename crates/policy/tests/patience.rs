//! The longest wait of streams on routes that share a service.

use std::time::Duration;

use wasabi_core::catalog::{Catalog, Kind, Route};
use wasabi_policy::wait_limit;

fn route(name: &str, rank: u8, target_ms: u64, service: &str) -> Route {
    Route {
        name: name.parse().expect("a name"),
        host: "h".to_string(),
        path: "/".to_string(),
        kind: Kind::ResumableStream,
        timeout: Duration::from_secs(10),
        target: Duration::from_millis(target_ms),
        target_gap: None,
        rank,
        backends: vec![(service.parse().expect("a name"), 1)],
        max_attempts: 2,
        open: false,
        homes: Default::default(),
    }
}

/// Under load both routes have the same expected wait. If each route had a limit by its own target
/// only, the more urgent stream with the shorter target would be refused while the other is
/// accepted.
#[test]
fn a_more_urgent_stream_is_refused_no_sooner_than_a_less_urgent_one() {
    let routes = vec![
        route("short", 0, 300, "llm"),
        route("long", 1, 600, "llm"),
        route("lenient", 1, 5_000, "elsewhere"),
        route("least", 2, 400, "llm"),
    ];
    let catalog = Catalog { routes, ..Catalog::default() };
    let time = Duration::from_secs(10);
    let limit = |index: usize, returning| {
        wait_limit::max_wait(&catalog, &catalog.routes[index], time, returning)
    };
    for returning in [false, true] {
        assert!(limit(0, returning) >= limit(1, returning));
        assert!(limit(1, returning) >= limit(3, returning));
    }
    assert_eq!(limit(0, false), limit(1, false));
    assert!(limit(3, false) < limit(1, false));
    assert!(limit(0, false) < limit(2, false), "another service does not count");
}
