//! Validation and parsing of a request's path and headers.

use hyper::{HeaderMap, Uri, header};
use percent_encoding::percent_decode_str;
use wasabi_config::state;
use wasabi_core::errors::{Code, Error, Result};

/// Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that the router sets itself.
const UNFORWARDED_HEADERS: &[&str] = &[
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

/// Returns the decoded path.
///
/// Errors: `PathInvalid` if it is not in normal form, or has an encoded slash, backslash, dot or
/// percent sign: the backend server could decode these to another path than the router.
pub fn path(uri: &Uri) -> Result<String> {
    let raw = uri.path();
    let invalid = || Error::new(Code::PathInvalid, "");
    let decoded = percent_decode_str(raw).decode_utf8().map_err(|_| invalid())?;
    let lower = raw.to_ascii_lowercase();
    let ambiguous = ["%2f", "%2e", "%5c", "%25"].iter().any(|escape| lower.contains(escape));
    let forbidden = decoded.chars().any(|c| c.is_control() || c == '\\');
    if ambiguous || forbidden || !state::is_normal(&decoded) {
        return Err(invalid());
    }
    Ok(decoded.into_owned())
}

/// Returns whether a header must not be forwarded: it is hop-by-hop, or the router sets it.
pub fn is_dropped(name: &header::HeaderName) -> bool {
    UNFORWARDED_HEADERS.contains(&name.as_str())
}

/// Returns the value of a header that may occur once.
///
/// Errors: `HeadInvalid` if it occurs more than once or is not visible ASCII.
pub fn single_value(headers: &HeaderMap, name: &str) -> Result<Option<String>> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    let invalid = || Error::new(Code::HeadInvalid, name);
    if values.next().is_some() {
        return Err(invalid());
    }
    Ok(Some(value.to_str().map_err(|_| invalid())?.to_string()))
}
