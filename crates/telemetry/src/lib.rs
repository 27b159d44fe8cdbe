//! Logging as JSON lines that never blocks the caller, and metrics over HTTP.
//!
//! Lines are formatted on the calling thread and written in batches by a background thread. Both their rate and the
//! number of queued lines are bounded; dropped lines are counted, and the count is logged.

mod drain;
mod metrics;
mod rate_limit;
mod repeated_line;

pub use drain::{LogSettings, json_logger};
pub use metrics::{serve_metrics, time_histogram};
pub use rate_limit::LogRateLimit;
pub use repeated_line::RepeatedLineLimit;
