//! Why a round can't be played.

use thiserror::Error;

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
