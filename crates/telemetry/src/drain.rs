//! The log drain, which formats lines, and the thread that writes them.

use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use slog::{Drain, Level, Logger, Never, OwnedKVList, Record, b, o, record};

use crate::rate_limit::LogRateLimit;

/// Capacity of the queue of formatted lines.
const QUEUE_CAPACITY: usize = 4096;
/// How long lines are batched before they are written.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Log settings.
#[derive(Debug, Clone, Copy)]
pub struct LogSettings {
    /// The least severe level that is written.
    pub level: Level,
    /// Sustained rate limit, in lines per second.
    pub lines_per_second: f64,
    /// Burst size of the rate limit, in lines.
    pub burst: f64,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: Level::Info, lines_per_second: 150.0, burst: 600.0 }
    }
}

/// Creates a logger that writes JSON lines to standard output.
pub fn json_logger(settings: LogSettings) -> Logger {
    let (lines, queue) = sync_channel(QUEUE_CAPACITY);
    std::thread::spawn(move || write_lines(&queue));
    let rate_limit = Mutex::new(LogRateLimit::new(settings.lines_per_second, settings.burst));
    let drain = RateLimitedJson { lines, rate_limit, started: Instant::now() };
    Logger::root(drain.filter_level(settings.level).fuse(), o!())
}

struct RateLimitedJson {
    lines: SyncSender<Vec<u8>>,
    rate_limit: Mutex<LogRateLimit>,
    started: Instant,
}

impl Drain for RateLimitedJson {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let now = u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX);
        let mut rate_limit = self.rate_limit.lock().unwrap_or_else(PoisonError::into_inner);
        // Warnings and errors are exempt from the rate limit.
        let is_exempt = record.level().is_at_least(Level::Warning);
        if !rate_limit.take(now) && !is_exempt {
            return Ok(());
        }
        let dropped = rate_limit.take_dropped();
        let mut line = Vec::with_capacity(256);
        if dropped > 0 {
            let details = b!("event" => "log_lines_dropped", "lines" => dropped);
            format_line(
                &mut line,
                &record!(Level::Warning, "", &format_args!("log lines dropped"), details),
                values,
            );
        }
        format_line(&mut line, record, values);
        if self.lines.try_send(line).is_err() {
            rate_limit.record_dropped();
        }
        Ok(())
    }
}

fn format_line(line: &mut Vec<u8>, record: &Record<'_>, values: &OwnedKVList) {
    let json = slog_json::Json::new(line).add_default_keys().set_newlines(true).build();
    // Writing to memory can't fail; a line with a value that can't be formatted is lost.
    let _ = json.log(record, values);
}

fn write_lines(queue: &Receiver<Vec<u8>>) {
    while let Ok(mut batch) = queue.recv() {
        std::thread::sleep(BATCH_INTERVAL);
        while let Ok(line) = queue.try_recv() {
            batch.extend_from_slice(&line);
        }
        let mut output = std::io::stdout().lock();
        let _ = output.write_all(&batch).and_then(|()| output.flush());
    }
}
