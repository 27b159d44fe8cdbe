//! A demo, simulation campaigns and benchmarks, on emulated engines and services.

mod caller;
pub mod campaign;
mod checks;
mod choices;
pub mod demo;
mod feed_answers;
mod fleet;
pub mod overhead;
mod program_run;
mod report;
pub mod slopes;
mod statistics;
mod workload;

pub use caller::{Caller, ChatOutcome, ChatRequest, Refusal, ServiceOutcome};
pub use fleet::{BenchError, Fleet, FleetPlan, RunningNode};
pub use report::DemoReport;
