//! Commands that a shard's leader handles.

use std::time::Duration;

use sumacdrift_types::{
    CallId, ChatMessage, EngineName, HistoryMode, IdempotencyKey, Incarnation, NodeId, PrefixDigest,
    ProgramId, TenantName, Timestamp, TokenCount, TurnNumber, Usage,
};

use crate::{Answer, BudgetLimits, LedgerKey, Page, Reservation, ServiceResponse};

/// The process that runs a call: a node and the incarnation of its process. Calls of a dead runner are abandoned.
#[allow(missing_docs)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Runner {
    pub node: NodeId,
    pub incarnation: Incarnation,
}

/// A request to a shard's leader. `call` identifies the request in its reply.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Admit a turn.
    BeginTurn(Box<BeginTurn>),
    /// Commit a turn's answer.
    FinishTurn(Box<FinishTurn>),
    /// Record that a turn ended without an answer.
    AbandonTurn {
        program: ProgramId,
        call: CallId,
        /// Tokens generated before the turn ended.
        output_tokens: TokenCount,
        /// Engines that may hold cached state of the program.
        engines: Vec<EngineName>,
        /// Recorded in the program's decision log.
        reason: String,
    },
    /// Drop a waiting turn that is not yet admitted.
    CancelWaiting { program: ProgramId, call: CallId },
    /// Grant a sub-agent a share of its parent's budget.
    GrantChild(GrantChild),
    /// Return the unused budget of an ended sub-agent to its parent.
    ReturnChild { parent: ProgramId, child: ProgramId, unused: Reservation },
    /// End a program.
    EndProgram {
        call: CallId,
        program: ProgramId,
        /// The requesting tenant; `None` if the system itself ends the program.
        tenant: Option<TenantName>,
    },
    /// Report the state of a program of the requesting tenant.
    Describe {
        call: CallId,
        program: ProgramId,
        tenant: TenantName,
        /// The part of the history to return.
        page: Page,
    },
    /// Select those of `programs` that have ended or are unknown.
    ListEnded { call: CallId, programs: Vec<ProgramId> },
    /// Admit an at-most-once service call.
    BeginService(BeginService),
    /// Record a service call's response.
    FinishService { key: LedgerKey, call: CallId, response: ServiceResponse },
    /// Release the key of a service call that was certainly not sent.
    ReleaseService { key: LedgerKey, call: CallId },
    /// Record that a service call may have been sent and its response was lost.
    MarkServiceUnknown { key: LedgerKey, call: CallId },
}

impl Command {
    /// The call id that replies to this command carry; `CallId(0)` for a command without a reply.
    pub fn call(&self) -> CallId {
        match self {
            Command::BeginTurn(begin) => begin.call,
            Command::FinishTurn(finish) => finish.call,
            Command::GrantChild(grant) => grant.call,
            Command::BeginService(begin) => begin.call,
            Command::AbandonTurn { call, .. }
            | Command::CancelWaiting { call, .. }
            | Command::EndProgram { call, .. }
            | Command::Describe { call, .. }
            | Command::ListEnded { call, .. }
            | Command::FinishService { call, .. }
            | Command::ReleaseService { call, .. }
            | Command::MarkServiceUnknown { call, .. } => *call,
            Command::ReturnChild { .. } => CallId(0),
        }
    }
}

/// A request to admit a turn.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BeginTurn {
    pub call: CallId,
    pub program: ProgramId,
    pub tenant: TenantName,
    /// Set for a sub-agent.
    pub parent: Option<ProgramId>,
    /// `None` for the next turn.
    pub turn: Option<TurnNumber>,
    pub key: Option<IdempotencyKey>,
    /// Whether `messages` is the full history or only the new messages.
    pub mode: HistoryMode,
    /// In full mode, leading messages that the caller identifies by digest instead of sending them.
    pub known_prefix: KnownPrefix,
    /// The messages after the known prefix.
    pub messages: Vec<ChatMessage>,
    /// Limit on generated tokens that the caller requested.
    pub max_output_tokens: TokenCount,
    /// Budget limits, used if this call creates the program.
    pub limits: BudgetLimits,
    pub runner: Runner,
    /// Deadline for waiting for the preceding turn.
    pub wait_deadline: Timestamp,
    /// Time after admission within which the call must be finished or abandoned.
    pub run_timeout: Duration,
}

/// A prefix of the history, identified by message count and digest.
#[allow(missing_docs)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct KnownPrefix {
    pub length: usize,
    /// Chained digest of the prefix.
    pub digest: PrefixDigest,
}

/// A request to commit a turn's answer.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishTurn {
    pub program: ProgramId,
    pub call: CallId,
    pub answer: Answer,
    pub usage: Usage,
    pub engine: EngineName,
    /// Engines of earlier attempts, which may hold cached state of the program.
    pub other_engines: Vec<EngineName>,
    /// Why the engine was chosen; recorded in the program's decision log.
    pub reason: String,
}

/// A request to grant a sub-agent a share of its parent's budget.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantChild {
    pub call: CallId,
    pub parent: ProgramId,
    pub child: ProgramId,
    pub tenant: TenantName,
    /// Percentage of the parent's remaining budget.
    pub share_percent: u64,
}

/// A request to admit an at-most-once service call.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BeginService {
    pub call: CallId,
    pub key: LedgerKey,
    /// Digest of method, path and body.
    pub request: [u8; 16],
    pub runner: Runner,
    /// Time after admission within which the outcome must be recorded.
    pub run_timeout: Duration,
}
