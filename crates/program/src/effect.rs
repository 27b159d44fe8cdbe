//! What a shard's leader wants done or told.

use std::fmt;

use sumacdrift_types::{
    CallId, ChatMessage, EngineName, Problem, ProgramId, TenantName, Timestamp, TokenCount, TurnNumber, Usage,
};

use crate::{Answer, Budget, BudgetLimits, EndReason, Reservation, Runner, ServiceResponse};

/// One thing for the leader's node to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Answer a request.
    Reply {
        /// The call that the request named.
        call: CallId,
        /// The answer.
        reply: Reply,
    },
    /// A call under way must be stopped.
    Cancel {
        /// The node that runs it.
        runner: Runner,
        /// The call.
        call: CallId,
    },
    /// Engines may drop what they hold for a program.
    FreeEngines {
        /// The program.
        program: ProgramId,
        /// The engines that served it.
        engines: Vec<EngineName>,
    },
    /// A sub-agent must be ended.
    EndChild {
        /// The sub-agent.
        child: ProgramId,
    },
    /// An ended sub-agent's unused part goes back to its parent.
    ReturnToParent {
        /// The parent.
        parent: ProgramId,
        /// The sub-agent.
        child: ProgramId,
        /// The part not used.
        unused: Reservation,
    },
}

/// The answer to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// The turn may run now.
    Run(Box<RunTurn>),
    /// The turn ran before; here is its answer.
    Replay(RecordedAnswer),
    /// The named prefix is not what is recorded here: send all messages.
    SendAllMessages,
    /// The request is refused.
    Refused(Problem),
    /// What was asked for is committed.
    Done,
    /// The call is settled without an answer. Told from `Done`, since a leader may give a call up in the very
    /// moment in which its node asks to record the answer.
    Abandoned,
    /// A sub-agent's limits.
    Granted(BudgetLimits),
    /// A report on a program.
    Report(Box<ProgramReport>),
    /// Programs that have ended or are not known.
    Gone(Vec<ProgramId>),
    /// The service call may be sent now.
    RunService,
    /// The service call ran before; here is its response.
    ReplayService(ServiceResponse),
}

/// Everything that a node needs to run an admitted turn.
#[derive(Debug, Clone, PartialEq)]
pub struct RunTurn {
    /// The turn.
    pub turn: TurnNumber,
    /// Recorded messages before the new ones; empty where the caller sent them all.
    pub earlier_messages: Vec<ChatMessage>,
    /// Cap on generated tokens.
    pub output_tokens: TokenCount,
    /// Engine of the latest turn, where its context may still be.
    pub last_engine: Option<EngineName>,
    /// Tokens generated for the program so far: its attained service.
    pub attained_tokens: TokenCount,
}

/// An answer from the history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedAnswer {
    /// The turn.
    pub turn: TurnNumber,
    /// The answer.
    pub answer: Answer,
    /// Tokens as the engine reported them.
    pub usage: Usage,
}

/// Which part of a report is wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Page {
    /// First message of the history.
    pub first_message: usize,
    /// Number of messages at the most.
    pub messages: usize,
}

/// State, budget, history and decisions of a program.
#[derive(Debug, Clone, PartialEq)]
pub struct ProgramReport {
    /// The program.
    pub program: ProgramId,
    /// Its owner.
    pub tenant: TenantName,
    /// The program that started it.
    pub parent: Option<ProgramId>,
    /// Sub-agents that have not ended.
    pub children: Vec<ProgramId>,
    /// Budget and what is spent.
    pub budget: Budget,
    /// Why it ended, if it did.
    pub ended: Option<EndReason>,
    /// The call under way.
    pub in_flight: Option<CallId>,
    /// The next turn.
    pub next_turn: TurnNumber,
    /// Number of messages recorded.
    pub history_length: usize,
    /// The page of the history asked for.
    pub messages: Vec<ChatMessage>,
    /// Engines that may hold memory for it.
    pub engines: Vec<EngineName>,
    /// What the system decided for it, oldest first; the current leader's only.
    pub decisions: Vec<Decision>,
}

/// One decision with its reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// When.
    pub at: Timestamp,
    /// What.
    pub kind: DecisionKind,
    /// The turn it is about, where there is one.
    pub turn: Option<TurnNumber>,
    /// Why, in words for an operator.
    pub reason: String,
}

/// Kinds of decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecisionKind {
    /// A turn was admitted.
    Admitted,
    /// A turn waits for its predecessor.
    Held,
    /// A turn was refused.
    Refused,
    /// A recorded answer was given again.
    Replayed,
    /// A turn ran and its answer was recorded.
    Committed,
    /// A turn ended without an answer.
    Abandoned,
    /// The program ended.
    Ended,
    /// A part of the budget went to a sub-agent.
    Granted,
}

impl fmt::Display for DecisionKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = match self {
            DecisionKind::Admitted => "admitted",
            DecisionKind::Held => "held",
            DecisionKind::Refused => "refused",
            DecisionKind::Replayed => "replayed",
            DecisionKind::Committed => "committed",
            DecisionKind::Abandoned => "abandoned",
            DecisionKind::Ended => "ended",
            DecisionKind::Granted => "granted",
        };
        formatter.write_str(word)
    }
}

impl DecisionKind {
    /// Finds a kind by the word that `Display` writes.
    pub fn parse(word: &str) -> Option<Self> {
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
        all.into_iter().find(|kind| kind.to_string() == word)
    }
}
