//! The callers of a soak test.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use rand::{Rng as _, rngs::StdRng};

use super::GATEWAYS;
use crate::caller::{Request, Response};

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
    /// None if the connection failed or no response head arrived.
    pub response: Option<Response>,
    /// The response to the request that took up a broken stream, if there was one.
    pub taken_up: Option<Response>,
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
        let response = request.send(address).ok();
        let broken = response.as_ref().filter(|response| path == "/chat/x" && !response.complete);
        let taken_up = broken.and_then(|response| {
            let last = response.event_ids().last().copied()?;
            let resume = Request::resume(path, &format!("{id}-again"), &id, last);
            let (key, deadline) = (request.key.clone(), request.deadline);
            let address = to.lock()[rng.random_range(0..GATEWAYS)];
            Request { key, deadline, ..resume }.send(address).ok()
        });
        sent_requests.lock().push(SentRequest { id, path, key, sent, response, taken_up });
        thread::sleep(CALLER_PAUSE);
    }
}
