//! Processes that a round started; it signals and ends no others.

use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use crate::SoakError;

/// Between two looks whether a process has ended.
const EXIT_LOOK: Duration = Duration::from_millis(20);

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
