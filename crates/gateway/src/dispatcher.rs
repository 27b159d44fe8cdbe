//! The interface between the HTTP front end and the node that executes calls.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde_json::{Map, Value};
use sumacdrift_config::Bundle;
use sumacdrift_program::{Page, ProgramReport};
use sumacdrift_types::{
    CallId, ChatMessage, HistoryMode, IdempotencyKey, ModelName, Problem, ProgramId, ServiceName, TenantName,
    TokenCount, TurnNumber, Usage,
};
use tokio::sync::mpsc;

/// A boxed future, as [`Dispatcher`] must be usable as a trait object.
pub type DispatchFuture<T> = Pin<Box<dyn Future<Output = Result<T, Problem>> + Send>>;

/// Executes calls on behalf of the HTTP front end.
pub trait Dispatcher: Send + Sync + 'static {
    /// The configuration in force; `None` until the node has received one.
    fn configuration(&self) -> Option<Arc<Bundle>>;

    /// Fails with the reason if the node accepts no new calls.
    fn check_ready(&self) -> Result<(), Problem>;

    /// Runs a turn. Resolves once the turn has started or its recorded answer was found.
    fn chat(self: Arc<Self>, call: ChatCall) -> DispatchFuture<ChatStream>;

    /// Calls a plain HTTP service.
    fn service(self: Arc<Self>, call: ServiceCall) -> DispatchFuture<ServiceAnswer>;

    /// Reports a program's state and one page of its history.
    fn describe(self: Arc<Self>, call: ProgramCall, page: Page) -> DispatchFuture<ProgramReport>;

    /// Ends a program at its caller's request.
    fn end_program(self: Arc<Self>, call: ProgramCall) -> DispatchFuture<()>;
}

/// A turn requested by a caller.
#[derive(Debug, Clone)]
#[allow(missing_docs)]
pub struct ChatCall {
    pub call: CallId,
    pub tenant: TenantName,
    /// `None` for a standalone call that leaves no state.
    pub program: Option<ProgramId>,
    /// The program that started this one.
    pub parent: Option<ProgramId>,
    /// `None` stands for the program's next turn.
    pub turn: Option<TurnNumber>,
    /// Idempotency key chosen by the caller.
    pub key: Option<IdempotencyKey>,
    /// Whether the messages include the recorded history or are appended to it.
    pub mode: HistoryMode,
    pub model: ModelName,
    pub messages: Vec<ChatMessage>,
    /// All other request parameters, passed on to the engine.
    pub parameters: Map<String, Value>,
    /// Maximum number of generated tokens, if the caller set one.
    pub max_tokens: Option<TokenCount>,
    /// Time limit for the whole answer, if the caller set one.
    pub deadline: Option<Duration>,
}

/// Metadata of a turn that is known before its first token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChatHead {
    /// `None` for a standalone call.
    pub program: Option<ProgramId>,
    /// The turn that the answer belongs to.
    pub turn: TurnNumber,
    /// Whether the answer was recorded by an earlier run of the turn.
    pub is_replay: bool,
}

/// The streamed answer to a turn.
#[derive(Debug)]
pub struct ChatStream {
    /// Metadata known before the first token.
    pub head: ChatHead,
    /// Parts of the answer. Dropping the receiver signals that the caller has disconnected.
    pub items: mpsc::Receiver<ChatItem>,
}

/// Part of a streamed answer.
#[derive(Debug, Clone, PartialEq)]
pub enum ChatItem {
    /// JSON texts of `delta` members that arrived together.
    Deltas(Vec<String>),
    /// The complete message, sent before `Finished`; used for non-streaming responses only.
    Message(ChatMessage),
    /// Successful end. For a program's turn it is sent only after the answer was committed.
    Finished {
        /// The `finish_reason` given by the engine.
        reason: String,
        /// Token counts of the turn.
        usage: Usage,
    },
    /// The answer could not be completed.
    Failed(Problem),
}

/// A call of a plain HTTP service.
#[derive(Debug, Clone)]
#[allow(missing_docs)]
pub struct ServiceCall {
    pub call: CallId,
    pub tenant: TenantName,
    pub service: ServiceName,
    /// Idempotency key chosen by the caller.
    pub key: Option<IdempotencyKey>,
    pub method: String,
    /// Path and query after the service's name; begins with a slash.
    pub path: String,
    /// The request's `content-type` and `accept` headers, if present.
    pub headers: Vec<ServiceHeader>,
    pub body: Bytes,
}

/// A request header that is forwarded to a service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct ServiceHeader {
    pub name: &'static str,
    pub value: String,
}

/// The response of a plain HTTP service.
#[derive(Debug)]
#[allow(missing_docs)]
pub struct ServiceAnswer {
    /// HTTP status code.
    pub status: u16,
    pub content_type: Option<String>,
    /// Whether the response was recorded in the ledger by an earlier run of the call.
    pub is_replay: bool,
    pub body: ServiceBody,
}

/// The body of a service's response.
#[derive(Debug)]
pub enum ServiceBody {
    /// The complete body.
    Whole(Bytes),
    /// Chunks as they arrive from the service.
    Pieces(mpsc::Receiver<Result<Bytes, std::io::Error>>),
}

/// A request to report on or end a program.
#[derive(Debug, Clone)]
#[allow(missing_docs)]
pub struct ProgramCall {
    pub call: CallId,
    pub tenant: TenantName,
    pub program: ProgramId,
}
