//! Tests of what shows that a server lives after it has ended a connection.

use std::io;

use wasabi_answer::{
    broken::Broken,
    evidence::{self, Evidence},
};
use wasabi_core::call::{Content, Framing};

#[test]
fn an_end_is_believed_only_of_a_server_that_lives() {
    for evidence in [Evidence::Open, Evidence::Accepted, Evidence::Unidentified] {
        assert_eq!(evidence.check(), Ok(()), "{evidence:?}");
    }
    for evidence in [Evidence::Refused, Evidence::Replaced] {
        assert_eq!(evidence.check(), Err(Broken::ServerGone), "{evidence:?}");
    }
    assert_eq!(Evidence::Unanswered.check(), Err(Broken::EndUnconfirmed));
    for broken in [Broken::ServerGone, Broken::EndUnconfirmed] {
        assert!(Broken::is_abrupt(broken.cause(), Framing::Close), "{broken}");
    }
}

#[test]
fn only_a_server_that_refuses_is_gone() {
    let judge = |kind: io::ErrorKind| {
        Evidence::of_connecting(Some(&io::Result::<()>::Err(io::Error::from(kind))))
    };
    assert_eq!(Evidence::of_connecting(Some(&io::Result::Ok(()))), Evidence::Accepted);
    assert_eq!(judge(io::ErrorKind::ConnectionRefused), Evidence::Refused);
    assert_eq!(judge(io::ErrorKind::ConnectionReset), Evidence::Accepted);
    for kind in [io::ErrorKind::HostUnreachable, io::ErrorKind::AddrNotAvailable] {
        assert_eq!(judge(kind), Evidence::Unanswered);
    }
    assert_eq!(Evidence::of_connecting::<()>(None), Evidence::Unanswered);
}

#[test]
fn an_answer_that_shows_its_own_end_needs_no_evidence() {
    let needed =
        |framing, content, body: &str| evidence::is_needed(framing, content, body.as_bytes());
    for framing in [Framing::Length, Framing::Chunked, Framing::Absent] {
        assert!(!needed(framing, Content::Events, "data: x\n\n"), "{framing:?}");
    }
    for body in ["{\"a\": 1}\n", "[1]", "\"text\"", "true"] {
        assert!(!needed(Framing::Close, Content::Json, body), "{body}");
    }
    assert!(needed(Framing::Close, Content::Json, "12"), "a number may go on");
    for content in [Content::Events, Content::Other, Content::Unstated] {
        assert!(needed(Framing::Close, content, "{\"a\": 1}"), "{content:?}");
    }
}
