//! Which engine serves a call, and in which order an engine's calls are served.
//!
//! Each engine has one owner in the fleet, which holds its [`EngineQueue`]. A node that has a call to place
//! asks a few owners for a [`Bid`] and takes the cheapest by [`choose`]. Where engines have no owners, each node keeps a
//! [`ServiceQueue`] before them, and what all nodes tell of their demand decides how much it lets in. All of it is plain state machines and
//! functions of their arguments: the node, the simulator and the experiment tool run the very same code.

mod cache_index;
mod cost;
mod end_rate;
mod health;
mod order;
mod placement;
mod program_order;
mod queue;
mod rates;
mod retry_budget;
mod return_times;
mod returning_programs;
mod service_queue;
mod shares;
mod waiting_list;
mod work;

pub use cache_index::CacheIndex;
pub use cost::{Bid, EngineLoad, Estimate, estimate};
pub use health::{Health, HealthSettings, HealthState};
pub use order::{OrderKey, OrderSettings, order_key};
pub use placement::{Placement, PlacementWeights, choose, sample_candidates};
pub use program_order::{HOPELESS_RANK, ProgramOrderKey, ProgramStage, QueuedCall, program_order};
pub use queue::{EngineQueue, FinishedWork, QueueEffect, QueueSettings, Release};
pub use rates::{EngineRates, RateObservation};
pub use retry_budget::RetryBudget;
pub use return_times::ReturnTimes;
pub use returning_programs::ReturningPrograms;
pub use service_queue::{QueueTicket, RefusalReason, ServiceQueue, ServiceQueueAction, ServiceQueueSettings};
pub use shares::{RankDemand, RankShare, ServiceRoom, shares};
pub use waiting_list::{ListFull, Waiting, WaitingList};
pub use work::{ContextPrefix, PriorityRank, Work, context_prefixes};
