//! Errors that prevent a round from running.

use thiserror::Error;

/// Error that prevents a round from running.
#[derive(Debug, Error)]
pub enum SoakError {
    /// A process could not be started.
    #[error("failed to start {program}: {reason}; build it with `cargo build --release`")]
    Start {
        /// Path of the program.
        program: String,
        /// Error of the operating system.
        reason: std::io::Error,
    },
    /// An operation on a file, a socket or a thread failed.
    #[error("operating system error for {what}: {reason}")]
    System {
        /// Resource that the operation was for.
        what: &'static str,
        /// Error of the operating system.
        reason: std::io::Error,
    },
    /// The fleet did not reach an expected state in time.
    #[error("state not reached in time: {0}")]
    NotReached(String),
}

impl SoakError {
    /// Returns a conversion from an error of the operating system that names the resource.
    pub(crate) fn system(what: &'static str) -> impl FnOnce(std::io::Error) -> Self {
        move |reason| Self::System { what, reason }
    }
}
