//! Heads that consist of the beginning of one answer and all of the next.
//!
//! HTTP lets almost any text stand in a reason phrase and in the value of a header (RFC 9112, section 4; RFC 9110,
//! section 5.5). So an answer that breaks off there takes in the status line of the next one: the status, and
//! what stands before the break, belong to another request than the rest.

use hyper::{Response, ext::ReasonPhrase};

/// Returns whether a status line stands inside the head of a response, in its phrase or in a header.
pub fn is_joined<B>(response: &Response<B>) -> bool {
    let phrase = response.extensions().get::<ReasonPhrase>().map(ReasonPhrase::as_bytes);
    let values = response.headers().values().map(|value| value.as_bytes());
    values.chain(phrase).any(|text| text.windows(12).any(is_status_line))
}

fn is_status_line(bytes: &[u8]) -> bool {
    match bytes {
        [b'H', b'T', b'T', b'P', b'/', b'1', b'.', _, b' ', code @ ..] => {
            code.iter().all(u8::is_ascii_digit)
        }
        _ => false,
    }
}
