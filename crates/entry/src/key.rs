//! Finds the caller's key, and keeps it from going any further.

use hyper::{
    Uri,
    header::{self, HeaderMap, HeaderName},
};
use percent_encoding::{percent_decode, percent_decode_str};
use serde_json::Value;
use wasabi_core::errors::{Code, Error, Result};

const API_KEY: HeaderName = HeaderName::from_static("x-api-key");
const BEARER: &str = "bearer ";
const QUERY_NAMES: &[&str] = &["key", "api_key", "api-key", "apikey", "access_token", "token"];

/// Gets the whole key that the request carries, if any.
///
/// Errors: `KeyConflict` if it carries different keys.
pub fn find(headers: &HeaderMap, uri: &Uri) -> Result<Option<String>> {
    let mut found: Vec<String> = Vec::new();
    for value in headers.get_all(header::AUTHORIZATION) {
        found.push(bearer(value)?);
    }
    for value in headers.get_all(&API_KEY) {
        let text = value.to_str().map_err(|_| Error::new(Code::KeyUnknown, ""))?;
        found.push(text.trim().to_string());
    }
    found.extend(query_pairs(uri).filter(|(name, _)| is_key_name(name)).map(|(_, value)| value));
    let Some(first) = found.first() else { return Ok(None) };
    if found.iter().any(|other| other != first) {
        return Err(Error::new(Code::KeyConflict, ""));
    }
    Ok(Some(first.clone()))
}

fn bearer(value: &header::HeaderValue) -> Result<String> {
    let unknown = || Error::new(Code::KeyUnknown, "");
    let text = value.to_str().map_err(|_| unknown())?.trim();
    let scheme = text.get(..BEARER.len()).ok_or_else(unknown)?;
    if !scheme.eq_ignore_ascii_case(BEARER) {
        return Err(unknown());
    }
    Ok(text[BEARER.len()..].trim().to_string())
}

/// Returns whether a header may go on to a backend server, as far as the key is concerned.
pub fn may_pass(name: &HeaderName, value: &header::HeaderValue, secret: Option<&str>) -> bool {
    let carries = [header::AUTHORIZATION, header::COOKIE, API_KEY].contains(name);
    let decoded: Vec<u8> = percent_decode(value.as_bytes()).collect();
    !carries && !secret.is_some_and(|secret| contains(&decoded, secret))
}

/// Returns the query without the parts that carry a key, or `None` if nothing is left.
pub fn clean_query(uri: &Uri, secret: Option<&str>) -> Option<String> {
    let parts = uri.query()?.split('&').filter(|part| {
        let (name, value) = part.split_once('=').unwrap_or((part, ""));
        let hidden = secret.is_some_and(|s| contains(decode(value).as_bytes(), s));
        !is_key_name(&decode(name)) && !hidden
    });
    let query = parts.collect::<Vec<_>>().join("&");
    (!query.is_empty()).then_some(query)
}

/// Returns whether `text` holds the key in any casing.
pub fn contains(text: &[u8], secret: &str) -> bool {
    let secret = secret.as_bytes();
    !secret.is_empty() && text.windows(secret.len()).any(|part| part.eq_ignore_ascii_case(secret))
}

/// Returns whether a body holds the key, as it stands or as JSON or a form would write it.
pub fn is_in_body(body: &[u8], secret: &str) -> bool {
    if contains(body, secret) {
        return true;
    }
    let encoded = body.contains(&b'%');
    if encoded && contains(&percent_decode(body).collect::<Vec<u8>>(), secret) {
        return true;
    }
    // Only an escape can hide the key in JSON text.
    let escaped = body.contains(&b'\\');
    escaped && serde_json::from_slice(body).is_ok_and(|value| is_in_json(&value, secret))
}

fn is_in_json(value: &Value, secret: &str) -> bool {
    match value {
        Value::String(text) => contains(text.as_bytes(), secret),
        Value::Array(items) => items.iter().any(|item| is_in_json(item, secret)),
        Value::Object(fields) => fields
            .iter()
            .any(|(name, item)| contains(name.as_bytes(), secret) || is_in_json(item, secret)),
        _ => false,
    }
}

fn is_key_name(name: &str) -> bool {
    QUERY_NAMES.iter().any(|known| name.eq_ignore_ascii_case(known))
}

fn query_pairs(uri: &Uri) -> impl Iterator<Item = (String, String)> {
    let parts = uri.query().unwrap_or("").split('&').filter(|part| !part.is_empty());
    parts.map(|part| {
        let (name, value) = part.split_once('=').unwrap_or((part, ""));
        (decode(name), decode(value))
    })
}

fn decode(text: &str) -> String {
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}
