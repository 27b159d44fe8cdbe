//! Analysis of nodes' logs and metrics for operators.
//!
//! [`log`] parses the JSON lines that nodes write, [`call_trace`] selects those about one call or program, and [`cause`]
//! explains how it ended. [`metrics`] parses the metrics that nodes serve, and [`groups`] derives the state of the
//! ledger's groups from them.

pub mod call_trace;
pub mod cause;
pub mod groups;
pub mod log;
pub mod metrics;
