//! The interface that takes usage reports, over HTTP.

use std::time::Duration;

use minreq::Method;
use wasabi_core::{
    errors::{Code, Error, Result},
    io::{self, Billing, Report},
};

use crate::http::Endpoint;

/// The usage interface at an endpoint.
pub struct Remote {
    endpoint: Endpoint,
}

impl Remote {
    /// Gets the usage interface at `endpoint`.
    pub fn new(endpoint: Endpoint) -> Self {
        Self { endpoint }
    }
}

impl Billing for Remote {
    fn report(&self, report: &Report) -> Result<()> {
        let body = io::render(report);
        let endpoint = &self.endpoint;
        let answer =
            endpoint.call("usage_report", Method::Post, "/usage", Some(&body), Duration::ZERO)?;
        match answer.status {
            200 => Ok(()),
            status => Err(Error::new(Code::PlatformRefused, format!("usage: status {status}"))),
        }
    }
}
