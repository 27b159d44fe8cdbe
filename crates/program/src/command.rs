//! What a shard's leader is asked to do.

use std::time::Duration;

use sumacdrift_types::{
    CallId, ChatMessage, EngineName, HistoryMode, IdempotencyKey, Incarnation, NodeId, PrefixDigest,
    ProgramId, TenantName, Timestamp, TokenCount, TurnNumber, Usage,
};

use crate::{Answer, BudgetLimits, LedgerKey, Page, Reservation, ServiceResponse};

/// The life of a node's process that runs a call. When it is known to be dead, so are its calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Runner {
    /// The node.
    pub node: NodeId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// One request to a shard's leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Admit a turn.
    BeginTurn(Box<BeginTurn>),
    /// Record a turn's answer.
    FinishTurn(Box<FinishTurn>),
    /// Record that a turn ended without an answer.
    AbandonTurn {
        /// The program.
        program: ProgramId,
        /// The call.
        call: CallId,
        /// Tokens generated before it ended.
        output_tokens: TokenCount,
        /// Engines that may hold memory for the program.
        engines: Vec<EngineName>,
        /// Why, for the program's decisions.
        reason: String,
    },
    /// Stop waiting for a turn that is not yet admitted.
    ForgetWaiting {
        /// The program.
        program: ProgramId,
        /// The call.
        call: CallId,
    },
    /// Give a sub-agent its part of the parent's budget.
    GrantChild(GrantChild),
    /// Take back what an ended sub-agent has not used.
    ReturnChild {
        /// The parent.
        parent: ProgramId,
        /// The sub-agent.
        child: ProgramId,
        /// The part not used.
        unused: Reservation,
    },
    /// End a program.
    EndProgram {
        /// Identifies the request, for its reply.
        call: CallId,
        /// The program.
        program: ProgramId,
        /// Who asks; `None` for the system itself.
        tenant: Option<TenantName>,
    },
    /// Report on a program.
    Describe {
        /// Identifies the request, for its reply.
        call: CallId,
        /// The program.
        program: ProgramId,
        /// Who asks.
        tenant: TenantName,
        /// Which part of the history and the decisions is wanted.
        page: Page,
    },
    /// Tell which of these programs have ended or are not known.
    ListGone {
        /// Identifies the request, for its reply.
        call: CallId,
        /// The programs.
        programs: Vec<ProgramId>,
    },
    /// Admit a service call that may run only once.
    BeginService(BeginService),
    /// Record a service call's response.
    FinishService {
        /// The ledger's key.
        key: LedgerKey,
        /// The call.
        call: CallId,
        /// The response.
        response: ServiceResponse,
    },
    /// A service call is proven not to have been sent.
    ReleaseService {
        /// The ledger's key.
        key: LedgerKey,
        /// The call.
        call: CallId,
    },
    /// A service call was sent and its response is lost.
    LoseService {
        /// The ledger's key.
        key: LedgerKey,
        /// The call.
        call: CallId,
    },
}

impl Command {
    /// The call that the command names, by which its answer is found; 0 where it has no answer.
    pub fn call(&self) -> CallId {
        match self {
            Command::BeginTurn(begin) => begin.call,
            Command::FinishTurn(finish) => finish.call,
            Command::GrantChild(grant) => grant.call,
            Command::BeginService(begin) => begin.call,
            Command::AbandonTurn { call, .. }
            | Command::ForgetWaiting { call, .. }
            | Command::EndProgram { call, .. }
            | Command::Describe { call, .. }
            | Command::ListGone { call, .. }
            | Command::FinishService { call, .. }
            | Command::ReleaseService { call, .. }
            | Command::LoseService { call, .. } => *call,
            Command::ReturnChild { .. } => CallId(0),
        }
    }
}

/// A request to admit a turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BeginTurn {
    /// The call.
    pub call: CallId,
    /// The program.
    pub program: ProgramId,
    /// The tenant that calls.
    pub tenant: TenantName,
    /// The program that starts this one, for a sub-agent.
    pub parent: Option<ProgramId>,
    /// The turn; `None` stands for whichever is next.
    pub turn: Option<TurnNumber>,
    /// The caller's key, if any.
    pub key: Option<IdempotencyKey>,
    /// How `messages` relate to the history.
    pub mode: HistoryMode,
    /// In full mode: leading messages that are named by their digest instead of being sent.
    pub known_prefix: KnownPrefix,
    /// The messages after the known prefix.
    pub messages: Vec<ChatMessage>,
    /// Cap on generated tokens that the caller asked for.
    pub wanted_output: TokenCount,
    /// Limits of a program that this call creates.
    pub limits: BudgetLimits,
    /// The node that will run the call.
    pub runner: Runner,
    /// Until when the call may wait for the turn before it.
    pub wait_until: Timestamp,
    /// How long the call may run once admitted, in which it must be finished or abandoned.
    pub run_limit: Duration,
}

/// Leading messages named by count and digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct KnownPrefix {
    /// How many messages.
    pub length: usize,
    /// Their chained digest.
    pub digest: PrefixDigest,
}

/// A request to record an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishTurn {
    /// The program.
    pub program: ProgramId,
    /// The call.
    pub call: CallId,
    /// The answer.
    pub answer: Answer,
    /// Tokens as the engine reported them.
    pub usage: Usage,
    /// The engine.
    pub engine: EngineName,
    /// Engines tried before, which may hold memory for the program.
    pub other_engines: Vec<EngineName>,
    /// Why that engine was chosen, for the program's decisions.
    pub reason: String,
}

/// A request for a sub-agent's part of a budget.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantChild {
    /// Identifies the request, for its reply.
    pub call: CallId,
    /// The parent.
    pub parent: ProgramId,
    /// The sub-agent.
    pub child: ProgramId,
    /// The tenant of both.
    pub tenant: TenantName,
    /// Percentage of what the parent has left.
    pub share_percent: u64,
}

/// A request to admit a service call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BeginService {
    /// The call.
    pub call: CallId,
    /// The ledger's key.
    pub key: LedgerKey,
    /// Digest over method, path and body.
    pub request: [u8; 16],
    /// The node that will run it.
    pub runner: Runner,
    /// How long the call may run once admitted, in which its outcome must be recorded.
    pub run_limit: Duration,
}
