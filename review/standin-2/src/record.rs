//! What was sent, answered and run.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::Mutex;
use std::time::Instant;

use crate::http::Message;

/// One run of a request at a backend.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub service: String,
    pub target: String,
}

pub struct Record {
    started: Instant,
    lines: Mutex<String>,
    runs: Mutex<HashMap<String, Vec<Run>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: Mutex::default(), runs: Mutex::default() }
    }

    /// Seconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut lines = self.lines.lock().unwrap();
        let _ = writeln!(lines, "{:9.3} {text}", self.now());
    }

    /// Like `line`, and also printed.
    pub fn say(&self, text: &str) {
        println!("{:9.3} {text}", self.now());
        self.line(text);
    }

    pub fn ran(&self, id: &str, service: &str, target: &str, request: &Message) {
        let run = Run { at: self.now(), service: service.to_owned(), target: target.to_owned() };
        self.line(&format!(
            "run {id} at {target} of {service}: {} {} {} bytes",
            request.method(),
            request.target(),
            request.length
        ));
        self.runs.lock().unwrap().entry(id.to_owned()).or_default().push(run);
    }

    pub fn runs(&self, id: &str) -> Vec<Run> {
        self.runs.lock().unwrap().get(id).cloned().unwrap_or_default()
    }

    /// All runs of all requests.
    pub fn all_runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().values().flatten().cloned().collect()
    }

    pub fn save(&self, path: &str) -> std::io::Result<()> {
        std::fs::File::create(path)?.write_all(self.lines.lock().unwrap().as_bytes())
    }
}
