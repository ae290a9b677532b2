//! Logs as JSON lines on standard output, with bounded memory and without blocking.
//!
//! Lines pass through a bounded queue to one writer thread. When a slow reader lets the queue fill
//! up, lines about single requests are dropped first, so that lines about the state of hosts and
//! servers are kept longest. The number of dropped lines is logged and counted in the metrics.
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

/// The log target of lines about single requests, which are dropped first.
pub const REQUEST_TARGET: &str = "request";

/// Capacity of the queue; at 300 bytes per line this is about 1.2 MB.
const QUEUE_LINES: usize = 4_096;
/// Queue length from which lines about single requests are dropped.
const REQUEST_DROP_THRESHOLD_LINES: usize = QUEUE_LINES * 3 / 4;

/// Lines are collected for this time and written together, since each write costs a wake-up and a
/// system call.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Batch size from which no more lines are added.
const BATCH_BYTES: usize = 64 * 1024;
/// How long an exiting process waits for its last lines; a reader that is running takes a line
/// within milliseconds.
const FINISH_TIMEOUT: Duration = Duration::from_millis(200);
/// How often `drain` checks whether all lines are written.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The sending end of the queue of log lines.
#[derive(Clone)]
pub struct Queue {
    lines: Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    /// Lines accepted but not written yet.
    pending: Arc<AtomicU64>,
}

impl Queue {
    /// Starts a writer thread for `out` and returns the queue that feeds it.
    pub fn start(out: impl Write + Send + 'static) -> Self {
        let (lines, receiver) = flume::bounded(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let pending = Arc::new(AtomicU64::new(0));
        let (writer_dropped, writer_pending) = (dropped.clone(), pending.clone());
        thread::spawn(move || run_writer(out, &receiver, &writer_dropped, &writer_pending));
        Self { lines, dropped, pending }
    }

    /// Waits for the last lines to be written before the process exits; reports on standard error
    /// if that takes too long.
    pub fn finish(&self) {
        if !self.drain(FINISH_TIMEOUT) {
            eprintln!("the last log lines could not be written in time");
        }
    }

    /// Waits up to `limit` until every line is written; returns whether that is so.
    pub fn drain(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while self.pending.load(Ordering::Acquire) > 0 {
            if Instant::now() >= deadline {
                return false;
            }
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
        true
    }

    /// Returns the number of dropped lines that the log does not report yet.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn push(&self, line: Vec<u8>) {
        let over_threshold =
            self.lines.len() >= REQUEST_DROP_THRESHOLD_LINES && is_request_line(&line);
        self.pending.fetch_add(1, Ordering::Release);
        let rejected =
            over_threshold || matches!(self.lines.try_send(line), Err(TrySendError::Full(_)));
        if rejected {
            self.pending.fetch_sub(1, Ordering::Release);
            self.dropped.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("wasabi_log_lines_dropped_total").increment(1);
        }
    }
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.push(line.to_vec());
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

struct FieldVisitor<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => json!(number),
            (None, Some(flag)) => json!(flag),
            (None, None) => json!(value.to_string()),
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

/// Starts logging for `host` to standard output. `RUST_LOG` sets the level; the default is `info`.
///
/// Call [`Queue::finish`] before the process exits.
pub fn start(host: &str) -> Queue {
    let queue = Queue::start(io::stdout());
    start_with(host, queue.clone());
    queue
}

/// Starts logging for `host` through `queue`. If logging is already started, only a warning is
/// logged.
pub fn start_with(host: &str, queue: Queue) {
    let host = host.to_string();
    let format = move |out: &mut env_logger::fmt::Formatter, record: &log::Record<'_>| {
        let mut fields = Map::new();
        fields.insert("at_ms".to_string(), json!(time::unix_ms(System.wall())));
        fields.insert("level".to_string(), json!(record.level().as_str()));
        fields.insert("host".to_string(), json!(host));
        fields.insert("module".to_string(), json!(record.target()));
        fields.insert("message".to_string(), json!(record.args().to_string()));
        // If reading the fields fails, the line is logged with those read until then.
        let _ = record.key_values().visit(&mut FieldVisitor(&mut fields));
        writeln!(out, "{}", serde_json::Value::Object(fields))
    };
    let mut builder = Builder::from_env(Env::default().default_filter_or("info"));
    let started = builder.format(format).target(Target::Pipe(Box::new(queue))).try_init();
    if started.is_err() {
        log::warn!("logging is already started");
    }
}

fn run_writer(
    mut out: impl Write,
    lines: &Receiver<Vec<u8>>,
    dropped: &AtomicU64,
    pending: &AtomicU64,
) {
    while let Ok(first) = lines.recv() {
        thread::sleep(BATCH_DELAY);
        let (mut batch, mut count) = (first, 1);
        while batch.len() < BATCH_BYTES
            && let Ok(line) = lines.try_recv()
        {
            batch.extend_from_slice(&line);
            count += 1;
        }
        let dropped_count = dropped.swap(0, Ordering::Relaxed);
        if dropped_count > 0 {
            let line = json!({"message": "log lines dropped", "lines": dropped_count});
            batch.extend_from_slice(format!("{line}\n").as_bytes());
        }
        // A failed write, as to a closed standard output, is ignored: the log has no other output.
        let _ = out.write_all(&batch).and_then(|()| out.flush());
        pending.fetch_sub(count, Ordering::Release);
    }
}

fn is_request_line(line: &[u8]) -> bool {
    let pattern = b"\"module\":\"request\"";
    line.windows(pattern.len()).any(|window| window == pattern)
}
