//! JSON logging to standard error.

use std::sync::Mutex;

use slog::{Drain, Level, LevelFilter, Logger, o};
use sumacdrift_config::LogLevel;

/// Bound on queued records; further ones are dropped and counted.
const LOG_QUEUE_CAPACITY: usize = 8192;

/// A logger that writes JSON lines to standard error. A separate thread writes them, so a slow reader of the
/// log doesn't delay calls.
pub fn json_logger(level: LogLevel) -> Logger {
    let json = slog_json::Json::new(std::io::stderr()).add_default_keys().set_flush(true).build();
    let drain = slog_async::Async::new(Mutex::new(json).fuse()).chan_size(LOG_QUEUE_CAPACITY).build();
    Logger::root(LevelFilter::new(drain, to_slog(level)).fuse(), o!())
}

/// A logger that discards all records.
pub fn discard_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn to_slog(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}
