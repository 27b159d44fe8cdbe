//! The state of programs: order of calls, history, budget and the ledger of calls that may run only once.
//!
//! The crate is a pair of state machines without input or output of their own. [`ShardState`] holds what
//! must last; it changes only by applying a committed [`Entry`], and so ends up the same on every replica.
//! [`ShardLeader`] exists on the leading replica only; it turns a [`Command`] into entries to be committed
//! and into [`Effect`]s for the caller. Nothing in the leader needs to survive it.

mod admission;
mod budget;
mod command;
mod effect;
mod entry;
mod history;
mod leader;
mod ledger;
mod program;
mod state;

pub use budget::{Budget, BudgetLimits, BudgetSpent, Reservation};
pub use command::{BeginService, BeginTurn, Command, FinishTurn, GrantChild, KnownPrefix, Runner};
pub use effect::{Decision, DecisionKind, Effect, Page, ProgramReport, RecordedAnswer, Reply, RunTurn};
pub use entry::{
    Answer, EndReason, Entry, ProgramOpened, ServiceAccepted, ServiceResponse, TurnAbandoned, TurnAccepted,
    TurnCommitted,
};
pub use history::History;
pub use leader::{LeaderSettings, ShardLeader, Step};
pub use ledger::{LedgerKey, LedgerState};
pub use program::{InFlight, Program, TurnRecord};
pub use state::ShardState;
