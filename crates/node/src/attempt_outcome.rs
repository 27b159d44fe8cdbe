//! Conversions between engine attempts and the call state machine.

use std::time::Duration;

use sumacdrift_calls::{CallKind, CallRules, EngineId, Failure};
use sumacdrift_engine_client::EngineError;
use sumacdrift_types::{EngineName, Problem, ResultCode};

/// Upper bound only; the turn's own deadline is enforced separately.
const MAX_CALL_DURATION: Duration = Duration::from_secs(24 * 3600);

pub(crate) fn engine_id(engine: &EngineName) -> EngineId {
    EngineId::new(engine.as_str())
}

/// Rules for a turn: a stream that breaks off resumes at another engine after the text received so far.
pub(crate) fn call_rules(max_attempts: u32) -> CallRules {
    CallRules {
        kind: CallKind::Stream { resumable: true },
        max_engines: max_attempts as usize,
        returns_to_last: false,
        timeout: MAX_CALL_DURATION,
        aim: MAX_CALL_DURATION,
        priority: 0,
    }
}

/// Maps an engine error to the call state machine's failure kind.
pub(crate) fn classify_failure(error: &EngineError) -> Failure {
    match error {
        EngineError::Unreachable(_) => Failure::NotSent,
        EngineError::Refused { .. } | EngineError::InvalidResponse => Failure::Spoiled,
        EngineError::ConnectionLost(_) | EngineError::Stalled => Failure::Lost,
    }
}

/// Maps an engine error to the problem reported to the caller.
pub(crate) fn to_problem(error: &EngineError) -> Problem {
    let code = match error {
        EngineError::Unreachable(_) => ResultCode::BackEndUnreachable,
        EngineError::Refused { .. } => ResultCode::BackEndRefused,
        EngineError::ConnectionLost(_) | EngineError::Stalled => ResultCode::BackEndCut,
        EngineError::InvalidResponse => ResultCode::BackEndGarbage,
    };
    Problem::unknown(code, error.to_string())
}
