//! The platform's interface for usage reports, over HTTP.

use std::time::Duration;

use hyper::Method;
use wasabi_core::{
    errors::{Code, Error, Result},
    io::{self, Billing, Report},
};

use crate::http::Endpoint;

/// A client of the usage interface.
pub struct Client {
    endpoint: Endpoint,
}

impl Client {
    /// Creates a client of the usage interface at `endpoint`.
    pub fn new(endpoint: Endpoint) -> Self {
        Self { endpoint }
    }
}

impl Billing for Client {
    fn report(&self, report: &Report) -> Result<()> {
        let body = io::render(report);
        let endpoint = &self.endpoint;
        let response =
            endpoint.call("usage_report", Method::POST, "/usage", Some(&body), Duration::ZERO)?;
        match response.status {
            200 => Ok(()),
            status => Err(Error::new(Code::PlatformRefused, format!("usage: status {status}"))),
        }
    }
}
