//! A call that a simulated node runs: the steps that the node's call runners take, as a state machine.

use sumacdrift_calls::CallMachine;
use sumacdrift_program::{Command, LedgerKey, RunTurn};
use sumacdrift_types::{CallId, ChatMessage, Timestamp};

use crate::packet::{CallerRequest, TurnRequest};

/// A call under way on a node.
#[derive(Debug, Clone)]
pub(crate) struct Task {
    pub(crate) call: CallId,
    /// Which caller's which attempt it answers.
    pub(crate) caller: usize,
    pub(crate) request: CallerRequest,
    pub(crate) stage: Stage,
    /// The exchange that is waited for.
    pub(crate) exchange: u64,
    /// The command that is being sent, for sending it again.
    pub(crate) command: Option<Command>,
    /// Which node is asked next where the leader is not known.
    pub(crate) next_target: usize,
    /// When sending the present command is given up.
    pub(crate) give_up: Timestamp,
    /// What becomes of the call where a back end fails it.
    pub(crate) machine: CallMachine,
    /// Tokens that engines generated for it so far.
    pub(crate) generated: u64,
    /// Engines that may hold memory.
    pub(crate) engines: Vec<usize>,
}

/// Where a call stands.
#[derive(Debug, Clone)]
pub(crate) enum Stage {
    /// Waits for admission.
    Beginning,
    /// Waits for an engine's grant.
    Queueing { run: Box<RunTurn>, engine: usize, owner: usize },
    /// Runs on an engine.
    Running { run: Box<RunTurn>, engine: usize, owner: usize },
    /// Waits for the commit of an answer.
    Finishing { message: ChatMessage },
    /// Runs at a service.
    RunningService,
    /// Waits for the ledger to take the response.
    FinishingService,
    /// Waits until the end of a failed call is recorded.
    Abandoning,
    /// Waits for a program's end.
    Ending,
}

impl Task {
    pub(crate) fn turn_request(&self) -> Option<&TurnRequest> {
        match &self.request {
            CallerRequest::Turn(request) => Some(request),
            _ => None,
        }
    }

    /// The turn that the request is about; 0 for others.
    pub(crate) fn turn(&self) -> u32 {
        self.turn_request().map_or(0, |request| request.turn.0)
    }
}

/// The ledger's key of a service call.
pub(crate) fn ledger_key(key: &str) -> Option<LedgerKey> {
    Some(LedgerKey {
        tenant: sumacdrift_types::TenantName::new("tenant").ok()?,
        service: sumacdrift_types::ServiceName::new("hooks").ok()?,
        key: sumacdrift_types::IdempotencyKey::new(key).ok()?,
    })
}
