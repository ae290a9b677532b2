//! Stand-in of the platform's interface for duties: it takes usage reports and orders, and checks fencing tokens.

use std::{
    collections::HashMap,
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex},
};

use crate::http;

/// Starts it and returns its address.
pub fn start() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let highest: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    http::listen(listener, Arc::default(), move |mut connection, _| {
        while let Ok(request) = connection.request() {
            let token = request.header("Fencing-Token").and_then(|text| text.parse().ok());
            let status = {
                let mut highest = highest.lock().unwrap();
                let known = highest.entry(request.target.clone()).or_default();
                match token {
                    Some(token) if token >= *known => {
                        *known = token;
                        200
                    }
                    Some(_) => 409,
                    None => 400,
                }
            };
            if connection.respond(status, &[], "").is_err() {
                return;
            }
        }
    })?;
    Ok(address)
}
