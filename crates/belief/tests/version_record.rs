//! The record of the versions that were in service.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use wasabi_belief::{
    origins::Origin,
    version_record::{Comparison, Listed, Record},
};
use wasabi_core::units::Era;

const NOW_MS: u64 = 1_800_000_000_000;

fn origin(build: &str) -> Origin {
    Origin { service: "s".parse().expect("a name"), build: build.parse().expect("a version") }
}

/// A record with these versions as listed at `NOW_MS`.
fn record(era: u64, builds: &[&str]) -> Record {
    let listed: BTreeSet<Origin> = builds.iter().map(|build| origin(build)).collect();
    Record { era: Some(Era(era)), ..Record::default() }.updated(&listed, NOW_MS)
}

#[test]
fn a_record_of_a_former_era_may_lack_versions() {
    let record = record(4, &["v1"]);
    assert!(!record.is_older_copy(Some(Era(4))) && !record.is_older_copy(None));
    assert!(record.is_older_copy(Some(Era(5))));
    assert!(!Record::default().is_older_copy(Some(Era(5))), "whoever wrote it states no era");
}

#[test]
fn what_a_restored_record_lacks_is_added_and_the_rest_stays() {
    let known = record(4, &["v1", "v2", "v3"]).updated(&BTreeSet::from([origin("v2")]), NOW_MS);
    let mut restored = record(4, &["v1"]);
    assert!(restored.add_missing(&known, NOW_MS + 1_000));
    assert_eq!(restored.present(), BTreeSet::from([origin("v1"), origin("v2")]));
    assert_eq!(restored.ages(NOW_MS).count(), 3, "v3 went a second ago");
    assert!(!restored.add_missing(&known, NOW_MS + 1_000));
    let mut later = record(4, &["v2"]);
    assert!(!later.add_missing(&known, NOW_MS + 3_600_000), "v1 and v3 went an hour ago");
}

/// Older builds write the record without the field.
#[test]
fn a_record_without_an_era_is_read_and_written_as_before() {
    let text = r#"{"services":{"s":{"v1":null}}}"#;
    let record: Record = serde_json::from_str(text).expect("a record");
    assert_eq!(record.era, None);
    assert_eq!(serde_json::to_string(&record).expect("it is encoded"), text);
}

/// Guards against a host with an old list that reaches the store and records a version as gone which others use.
#[test]
fn a_version_is_gone_only_once_a_later_list_lacks_it() {
    let start = Instant::now();
    let (old, both) =
        (BTreeSet::from([origin("v1")]), BTreeSet::from([origin("v1"), origin("v2")]));
    let listed = |confirmed_at| Listed { versions: old.clone(), confirmed_at };
    let mut comparison = Comparison::default();
    for seconds in [0, 4, 60] {
        let now = start + Duration::from_secs(seconds);
        assert_eq!(comparison.expected(now, &listed(start), &both), None, "after {seconds} s");
    }
    let now = start + Duration::from_secs(61);
    assert_eq!(comparison.expected(now, &listed(now), &both), Some(old));
}

/// Guards against taking a version for established that a copy of the store may lack, or that was recorded before the
/// others by a fleet that had lost its record.
#[test]
fn only_a_version_that_each_copy_has_proves_where_streams_began() {
    let at = |seconds: u64| NOW_MS + seconds * 1_000;
    let listed = |builds: &[&str]| builds.iter().map(|build| origin(build)).collect();
    let service = origin("v1").service;
    let sole = |record: &Record, ended, now| {
        record.sole_established(&service, at(ended), at(now)).map(|build| build.to_string())
    };
    let first = Record::default().updated(&listed(&["v1"]), NOW_MS);
    assert_eq!(sole(&first, 1, 2).as_deref(), Some("v1"), "it is in the first record");
    let copy = Record { era: Some(Era(1)), ..first };
    let both = copy.updated(&listed(&["v1", "v2"]), at(100));
    assert_eq!(both.unestablished(&service, at(109)).count(), 1);
    assert_eq!(both.unestablished(&service, at(110)).count(), 0);
    assert_eq!(
        sole(&both, 109, 111).as_deref(),
        Some("v1"),
        "the hosts ended before v2 was established"
    );
    assert_eq!(sole(&both, 110, 111), None, "streams may have begun at either");
    let later =
        Record { era: Some(Era(1)), ..Record::default() }.updated(&listed(&["v2"]), at(100));
    assert_eq!(sole(&later, 120, 121), None, "streams of the last 45 s were not kept to it");
    assert_eq!(sole(&later, 160, 161).as_deref(), Some("v2"));
    let gone = copy.updated(&listed(&[]), at(100));
    assert_eq!(sole(&gone, 101, 102), None, "new versions were used once it was gone");
    let mut restored = copy;
    assert!(restored.add_missing(&both, at(101)));
    assert_eq!(restored.unestablished(&service, at(105)).count(), 1, "the time is kept");
}
