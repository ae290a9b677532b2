//! The ring with a reader that stops reading.

use std::{
    io::{self, Write},
    sync::{Arc, mpsc},
};

use wasabi_logs::Ring;

/// Blocks in its first write until it is let go.
struct Stuck {
    gate: mpsc::Receiver<()>,
    open: bool,
    out: Arc<std::sync::Mutex<Vec<u8>>>,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.open {
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
    let mut ring = Ring::start(Stuck { gate, open: false, out: out.clone() });
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
