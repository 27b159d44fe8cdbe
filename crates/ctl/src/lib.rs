//! Analysis of nodes' logs and metrics for operators.
//!
//! [`log`] parses the JSON lines that nodes write, [`story`] selects those about one call or program, and [`cause`]
//! explains how it ended. [`metrics`] parses the metrics that nodes serve, and [`groups`] derives the state of the
//! ledger's groups from them.

pub mod cause;
pub mod groups;
pub mod log;
pub mod metrics;
pub mod story;
