//! Program state: turn order, history, budget and the ledger of at-most-once service calls.
//!
//! The crate consists of two state machines that do no I/O. [`ShardState`] is the replicated state; it changes
//! only by applying committed [`Entry`]s and is therefore identical on every replica. [`ShardLeader`] exists on
//! the leader only; it turns each [`Command`] into entries to commit and [`Effect`]s to carry out. Its state is
//! volatile and is lost on a change of leader.

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
