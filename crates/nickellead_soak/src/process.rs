//! Processes that a round started; it signals and ends no others.

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use thiserror::Error;

/// Between two looks whether a process has ended.
const EXIT_LOOK: Duration = Duration::from_millis(20);

/// Why a round can't be played.
#[derive(Debug, Error)]
pub enum SoakError {
    /// A process can't be started.
    #[error("{program} can't be started: {reason}; build it with `cargo build --release`")]
    Start {
        /// The program.
        program: String,
        /// The system's word.
        reason: std::io::Error,
    },
    /// The system refused a file, a socket or a thread.
    #[error("the system refused {what}: {reason}")]
    System {
        /// What was asked of it.
        what: &'static str,
        /// Its word.
        reason: std::io::Error,
    },
    /// The fleet did not get into a state in time, while nothing was disturbed.
    #[error("not reached in calm: {0}")]
    NotReached(String),
}

impl SoakError {
    /// Names what the system refused.
    pub(crate) fn system(what: &'static str) -> impl FnOnce(std::io::Error) -> Self {
        move |reason| Self::System { what, reason }
    }
}

/// One process; it is killed when dropped.
#[derive(Debug)]
pub struct SoakProcess {
    child: Child,
}

impl SoakProcess {
    /// Starts a program; its log goes to `log`, after what stands there.
    ///
    /// # Errors
    /// [`SoakError::Start`], or the system's refusal of the log file.
    pub fn start(program: &Path, arguments: &[&str], log: &Path) -> Result<Self, SoakError> {
        let open = std::fs::OpenOptions::new().create(true).append(true).open(log);
        let output = open.map_err(SoakError::system("a log file"))?;
        let errors = output.try_clone().map_err(SoakError::system("a log file"))?;
        let mut command = Command::new(program);
        command.args(arguments).stdin(Stdio::null()).stdout(output).stderr(errors);
        let child = command.spawn().map_err(|reason| SoakError::Start {
            program: program.display().to_string(),
            reason,
        })?;
        Ok(Self { child })
    }

    /// Sends a signal; one that has ended already takes none.
    pub fn signal(&self, signal: Signal) {
        if let Some(id) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            // An error means that the process has ended and waits to be collected.
            let _ = kill_process(id, signal);
        }
    }

    /// Waits for the end; `None` when it did not come in time.
    pub fn wait_exit(&mut self, wait: Duration) -> Option<i32> {
        let end = Instant::now() + wait;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status.code().unwrap_or(-1));
            }
            if Instant::now() >= end {
                return None;
            }
            std::thread::sleep(EXIT_LOOK);
        }
    }
}

impl Drop for SoakProcess {
    fn drop(&mut self) {
        // Both fail only for a process that has ended and was collected.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An address on the loopback that nobody listens on, given out once in this process.
///
/// Below the range that outgoing connections take their ports from.
///
/// # Errors
/// The system's refusal, after a whole round of ports.
pub fn free_address() -> Result<SocketAddr, SoakError> {
    const FIRST: u32 = 10_000;
    const COUNT: u32 = 20_000;
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id().wrapping_mul(211) % COUNT;
    let mut refused = None;
    for _ in 0..COUNT {
        let offset = (start + TAKEN.fetch_add(1, Ordering::Relaxed)) % COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], (FIRST + offset) as u16));
        match TcpListener::bind(address) {
            Ok(_) => return Ok(address),
            Err(error) => refused = Some(error),
        }
    }
    let reason = refused.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into());
    Err(SoakError::System { what: "a port", reason })
}
