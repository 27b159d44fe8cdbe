//! Which route a call takes, which service serves it, and which engine is the best for it.
//!
//! The routes in force never go back to an older version ([`Routes`]). The engines and what is believed of them stand
//! in [`EngineBook`]; the choice among them compares one plain function, [`estimate`], whose speeds are learned from
//! the answers seen ([`LearnedSpeeds`]). The order of turns at a full engine is another, [`urgency`].

mod book;
mod choice;
mod cold;
mod distance;
mod ejection;
mod engine;
mod estimate;
mod evacuation;
mod line_fit;
mod names;
mod others;
mod outlier;
mod recent_calls;
mod routes;
mod slowness;
mod speeds;
mod table;
mod urgency;

pub use book::{EngineBook, EngineRoom, EntryChange};
pub use choice::{PartNeed, Placed, PlacementRequest, RequestedWork};
pub use cold::{ColdLimit, PERMIT_LASTS, Permit};
pub use distance::{TrafficPrices, Way};
pub use ejection::{FIRST_ASIDE, LONGEST_ASIDE, RETURN_TIME};
pub use engine::{EngineSpec, Outcome};
pub use estimate::{CallWork, EngineFacts, Estimate, Speeds, estimate};
pub use evacuation::{Evacuation, EvacuationChange};
pub use line_fit::{FitBounds, LineFit};
pub use outlier::{
    JudgedEngine, Judgement, LEAST_SAMPLE, OutlierChange, OutlierChangeKind, Stage, Verdict, judge,
    most_aside,
};
pub use recent_calls::CallCounts;
pub use routes::{Routes, Selected};
pub use speeds::{LearnedSpeeds, StreamSeen};
pub use table::{CallerLimits, Route, RouteTable, ServiceSpec, WeightedService};
pub use urgency::{UrgencyFacts, urgency};
