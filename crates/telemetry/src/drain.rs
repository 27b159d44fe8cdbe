//! The drain that formats lines and the thread that writes them.

use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use slog::{Drain, Level, Logger, Never, OwnedKVList, Record, b, o, record};

use crate::allowance::LineAllowance;

/// Lines that may wait to be written.
const QUEUE_LINES: usize = 4096;
/// How long lines are gathered before they are written together.
const GATHER_TIME: Duration = Duration::from_millis(100);

/// Settings of the log.
#[derive(Debug, Clone, Copy)]
pub struct LogSettings {
    /// The least important level that is written.
    pub level: Level,
    /// Lines a second in the long run.
    pub lines_per_second: f64,
    /// Lines at once.
    pub burst: f64,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: Level::Info, lines_per_second: 150.0, burst: 600.0 }
    }
}

/// A logger that writes JSON lines to standard output.
pub fn json_logger(settings: LogSettings) -> Logger {
    let (lines, queue) = sync_channel(QUEUE_LINES);
    std::thread::spawn(move || write_lines(&queue));
    let allowance = Mutex::new(LineAllowance::new(settings.lines_per_second, settings.burst));
    let drain = BoundedJson { lines, allowance, started: Instant::now() };
    Logger::root(drain.filter_level(settings.level).fuse(), o!())
}

struct BoundedJson {
    lines: SyncSender<Vec<u8>>,
    allowance: Mutex<LineAllowance>,
    started: Instant,
}

impl Drain for BoundedJson {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let now = u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX);
        let mut allowance = self.allowance.lock().unwrap_or_else(PoisonError::into_inner);
        // What matters most is written whatever the rate.
        let is_important = record.level().is_at_least(Level::Warning);
        if !allowance.take(now) && !is_important {
            return Ok(());
        }
        let dropped = allowance.take_dropped();
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
            allowance.lost();
        }
        Ok(())
    }
}

fn format_line(line: &mut Vec<u8>, record: &Record<'_>, values: &OwnedKVList) {
    let json = slog_json::Json::new(line).add_default_keys().set_newlines(true).build();
    // Writing to memory does not fail; a value that can't be formatted leaves its line out.
    let _ = json.log(record, values);
}

fn write_lines(queue: &Receiver<Vec<u8>>) {
    while let Ok(mut gathered) = queue.recv() {
        std::thread::sleep(GATHER_TIME);
        while let Ok(line) = queue.try_recv() {
            gathered.extend_from_slice(&line);
        }
        let mut output = std::io::stdout().lock();
        let _ = output.write_all(&gathered).and_then(|()| output.flush());
    }
}
