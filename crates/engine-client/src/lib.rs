//! Client for model engines: OpenAI chat completions over HTTP, always streamed.
//!
//! Requests are streamed whatever the caller asked for: a stream shows progress, so that a hung engine can be
//! distinguished from a slow one, and an interrupted response can be continued on another engine.

mod answer;
mod client;
mod request;
mod sse;

pub use answer::AnswerBuilder;
pub use client::{EngineClient, EngineError, EngineStream, StreamItem};
pub use request::EngineRequest;
