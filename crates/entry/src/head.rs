//! Checks of a request's head.

use hyper::{HeaderMap, Uri, header};
use percent_encoding::percent_decode_str;
use wasabi_config::state;
use wasabi_core::errors::{Code, Error, Result};

/// Headers that concern one connection only (RFC 9110, section 7.6.1), or that this hop sets.
const HOP_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "host",
    "expect",
    "x-request-id",
    "x-priority",
];

/// Returns the decoded path, which must be in normal form.
///
/// Encoded slashes and dots could mean one path here and another one behind, so they are refused.
pub fn path(uri: &Uri) -> Result<String> {
    let raw = uri.path();
    let invalid = || Error::new(Code::PathInvalid, "");
    let decoded = percent_decode_str(raw).decode_utf8().map_err(|_| invalid())?;
    let lower = raw.to_ascii_lowercase();
    let hidden = ["%2f", "%2e", "%5c", "%25"].iter().any(|hidden| lower.contains(hidden));
    let strange = decoded.chars().any(|c| c.is_control() || c == '\\');
    if hidden || strange || !state::is_normal(&decoded) {
        return Err(invalid());
    }
    Ok(decoded.into_owned())
}

/// Returns whether a header concerns only the connection that it came on.
pub fn is_hop(name: &header::HeaderName) -> bool {
    HOP_HEADERS.contains(&name.as_str())
}

/// Gets a header's text.
pub fn text(headers: &HeaderMap, name: &str) -> Result<Option<String>> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    let invalid = || Error::new(Code::HeadInvalid, name);
    if values.next().is_some() {
        return Err(invalid());
    }
    Ok(Some(value.to_str().map_err(|_| invalid())?.to_string()))
}
