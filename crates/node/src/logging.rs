//! Logs: JSON lines on standard error.

use std::sync::Mutex;

use slog::{Drain, Level, LevelFilter, Logger, o};
use sumacdrift_config::LogLevel;

/// Records that may wait for a slow reader of the log before further ones are counted and dropped.
const QUEUE_RECORDS: usize = 8192;

/// A logger that writes JSON lines to standard error, from a thread of its own so that a slow reader of the log
/// slows no call.
pub fn json_logger(level: LogLevel) -> Logger {
    let json = slog_json::Json::new(std::io::stderr()).add_default_keys().set_flush(true).build();
    let drain = slog_async::Async::new(Mutex::new(json).fuse()).chan_size(QUEUE_RECORDS).build();
    Logger::root(LevelFilter::new(drain, to_slog(level)).fuse(), o!())
}

/// A logger that drops everything.
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
