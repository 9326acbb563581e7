//! The record of a run: what was sent, answered and run, in the order of time.

use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
    file: PathBuf,
}

impl Record {
    pub fn new(file: PathBuf) -> Self {
        Self { start: Instant::now(), lines: Arc::default(), file }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let mut lines = self.lines.lock().unwrap();
        let now = self.now();
        lines.push(format!("{now:9.4} {}", text.as_ref()));
    }

    pub fn save(&self) {
        let lines = self.lines.lock().unwrap();
        let _ = std::fs::write(&self.file, lines.join("\n") + "\n");
    }
}
