//! Protocol-independent calls and the state machine that decides on retries.
//!
//! Each front end (OpenAI chat, plain HTTP) maps a request to a [`CallMetadata`]. [`CallMachine`] alone decides
//! whether a call may be retried, how many engines may run it and which response its caller gets. It does no I/O and
//! reads no clock: the driver reports events and carries out the returned [`Next`] step.

mod event_sequence;
mod event_steps;
mod events;
mod fingerprint;
mod head;
mod machine;
mod rules;

pub use event_sequence::{EventDisorder, EventId, EventSequence};
pub use event_steps::{EventSteps, StepHistory};
pub use events::{EventSplitter, StreamEvent};
pub use fingerprint::{RequestContent, RequestFingerprint};
pub use head::{CallMetadata, EngineId, EngineStart, EngineVersion, ProgramMetadata, PromptPart, TokenUsage};
pub use machine::{CallMachine, CrashCount, Failure, MAX_CRASHES, Next};
pub use rules::{CallKind, CallRules};
