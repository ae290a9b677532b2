//! A small HTTP server for stand-ins, a thread for each request.

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

const POLL: Duration = Duration::from_millis(50);

/// Answers requests.
pub trait Service: Send + Sync + 'static {
    /// Answers one request.
    fn serve(&self, request: Request);
}

/// A running server; it ends when dropped.
pub struct Listening {
    /// Where it listens.
    pub address: SocketAddr,
    ended: Arc<AtomicBool>,
}

impl Drop for Listening {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::SeqCst);
    }
}

/// Starts a server at `address`; port 0 picks one.
pub fn listen(address: SocketAddr, service: Arc<dyn Service>) -> anyhow::Result<Listening> {
    let listener = TcpListener::bind(address)?;
    // Accepted sockets inherit it; without it small parts wait for delayed acknowledgements.
    sockopt::set_tcp_nodelay(&listener, true)?;
    let server =
        Server::from_listener(listener, None).map_err(|e| anyhow::anyhow!("{address}: {e}"))?;
    let address = server.server_addr().to_ip().expect("the server has an IP address");
    let ended = Arc::new(AtomicBool::new(false));
    let ending = ended.clone();
    thread::spawn(move || {
        while !ending.load(Ordering::SeqCst) {
            let Ok(Some(request)) = server.recv_timeout(POLL) else { continue };
            let service = service.clone();
            thread::spawn(move || service.serve(request));
        }
    });
    Ok(Listening { address, ended })
}

/// Returns the address on this machine with a port of the system's choice.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Splits a URL into its path and its decoded query.
pub fn split(url: &str) -> (String, BTreeMap<String, String>) {
    let (path, query) = url.split_once('?').unwrap_or((url, ""));
    let decode = |text: &str| percent_decode_str(text).decode_utf8_lossy().into_owned();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    (path.to_string(), pairs.map(|(name, value)| (decode(name), decode(value))).collect())
}

/// Reads a request's body as text.
pub fn body(request: &mut Request) -> String {
    let mut text = String::new();
    let _ = request.as_reader().read_to_string(&mut text);
    text
}

/// Answers with JSON text.
pub fn respond(request: Request, status: u16, text: impl Into<String>) {
    let _ = request.respond(Response::from_string(text).with_status_code(status));
}
