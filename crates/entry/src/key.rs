//! Extracts the caller's API key and keeps it out of everything that is forwarded to a server.

use hyper::{
    Uri,
    header::{self, HeaderMap, HeaderName},
};
use percent_encoding::{percent_decode, percent_decode_str};
use serde_json::Value;
use wasabi_core::errors::{Code, Error, Result};

const API_KEY: HeaderName = HeaderName::from_static("x-api-key");
const BEARER_PREFIX: &str = "bearer ";
const KEY_QUERY_PARAMS: &[&str] = &["key", "api_key", "api-key", "apikey", "access_token", "token"];

/// Returns the API key from the `Authorization` or `x-api-key` header or the query, if any.
///
/// Errors: `KeyConflict` if the request carries different keys; `KeyUnknown` if
/// `Authorization` is not a bearer token or a header value is not text.
pub fn find(headers: &HeaderMap, uri: &Uri) -> Result<Option<String>> {
    let mut found: Vec<String> = Vec::new();
    for value in headers.get_all(header::AUTHORIZATION) {
        found.push(parse_bearer(value)?);
    }
    for value in headers.get_all(&API_KEY) {
        let text = value.to_str().map_err(|_| Error::new(Code::KeyUnknown, ""))?;
        found.push(text.trim().to_string());
    }
    found.extend(query_pairs(uri).filter(|(name, _)| is_key_param(name)).map(|(_, value)| value));
    let Some(first) = found.first() else { return Ok(None) };
    if found.iter().any(|other| other != first) {
        return Err(Error::new(Code::KeyConflict, ""));
    }
    Ok(Some(first.clone()))
}

fn parse_bearer(value: &header::HeaderValue) -> Result<String> {
    let unknown = || Error::new(Code::KeyUnknown, "");
    let text = value.to_str().map_err(|_| unknown())?.trim();
    let scheme = text.get(..BEARER_PREFIX.len()).ok_or_else(unknown)?;
    if !scheme.eq_ignore_ascii_case(BEARER_PREFIX) {
        return Err(unknown());
    }
    Ok(text[BEARER_PREFIX.len()..].trim().to_string())
}

/// Returns whether a header may be forwarded to a backend server: `false` for headers that carry
/// credentials and for values that contain the key, also percent-encoded.
pub fn may_forward(name: &HeaderName, value: &header::HeaderValue, secret: Option<&str>) -> bool {
    let carries = [header::AUTHORIZATION, header::COOKIE, API_KEY].contains(name);
    let decoded: Vec<u8> = percent_decode(value.as_bytes()).collect();
    !carries && !secret.is_some_and(|secret| contains(&decoded, secret))
}

/// Returns the query without the parameters that carry a key, or `None` if no parameter is left.
pub fn clean_query(uri: &Uri, secret: Option<&str>) -> Option<String> {
    let parts = uri.query()?.split('&').filter(|part| {
        let (name, value) = part.split_once('=').unwrap_or((part, ""));
        let holds_key = secret.is_some_and(|s| contains(decode(value).as_bytes(), s));
        !is_key_param(&decode(name)) && !holds_key
    });
    let query = parts.collect::<Vec<_>>().join("&");
    (!query.is_empty()).then_some(query)
}

/// Returns whether `text` contains the key, ignoring ASCII case.
pub fn contains(text: &[u8], secret: &str) -> bool {
    let secret = secret.as_bytes();
    !secret.is_empty() && text.windows(secret.len()).any(|part| part.eq_ignore_ascii_case(secret))
}

/// Returns whether a body contains the key: verbatim, percent-encoded or escaped in JSON.
pub fn is_in_body(body: &[u8], secret: &str) -> bool {
    if contains(body, secret) {
        return true;
    }
    let percent_encoded = body.contains(&b'%');
    if percent_encoded && contains(&percent_decode(body).collect::<Vec<u8>>(), secret) {
        return true;
    }
    // The key can differ from its verbatim form in JSON only if the body has an escape, so other
    // bodies need not be parsed.
    let escaped = body.contains(&b'\\');
    escaped && serde_json::from_slice(body).is_ok_and(|value| json_contains(&value, secret))
}

fn json_contains(value: &Value, secret: &str) -> bool {
    match value {
        Value::String(text) => contains(text.as_bytes(), secret),
        Value::Array(items) => items.iter().any(|item| json_contains(item, secret)),
        Value::Object(fields) => fields
            .iter()
            .any(|(name, item)| contains(name.as_bytes(), secret) || json_contains(item, secret)),
        _ => false,
    }
}

fn is_key_param(name: &str) -> bool {
    KEY_QUERY_PARAMS.iter().any(|known| name.eq_ignore_ascii_case(known))
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
