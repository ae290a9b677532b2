//! Logs as JSON lines on standard output, bounded and never blocking.
//!
//! Lines go through a ring of fixed size to one writer. When a slow reader fills it, lines about
//! single requests are dropped first and lines about beliefs last; how many were dropped is logged
//! and counted.
#![forbid(unsafe_code)]

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use env_logger::{Builder, Env, Target};
use flume::{Receiver, Sender, TrySendError};
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, json};
use wasabi_core::time::{self, Clock as _, System};

/// The target of lines about single requests, which are dropped first.
pub const REQUEST: &str = "request";

/// Lines that wait for the writer; at 300 bytes a line this is about 1.2 MB.
const RING_LINES: usize = 4_096;
/// Beyond this many waiting lines, those about requests are dropped.
const REQUEST_LINES: usize = RING_LINES * 3 / 4;

/// Lines are gathered for this long and written at once, since each write costs a wake-up and a
/// system call.
const GATHER: Duration = Duration::from_millis(20);
/// The most that is written at once.
const BATCH_BYTES: usize = 64 * 1024;
/// How long a process that ends waits for its last lines; a reader that is there takes a line within
/// milliseconds.
const LAST_LINES: Duration = Duration::from_millis(200);
/// How often a stopping process looks whether its lines are written.
const DRAIN_POLL: Duration = Duration::from_millis(2);

/// The sending end of the ring.
#[derive(Clone)]
pub struct Ring {
    lines: Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    /// Lines taken into the ring and not written yet.
    pending: Arc<AtomicU64>,
}

impl Ring {
    /// Starts a writer to `out`, and returns the ring that feeds it.
    pub fn start(out: impl Write + Send + 'static) -> Self {
        let (lines, waiting) = flume::bounded(RING_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let pending = Arc::new(AtomicU64::new(0));
        let (counter, left) = (dropped.clone(), pending.clone());
        thread::spawn(move || write(out, &waiting, &counter, &left));
        Self { lines, dropped, pending }
    }

    /// Writes the last lines of a process that ends; says so if the reader does not take them.
    pub fn finish(&self) {
        if !self.drain(LAST_LINES) {
            eprintln!("the last log lines could not be written in time");
        }
    }

    /// Waits until every line is written, but not longer than `limit`; returns whether it is.
    pub fn drain(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while self.pending.load(Ordering::Acquire) > 0 {
            if Instant::now() >= end {
                return false;
            }
            thread::sleep(DRAIN_POLL);
        }
        true
    }

    /// Returns how many lines were dropped and not yet reported.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn push(&self, line: Vec<u8>) {
        let about_request = self.lines.len() >= REQUEST_LINES && is_request(&line);
        self.pending.fetch_add(1, Ordering::Release);
        let full = about_request || matches!(self.lines.try_send(line), Err(TrySendError::Full(_)));
        if full {
            self.pending.fetch_sub(1, Ordering::Release);
            self.dropped.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("wasabi_log_lines_dropped_total").increment(1);
        }
    }
}

impl Write for Ring {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.push(line.to_vec());
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

struct Fields<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => json!(number),
            (None, Some(truth)) => json!(truth),
            (None, None) => json!(value.to_string()),
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

/// Starts logging for `host` to standard output; `RUST_LOG` sets the level, `info` otherwise.
///
/// The process calls [`Ring::finish`] before it ends.
pub fn start(host: &str) -> Ring {
    let ring = Ring::start(io::stdout());
    start_with(host, ring.clone());
    ring
}

/// Starts logging for `host` through `ring`.
pub fn start_with(host: &str, ring: Ring) {
    let host = host.to_string();
    let format = move |out: &mut env_logger::fmt::Formatter, record: &log::Record<'_>| {
        let mut fields = Map::new();
        fields.insert("at_ms".to_string(), json!(time::unix_ms(System.wall())));
        fields.insert("level".to_string(), json!(record.level().as_str()));
        fields.insert("host".to_string(), json!(host));
        fields.insert("module".to_string(), json!(record.target()));
        fields.insert("message".to_string(), json!(record.args().to_string()));
        // A field that cannot be shown is left out; the line itself still counts.
        let _ = record.key_values().visit(&mut Fields(&mut fields));
        writeln!(out, "{}", serde_json::Value::Object(fields))
    };
    let mut builder = Builder::from_env(Env::default().default_filter_or("info"));
    let started = builder.format(format).target(Target::Pipe(Box::new(ring))).try_init();
    if started.is_err() {
        log::warn!("logging was started before");
    }
}

fn write(mut out: impl Write, lines: &Receiver<Vec<u8>>, dropped: &AtomicU64, pending: &AtomicU64) {
    while let Ok(first) = lines.recv() {
        thread::sleep(GATHER);
        let (mut batch, mut count) = (first, 1);
        while batch.len() < BATCH_BYTES
            && let Ok(line) = lines.try_recv()
        {
            batch.extend_from_slice(&line);
            count += 1;
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let line = json!({"message": "log lines dropped", "lines": lost});
            batch.extend_from_slice(format!("{line}\n").as_bytes());
        }
        // Nowhere is left to report a closed standard output.
        let _ = out.write_all(&batch).and_then(|()| out.flush());
        pending.fetch_sub(count, Ordering::Release);
    }
}

fn is_request(line: &[u8]) -> bool {
    let mark = b"\"module\":\"request\"";
    line.windows(mark.len()).any(|window| window == mark)
}
