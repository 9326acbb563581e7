//! Logs: one line of key=value pairs an event, to standard error.

use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};

/// Starts logging for the whole process.
pub fn start_logging(level: LevelFilter) {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_allow_str("nickellead")
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .build();
    // A logger that was started before stays in place.
    let _ = WriteLogger::init(level, config, std::io::stderr());
}
