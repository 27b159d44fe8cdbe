//! Messages between simulated nodes, and requests and answers between callers and gateways.
//!
//! The `Debug` text of these types is part of the trace hash.

use sumacdrift_config::Versioned;
use sumacdrift_program::{Command, Reply};
use sumacdrift_replication::{Message, ReplicaId};
use sumacdrift_scheduling::{EngineWork, Release};
use sumacdrift_types::{
    CallId, ChatMessage, EngineName, Generation, HistoryMode, Problem, ProgramId, TurnNumber,
};

/// The subset of the configuration that the simulation uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SimConfiguration {
    pub(crate) generation: Generation,
    /// Indexes of the leaving engines.
    pub(crate) leaving: Vec<usize>,
    /// Number of the rollout that wrote it.
    pub(crate) rollout: u64,
}

impl Versioned for SimConfiguration {
    fn generation(&self) -> Generation {
        self.generation
    }
}

/// A message between nodes.
#[derive(Debug, Clone)]
pub(crate) enum Packet {
    Group { from: ReplicaId, to: ReplicaId, message: Message },
    Command { exchange: u64, command: Command },
    CommandAnswer { exchange: u64, answer: CommandAnswer },
    Enqueue { exchange: u64, engine: usize, work: Box<EngineWork> },
    EnqueueAnswer { exchange: u64, outcome: Result<(), Problem> },
    Release { engine: usize, release: Release },
    Forget { engine: usize, call: CallId },
    FreeProgram { engine: EngineName, program: ProgramId },
    Heartbeat { replica: ReplicaId, is_leaving: bool, configuration: Option<SimConfiguration> },
    Cancel { call: CallId },
}

#[derive(Debug, Clone)]
pub(crate) enum CommandAnswer {
    Reply(Reply),
    /// With the presumed leader, if one is known.
    NotLeader(Option<usize>),
}

#[derive(Debug, Clone)]
pub(crate) enum CallerRequest {
    Turn(TurnRequest),
    Service { key: String, body: u8 },
    End { program: ProgramId },
}

#[derive(Debug, Clone)]
pub(crate) struct TurnRequest {
    pub(crate) program: ProgramId,
    pub(crate) turn: TurnNumber,
    pub(crate) mode: HistoryMode,
    pub(crate) messages: Vec<ChatMessage>,
    pub(crate) output_budget: u64,
    pub(crate) wanted_output: u64,
}

#[derive(Debug, Clone)]
pub(crate) enum CallerAnswer {
    Turn { message: ChatMessage },
    Service,
    Ended,
    Refused { call: CallId, problem: Problem },
}
