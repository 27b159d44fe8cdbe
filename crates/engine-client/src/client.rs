//! Calling an engine.

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
use sumacdrift_http_client::{HttpClient, HttpError, next_piece};
use sumacdrift_types::{ProgramId, Usage};

use crate::EngineRequest;
use crate::sse::EventSplitter;

/// The last event of a stream.
const END_MARK: &[u8] = b"[DONE]";
/// Time for freeing a program's memory.
const FREE_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest list of programs that is read.
const MAX_LIST_BYTES: usize = 8 << 20;
/// Largest part of a refusal's body that is kept for the explanation.
const MAX_REFUSAL_BYTES: usize = 4096;

/// A call to an engine failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// No connection could be opened; the engine has seen nothing of the request.
    #[error("the engine can't be reached: {0}")]
    Unreachable(String),
    /// The engine answered with an error status.
    #[error("the engine refused the request with status {status}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// The beginning of the body.
        body: String,
    },
    /// The stream broke before its end.
    #[error("the engine's stream broke: {0}")]
    Cut(String),
    /// The engine sent something that is not the protocol.
    #[error("the engine sent something that is not the protocol")]
    Garbage,
    /// The engine went silent.
    #[error("the engine went silent")]
    Stalled,
}

impl EngineError {
    /// Whether the fault is the engine's, so that its circuit breaker must count it.
    pub fn is_engine_fault(&self) -> bool {
        match self {
            EngineError::Refused { status, .. } => *status >= 500 || *status == 429,
            _ => true,
        }
    }
}

/// One piece of an engine's answer.
#[derive(Debug, Clone, PartialEq)]
pub enum StreamItem {
    /// A piece of the assistant's message.
    Delta {
        /// The `delta` member as the engine wrote it.
        raw: String,
        /// Its text.
        text: String,
        /// Its pieces of tool calls.
        tool_calls: Vec<Value>,
    },
    /// The engine's reason for stopping.
    Finished(String),
    /// Tokens used.
    Usage(Usage),
}

/// Calls engines.
#[derive(Debug, Clone, Default)]
pub struct EngineClient {
    http: HttpClient,
}

impl EngineClient {
    /// A client without connections.
    pub fn new(http: HttpClient) -> Self {
        Self { http }
    }

    /// Sends a request and waits for the stream to begin.
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
        let response = self.http.send(request, stall_timeout).await.map_err(from_http)?;
        let status = response.status();
        let mut body = response.into_body();
        if !status.is_success() {
            let text = refusal_text(&mut body).await;
            return Err(EngineError::Refused { status: status.as_u16(), body: text });
        }
        Ok(EngineStream { body, events: EventSplitter::default(), stall_timeout, is_ended: false })
    }

    /// Programs for which an engine holds memory.
    pub async fn list_programs(&self, address: SocketAddr) -> Result<Vec<ProgramId>, EngineError> {
        let request = Request::get(format!("http://{address}/cache/programs"))
            .body(Full::default())
            .map_err(|error| EngineError::Unreachable(error.to_string()))?;
        let response = self.http.fetch(request, FREE_TIMEOUT, MAX_LIST_BYTES).await.map_err(from_http)?;
        let list: ProgramList = serde_json::from_slice(response.body()).map_err(|_| EngineError::Garbage)?;
        Ok(list.programs)
    }

    /// Tells an engine that a program has ended, so that it drops what it holds for it.
    pub async fn free_program(&self, address: SocketAddr, program: &ProgramId) -> Result<(), EngineError> {
        let uri = format!("http://{address}/cache/programs/{program}");
        let request = Request::builder()
            .method(Method::DELETE)
            .uri(uri)
            .body(Full::default())
            .map_err(|error| EngineError::Unreachable(error.to_string()))?;
        let response = self.http.fetch(request, FREE_TIMEOUT, MAX_REFUSAL_BYTES).await.map_err(from_http)?;
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

async fn refusal_text(body: &mut Incoming) -> String {
    let piece = tokio::time::timeout(FREE_TIMEOUT, next_piece(body)).await;
    let Ok(Ok(Some(piece))) = piece else { return String::new() };
    let end = piece.len().min(MAX_REFUSAL_BYTES);
    String::from_utf8_lossy(&piece[..end]).into_owned()
}

fn from_http(error: HttpError) -> EngineError {
    match error {
        HttpError::NotSent(reason) => EngineError::Unreachable(reason),
        HttpError::TimedOut => EngineError::Stalled,
        HttpError::Broken(reason) => EngineError::Cut(reason),
        HttpError::TooLarge(_) => EngineError::Garbage,
    }
}

/// An engine's answer as it comes. Dropping it cancels the work on the engine.
#[derive(Debug)]
pub struct EngineStream {
    body: Incoming,
    events: EventSplitter,
    stall_timeout: Duration,
    is_ended: bool,
}

#[derive(Debug, Deserialize)]
struct Chunk<'a> {
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
    /// Waits for more of the answer. Everything that has arrived comes at once, so that it can be passed on
    /// at once. An empty list is the regular end.
    pub async fn next_items(&mut self) -> Result<Vec<StreamItem>, EngineError> {
        let mut items = Vec::new();
        while items.is_empty() && !self.is_ended {
            let piece = tokio::time::timeout(self.stall_timeout, next_piece(&mut self.body)).await;
            match piece.map_err(|_| EngineError::Stalled)?.map_err(from_http)? {
                Some(piece) => self.events.push(&piece).map_err(|_| EngineError::Garbage)?,
                None => return Err(EngineError::Cut("the stream ended without its end mark".to_owned())),
            }
            while let Some(data) = self.events.next_data() {
                if data.as_ref() == END_MARK {
                    self.is_ended = true;
                    break;
                }
                read_chunk(&data, &mut items)?;
            }
        }
        Ok(items)
    }
}

fn read_chunk(data: &[u8], items: &mut Vec<StreamItem>) -> Result<(), EngineError> {
    let chunk: Chunk<'_> = serde_json::from_slice(data).map_err(|_| EngineError::Garbage)?;
    for choice in chunk.choices {
        let raw = choice.delta.get();
        let delta: Delta<'_> = serde_json::from_str(raw).map_err(|_| EngineError::Garbage)?;
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
