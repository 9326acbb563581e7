//! Logging: one line of key=value pairs per event, written without blocking the caller.
//!
//! A bounded queue passes the lines to a writer thread. While the output blocks
//! and the queue is full, lines are dropped and counted; the writer logs the
//! count after the next line that it writes.

use std::io::{Stderr, Stdout, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use log::LevelFilter;
use nickellead_run::{EventName, event_line};
use simplelog::{Config, ConfigBuilder, WriteLogger};

/// Maximum number of lines in the queue; less than 1 MB at 200 bytes a line.
const MAX_QUEUED_LINES: usize = 4_096;

/// Maximum time that a flush waits for queued lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval between two checks of a flush.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Where a command writes its log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard output, for commands that print nothing else.
    Stdout,
    /// Standard error, for commands that print their result to standard output.
    Stderr,
}

/// Installs the logger of the process.
pub fn start_logging(level: LevelFilter, output: LogOutput) {
    let config = config();
    // Keeps a logger that is already installed.
    let _ = match output {
        LogOutput::Stdout => WriteLogger::init(level, config, LineQueue::start(std::io::stdout())),
        LogOutput::Stderr => WriteLogger::init(level, config, LineQueue::start(std::io::stderr())),
    };
}

fn config() -> Config {
    ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_allow_str("nickellead")
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .build()
}

/// Sender of the line queue; collects bytes up to the end of a line.
struct LineQueue {
    line: Vec<u8>,
    sender: SyncSender<Vec<u8>>,
    counts: Arc<LineCounts>,
}

/// Number of queued lines and of dropped lines not yet logged.
#[derive(Default)]
struct LineCounts {
    dropped: AtomicU64,
    queued: AtomicU64,
}

/// Output that log lines can be written to.
trait LineOutput: Write + Send + 'static {}

impl LineOutput for Stdout {}
impl LineOutput for Stderr {}

impl LineQueue {
    /// Starts the writer thread; if that fails, all lines are dropped.
    fn start(output: impl LineOutput) -> Self {
        let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
        let counts = Arc::new(LineCounts::default());
        let writer_counts = Arc::clone(&counts);
        // If the thread can't be started, the receiver is dropped and every send fails.
        let _ = std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&receiver, output, &writer_counts));
        Self { line: Vec::new(), sender, counts }
    }

    fn send(&mut self) {
        let line = std::mem::take(&mut self.line);
        self.counts.queued.fetch_add(1, Ordering::Relaxed);
        if self.sender.try_send(line).is_err() {
            self.counts.queued.fetch_sub(1, Ordering::Relaxed);
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Write for LineQueue {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            self.send();
        }
        Ok(bytes.len())
    }

    /// Waits up to [`FLUSH_TIMEOUT`] until the queue is empty; called at the end of the process only.
    fn flush(&mut self) -> std::io::Result<()> {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        while self.counts.queued.load(Ordering::Relaxed) > 0 && Instant::now() < deadline {
            std::thread::sleep(FLUSH_POLL_INTERVAL);
        }
        Ok(())
    }
}

fn write_lines(receiver: &Receiver<Vec<u8>>, mut output: impl LineOutput, counts: &LineCounts) {
    while let Ok(line) = receiver.recv() {
        // The output is closed: no line can be written any more.
        if output.write_all(&line).is_err() {
            return;
        }
        counts.queued.fetch_sub(1, Ordering::Relaxed);
        let dropped = counts.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 && writeln!(output, "{}", dropped_lines_event(dropped)).is_err() {
            return;
        }
        let _ = output.flush();
    }
}

/// Log line with the number of dropped lines.
fn dropped_lines_event(count: u64) -> String {
    event_line(EventName::LinesDropped, &[("count", &count)])
}
