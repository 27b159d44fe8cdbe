//! The edge proxy: accepts calls, admits them, selects engines, forwards requests and relays responses.
//!
//! The wire format is behind the [`WireFormat`] port. Retry decisions come from [`sumacdrift_calls::CallMachine`],
//! engine selection from [`sumacdrift_routing::EngineRegistry`], and whether a turn may run from the ledger. This
//! crate carries those decisions out.

mod access;
mod attempt;
mod buffered;
mod call;
mod caller_connections;
mod clock;
mod cold_permit;
mod connections;
mod crash_view_age;
mod edge;
mod engine_crash;
mod engine_examination;
mod engine_observation;
mod engine_pool;
mod engine_run;
mod engine_watch;
mod event_steps;
mod headers;
mod idle_limit;
mod listener;
mod metrics;
mod open_attempt;
mod outliers;
mod received_body;
mod recent_attempts;
mod regions;
mod report;
mod responses;
mod route_durations;
mod service_queues;
mod state_exchange;
mod stream;
mod stream_origin;
mod turn;
mod unconfirmed_end;
mod view_continuity;
mod wire_format;

pub use clock::Clock;
pub use cold_permit::ColdTolerance;
pub use edge::{Edge, EdgeParts, EdgeSettings};
pub use engine_crash::CrashTimeouts;
pub use headers::without_hop_by_hop;
pub use idle_limit::{IdleLimit, Reset};
pub use listener::{Listeners, ShutdownTimeouts, serve_listeners};
pub use metrics::EdgeMetrics;
pub use responses::{EdgeBody, RelayError, problem_response};
pub use view_continuity::ViewContinuity;
pub use wire_format::{
    CallError, EngineAttempt, KeyHandling, Responder, ResponseIdentity, ResponseKind, WireFormat,
};
