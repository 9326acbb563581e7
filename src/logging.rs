//! Logs: one line of key=value pairs an event, never waited for.
//!
//! Lines go over a bounded ring to a thread of their own. When nobody reads
//! them and the ring is full, lines are dropped and counted; the count is
//! written once there is room again. So no request ever waits for a reader of logs.

use std::io::{Stderr, Stdout, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use log::LevelFilter;
use nickellead_run::{EventName, event_line};
use simplelog::{Config, ConfigBuilder, WriteLogger};

/// Lines that may wait to be written: at 200 bytes a line less than a megabyte.
const RING_LINES: usize = 4_096;

/// Longest wait for the last lines at the end of the process.
const FLUSH_TIME: Duration = Duration::from_millis(200);
/// Between two looks whether they are written.
const FLUSH_LOOK: Duration = Duration::from_millis(2);

/// Where a command writes its log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard output, for programs that print nothing else.
    Stdout,
    /// Standard error, for programs whose standard output is their result.
    Stderr,
}

/// Starts logging for the whole process.
pub fn start_logging(level: LevelFilter, output: LogOutput) {
    let config = config();
    // A logger that was started before stays in place.
    let _ = match output {
        LogOutput::Stdout => WriteLogger::init(level, config, LineRing::start(std::io::stdout())),
        LogOutput::Stderr => WriteLogger::init(level, config, LineRing::start(std::io::stderr())),
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

/// The sending end of the ring of lines.
struct LineRing {
    line: Vec<u8>,
    sender: SyncSender<Vec<u8>>,
    counts: Arc<LineCounts>,
}

/// Lines between the two ends of the ring.
#[derive(Default)]
struct LineCounts {
    dropped: AtomicU64,
    waiting: AtomicU64,
}

/// What lines are written to.
trait LineOutput: Write + Send + 'static {}

impl LineOutput for Stdout {}
impl LineOutput for Stderr {}

impl LineRing {
    /// Starts the writing thread; without one, lines are dropped.
    fn start(output: impl LineOutput) -> Self {
        let (sender, receiver) = sync_channel(RING_LINES);
        let counts = Arc::new(LineCounts::default());
        let counted = Arc::clone(&counts);
        // A system that refuses the thread leaves the receiver dropped: every send then fails.
        let _ = std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&receiver, output, &counted));
        Self { line: Vec::new(), sender, counts }
    }

    fn send(&mut self) {
        let line = std::mem::take(&mut self.line);
        self.counts.waiting.fetch_add(1, Ordering::Relaxed);
        if self.sender.try_send(line).is_err() {
            self.counts.waiting.fetch_sub(1, Ordering::Relaxed);
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Write for LineRing {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            self.send();
        }
        Ok(bytes.len())
    }

    /// Waits a bounded time for the lines on their way; only the end of the process does so.
    fn flush(&mut self) -> std::io::Result<()> {
        let end = Instant::now() + FLUSH_TIME;
        while self.counts.waiting.load(Ordering::Relaxed) > 0 && Instant::now() < end {
            std::thread::sleep(FLUSH_LOOK);
        }
        Ok(())
    }
}

fn write_lines(receiver: &Receiver<Vec<u8>>, mut output: impl LineOutput, counts: &LineCounts) {
    while let Ok(line) = receiver.recv() {
        // A closed pipe takes no more lines, and there is nobody left to tell.
        if output.write_all(&line).is_err() {
            return;
        }
        counts.waiting.fetch_sub(1, Ordering::Relaxed);
        let lost = counts.dropped.swap(0, Ordering::Relaxed);
        if lost > 0 && writeln!(output, "{}", lost_line(lost)).is_err() {
            return;
        }
        let _ = output.flush();
    }
}

/// The line that tells how many lines were dropped.
fn lost_line(count: u64) -> String {
    event_line(EventName::LinesDropped, &[("count", &count)])
}
