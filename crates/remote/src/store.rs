//! The platform's object API, over HTTP.

use std::time::Duration;

use hyper::Method;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use wasabi_core::{
    data,
    errors::{self, Code, Error, Result},
    io::{Condition, Object, Store, WatchResult},
    units::Version,
};

use crate::http::{self, Endpoint, Response};

/// A client of the object API.
pub struct Client {
    endpoint: Endpoint,
}

data! {
    /// The body of the response to a write.
    pub struct Written {
        /// The object's new version.
        pub version: Version,
    }
}

impl Client {
    /// Creates a client of the object API at `endpoint`.
    pub fn new(endpoint: Endpoint) -> Self {
        Self { endpoint }
    }

    fn call(&self, kind: &'static str, method: Method, path: &str) -> Result<Response> {
        self.endpoint.call(kind, method, path, None, Duration::ZERO)
    }
}

fn encode(text: &str) -> String {
    utf8_percent_encode(text, NON_ALPHANUMERIC).to_string()
}

fn status_error(key: &str, response: &Response) -> Error {
    match response.status {
        409 => errors::conflict(key),
        404 => Error::new(Code::ObjectMissing, key),
        status => Error::new(Code::PlatformRefused, format!("{key}: status {status}")),
    }
}

impl Store for Client {
    fn get(&self, key: &str) -> Result<Option<Object>> {
        let path = format!("/objects?key={}", encode(key));
        let response = self.call("store_get", Method::GET, &path)?;
        match response.status {
            200 => http::read(&response).map(Some),
            404 => Ok(None),
            _ => Err(status_error(key, &response)),
        }
    }

    fn put(&self, key: &str, value: &str, condition: Condition) -> Result<Version> {
        let condition = match condition {
            Condition::Absent => "absent".to_string(),
            Condition::At(version) => version.to_string(),
        };
        let path = format!("/objects?key={}&if={condition}", encode(key));
        let endpoint = &self.endpoint;
        let response =
            endpoint.call("store_put", Method::PUT, &path, Some(value), Duration::ZERO)?;
        if response.status != 200 {
            return Err(status_error(key, &response));
        }
        http::read::<Written>(&response).map(|written| written.version)
    }

    fn delete(&self, key: &str, version: Version) -> Result<()> {
        let path = format!("/objects?key={}&if={version}", encode(key));
        let response = self.call("store_delete", Method::DELETE, &path)?;
        match response.status {
            200 | 404 => Ok(()),
            _ => Err(status_error(key, &response)),
        }
    }

    fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Object>> {
        let path = format!("/list?prefix={}&after={}&limit={limit}", encode(prefix), encode(after));
        let response = self.call("store_list", Method::GET, &path)?;
        http::read(&response)
    }

    fn watch(&self, prefix: &str, since: Version, wait: Duration) -> Result<WatchResult> {
        let wait_ms = wait.as_millis();
        let path = format!("/watch?prefix={}&since={since}&wait_ms={wait_ms}", encode(prefix));
        let response = self.endpoint.call("store_watch", Method::GET, &path, None, wait)?;
        http::read(&response)
    }
}
