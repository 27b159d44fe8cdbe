//! The client for engines' HTTP API.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;
use sumacdrift_http_client::{HttpClient, HttpError, next_chunk};
use sumacdrift_types::{ProgramId, Usage};

use crate::EngineRequest;
use crate::sse::EventSplitter;

/// Data of the last event of a stream.
const DONE_MARKER: &[u8] = b"[DONE]";
/// Timeout for requests other than completions, and for reading an error body.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest program list that is accepted.
const MAX_LIST_BYTES: usize = 8 << 20;
/// Bytes of an error body that are kept.
const MAX_ERROR_BODY_BYTES: usize = 4096;

/// Why a call to an engine failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// No connection could be opened; the engine has received nothing.
    #[error("could not reach the engine: {0}")]
    Unreachable(String),
    /// The engine responded with an error status.
    #[error("engine rejected the request with status {status}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// The beginning of the body.
        body: String,
    },
    /// The connection failed, or the stream ended before its last event.
    #[error("engine's stream was interrupted: {0}")]
    ConnectionLost(String),
    /// The response violates the protocol, or is too large.
    #[error("engine sent an invalid response")]
    InvalidResponse,
    /// The engine sent nothing within the stall timeout.
    #[error("engine did not respond in time")]
    Stalled,
}

impl EngineError {
    /// Whether the engine is at fault, so that its circuit breaker must count the error.
    pub fn is_engine_fault(&self) -> bool {
        match self {
            EngineError::Refused { status, .. } => *status >= 500 || *status == 429,
            _ => true,
        }
    }
}

/// One item of an engine's streamed response.
#[derive(Debug, Clone, PartialEq)]
pub enum StreamItem {
    /// A delta of the assistant message.
    Delta {
        /// The `delta` member as the engine wrote it.
        raw: String,
        /// Content text; may be empty.
        text: String,
        /// Deltas of tool calls; may be empty.
        tool_calls: Vec<Value>,
    },
    /// The finish reason.
    Finished(String),
    /// Token counts of the request.
    Usage(Usage),
}

/// A client for engines.
#[derive(Debug, Clone)]
pub struct EngineClient {
    http: HttpClient,
}

impl Default for EngineClient {
    /// Opens a connection for each request, as engines' responses don't name their requests.
    fn default() -> Self {
        Self { http: HttpClient::without_reuse() }
    }
}

impl EngineClient {
    /// Starts a completion and waits for the response head. Each wait for the stream is limited to `stall_timeout`.
    pub async fn start(
        &self,
        address: SocketAddr,
        request: &EngineRequest,
        stall_timeout: Duration,
    ) -> Result<EngineStream, EngineError> {
        let uri = format!("http://{address}/v1/chat/completions");
        let request = Request::post(uri)
            .header("content-type", "application/json")
            .header("accept", "text/event-stream")
            .header("x-request-id", request.call.to_string())
            .body(Full::new(Bytes::from(request.to_json())))
            .map_err(|error| EngineError::Unreachable(error.to_string()))?;
        let response = self.http.send(request, stall_timeout).await.map_err(engine_error)?;
        let status = response.status();
        let mut body = response.into_body();
        if !status.is_success() {
            let text = read_error_body(&mut body).await;
            return Err(EngineError::Refused { status: status.as_u16(), body: text });
        }
        Ok(EngineStream {
            body,
            events: EventSplitter::default(),
            completion: None,
            stall_timeout,
            has_ended: false,
        })
    }

    /// Lists the programs for which an engine holds memory.
    pub async fn list_programs(&self, address: SocketAddr) -> Result<Vec<ProgramId>, EngineError> {
        let request = Request::get(format!("http://{address}/cache/programs"))
            .body(Full::default())
            .map_err(|error| EngineError::Unreachable(error.to_string()))?;
        let response =
            self.http.fetch(request, CONTROL_TIMEOUT, MAX_LIST_BYTES).await.map_err(engine_error)?;
        let list: ProgramList =
            serde_json::from_slice(response.body()).map_err(|_| EngineError::InvalidResponse)?;
        Ok(list.programs)
    }

    /// Frees what an engine holds for a program that has ended. A program that the engine does not know counts as
    /// freed.
    pub async fn free_program(&self, address: SocketAddr, program: &ProgramId) -> Result<(), EngineError> {
        let uri = format!("http://{address}/cache/programs/{program}");
        let request = Request::builder()
            .method(Method::DELETE)
            .uri(uri)
            .body(Full::default())
            .map_err(|error| EngineError::Unreachable(error.to_string()))?;
        let response =
            self.http.fetch(request, CONTROL_TIMEOUT, MAX_ERROR_BODY_BYTES).await.map_err(engine_error)?;
        match response.status().as_u16() {
            200..300 | 404 => Ok(()),
            status => Err(EngineError::Refused { status, body: String::new() }),
        }
    }
}

#[derive(Debug, Deserialize)]
struct ProgramList {
    programs: Vec<ProgramId>,
}

async fn read_error_body(body: &mut Incoming) -> String {
    let chunk = tokio::time::timeout(CONTROL_TIMEOUT, next_chunk(body)).await;
    let Ok(Ok(Some(chunk))) = chunk else { return String::new() };
    let end = chunk.len().min(MAX_ERROR_BODY_BYTES);
    String::from_utf8_lossy(&chunk[..end]).into_owned()
}

fn engine_error(error: HttpError) -> EngineError {
    match error {
        HttpError::NotSent(reason) => EngineError::Unreachable(reason),
        HttpError::TimedOut => EngineError::Stalled,
        HttpError::ConnectionLost(reason) => EngineError::ConnectionLost(reason),
        HttpError::TooLarge(_) | HttpError::Unframed | HttpError::InvalidStatus(_) => {
            EngineError::InvalidResponse
        }
    }
}

/// A streamed response. Dropping it closes the connection, which cancels the work on the engine.
#[derive(Debug)]
pub struct EngineStream {
    body: Incoming,
    events: EventSplitter,
    /// Id of the completion that the stream brings, once an event has named it.
    completion: Option<String>,
    stall_timeout: Duration,
    has_ended: bool,
}

#[derive(Debug, Deserialize)]
struct Chunk<'a> {
    #[serde(borrow, default)]
    id: Option<Cow<'a, str>>,
    #[serde(borrow)]
    choices: Vec<Choice<'a>>,
    #[serde(default)]
    usage: Option<ChunkUsage>,
}

#[derive(Debug, Deserialize)]
struct Choice<'a> {
    #[serde(borrow)]
    delta: &'a RawValue,
    #[serde(borrow, default)]
    finish_reason: Option<Cow<'a, str>>,
}

#[derive(Debug, Deserialize)]
struct Delta<'a> {
    #[serde(borrow, default)]
    content: Option<Cow<'a, str>>,
    #[serde(default)]
    tool_calls: Vec<Value>,
}

#[derive(Debug, Deserialize)]
struct ChunkUsage {
    prompt_tokens: u64,
    completion_tokens: u64,
    #[serde(default)]
    prompt_tokens_details: Option<PromptDetails>,
}

#[derive(Debug, Deserialize)]
struct PromptDetails {
    #[serde(default)]
    cached_tokens: Option<u64>,
}

impl EngineStream {
    /// Waits for the next items. All that have arrived are returned together; an empty list is the regular end of
    /// the stream.
    pub async fn next_items(&mut self) -> Result<Vec<StreamItem>, EngineError> {
        let mut items = Vec::new();
        while items.is_empty() && !self.has_ended {
            let chunk = tokio::time::timeout(self.stall_timeout, next_chunk(&mut self.body)).await;
            match chunk.map_err(|_| EngineError::Stalled)?.map_err(engine_error)? {
                Some(chunk) => self.events.push(&chunk).map_err(|_| EngineError::InvalidResponse)?,
                None => {
                    return Err(EngineError::ConnectionLost("the stream ended without [DONE]".to_owned()));
                }
            }
            while let Some(data) = self.events.next_data() {
                if data.as_ref() == DONE_MARKER {
                    self.has_ended = true;
                    break;
                }
                let chunk = serde_json::from_slice(&data).map_err(|_| EngineError::InvalidResponse)?;
                self.check_completion(&chunk)?;
                read_chunk(chunk, &mut items)?;
            }
        }
        Ok(items)
    }

    /// Rejects an event of another completion. Some engines leave the id out, or empty.
    fn check_completion(&mut self, chunk: &Chunk<'_>) -> Result<(), EngineError> {
        let Some(id) = chunk.id.as_deref().filter(|id| !id.is_empty()) else { return Ok(()) };
        match self.completion.as_deref() {
            Some(own) if own != id => Err(EngineError::InvalidResponse),
            Some(_) => Ok(()),
            None => {
                self.completion = Some(id.to_owned());
                Ok(())
            }
        }
    }
}

fn read_chunk(chunk: Chunk<'_>, items: &mut Vec<StreamItem>) -> Result<(), EngineError> {
    for choice in chunk.choices {
        let raw = choice.delta.get();
        let delta: Delta<'_> = serde_json::from_str(raw).map_err(|_| EngineError::InvalidResponse)?;
        let text = delta.content.unwrap_or_default().into_owned();
        if !text.is_empty() || !delta.tool_calls.is_empty() {
            items.push(StreamItem::Delta { raw: raw.to_owned(), text, tool_calls: delta.tool_calls });
        }
        if let Some(reason) = choice.finish_reason {
            items.push(StreamItem::Finished(reason.into_owned()));
        }
    }
    if let Some(usage) = chunk.usage {
        let details = usage.prompt_tokens_details;
        items.push(StreamItem::Usage(Usage {
            prompt_tokens: usage.prompt_tokens,
            cached_tokens: details.and_then(|details| details.cached_tokens).unwrap_or(0),
            output_tokens: usage.completion_tokens,
        }));
    }
    Ok(())
}
