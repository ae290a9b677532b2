//! When an answer whose parts keep arriving is given up.

use std::time::{Duration, Instant};

use wasabi_policy::stuck::{Due, EVENT_GAP_TIMEOUT, Watch};

const MS: Duration = Duration::from_millis(1);

#[test]
fn the_deadline_is_due_however_closely_parts_follow_each_other() {
    let began = Instant::now();
    let mut watch = Watch::new(began, began + 3_000 * MS, Duration::MAX);
    for ms in 0..3_000 {
        assert_eq!(watch.due(began + ms * MS), None);
    }
    assert_eq!(watch.due(began + 3_000 * MS), Some(Due::Deadline));
    assert_eq!(watch.remaining(began + 3_001 * MS), Duration::ZERO);
}

#[test]
fn a_server_without_progress_is_stuck_once_until_it_shows_some() {
    let began = Instant::now();
    let mut watch = Watch::new(began, began + 60_000 * MS, 700 * MS);
    assert_eq!(watch.remaining(began), 700 * MS);
    assert_eq!(watch.due(began + 699 * MS), None);
    assert_eq!(watch.due(began + 700 * MS), Some(Due::Stuck));
    assert_eq!(watch.due(began + 701 * MS), None);
    let event = began + 800 * MS;
    watch.record_event(event);
    assert_eq!(watch.due(event + EVENT_GAP_TIMEOUT - MS), None);
    assert_eq!(watch.due(event + EVENT_GAP_TIMEOUT), Some(Due::Stuck));
    assert_eq!(watch.remaining(event), 60_000 * MS - 800 * MS);
}
