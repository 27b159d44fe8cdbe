//! What a simulated call is allowed, as its state machine takes it.

use std::time::Duration;

use sumacdrift_calls::{CallKind, CallRules, EngineId};

use crate::packet::CallerRequest;

/// Engines that one turn may reach.
const MAX_ENGINES: usize = 3;
/// How long a call is held at the most; the simulation ends calls in its own ways long before.
const CALL_TIME: Duration = Duration::from_secs(3600);
/// The back end of service calls, as their state machine knows it.
pub(crate) const SERVICE: &str = "service";

/// An engine as the state machine knows it.
pub(crate) fn engine_id(engine: usize) -> EngineId {
    EngineId::new(&format!("engine-{engine}"))
}

/// What the configuration allows for a request.
pub(crate) fn rules_of(request: &CallerRequest) -> CallRules {
    let kind = match request {
        CallerRequest::Turn(_) => CallKind::Stream { resumable: true },
        _ => CallKind::Once,
    };
    CallRules {
        kind,
        max_engines: MAX_ENGINES,
        returns_to_last: false,
        timeout: CALL_TIME,
        aim: CALL_TIME,
        priority: 0,
    }
}
