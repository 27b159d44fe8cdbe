//! Placement of calls on engines, and the order in which they are admitted.
//!
//! Each engine is owned by one node, which holds its [`EngineQueue`]. A node that places a call asks a few owners for a
//! [`Bid`] and takes the cheapest with [`choose_bid`]. For engines without owners, each node keeps a [`ServiceQueue`] and admits
//! its share of the capacity, computed from the demand that all nodes report.
//!
//! The crate consists of state machines and pure functions without clock or I/O, so that the node, the simulator and the
//! experiment tool run the same code.

mod cache_index;
mod circuit_breaker;
mod completion_rate;
mod cost;
mod expected_retries;
mod order;
mod placement;
mod program_order;
mod queue;
mod rates;
mod retry_budget;
mod retry_schedule;
mod service_queue;
mod shares;
mod waiting_list;
mod work;

pub use cache_index::CacheIndex;
pub use circuit_breaker::{CircuitBreaker, CircuitBreakerSettings, CircuitState};
pub use cost::{Bid, EngineLoad, Estimate, estimate};
pub use expected_retries::ExpectedRetries;
pub use order::{OrderKey, OrderSettings, order_key};
pub use placement::{Placement, PlacementWeights, choose_bid, sample_candidates};
pub use program_order::{LATE_PROGRAM_RANK, ProgramOrderKey, ProgramStage, QueuedCall, program_order_key};
pub use queue::{EngineQueue, FinishedWork, QueueEffect, QueueSettings, Release};
pub use rates::{EngineRates, RateObservation};
pub use retry_budget::RetryBudget;
pub use retry_schedule::RetrySchedule;
pub use service_queue::{
    QueueTicket, RejectionReason, ServiceQueue, ServiceQueueAction, ServiceQueueSettings,
};
pub use shares::{RankDemand, RankShare, ServiceCapacity, allocate_shares};
pub use waiting_list::{WaitingCall, WaitingList, WaitingListFull};
pub use work::{ContextPrefix, EngineWork, PriorityRank, context_prefixes};
