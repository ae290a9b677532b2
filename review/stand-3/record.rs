//! What was sent, answered and run, in the order of time.

use std::{
    fs,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    begun: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { begun: Instant::now(), lines: Arc::default() }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    pub fn add(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} s  {}", self.begun.elapsed().as_secs_f64(), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    pub fn save(&self, path: &Path) -> std::io::Result<()> {
        fs::write(path, self.lines.lock().unwrap().join("\n") + "\n")
    }
}
