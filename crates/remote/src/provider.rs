//! The platform's interface for ordering backend servers, over HTTP.

use std::time::Duration;

use hyper::Method;
use wasabi_core::{
    errors::{Code, Error, Result},
    io::{self, Order, Provider, ProvisionedServer},
};

use crate::http::{self, Endpoint};

/// A client of the ordering interface.
pub struct Client {
    endpoint: Endpoint,
}

impl Client {
    /// Creates a client of the ordering interface at `endpoint`.
    pub fn new(endpoint: Endpoint) -> Self {
        Self { endpoint }
    }
}

impl Provider for Client {
    fn order(&self, order: &Order) -> Result<()> {
        let body = io::render(order);
        let endpoint = &self.endpoint;
        let response =
            endpoint.call("order", Method::POST, "/orders", Some(&body), Duration::ZERO)?;
        match response.status {
            200 => Ok(()),
            status => Err(Error::new(Code::PlatformRefused, format!("order: status {status}"))),
        }
    }

    fn is_accepted(&self, intent: &str) -> Result<bool> {
        let path = format!("/orders?intent={intent}");
        let response =
            self.endpoint.call("order_look", Method::GET, &path, None, Duration::ZERO)?;
        match response.status {
            200 => Ok(true),
            404 => Ok(false),
            status => Err(Error::new(Code::PlatformRefused, format!("order: status {status}"))),
        }
    }

    fn servers(&self) -> Result<Vec<ProvisionedServer>> {
        let endpoint = &self.endpoint;
        let response =
            endpoint.call("server_list", Method::GET, "/servers", None, Duration::ZERO)?;
        http::read(&response)
    }
}
