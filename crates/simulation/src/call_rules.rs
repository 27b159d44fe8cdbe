//! Limits of simulated calls, as passed to the call state machine.

use std::time::Duration;

use sumacdrift_calls::{CallKind, CallRules, EngineId};

use crate::packet::CallerRequest;

const MAX_ENGINES_PER_TURN: usize = 3;
/// Longer than any run, so that the call state machine never times a call out.
const CALL_TIMEOUT: Duration = Duration::from_secs(3600);
/// Back-end id of service calls in the call state machine.
pub(crate) const SERVICE_BACK_END: &str = "service";

pub(crate) fn engine_id(engine: usize) -> EngineId {
    EngineId::new(&format!("engine-{engine}"))
}

pub(crate) fn call_rules(request: &CallerRequest) -> CallRules {
    let kind = match request {
        CallerRequest::Turn(_) => CallKind::Stream { resumable: true },
        _ => CallKind::Once,
    };
    CallRules {
        kind,
        max_engines: MAX_ENGINES_PER_TURN,
        returns_to_last: false,
        timeout: CALL_TIMEOUT,
        aim: CALL_TIMEOUT,
        priority: 0,
    }
}
