//! The callers of a soak test. They keep their connections for as long as hosts do.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use rand::{Rng as _, rngs::StdRng};

use super::GATEWAYS;
use crate::caller::{self, Request, Response};

/// The pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(25);

/// A request that a caller sent.
pub struct SentRequest {
    /// The id of the attempt.
    pub id: String,
    /// The path, which also tells the kind of the route.
    pub path: &'static str,
    /// The number of the key.
    pub key: usize,
    /// When it was sent.
    pub sent: Instant,
    /// Whether it was sent over a connection that had brought an answer before.
    pub kept: bool,
    /// None if the connection failed or no response head arrived.
    pub response: Option<Response>,
    /// The response to the request that took up a broken stream, if there was one.
    pub taken_up: Option<Response>,
}

/// A caller's open connections by host.
#[derive(Default)]
struct Connections(BTreeMap<SocketAddr, TcpStream>);

impl Connections {
    /// Sends a request over the open connection to a host, or a new one; returns the response and whether the
    /// connection was open before.
    fn send(&mut self, request: &Request, to: SocketAddr) -> (Option<Response>, bool) {
        let open = self.0.remove(&to);
        let kept = open.is_some();
        let exchange = || -> anyhow::Result<(TcpStream, Response)> {
            let mut stream = match open {
                Some(mut stream) => {
                    stream.set_read_timeout(Some(request.read_timeout()))?;
                    request.write(&mut stream)?;
                    stream
                }
                None => request.open(to)?,
            };
            let response = caller::read(&mut stream)?;
            Ok((stream, response))
        };
        let Ok((stream, response)) = exchange() else { return (None, kept) };
        let closes = response.headers.get("connection").is_some_and(|value| value == "close");
        if response.complete && !closes {
            self.0.insert(to, stream);
        }
        (Some(response), kept)
    }
}

/// Sends requests until `stop` is set.
pub fn run_caller(
    caller: usize,
    mut rng: StdRng,
    stop: &AtomicBool,
    to: &Mutex<Vec<SocketAddr>>,
    key: &AtomicU64,
    sent_requests: &Mutex<Vec<SentRequest>>,
) {
    let mut connections = Connections::default();
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let paths =
            [("GET", "/read/x"), ("POST", "/write/x"), ("POST", "/chat/x"), ("POST", "/long/x")];
        let (method, path) = paths[rng.random_range(0..paths.len())];
        let id = format!("s{caller}-{number}");
        let mut request = Request::new(method, path, &id);
        // Some requests use the key before the valid one.
        let newest = key.load(Ordering::SeqCst) as usize;
        let key = newest.saturating_sub(usize::from(rng.random_bool(0.3)));
        request.key = Some(format!("key{key}"));
        request.deadline = Duration::from_millis(rng.random_range(300..3_000));
        let address = {
            let to = to.lock();
            to[rng.random_range(0..to.len())]
        };
        let sent = Instant::now();
        let (response, kept) = connections.send(&request, address);
        let broken = response.as_ref().filter(|response| path == "/chat/x" && !response.complete);
        let taken_up = broken.and_then(|response| {
            let last = response.event_ids().last().copied()?;
            let resume = Request::resume(path, &format!("{id}-again"), &id, last);
            let (key, deadline) = (request.key.clone(), request.deadline);
            let address = to.lock()[rng.random_range(0..GATEWAYS)];
            connections.send(&Request { key, deadline, ..resume }, address).0
        });
        sent_requests.lock().push(SentRequest { id, path, key, sent, kept, response, taken_up });
        thread::sleep(CALLER_PAUSE);
    }
}
