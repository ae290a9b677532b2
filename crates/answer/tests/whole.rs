//! Tests of the check that an answer is whole.

use wasabi_answer::{broken::Broken, whole};
use wasabi_core::call::{Content, Framing};

const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunked, Framing::Close];

#[test]
fn a_stream_is_whole_only_between_events() {
    for framing in FRAMINGS {
        let check = |body: &[u8]| whole::check(framing, Content::Events, body);
        assert_eq!(check(b"data: x\n\n"), Ok(()));
        assert_eq!(check(b"data: x\n\ndata: y\n"), Err(Broken::InsideEvent));
    }
    assert_eq!(whole::check(Framing::Close, Content::Events, b""), Err(Broken::NoEvent));
    assert_eq!(whole::check(Framing::Chunked, Content::Events, b""), Ok(()));
}

#[test]
fn a_document_that_ends_with_its_connection_must_be_complete() {
    let check = |framing, body: &[u8]| whole::check(framing, Content::Json, body);
    for cut in [&b""[..], b"{\"a\": 1", b"[1, 2", b"\"te"] {
        assert_eq!(check(Framing::Close, cut), Err(Broken::InsideDocument));
        assert_eq!(check(Framing::Length, cut), Ok(()));
    }
    assert_eq!(check(Framing::Close, b"{\"a\": 1}\n"), Ok(()));
}

#[test]
fn an_answer_without_a_body_is_whole() {
    for content in [Content::Json, Content::Events, Content::Unstated] {
        assert_eq!(whole::check(Framing::Absent, content, b""), Ok(()));
    }
}

#[test]
fn contents_are_told_by_their_media_type() {
    for (value, content) in [
        (None, Content::Unstated),
        (Some("text/event-stream"), Content::Events),
        (Some("Text/Event-Stream; charset=utf-8"), Content::Events),
        (Some("application/json"), Content::Json),
        (Some("application/problem+json;charset=utf-8"), Content::Json),
        (Some("text/plain"), Content::Other),
        (Some(""), Content::Other),
    ] {
        assert_eq!(Content::of(value), content, "{value:?}");
    }
}
