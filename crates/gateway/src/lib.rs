//! HTTP front end for OpenAI chat completions, programs and plain services.
//!
//! Translates between HTTP and the typed calls of the [`Dispatcher`] trait, so that HTTP handling and call
//! execution can be tested separately.

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
