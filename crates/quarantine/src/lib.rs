//! Quarantine of requests under which engine after engine crashed.
//!
//! A request that crashes its engine is sent again by its caller, with another call id and at any edge. Storage nodes keep
//! a [`CrashHistory`] of such requests by fingerprint; edges report each crash to it before they send the request
//! anywhere else. An engine that may have crashed counts as suspected until it shows a sign of life, and is observed for a
//! while after that, as it may still end. A request that reaches the limit enters the [`Quarantine`] of every edge and is rejected there: for a short time if some of its crashes are
//! only suspected. Neither does I/O or reads a clock.

mod bounded;
mod crash_history;
mod engine_end;
mod lost_attempts;
mod quarantine;
mod recently_served;
mod suspects;

pub use crash_history::{
    CRASH_RETENTION, Callers, Certainty, CrashChain, CrashHistory, CrashReport, CrashedEngine,
    OBSERVATION_TIME,
};
pub use engine_end::EngineEnd;
pub use lost_attempts::LostAttempts;
pub use quarantine::{QUARANTINE_TIME, Quarantine, QuarantinedRequest, SUSPICION_TIME};
pub use recently_served::RecentlyServed;
pub use suspects::{SuspectRequest, SuspectRequests};
