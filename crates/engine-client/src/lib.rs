//! Model engines as the system calls them: OpenAI chat completions over HTTP, always streamed.
//!
//! An engine is always asked to stream, whatever the caller asked for: a stream shows progress, so a hung engine
//! is told from a slow one, and a cut answer can be continued elsewhere from where it broke.

mod answer;
mod client;
mod request;
mod sse;

pub use answer::AnswerBuilder;
pub use client::{EngineClient, EngineError, EngineStream, StreamItem};
pub use request::EngineRequest;
