//! Load that a target reports on its responses.

/// What a target reports about itself at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait at it.
    pub waiting: u32,
    /// Requests that it can run concurrently.
    pub slots: u32,
    /// How long work takes there now, relative to its usual duration.
    pub slowness: f64,
}
