//! Whether an answer can go on with a stream of which its caller has a part.

use hyper::StatusCode;
use wasabi_core::call::{Content, ResponseHead};

/// Checks the head of an answer that is to go on with a stream of the request `id`; the caller keeps the
/// head of the first answer.
///
/// Errors: the cause as logs and metrics name it.
pub fn check(status: StatusCode, head: &ResponseHead, id: &str) -> Result<(), &'static str> {
    let own = head.id.as_deref().unwrap_or_default() == id;
    match () {
        () if status != StatusCode::OK => Err("failed to resume"),
        () if head.content != Content::Events => Err("the stream went on with other content"),
        () if !own => Err("the stream went on without the request's id"),
        () if !head.signed || head.encoded => Err("the stream went on with another's answer"),
        () => Ok(()),
    }
}
