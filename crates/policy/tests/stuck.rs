//! When an answer whose parts keep arriving is given up.

use std::time::{Duration, Instant};

use wasabi_policy::stuck::{Due, EVENT_GAP_TIMEOUT, MOVE_DELAY, Watch};

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
fn a_stream_leaves_a_server_without_progress_some_time_after_it_counts_as_stuck() {
    let began = Instant::now();
    let mut watch = Watch::new(began, began + 60_000 * MS, 700 * MS);
    assert_eq!(watch.remaining(began), 700 * MS);
    assert_eq!(watch.due(began + 699 * MS), None);
    assert_eq!(watch.due(began + 700 * MS), Some(Due::Stuck));
    assert_eq!(watch.due(began + 700 * MS), None);
    let leaves = began + 700 * MS + MOVE_DELAY;
    assert_eq!(watch.remaining(began + 700 * MS), MOVE_DELAY);
    assert_eq!(watch.due(leaves), Some(Due::Leave));
    assert_eq!(watch.due(leaves), None);
    assert_eq!(watch.remaining(leaves), 60_000 * MS - 700 * MS - MOVE_DELAY);
}

#[test]
fn a_stream_that_has_begun_leaves_its_server_when_that_counts_as_stuck() {
    let began = Instant::now();
    let mut watch = Watch::new(began, began + 60_000 * MS, 700 * MS);
    let event = began + 600 * MS;
    watch.record_event(event);
    assert_eq!(watch.due(event + EVENT_GAP_TIMEOUT - MS), None);
    let stuck = event + EVENT_GAP_TIMEOUT;
    assert_eq!([0; 3].map(|_| watch.due(stuck)), [Some(Due::Stuck), Some(Due::Leave), None]);
}
