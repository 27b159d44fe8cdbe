//! Replies and side effects that a shard's leader produces.

use std::fmt;

use sumacdrift_types::{
    CallId, ChatMessage, EngineName, Problem, ProgramId, TenantName, Timestamp, TokenCount, TurnNumber, Usage,
};

use crate::{Answer, Budget, BudgetLimits, EndReason, Reservation, Runner, ServiceResponse};

/// An action for the leader's node to carry out.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Reply to the request that `call` identifies.
    Reply { call: CallId, reply: Reply },
    /// Cancel a call in flight.
    Cancel { runner: Runner, call: CallId },
    /// Allow engines to free the cached state of a program.
    FreeEngines { program: ProgramId, engines: Vec<EngineName> },
    /// End a sub-agent.
    EndChild { child: ProgramId },
    /// Return the unused budget of an ended sub-agent to its parent.
    ReturnToParent { parent: ProgramId, child: ProgramId, unused: Reservation },
}

/// The reply to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// The turn is admitted.
    Run(Box<RunTurn>),
    /// The turn was committed before, with this answer.
    Replay(RecordedAnswer),
    /// The known prefix does not match the recorded history; the caller must send all messages.
    PrefixMismatch,
    /// With the problem to return to the caller.
    Rejected(Problem),
    /// The requested change is committed.
    Done,
    /// The call ended without an answer. Distinct from `Done`, because a leader may abandon a call while its node
    /// requests to commit the answer.
    Abandoned,
    /// The budget limits granted to the sub-agent.
    Granted(BudgetLimits),
    /// The state of a program.
    Report(Box<ProgramReport>),
    /// Programs that have ended or are unknown.
    Ended(Vec<ProgramId>),
    /// The service call is admitted.
    RunService,
    /// The service call was completed before, with this response.
    ReplayService(ServiceResponse),
}

/// What a node needs to run an admitted turn.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq)]
pub struct RunTurn {
    pub turn: TurnNumber,
    /// The recorded history; empty if the caller sent all messages.
    pub earlier_messages: Vec<ChatMessage>,
    /// Limit on generated tokens.
    pub output_tokens: TokenCount,
    /// Engine of the latest turn, which may still hold its context.
    pub last_engine: Option<EngineName>,
    /// Tokens generated for the program so far (attained service).
    pub attained_tokens: TokenCount,
}

/// The recorded answer of a committed turn.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedAnswer {
    pub turn: TurnNumber,
    pub answer: Answer,
    pub usage: Usage,
}

/// The part of the history that a report contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Page {
    /// Index of the first message.
    pub first_message: usize,
    /// Maximum number of messages.
    pub messages: usize,
}

/// State of a program, a page of its history and its recent decisions.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq)]
pub struct ProgramReport {
    pub program: ProgramId,
    pub tenant: TenantName,
    /// Set for a sub-agent.
    pub parent: Option<ProgramId>,
    /// Sub-agents that have not returned their budget.
    pub children: Vec<ProgramId>,
    pub budget: Budget,
    pub ended: Option<EndReason>,
    pub in_flight: Option<CallId>,
    pub next_turn: TurnNumber,
    /// Total number of recorded messages.
    pub history_length: usize,
    /// The requested page of the history.
    pub messages: Vec<ChatMessage>,
    /// Engines that may hold cached state of the program.
    pub engines: Vec<EngineName>,
    /// Decisions of the current leader, oldest first.
    pub decisions: Vec<Decision>,
}

/// An entry of a program's decision log.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    pub at: Timestamp,
    pub kind: DecisionKind,
    pub turn: Option<TurnNumber>,
    /// Explanation for operators.
    pub reason: String,
}

/// The kind of a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecisionKind {
    /// A turn was admitted.
    Admitted,
    /// A turn waits for an earlier one.
    Held,
    /// A turn was rejected.
    Refused,
    /// A recorded answer was returned again.
    Replayed,
    /// A turn's answer was submitted for commit.
    Committed,
    /// A turn ended without an answer.
    Abandoned,
    /// The program ended.
    Ended,
    /// A part of the budget was granted to a sub-agent.
    Granted,
}

impl fmt::Display for DecisionKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            DecisionKind::Admitted => "admitted",
            DecisionKind::Held => "held",
            DecisionKind::Refused => "refused",
            DecisionKind::Replayed => "replayed",
            DecisionKind::Committed => "committed",
            DecisionKind::Abandoned => "abandoned",
            DecisionKind::Ended => "ended",
            DecisionKind::Granted => "granted",
        };
        formatter.write_str(name)
    }
}

impl DecisionKind {
    /// Parses the output of `Display`.
    pub fn parse(name: &str) -> Option<Self> {
        let all = [
            DecisionKind::Admitted,
            DecisionKind::Held,
            DecisionKind::Refused,
            DecisionKind::Replayed,
            DecisionKind::Committed,
            DecisionKind::Abandoned,
            DecisionKind::Ended,
            DecisionKind::Granted,
        ];
        all.into_iter().find(|kind| kind.to_string() == name)
    }
}
