//! The ring with a reader that stops reading.

use std::{
    io::{self, Write},
    sync::{Arc, mpsc},
    time::Duration,
};

use wasabi_logs::Ring;

/// Blocks in its first write until it is let go.
struct Stuck {
    /// Tells that the first write has begun.
    entered: mpsc::Sender<()>,
    gate: mpsc::Receiver<()>,
    open: bool,
    out: Arc<std::sync::Mutex<Vec<u8>>>,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.open {
            // The test may have ended.
            let _ = self.entered.send(());
            self.open = self.gate.recv().is_ok();
        }
        self.out.lock().expect("the lock is whole").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_stops_blocks_nobody_and_loses_request_lines_first() {
    let (open, gate) = mpsc::channel();
    let out = Arc::new(std::sync::Mutex::new(Vec::new()));
    let (entered, stuck) = mpsc::channel();
    let mut ring = Ring::start(Stuck { entered, gate, open: false, out: out.clone() });
    // Until the writer is stuck, it still reports what was dropped and counts anew.
    ring.write_all(b"first\n").expect("writes never fail");
    stuck.recv().expect("the writer writes");
    for i in 0..20_000 {
        let line = format!("{{\"message\":\"placed\",\"module\":\"request\",\"n\":{i}}}\n");
        ring.write_all(line.as_bytes()).expect("writes never fail");
    }
    let dropped = ring.dropped();
    assert!(dropped > 10_000, "{dropped}");
    for i in 0..100 {
        let line = format!("{{\"message\":\"belief\",\"module\":\"site\",\"n\":{i}}}\n");
        ring.write_all(line.as_bytes()).expect("writes never fail");
    }
    assert_eq!(ring.dropped(), dropped, "lines about beliefs still have room");
    open.send(()).expect("the writer waits");
    let text = || String::from_utf8_lossy(&out.lock().expect("the lock is whole")).into_owned();
    while text().matches("belief").count() < 100 {
        std::thread::yield_now();
    }
    assert!(text().contains("log lines dropped"));
}

/// Takes its time for each line.
struct Slow(Arc<std::sync::Mutex<Vec<u8>>>);

impl Write for Slow {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        std::thread::yield_now();
        self.0.lock().expect("the lock is whole").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_drained_ring_has_written_every_line() {
    for _ in 0..20 {
        let out = Arc::new(std::sync::Mutex::new(Vec::new()));
        let mut ring = Ring::start(Slow(out.clone()));
        for i in 0..500 {
            ring.write_all(format!("line {i}\n").as_bytes()).expect("writes never fail");
        }
        assert!(ring.drain(Duration::from_secs(10)));
        let text = String::from_utf8_lossy(&out.lock().expect("the lock is whole")).into_owned();
        assert!(text.ends_with("line 499\n"));
    }
}
