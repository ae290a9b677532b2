//! Whether a body that was received to its end is the whole answer.

use serde::de::IgnoredAny;
use wasabi_core::call::{Content, Framing};

use crate::{broken::Broken, events::Splitter};

/// Checks a body that was received to the end that `framing` marks.
///
/// An event stream must not end inside an event. The end of a connection does not show that the
/// answer is whole (RFC 9112, section 8), so a JSON document that ends with it must be complete and
/// a stream must have an event. Other answers that end with an orderly close are taken for whole.
pub fn check(framing: Framing, content: Content, body: &[u8]) -> Result<(), Broken> {
    match (content, framing) {
        (_, Framing::Absent) => Ok(()),
        (Content::Events, Framing::Close) if body.is_empty() => Err(Broken::NoEvent),
        (Content::Events, _) => check_events(body),
        (Content::Json, Framing::Close) => check_document(body),
        _ => Ok(()),
    }
}

fn check_events(body: &[u8]) -> Result<(), Broken> {
    let mut splitter = Splitter::default();
    splitter.push(body)?;
    while splitter.next_event().is_some() {}
    splitter.finish().map(|_| ())
}

fn check_document(body: &[u8]) -> Result<(), Broken> {
    let parsed = serde_json::from_slice::<IgnoredAny>(body);
    parsed.map(|_| ()).map_err(|_| Broken::InsideDocument)
}
