//! Calls in the product's own words, and the state machine that decides what becomes of one.
//!
//! A call may come in by any face (OpenAI chat, plain HTTP); a face maps it to [`CallHead`]. What may be repeated, how
//! many engines a call may reach and what may be said about it are decided by [`CallMachine`] alone. It reads no
//! clock and opens no connection: drivers tell it what happened and do what it answers.

mod events;
mod head;
mod machine;
mod rules;

pub use events::{EventSplitter, StreamEvent};
pub use head::{CallHead, EngineId, EngineStart, ProgramHead, PromptPart, TokenUsage};
pub use machine::{CallMachine, Failure, Next};
pub use rules::{CallKind, CallRules};
