//! Origins of streams in the simulation: where each stream began, and turns that resume one.

use rand::Rng;
use rand::seq::IndexedRandom;
use sumacdrift_ledger::{
    Begin, BeginQuorum, RequestKind, ResumedOrigin, ResumedTurn, StreamOrigin, TurnBegun,
};

use super::{Cluster, MAX_TURN_TOKENS, Operation, Phase, RETENTION, wire_quorum};

/// Probability that a turn resumes an earlier stream of its program.
const RESUME_PROBABILITY: f64 = 0.5;
/// Probability that the caller of such a turn doesn't name the earlier one.
const UNNAMED_PROBABILITY: f64 = 0.5;
/// Probability that a turn runs at another version than the one recorded at its start.
const CHANGE_PROBABILITY: f64 = 0.3;
const VERSIONS: u32 = 4;

/// A stream of which the caller received an event.
pub(super) struct BegunStream {
    turn: String,
    program: String,
    request: u64,
    origin: StreamOrigin,
}

/// How a new turn resumes a stream.
#[derive(Default)]
pub(super) struct Resumption {
    /// Turn that began the stream; empty if none is resumed.
    turn: String,
    /// Request of that turn, if the caller doesn't name it.
    pub(super) request: Option<u64>,
}

impl Resumption {
    pub(super) fn resumed_turn(&self) -> ResumedTurn {
        if self.is_by_request() {
            return ResumedTurn::OfSameRequest;
        }
        if self.turn.is_empty() { ResumedTurn::None } else { ResumedTurn::Named(self.turn.clone()) }
    }

    pub(super) fn is_by_request(&self) -> bool {
        self.request.is_some()
    }
}

impl Cluster {
    /// Like [`Cluster::new`], with streams that are resumed, of which some change their origin before they begin.
    pub fn with_resumptions(seed: u64, tolerated_losses: usize) -> Self {
        Self { has_resumptions: true, ..Self::new(seed, tolerated_losses) }
    }

    pub(super) fn draw_origin(&mut self, revision: u32) -> StreamOrigin {
        let number = if self.has_resumptions { self.random.random_range(0..VERSIONS) } else { 0 };
        let version = format!("v{number}");
        StreamOrigin { service: "s".to_owned(), version, revision }
    }

    /// An earlier stream of the program to resume, if any.
    pub(super) fn draw_resumption(&mut self, program: &str) -> Resumption {
        if !self.has_resumptions || !self.random.random_bool(RESUME_PROBABILITY) {
            return Resumption::default();
        }
        let is_by_request = self.random.random_bool(UNNAMED_PROBABILITY);
        let of_program: Vec<&BegunStream> =
            self.streams.iter().filter(|stream| stream.program == program).collect();
        let Some(stream) = of_program.choose(&mut self.random) else { return Resumption::default() };
        let request = is_by_request.then_some(stream.request);
        Resumption { turn: stream.turn.clone(), request }
    }

    /// A stream that an engine began is found with the version that began it, whatever was lost meanwhile.
    pub(super) fn check_resumed_origin(&mut self, operation: &Operation, quorum: &BeginQuorum) {
        let Some(resumed) = self.streams.iter().find(|stream| stream.turn == operation.resumption.turn)
        else {
            return;
        };
        self.resumptions += 1;
        let expected = ResumedOrigin::Recorded(resumed.origin.clone());
        assert_eq!(quorum.resumed_origin(), expected, "origin of {}", resumed.turn);
    }

    /// Records another origin for some of the admitted turns before they run; returns the turns that run now.
    pub(super) fn change_origin(&mut self, mut operation: Operation) -> Option<Operation> {
        let may_change =
            self.has_resumptions && operation.budget > 0 && !operation.resumption.is_by_request();
        if !may_change || !self.random.random_bool(CHANGE_PROBABILITY) {
            return Some(operation);
        }
        operation.origin = self.draw_origin(operation.origin.revision + 1);
        operation.resumption = Resumption::default();
        operation.group = self.known_group(operation.is_of_older_build);
        operation.budget = 0;
        operation.phase =
            Phase::Beginning(Box::new(BeginQuorum::new(operation.group.commit_quorum(), 0, MAX_TURN_TOKENS)));
        operation.replied.clear();
        let begin = Begin {
            turn: Some(turn_begun(&operation)),
            commit_quorum: wire_quorum(&operation),
            ..Begin::default()
        };
        // A request of its own: late replies to the first one don't count for it.
        self.last_id += 1;
        self.operations.insert(self.last_id, operation);
        self.send_to_group(self.last_id, RequestKind::Begin(begin));
        None
    }

    /// Records a stream that began; one that was resumed without a name has the origin of the first one.
    pub(super) fn record_stream(&mut self, operation: &Operation) {
        if operation.resumption.is_by_request() {
            return;
        }
        self.streams.push(BegunStream {
            turn: operation.turn.clone(),
            program: operation.program.clone(),
            request: operation.request,
            origin: operation.origin.clone(),
        });
    }
}

pub(super) fn turn_begun(operation: &Operation) -> TurnBegun {
    TurnBegun {
        program: operation.program.clone(),
        turn: operation.turn.clone(),
        max_tokens: MAX_TURN_TOKENS,
        retained_bytes: 0,
        retention_millis: RETENTION,
        origin: (!operation.resumption.is_by_request()).then(|| operation.origin.clone()),
        request: Some(operation.request),
        previous: String::new(),
    }
}
