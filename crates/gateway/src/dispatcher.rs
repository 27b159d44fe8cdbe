//! What the face needs of the rest of the node.

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

/// A future whose kind does not matter.
pub type DispatchFuture<T> = Pin<Box<dyn Future<Output = Result<T, Problem>> + Send>>;

/// Runs calls.
pub trait Dispatcher: Send + Sync + 'static {
    /// The configuration in force.
    fn configuration(&self) -> Option<Arc<Bundle>>;

    /// Whether the node takes new calls; otherwise why not.
    fn check_ready(&self) -> Result<(), Problem>;

    /// Runs a turn. Resolves when it is known that the turn runs or ran.
    fn chat(self: Arc<Self>, call: ChatCall) -> DispatchFuture<ChatStream>;

    /// Runs a call of a plain service.
    fn service(self: Arc<Self>, call: ServiceCall) -> DispatchFuture<ServiceAnswer>;

    /// Reports on a program.
    fn describe(self: Arc<Self>, call: ProgramCall, page: Page) -> DispatchFuture<ProgramReport>;

    /// Ends a program.
    fn end_program(self: Arc<Self>, call: ProgramCall) -> DispatchFuture<()>;
}

/// A turn as a caller asked for it.
#[derive(Debug, Clone)]
pub struct ChatCall {
    /// The call.
    pub call: CallId,
    /// Who calls.
    pub tenant: TenantName,
    /// The program; `None` for a call that stands alone and leaves no state.
    pub program: Option<ProgramId>,
    /// The program that started it.
    pub parent: Option<ProgramId>,
    /// The turn; `None` stands for the next one.
    pub turn: Option<TurnNumber>,
    /// The caller's key.
    pub key: Option<IdempotencyKey>,
    /// How the messages relate to the history.
    pub mode: HistoryMode,
    /// The model.
    pub model: ModelName,
    /// The messages.
    pub messages: Vec<ChatMessage>,
    /// The caller's other parameters, passed on to the engine.
    pub parameters: Map<String, Value>,
    /// Cap on generated tokens, if the caller named one.
    pub max_tokens: Option<TokenCount>,
    /// How long the caller waits for the whole answer, if it said so.
    pub deadline: Option<Duration>,
}

/// What is known of a turn before its first token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChatHead {
    /// The program, for a call that belongs to one.
    pub program: Option<ProgramId>,
    /// The turn that runs.
    pub turn: TurnNumber,
    /// Whether the answer comes from the history.
    pub is_replay: bool,
}

/// A turn's answer as it comes.
#[derive(Debug)]
pub struct ChatStream {
    /// What is known beforehand.
    pub head: ChatHead,
    /// The pieces. Dropping the receiver tells the node that the caller has left.
    pub items: mpsc::Receiver<ChatItem>,
}

/// A piece of an answer.
#[derive(Debug, Clone, PartialEq)]
pub enum ChatItem {
    /// Pieces of the assistant's message that arrived together, as `delta` members.
    Deltas(Vec<String>),
    /// The whole message, before the end; only callers that do not stream need it.
    Message(ChatMessage),
    /// The regular end. For a program's turn it comes only after the answer was committed.
    Finished {
        /// The engine's reason for stopping.
        reason: String,
        /// Tokens used.
        usage: Usage,
    },
    /// The answer can't be completed.
    Failed(Problem),
}

/// A call of a plain service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// The call.
    pub call: CallId,
    /// Who calls.
    pub tenant: TenantName,
    /// The service.
    pub service: ServiceName,
    /// The caller's key.
    pub key: Option<IdempotencyKey>,
    /// HTTP method.
    pub method: String,
    /// Path and query after the service's name.
    pub path: String,
    /// The request's `content-type` and `accept`.
    pub headers: Vec<ServiceHeader>,
    /// The body.
    pub body: Bytes,
}

/// A header that is passed on to a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceHeader {
    /// Name.
    pub name: &'static str,
    /// Value.
    pub value: String,
}

/// A service's answer.
#[derive(Debug)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// The `content-type`.
    pub content_type: Option<String>,
    /// Whether the answer comes from the ledger.
    pub is_replay: bool,
    /// The body.
    pub body: ServiceBody,
}

/// The body of a service's answer.
#[derive(Debug)]
pub enum ServiceBody {
    /// All of it.
    Whole(Bytes),
    /// Pieces as they come.
    Pieces(mpsc::Receiver<Result<Bytes, std::io::Error>>),
}

/// A request about a program.
#[derive(Debug, Clone)]
pub struct ProgramCall {
    /// Identifies the request.
    pub call: CallId,
    /// Who asks.
    pub tenant: TenantName,
    /// The program.
    pub program: ProgramId,
}
