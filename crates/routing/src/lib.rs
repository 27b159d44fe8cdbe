//! Selection of the route, the service and the engine of a call.
//!
//! [`Routes`] holds the routing table in force, which is never replaced by an older version. [`EngineRegistry`]
//! tracks the engines and chooses the one of least cost by [`estimate`], with speeds learned from past answers
//! ([`LearnedSpeeds`]). [`urgency`] orders the queue of a full engine.

mod choice;
mod cold;
mod distance;
mod ejection;
mod engine;
mod estimate;
mod evacuation;
mod interner;
mod line_fit;
mod outlier;
mod peer_load;
mod recent_calls;
mod registry;
mod route_history;
mod routes;
mod slowness;
mod speeds;
mod table;
mod urgency;

pub use choice::{Placement, PlacementRequest, RequestedWork, RequiredPart};
pub use cold::{ColdLimit, PERMIT_VALIDITY, Permit};
pub use distance::{PathCost, TrafficPrices};
pub use ejection::{FIRST_EJECTION_TIME, MAX_EJECTION_TIME, RECOVERY_TIME};
pub use engine::{EngineSpec, Outcome};
pub use estimate::{CallWork, EngineState, Estimate, Speeds, estimate};
pub use evacuation::{EndedEvacuation, Evacuation, EvacuationChange};
pub use line_fit::{FitBounds, LineFit};
pub use outlier::{
    EjectionStage, EngineSample, Evaluation, MIN_SAMPLE, OutlierChange, OutlierChangeKind, Verdict, evaluate,
    max_ejected,
};
pub use recent_calls::CallCounts;
pub use registry::{EngineCapacity, EnginePresence, EngineRegistry, EntryChange};
pub use route_history::SoleService;
pub use routes::{Routes, SelectedRoute};
pub use speeds::{LearnedSpeeds, StreamObservation};
pub use table::{CallerLimits, Route, RouteTable, ServiceSpec, WeightedService};
pub use urgency::{UrgencyInput, urgency};
