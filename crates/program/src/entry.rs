//! Entries of a shard's replicated log. Applying them in order is the only way in which state changes.

use sumacdrift_types::{
    CallId, ChatMessage, EngineName, IdempotencyKey, ProgramId, TenantName, Timestamp, TurnNumber, Usage,
};

use crate::{BudgetLimits, LedgerKey, Reservation, Runner};

/// One change of a shard's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Entry {
    /// Placed by a new leader, so that it learns that its log is committed; changes nothing.
    LeaderStarted,
    /// A program began.
    ProgramOpened(ProgramOpened),
    /// A turn was admitted and may be sent to an engine.
    TurnAccepted(Box<TurnAccepted>),
    /// A turn's answer became part of the history.
    TurnCommitted(Box<TurnCommitted>),
    /// A turn ended without an answer.
    TurnAbandoned(TurnAbandoned),
    /// Tokens were used outside the recorded turns.
    Charged {
        /// The program that pays.
        program: ProgramId,
        /// What was used.
        used: Reservation,
    },
    /// A sub-agent received a part of a parent's budget.
    ChildGranted {
        /// The program that gives.
        parent: ProgramId,
        /// The sub-agent.
        child: ProgramId,
        /// The part given.
        limits: BudgetLimits,
    },
    /// An ended sub-agent gave back what it had not used.
    ChildReturned {
        /// The program that receives.
        parent: ProgramId,
        /// The sub-agent.
        child: ProgramId,
        /// The part given back.
        unused: Reservation,
    },
    /// A program ended; its recorded answers stay for a while.
    ProgramEnded {
        /// The program.
        program: ProgramId,
        /// Why it ended.
        reason: EndReason,
        /// When it ended.
        at: Timestamp,
    },
    /// An ended program's retention passed.
    ProgramForgotten {
        /// The program.
        program: ProgramId,
    },
    /// A service call was admitted and may be sent.
    ServiceAccepted(ServiceAccepted),
    /// A service call's response was recorded.
    ServiceCommitted {
        /// The ledger's key.
        key: LedgerKey,
        /// The call that ran.
        call: CallId,
        /// The response that every repetition receives.
        response: ServiceResponse,
        /// When it was recorded.
        at: Timestamp,
    },
    /// A service call is proven not to have been sent; its key is free again.
    ServiceReleased {
        /// The ledger's key.
        key: LedgerKey,
        /// The call.
        call: CallId,
    },
    /// A service call may have been sent and its response is lost.
    ServiceUnknown {
        /// The ledger's key.
        key: LedgerKey,
        /// The call.
        call: CallId,
        /// When this was found out.
        at: Timestamp,
    },
    /// A ledger entry's retention passed.
    ServiceForgotten {
        /// The ledger's key.
        key: LedgerKey,
    },
}

/// The beginning of a program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgramOpened {
    /// The program.
    pub program: ProgramId,
    /// Its owner.
    pub tenant: TenantName,
    /// The program that started it, for a sub-agent.
    pub parent: Option<ProgramId>,
    /// Its budget's limits.
    pub limits: BudgetLimits,
    /// When it began.
    pub at: Timestamp,
}

/// The admission of a turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TurnAccepted {
    /// The program.
    pub program: ProgramId,
    /// The call.
    pub call: CallId,
    /// The turn.
    pub turn: TurnNumber,
    /// The caller's key, if any.
    pub key: Option<IdempotencyKey>,
    /// Messages added before the answer.
    pub messages: Vec<ChatMessage>,
    /// What the call may use.
    pub reserved: Reservation,
    /// The node that runs the call.
    pub runner: Runner,
    /// When the call is given up even though its node is alive.
    pub give_up_at: Timestamp,
}

/// The end of a turn with an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TurnCommitted {
    /// The program.
    pub program: ProgramId,
    /// The call.
    pub call: CallId,
    /// The answer.
    pub answer: Answer,
    /// Tokens as the engine reported them.
    pub usage: Usage,
    /// The engine that ran the call.
    pub engine: EngineName,
    /// Engines that may hold memory for the program, besides that one.
    pub other_engines: Vec<EngineName>,
}

/// The end of a turn without an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TurnAbandoned {
    /// The program.
    pub program: ProgramId,
    /// The call.
    pub call: CallId,
    /// Tokens generated before it ended.
    pub output_tokens: u64,
    /// Engines that may hold memory for the program.
    pub engines: Vec<EngineName>,
}

/// What an engine answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The assistant's message.
    pub message: ChatMessage,
    /// The engine's reason for stopping, such as `stop` or `length`.
    pub finish_reason: String,
}

/// Why a program ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// Its caller ended it.
    Caller,
    /// Nobody continued it within its lease.
    LeaseExpired,
    /// Its parent ended.
    ParentEnded,
}

/// The admission of a service call that may run only once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceAccepted {
    /// The ledger's key.
    pub key: LedgerKey,
    /// Digest over method, path and body.
    pub request: [u8; 16],
    /// The call.
    pub call: CallId,
    /// The node that runs it.
    pub runner: Runner,
    /// When its outcome is given up even though its node is alive.
    pub give_up_at: Timestamp,
}

/// A recorded response of a plain HTTP service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: u16,
    /// The `content-type`, where there was one.
    pub content_type: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}
