//! Attempts of a turn at engines, as the call's state machine knows them.

use std::time::Duration;

use sumacdrift_calls::{CallKind, CallRules, EngineId, Failure};
use sumacdrift_engine_client::EngineError;
use sumacdrift_types::{EngineName, Problem, ResultCode};

/// How long a call is held at the most; the turn's own deadline comes first.
const LONGEST_CALL: Duration = Duration::from_secs(24 * 3600);

/// An engine as the state machine knows it.
pub(crate) fn engine_id(engine: &EngineName) -> EngineId {
    EngineId::new(engine.as_str())
}

/// What the bundle allows for a turn: a broken answer goes on at another engine after the text that came.
pub(crate) fn rules_of(max_attempts: u32) -> CallRules {
    CallRules {
        kind: CallKind::Stream { resumable: true },
        max_engines: max_attempts as usize,
        returns_to_last: false,
        timeout: LONGEST_CALL,
        aim: LONGEST_CALL,
        priority: 0,
    }
}

/// How an attempt failed.
pub(crate) fn failure_of(error: &EngineError) -> Failure {
    match error {
        EngineError::Unreachable(_) => Failure::NotSent,
        EngineError::Refused { .. } | EngineError::Garbage => Failure::Spoiled,
        EngineError::Cut(_) | EngineError::Stalled => Failure::Lost,
    }
}

/// What a caller is told of a failed attempt.
pub(crate) fn to_problem(error: &EngineError) -> Problem {
    let code = match error {
        EngineError::Unreachable(_) => ResultCode::BackEndUnreachable,
        EngineError::Refused { .. } => ResultCode::BackEndRefused,
        EngineError::Cut(_) | EngineError::Stalled => ResultCode::BackEndCut,
        EngineError::Garbage => ResultCode::BackEndGarbage,
    };
    Problem::unknown(code, error.to_string())
}
