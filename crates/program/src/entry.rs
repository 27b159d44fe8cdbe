//! Entries of a shard's replicated log. Applying them in order is the only way to change a shard's state.

use sumacdrift_types::{
    CallId, ChatMessage, EngineName, IdempotencyKey, ProgramId, TenantName, Timestamp, TurnNumber, Usage,
};

use crate::{BudgetLimits, LedgerKey, Reservation, Runner};

/// A change of a shard's state.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Entry {
    /// No-op that a new leader appends to commit the entries of earlier terms.
    LeaderStarted,
    /// A program was created.
    ProgramOpened(ProgramOpened),
    /// A turn was admitted and may be sent to an engine.
    TurnAccepted(Box<TurnAccepted>),
    /// A turn's answer was added to the history.
    TurnCommitted(Box<TurnCommitted>),
    /// A turn ended without an answer.
    TurnAbandoned(TurnAbandoned),
    /// Tokens were used outside the committed turns; only snapshots contain this entry.
    Charged { program: ProgramId, used: Reservation },
    /// A sub-agent was granted a part of its parent's budget.
    ChildGranted { parent: ProgramId, child: ProgramId, limits: BudgetLimits },
    /// The unused budget of an ended sub-agent was returned to its parent.
    ChildReturned { parent: ProgramId, child: ProgramId, unused: Reservation },
    /// A program ended; its recorded answers are kept for the retention time.
    ProgramEnded { program: ProgramId, reason: EndReason, at: Timestamp },
    /// The retention time of an ended program passed.
    ProgramForgotten { program: ProgramId },
    /// A service call was admitted and may be sent.
    ServiceAccepted(ServiceAccepted),
    /// A service call's response was recorded.
    ServiceCommitted {
        key: LedgerKey,
        call: CallId,
        /// Returned to every repetition of the request.
        response: ServiceResponse,
        at: Timestamp,
    },
    /// A service call was certainly not sent; its key may be used again.
    ServiceReleased { key: LedgerKey, call: CallId },
    /// A service call may have been sent and its response was lost.
    ServiceUnknown { key: LedgerKey, call: CallId, at: Timestamp },
    /// The retention time of a ledger record passed.
    ServiceForgotten { key: LedgerKey },
}

/// Creation of a program.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgramOpened {
    pub program: ProgramId,
    pub tenant: TenantName,
    /// Set for a sub-agent.
    pub parent: Option<ProgramId>,
    pub limits: BudgetLimits,
    pub at: Timestamp,
}

/// Admission of a turn.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TurnAccepted {
    pub program: ProgramId,
    pub call: CallId,
    pub turn: TurnNumber,
    pub key: Option<IdempotencyKey>,
    /// Messages that the turn adds to the history before its answer.
    pub messages: Vec<ChatMessage>,
    /// Budget that the call holds until it ends.
    pub reserved: Reservation,
    pub runner: Runner,
    /// Deadline after which the call is abandoned even if its runner is alive.
    pub give_up_at: Timestamp,
}

/// Completion of a turn with an answer.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TurnCommitted {
    pub program: ProgramId,
    pub call: CallId,
    pub answer: Answer,
    pub usage: Usage,
    pub engine: EngineName,
    /// Further engines that may hold cached state of the program.
    pub other_engines: Vec<EngineName>,
}

/// End of a turn without an answer.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TurnAbandoned {
    pub program: ProgramId,
    pub call: CallId,
    /// Tokens generated before the turn ended.
    pub output_tokens: u64,
    /// Engines that may hold cached state of the program.
    pub engines: Vec<EngineName>,
}

/// An engine's answer.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    pub message: ChatMessage,
    /// The engine's finish reason, such as `stop` or `length`.
    pub finish_reason: String,
}

/// Why a program ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// Ended by its caller.
    Caller,
    /// No call arrived within the idle lease.
    LeaseExpired,
    /// Its parent ended.
    ParentEnded,
}

/// Admission of an at-most-once service call.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceAccepted {
    pub key: LedgerKey,
    /// Digest of method, path and body.
    pub request: [u8; 16],
    pub call: CallId,
    pub runner: Runner,
    /// Deadline after which the outcome is declared unknown even if the runner is alive.
    pub give_up_at: Timestamp,
}

/// Recorded response of an HTTP service.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceResponse {
    pub status: u16,
    /// Value of the `content-type` header.
    pub content_type: Option<String>,
    pub body: Vec<u8>,
}
