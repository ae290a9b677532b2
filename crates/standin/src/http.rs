//! Minimal HTTP server for the stand-ins, with a thread per request.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use percent_encoding::percent_decode_str;
use rustix::net::sockopt;
use tiny_http::{Request, Response, Server};

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Handles the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request; runs on a thread of its own.
    fn serve(&self, request: Request);
}

/// A running server. It accepts no more requests soon after this is dropped; running ones go on.
pub struct Handle {
    /// The address on which it listens.
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
    }
}

/// Starts a server at `address`; port 0 selects a free port.
pub fn listen(address: SocketAddr, service: Arc<dyn Handler>) -> anyhow::Result<Handle> {
    let listener = TcpListener::bind(address)?;
    // Accepted sockets inherit TCP_NODELAY. Without it, small chunks wait for delayed
    // acknowledgements.
    sockopt::set_tcp_nodelay(&listener, true)?;
    let server =
        Server::from_listener(listener, None).map_err(|e| anyhow::anyhow!("{address}: {e}"))?;
    let address = server.server_addr().to_ip().expect("the server has an IP address");
    let stopped = Arc::new(AtomicBool::new(false));
    let is_stopped = stopped.clone();
    thread::spawn(move || {
        while !is_stopped.load(Ordering::SeqCst) {
            let Ok(Some(request)) = server.recv_timeout(POLL_INTERVAL) else { continue };
            let service = service.clone();
            thread::spawn(move || service.serve(request));
        }
    });
    Ok(Handle { address, stopped })
}

/// Returns the loopback address with port 0, for a free port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Splits a URL into its path and its percent-decoded query parameters.
pub fn split_url(url: &str) -> (String, BTreeMap<String, String>) {
    let (path, query) = url.split_once('?').unwrap_or((url, ""));
    let decode = |text: &str| percent_decode_str(text).decode_utf8_lossy().into_owned();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    (path.to_string(), pairs.map(|(name, value)| (decode(name), decode(value))).collect())
}

/// Reads the body of a request as text. If it is not UTF-8, the text is empty; after a read error,
/// the text is what was read before.
pub fn body(request: &mut Request) -> String {
    let mut text = String::new();
    let _ = request.as_reader().read_to_string(&mut text);
    text
}

/// Answers with a status and a body; a failed write is ignored.
pub fn respond(request: Request, status: u16, text: impl Into<String>) {
    let _ = request.respond(Response::from_string(text).with_status_code(status));
}
