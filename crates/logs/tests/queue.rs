//! The log queue with a reader that is blocked or slow.

use std::{
    io::{self, Write},
    sync::{Arc, mpsc},
    time::Duration,
};

use wasabi_logs::Queue;

/// Blocks in its first write until `gate` receives a message.
struct BlockedWriter {
    /// Signals that the first write has begun.
    entered: mpsc::Sender<()>,
    gate: mpsc::Receiver<()>,
    released: bool,
    out: Arc<std::sync::Mutex<Vec<u8>>>,
}

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.released {
            // An error means that the test has ended.
            let _ = self.entered.send(());
            self.released = self.gate.recv().is_ok();
        }
        self.out.lock().expect("the lock is not poisoned").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_blocked_reader_blocks_no_writes_and_request_lines_are_dropped_first() {
    let (open, gate) = mpsc::channel();
    let out = Arc::new(std::sync::Mutex::new(Vec::new()));
    let (entered, blocked) = mpsc::channel();
    let mut queue =
        Queue::start(BlockedWriter { entered, gate, released: false, out: out.clone() });
    // A running writer reports the dropped lines and resets the count, so it has to be blocked.
    queue.write_all(b"first\n").expect("writes never fail");
    blocked.recv().expect("the first write begins");
    for i in 0..20_000 {
        let line = format!("{{\"message\":\"placed\",\"module\":\"request\",\"n\":{i}}}\n");
        queue.write_all(line.as_bytes()).expect("writes never fail");
    }
    let dropped = queue.dropped();
    assert!(dropped > 10_000, "{dropped}");
    for i in 0..100 {
        let line = format!("{{\"message\":\"peer heard\",\"module\":\"site\",\"n\":{i}}}\n");
        queue.write_all(line.as_bytes()).expect("writes never fail");
    }
    assert_eq!(queue.dropped(), dropped, "other lines are still accepted");
    open.send(()).expect("the writer is blocked");
    let text =
        || String::from_utf8_lossy(&out.lock().expect("the lock is not poisoned")).into_owned();
    while text().matches("peer heard").count() < 100 {
        std::thread::yield_now();
    }
    assert!(text().contains("log lines dropped"));
}

/// Yields to other threads before each write.
struct SlowWriter(Arc<std::sync::Mutex<Vec<u8>>>);

impl Write for SlowWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        std::thread::yield_now();
        self.0.lock().expect("the lock is not poisoned").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_drained_queue_has_written_every_line() {
    for _ in 0..20 {
        let out = Arc::new(std::sync::Mutex::new(Vec::new()));
        let mut queue = Queue::start(SlowWriter(out.clone()));
        for i in 0..500 {
            queue.write_all(format!("line {i}\n").as_bytes()).expect("writes never fail");
        }
        assert!(queue.drain(Duration::from_secs(10)));
        let text =
            String::from_utf8_lossy(&out.lock().expect("the lock is not poisoned")).into_owned();
        assert!(text.ends_with("line 499\n"));
    }
}
