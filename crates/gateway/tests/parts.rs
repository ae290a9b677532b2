//! Tests of the event splitter, the settings and error responses, without a network.

use std::time::Duration;

use quickcheck::quickcheck;
use wasabi_answer::broken::Broken;
use wasabi_core::{
    call::Framing,
    errors::{Code, Error, Ran},
};
use wasabi_gateway::{
    receive::response,
    send::events::Sequence,
    settings::{self, Memory},
};

fn event(id: u64) -> String {
    format!("id: {id}\r\ndata: text {id}\n\n")
}

quickcheck! {
    fn events_come_out_whole_and_in_order_however_they_are_cut(cuts: Vec<u8>, count: u8) -> bool {
        let text: String = (1..=u64::from(count % 20)).map(event).collect();
        let mut events = Sequence::default();
        let mut out = Vec::new();
        let mut rest = text.as_bytes();
        let mut cuts = cuts.into_iter();
        while !rest.is_empty() {
            let at = usize::from(cuts.next().unwrap_or(7)).clamp(1, rest.len());
            let (part, left) = rest.split_at(at);
            if let Ok(Some(whole)) = events.push(part) {
                if !whole.ends_with(b"\n\n") {
                    return false;
                }
                out.extend_from_slice(&whole);
            }
            rest = left;
        }
        out == text.as_bytes() && events.finish(Framing::Chunked) == Ok(None)
    }

    fn a_stream_that_goes_on_has_no_gap_and_no_repeat(broken: u8, overlap: u8) -> bool {
        let last = u64::from(broken % 10) + 1;
        let mut events = Sequence::default();
        let mut out = Vec::new();
        let first: String = (1..=last).map(event).collect();
        out.extend(events.push(first.as_bytes()).ok().flatten().unwrap_or_default());
        let partial = events.push(b"id: 99\nda");
        events.start_part();
        let from = last.saturating_sub(u64::from(overlap % 4)) + 1;
        let second: String = (from..=12).map(event).collect();
        out.extend(events.push(second.as_bytes()).ok().flatten().unwrap_or_default());
        let expected: String = (1..=12).map(event).collect();
        partial == Ok(None) && out == expected.as_bytes() && events.last_id() == Some(12)
    }

    fn resumed_parts_leave_no_gap_and_repeat_nothing(after: u8, parts: Vec<Vec<u8>>) -> bool {
        let after = u64::from(after % 4);
        let mut events = Sequence::after(Some(after));
        let mut out = Vec::new();
        for part in parts {
            events.start_part();
            let text: String = part.iter().map(|id| event(u64::from(id % 12))).collect();
            out.extend(events.push(text.as_bytes()).ok().flatten().unwrap_or_default());
        }
        let last = events.last_id().unwrap_or(after);
        let expected: String = (after + 1..=last).map(event).collect();
        out == expected.as_bytes()
    }
}

#[test]
fn events_without_an_id_pass() {
    let mut events = Sequence::default();
    let whole = events.push(b": comment\n\nevent: x\ndata: y\n\nid: 3\ndata\n\nrest");
    let whole = whole.expect("small events").expect("events");
    assert_eq!(&whole[..], b": comment\n\nevent: x\ndata: y\n\nid: 3\ndata\n\n");
    assert_eq!(events.partial_bytes(), b"rest".len());
    assert_eq!(events.finish(Framing::Chunked), Err(Broken::InsideEvent));
}

const VALID_SETTINGS: &str = r#"{"host": "h", "domain": "d", "callers": "127.0.0.1:1",
    "ready": "127.0.0.1:2", "peers": "127.0.0.1:3", "operators": "127.0.0.1:4",
    "objects": "127.0.0.1:5", "duties": null, "bounds": {"withdraw_ms": 5000, "stop_s": 8.5,
    "lease_ms": 3000, "usage_window_s": 5, "usage_due_s": 10, "repeat_ratio": 0.2,
    "repeat_window_s": 10, "repeat_allowance": 54}}"#;

#[test]
fn settings_are_read_and_every_problem_is_named_at_once() {
    let settings = settings::parse(VALID_SETTINGS).expect("they are valid");
    assert_eq!(settings.duties, None);
    assert!(settings.bounds.max_key_proof_age() < Duration::from_millis(5_000));
    assert_eq!(settings.bounds.leave_ms, 2_000, "older files do not name it");
    assert!(settings.bounds.max_server_list_age() < Duration::from_millis(2_000));
    let short = VALID_SETTINGS.replace("\"stop_s\": 8.5", "\"stop_s\": 8.5, \"leave_ms\": 900");
    let problems = settings::parse(&short).expect_err("it is too short");
    assert!(problems[0].to_string().contains("bounds.leave_ms"), "{problems:?}");
    let invalid = VALID_SETTINGS
        .replace("\"domain\": \"d\", ", "")
        .replace("127.0.0.1:1\"", "here\"")
        .replace("\"stop_s\": 8.5", "\"stop_s\": 0")
        .replace("\"lease_ms\": 3000", "\"lease_ms\": 3")
        .replace("\"duties\": null", "\"colour\": 1");
    let problems = settings::parse(&invalid).expect_err("they are not valid");
    let text: Vec<String> = problems.iter().map(ToString::to_string).collect();
    for part in ["domain: is missing", "callers: ", "bounds.stop_s", "bounds.lease_ms", "colour"] {
        assert!(text.iter().any(|line| line.contains(part)), "{part}: {text:?}");
    }
    assert!(text.iter().all(|line| line.starts_with("E2201")));
    assert!(settings::parse("[]").is_err());
    assert!(settings::parse("{").is_err());
}

/// Callers take some statuses as a promise that the request has not run, and repeat it. Those must
/// not be sent for a request that may have run.
#[test]
fn no_status_promises_what_is_not_known() {
    for code in Code::ALL {
        for ran in [Ran::Unknown, Ran::Yes] {
            let error = Error::new(*code, "").ran(ran);
            let status = response::error_response(&error).status().as_u16();
            assert!(!matches!(status, 408 | 421 | 429 | 503), "{code:?} {ran:?}: {status}");
        }
    }
    let refusal = response::retry_later(Code::Overloaded, "", Duration::from_millis(1_250));
    let refused = response::error_response(&refusal);
    assert_eq!(refused.status().as_u16(), 503);
    assert_eq!(refused.headers()["retry-after"], "1.25");
}

/// A required setting that is null must be reported by name, like one that is missing.
#[test]
fn the_memory_of_a_host_is_checked_wherever_it_is_stated() {
    for text in ["110", " 260 ", "260.0"] {
        let memory: Memory = text.parse().expect("a memory");
        assert!(memory.bodies() + memory.responses() < 200_000_000, "{text}");
    }
    for text in ["", "12", "1e99", "-5", "much"] {
        let error = text.parse::<Memory>().expect_err(text);
        assert_eq!(error.code.number(), 2201, "{text}");
    }
}

#[test]
fn a_setting_that_is_null_is_named() {
    let problems = settings::parse(r#"{"host": null, "domain": null}"#).expect_err("not valid");
    let named = |name: &str| problems.iter().any(|problem| problem.to_string().contains(name));
    assert!(named("host: ") && named("domain: "), "{problems:?}");
}
