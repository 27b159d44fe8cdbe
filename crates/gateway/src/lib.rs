//! The callers' face: OpenAI chat completions, programs and plain services over HTTP.
//!
//! This crate turns HTTP into typed calls and typed answers into HTTP. What a call does is behind the
//! [`Dispatcher`] trait, so that the face can be tested without a fleet and the fleet without HTTP.

mod auth;
mod chat;
mod chat_answer;
mod chat_request;
mod dispatcher;
mod error;
mod headers;
mod limits;
mod listener;
mod programs;
mod router;
mod services;

pub use dispatcher::{
    ChatCall, ChatHead, ChatItem, ChatStream, DispatchFuture, Dispatcher, ProgramCall, ServiceAnswer,
    ServiceBody, ServiceCall,
};
pub use limits::TenantLimits;
pub use listener::{ListenerSettings, serve};
pub use router::{GatewaySettings, router};
