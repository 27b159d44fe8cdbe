//! Which route a call takes, which service serves it, and which engine is the best for it.
//!
//! The routes in force never go back to an older version ([`Routes`]). The engines and what is believed of them stand
//! in [`EngineBook`]; the choice among them is one plain function, [`placement_cost`],
//! and so is the order of turns at a full engine, [`urgency`].

mod book;
mod placement;
mod routes;
mod table;
mod urgency;

pub use book::{EngineBook, EngineSpec, Outcome, Placed, PlacementRequest};
pub use placement::{PlacementFacts, placement_cost};
pub use routes::{Routes, Selected};
pub use table::{CallerLimits, Route, RouteTable, ServiceSpec, WeightedService};
pub use urgency::{UrgencyFacts, urgency};
