//! An engine whose streams have neither a length nor chunks and end with their connection, as NEWS.md allows. Each is sent
//! whole.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use serde_json::{Value, json};
use wasabi_stand::scripted;

/// The events of a stream.
pub const EVENTS: u64 = 10;
/// The time from one event to the next.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// A stream that an engine has sent.
#[derive(Clone, Debug)]
pub struct Run {
    /// The `Request-Id` of its request.
    pub id: String,
    /// When the last event had been sent; `None` if the connection broke before.
    pub ended: Option<Instant>,
}

/// An engine; its process is that of the script and does not end.
pub struct StreamEngine {
    /// Its id, the name of its entry.
    pub id: String,
    /// Its address.
    pub address: SocketAddr,
    born: u64,
    runs: Mutex<Vec<Run>>,
}

impl StreamEngine {
    /// Starts an engine that was born at `born`, in milliseconds since 1970.
    pub fn start(id: &str, born: u64) -> anyhow::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let engine = Arc::new(Self {
            id: id.to_string(),
            address: listener.local_addr()?,
            born,
            runs: Mutex::default(),
        });
        let serving = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = serving.clone();
                thread::spawn(move || engine.answer(stream));
            }
        });
        Ok(engine)
    }

    /// Its entry in the store, with all fields.
    pub fn entry(&self, service: &str) -> Value {
        json!({"service": service, "address": self.address.to_string(), "zone": "d1", "version": "v1",
            "slots": 64, "state": "ready", "cold_remaining_ms": 0, "sequence": 0, "born": self.born})
    }

    /// The streams that it has sent.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().clone()
    }

    fn answer(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let _ = stream.set_nodelay(true);
        loop {
            // Requests for the report are answered in there.
            let head = scripted::read_head_of(&mut stream, self.born)?;
            if head.is_empty() {
                return Ok(());
            }
            let length = scripted::header(&head, "content-length").parse().unwrap_or(0);
            stream.read_exact(&mut vec![0; length])?;
            let id = scripted::header(&head, "request-id");
            if scripted::header(&head, "expect-instance") != self.id {
                write!(
                    stream,
                    "HTTP/1.1 421 Misdirected Request\r\nrequest-id: {id}\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n"
                )?;
                continue;
            }
            let number = {
                let mut runs = self.runs.lock();
                runs.push(Run { id: id.clone(), ended: None });
                runs.len() - 1
            };
            let after: u64 = scripted::header(&head, "last-event-id").parse().unwrap_or(0);
            stream.write_all(
                scripted::signed(&head, 200, "content-type: text/event-stream\r\n").as_bytes(),
            )?;
            for event in after + 1..=EVENTS {
                thread::sleep(EVENT_INTERVAL);
                stream.write_all(format!("id: {event}\ndata: event {event}\n\n").as_bytes())?;
            }
            self.runs.lock()[number].ended = Some(Instant::now());
            return Ok(());
        }
    }
}
