//! The port to a wire format: parses calls and engine responses, and writes the headers of requests to engines. It
//! makes no decisions.

use std::time::Duration;

use http::{HeaderMap, StatusCode, request, response};
use sumacdrift_access::ApiKey;
use sumacdrift_calls::{CallMetadata, EngineId};
use sumacdrift_types::ResultCode;

/// Why the head of a caller's request was rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{detail}")]
pub struct CallError {
    /// The result code to respond with.
    pub code: ResultCode,
    /// What is wrong with the request.
    pub detail: String,
}

/// One attempt of a call at an engine.
#[derive(Debug, Clone)]
pub struct EngineAttempt<'a> {
    /// The engine that the request is meant for.
    pub engine: &'a EngineId,
    /// Time until the call's deadline.
    pub time_left: Duration,
    /// Id of the event after which the stream resumes; `None` leaves the caller's own request for it in place.
    pub resume_after: Option<&'a str>,
    /// Name of the tenant that the caller's key belongs to, if any.
    pub tenant: Option<&'a str>,
    /// 0 is the most urgent, 9 the least; `None` for the engine's default.
    pub urgency: Option<u8>,
}

/// Who checks the callers' API keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyHandling {
    /// The edge checks keys and does not forward them to engines.
    CheckedByEdge,
    /// No tenants are configured; keys are forwarded to engines.
    ForwardedToEngines,
}

/// Which request a response answers, by the id that it repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseIdentity {
    /// The request of this attempt.
    Own,
    /// The request of another call.
    OtherCall,
    /// No request: it repeats no id.
    Unidentified,
}

impl ResponseIdentity {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::OtherCall => "other_call",
            Self::Unidentified => "unidentified",
        }
    }
}

/// Who gave the response to a liveness check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Responder {
    /// The engine that the check named.
    Engine,
    /// An engine that has its address.
    AnotherEngine,
    /// The response doesn't tell; it may come from a server in front of the address.
    Unidentified,
}

/// Classification of an engine's response to its own request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// To be forwarded unchanged.
    Valid,
    /// The engine rejected the call without running it.
    Rejected {
        /// When the engine asks to be retried.
        retry_after: Option<Duration>,
    },
    /// A different engine has the address; the call has not run.
    WrongEngine,
    /// Not a valid engine response, though it may come from an engine.
    Invalid,
}

/// A wire format between callers, the edge and engines.
pub trait WireFormat: Send + Sync + 'static {
    /// Parses the head of a caller's request.
    fn parse_call(&self, head: &request::Parts) -> Result<CallMetadata, CallError>;
    /// The caller's API key; `None` if there is none, or more than one.
    fn parse_key(&self, headers: &HeaderMap) -> Option<ApiKey>;
    /// Removes the headers that only the edge may send to engines, and with [`KeyHandling::CheckedByEdge`] the
    /// caller's key.
    fn remove_reserved_headers(&self, headers: &mut HeaderMap, keys: KeyHandling);
    /// Headers of the request to an engine, built from the caller's headers that may be forwarded.
    fn engine_headers(&self, forwarded: HeaderMap, attempt: &EngineAttempt<'_>) -> HeaderMap;
    /// Headers of a liveness check, which another engine at the same address rejects.
    fn liveness_check_headers(&self, engine: &EngineId) -> HeaderMap;
    /// Who gave the response to a liveness check of this engine.
    fn identify_responder(&self, head: &response::Parts, engine: &EngineId) -> Responder;
    /// Which request a response answers. One that isn't the call's own belongs to nobody: engines may send more answers than
    /// they got requests, so nothing of it may be used.
    fn identify_response(&self, head: &response::Parts, call: &CallMetadata) -> ResponseIdentity;
    /// Classifies a response that is the call's own.
    fn classify_response(&self, head: &response::Parts) -> ResponseKind;
    /// The HTTP status for a result code.
    fn status(&self, code: ResultCode) -> StatusCode;
}
