//! State of a call on a simulated node.

use sumacdrift_calls::CallMachine;
use sumacdrift_program::{Command, LedgerKey, RunTurn};
use sumacdrift_types::{CallId, ChatMessage, Timestamp};

use crate::packet::{CallerRequest, TurnRequest};

#[derive(Debug, Clone)]
pub(crate) struct Task {
    pub(crate) call: CallId,
    /// Index of the caller.
    pub(crate) caller: usize,
    pub(crate) request: CallerRequest,
    pub(crate) stage: Stage,
    /// The exchange whose answer is awaited; answers to other exchanges are ignored.
    pub(crate) exchange: u64,
    /// The command in flight, kept for retries.
    pub(crate) command: Option<Command>,
    /// Position of the next node to ask while the leader is unknown.
    pub(crate) target_index: usize,
    /// When retries of the command stop.
    pub(crate) retry_deadline: Timestamp,
    /// Decides whether a failed call is retried.
    pub(crate) machine: CallMachine,
    /// Output tokens of all attempts.
    pub(crate) generated_tokens: u64,
    /// Engines that may hold memory for the program.
    pub(crate) engines: Vec<usize>,
}

#[derive(Debug, Clone)]
pub(crate) enum Stage {
    /// Waits for admission by the shard's leader.
    AwaitingAdmission,
    /// Waits for a slot of an engine.
    Queued {
        run: Box<RunTurn>,
        engine: usize,
        owner: usize,
    },
    Running {
        run: Box<RunTurn>,
        engine: usize,
        owner: usize,
    },
    /// Waits for the commit of the answer.
    CommittingAnswer {
        message: ChatMessage,
    },
    RunningService,
    /// Waits for the commit of the response to the ledger.
    CommittingService,
    /// Waits for the commit of a failure; the caller was answered already.
    CommittingFailure,
    /// Waits for the commit of the program's end.
    EndingProgram,
}

impl Task {
    pub(crate) fn turn_request(&self) -> Option<&TurnRequest> {
        match &self.request {
            CallerRequest::Turn(request) => Some(request),
            _ => None,
        }
    }

    /// The requested turn; 0 for other requests.
    pub(crate) fn turn(&self) -> u32 {
        self.turn_request().map_or(0, |request| request.turn.0)
    }
}

pub(crate) fn ledger_key(key: &str) -> Option<LedgerKey> {
    Some(LedgerKey {
        tenant: sumacdrift_types::TenantName::new("tenant").ok()?,
        service: sumacdrift_types::ServiceName::new("hooks").ok()?,
        key: sumacdrift_types::IdempotencyKey::new(key).ok()?,
    })
}
