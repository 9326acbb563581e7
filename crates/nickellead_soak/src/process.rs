//! Child processes of a round. A round signals and kills only these.

use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use crate::SoakError;

/// Time between two checks whether a process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Child process that is killed when dropped.
#[derive(Debug)]
pub struct SoakProcess {
    child: Child,
}

impl SoakProcess {
    /// Starts a program and appends its output to the file `log`.
    ///
    /// # Errors
    /// [`SoakError::Start`], or [`SoakError::System`] if the log file can't be opened.
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

    /// Sends a signal; does nothing if the process has exited.
    pub fn signal(&self, signal: Signal) {
        if let Some(id) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            // Fails only if the process has exited and not been reaped yet.
            let _ = kill_process(id, signal);
        }
    }

    /// Waits for the exit code; returns `None` after `timeout`, and -1 for an exit by signal.
    pub fn wait_exit(&mut self, timeout: Duration) -> Option<i32> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status.code().unwrap_or(-1));
            }
            if Instant::now() >= deadline {
                return None;
            }
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
    }
}

impl Drop for SoakProcess {
    fn drop(&mut self) {
        // Both fail only if the process has exited and been reaped.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
