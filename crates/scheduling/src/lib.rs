//! Placement of calls on engines, and the order in which they are admitted.
//!
//! Each engine is owned by one node, which holds its [`EngineQueue`]. A node that places a call asks a few owners for a
//! [`Bid`] and takes the cheapest with [`choose`]. For engines without owners, each node keeps a [`ServiceQueue`] and admits
//! its share of the capacity, computed from the demand that all nodes report.
//!
//! The crate consists of state machines and pure functions without clock or I/O, so that the node, the simulator and the
//! experiment tool run the same code.

mod cache_index;
mod completion_rate;
mod cost;
mod health;
mod order;
mod placement;
mod program_order;
mod queue;
mod rates;
mod retry_budget;
mod retry_schedule;
mod returning_programs;
mod service_queue;
mod shares;
mod waiting_list;
mod work;

pub use cache_index::CacheIndex;
pub use cost::{Bid, EngineLoad, Estimate, estimate};
pub use health::{CircuitState, Health, HealthSettings};
pub use order::{OrderKey, OrderSettings, order_key};
pub use placement::{Placement, PlacementWeights, choose, sample_candidates};
pub use program_order::{LATE_PROGRAM_RANK, ProgramOrderKey, ProgramStage, QueuedCall, program_order_key};
pub use queue::{EngineQueue, FinishedWork, QueueEffect, QueueSettings, Release};
pub use rates::{EngineRates, RateObservation};
pub use retry_budget::RetryBudget;
pub use retry_schedule::RetrySchedule;
pub use returning_programs::ReturningPrograms;
pub use service_queue::{QueueTicket, RefusalReason, ServiceQueue, ServiceQueueAction, ServiceQueueSettings};
pub use shares::{RankDemand, RankShare, ServiceRoom, allocate_shares};
pub use waiting_list::{WaitingCall, WaitingList, WaitingListFull};
pub use work::{ContextPrefix, PriorityRank, Work, context_prefixes};
