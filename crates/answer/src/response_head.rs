//! Whether the head of a response is one: its status, and that it consists of one head.
//!
//! HTTP lets almost any text stand in a reason phrase and in the value of a header (RFC 9112, section 4; RFC 9110,
//! section 5.5). So an answer that breaks off there takes in the status line of the next one: the status, and
//! what stands before the break, belong to another request than the rest.

use hyper::{Response, StatusCode, ext::ReasonPhrase};

use crate::broken::Broken;

/// Checks the head of a final response, whoever sent it; every client calls this before it uses the response.
///
/// Errors: `StatusInvalid` if the status is not one of RFC 9110, section 15, or that of an interim response
/// (`hyper` reads any number from 100 to 999, and takes 101 for final); `HeadJoined` if a status line stands
/// inside the head, in its phrase or in a header.
pub fn check<B>(response: &Response<B>) -> Result<(), Broken> {
    if !is_final(response.status()) {
        return Err(Broken::StatusInvalid);
    }
    let phrase = response.extensions().get::<ReasonPhrase>().map(ReasonPhrase::as_bytes);
    let values = response.headers().values().map(|value| value.as_bytes());
    match values.chain(phrase).any(|text| text.windows(12).any(is_status_line)) {
        true => Err(Broken::HeadJoined),
        false => Ok(()),
    }
}

fn is_final(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}

fn is_status_line(bytes: &[u8]) -> bool {
    match bytes {
        [b'H', b'T', b'T', b'P', b'/', b'1', b'.', _, b' ', code @ ..] => {
            code.iter().all(u8::is_ascii_digit)
        }
        _ => false,
    }
}
