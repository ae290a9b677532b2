//! The platform's list of hosts, over HTTP.

use std::time::Duration;

use hyper::Method;
use wasabi_core::{
    errors::Result,
    io::{Host, Roster},
};

use crate::http::{self, Endpoint};

/// A client of the host list.
pub struct Client {
    endpoint: Endpoint,
}

impl Client {
    /// Creates a client of the host list at `endpoint`.
    pub fn new(endpoint: Endpoint) -> Self {
        Self { endpoint }
    }
}

impl Roster for Client {
    fn hosts(&self) -> Result<Vec<Host>> {
        let response =
            self.endpoint.call("host_list", Method::GET, "/hosts", None, Duration::ZERO)?;
        http::read(&response)
    }
}
