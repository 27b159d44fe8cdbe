//! The edge: takes calls from callers, asks the ledger, chooses engines, forwards and relays.
//!
//! How calls look on the wire stands behind the [`Dialect`] port. What becomes of a call is decided by
//! [`sumacdrift_calls::CallMachine`], which engine serves it by [`sumacdrift_routing::EngineBook`], and whether a turn
//! may run by the ledger; this crate does what they say.

mod access;
mod answers;
mod attempt;
mod call;
mod clock;
mod cold_permit;
mod connections;
mod dialect;
mod edge;
mod engine_pool;
mod engine_run;
mod fleet_news;
mod headers;
mod listener;
mod metrics;
mod outlier_report;
mod plain;
mod regions;
mod report;
mod rest_limit;
mod service_queues;
mod stream;
mod turn;
mod usual_times;

pub use answers::{EdgeBody, RelayError, problem_answer};
pub use clock::Clock;
pub use cold_permit::ColdTolerance;
pub use dialect::{AnswerKind, BadCall, Dialect, EngineAttempt, KeyUse};
pub use edge::{Edge, EdgeParts, EdgeSettings};
pub use headers::forwardable;
pub use listener::{Listeners, StopTimes, serve_listeners};
pub use metrics::EdgeMetrics;
pub use rest_limit::{Reset, RestLimit};
