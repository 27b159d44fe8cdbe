//! What a process tells about itself: logs as JSON lines that never hold a caller up, and metrics over HTTP.
//!
//! Lines are formatted where they arise and handed to a thread that writes them, a few times a second. Their rate is
//! bounded, and so is what waits to be written; lines beyond either bound are counted, and the count is logged.

mod allowance;
mod drain;
mod metrics;

pub use allowance::LineAllowance;
pub use drain::{LogSettings, json_logger};
pub use metrics::{serve_metrics, time_histogram};
