//! Chat completion responses, as a single JSON body or as server-sent events.

use std::io;
use std::time::{SystemTime, UNIX_EPOCH};

use axum::Json;
use axum::body::Body;
use axum::http::{HeaderMap, HeaderValue, header};
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use futures::stream;
use serde_json::{Value, json};
use sumacdrift_types::{CallId, ChatMessage, ModelName, Problem, ResultCode, Usage};
use tokio::sync::mpsc;

use crate::error::problem_json;
use crate::headers::{CALL, PROGRAM, REPLAYED, TURN};
use crate::limits::CallPermit;
use crate::{ChatHead, ChatItem, ChatStream};

/// The form of response that the caller requested.
pub(crate) struct ResponseFormat {
    pub(crate) call: CallId,
    pub(crate) model: ModelName,
    pub(crate) is_stream: bool,
    pub(crate) include_usage: bool,
}

/// Builds the response. `permit` is held until the whole answer has been sent.
pub(crate) async fn respond(
    stream: ChatStream,
    format: ResponseFormat,
    permit: CallPermit,
) -> Result<Response, Problem> {
    let head = stream.head;
    let mut response = if format.is_stream {
        respond_with_events(stream.items, &format, permit)
    } else {
        respond_with_json(stream.items, &format).await?
    };
    add_headers(response.headers_mut(), &format, &head);
    Ok(response)
}

fn add_headers(headers: &mut HeaderMap, format: &ResponseFormat, head: &ChatHead) {
    let mut add = |name: &'static str, value: String| {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(name, value);
        }
    };
    add(CALL, format.call.to_string());
    if let Some(program) = &head.program {
        add(PROGRAM, program.to_string());
        add(TURN, head.turn.to_string());
    }
    if head.is_replay {
        add(REPLAYED, "true".to_owned());
    }
}

async fn respond_with_json(
    mut items: mpsc::Receiver<ChatItem>,
    format: &ResponseFormat,
) -> Result<Response, Problem> {
    let mut message = None;
    while let Some(item) = items.recv().await {
        match item {
            ChatItem::Deltas(_) => {}
            ChatItem::Message(complete) => message = Some(complete),
            ChatItem::Failed(problem) => return Err(problem),
            ChatItem::Finished { reason, usage } => {
                let Some(message) = message else { break };
                return Ok(Json(completion_json(format, &message, &reason, usage)).into_response());
            }
        }
    }
    Err(Problem::unknown(ResultCode::Internal, "the answer stream closed before the answer was complete"))
}

fn completion_json(format: &ResponseFormat, message: &ChatMessage, reason: &str, usage: Usage) -> Value {
    let message: Value = serde_json::from_str(message.canonical()).unwrap_or(Value::Null);
    json!({
        "id": completion_id(format.call),
        "object": "chat.completion",
        "created": unix_seconds(),
        "model": format.model.as_str(),
        "choices": [{"index": 0, "message": message, "finish_reason": reason, "logprobs": null}],
        "usage": usage_json(usage),
    })
}

fn completion_id(call: CallId) -> String {
    format!("chatcmpl-{call}")
}

fn usage_json(usage: Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.output_tokens,
        "total_tokens": usage.prompt_tokens + usage.output_tokens,
        "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
    })
}

fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs())
}

/// State of a streamed response.
struct EventStream {
    items: mpsc::Receiver<ChatItem>,
    /// Start of each event's text; constant for the whole response.
    prefix: String,
    include_usage: bool,
    is_first: bool,
    is_ended: bool,
    _permit: CallPermit,
}

fn respond_with_events(
    items: mpsc::Receiver<ChatItem>,
    format: &ResponseFormat,
    permit: CallPermit,
) -> Response {
    let prefix = format!(
        "data: {{\"id\":\"{}\",\"object\":\"chat.completion.chunk\",\"created\":{},\"model\":\"{}\",\"choices\":[",
        completion_id(format.call),
        unix_seconds(),
        format.model,
    );
    let state = EventStream {
        items,
        prefix,
        include_usage: format.include_usage,
        is_first: true,
        is_ended: false,
        _permit: permit,
    };
    let events = stream::unfold(state, |mut state| async move {
        let bytes = state.next_bytes().await?;
        Some((Ok::<Bytes, io::Error>(bytes), state))
    });
    let mut response = Response::new(Body::from_stream(events));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

impl EventStream {
    async fn next_bytes(&mut self) -> Option<Bytes> {
        while !self.is_ended {
            let item = self.items.recv().await;
            let mut events = String::new();
            match item {
                Some(ChatItem::Deltas(deltas)) => self.push_deltas(&deltas, &mut events),
                Some(ChatItem::Message(_)) => continue,
                Some(ChatItem::Finished { reason, usage }) => self.push_end(&reason, usage, &mut events),
                Some(ChatItem::Failed(problem)) => self.push_problem(&problem, &mut events),
                None => {
                    let detail = "the answer stream closed before the answer was complete";
                    self.push_problem(&Problem::unknown(ResultCode::Internal, detail), &mut events);
                }
            }
            return Some(Bytes::from(events));
        }
        None
    }

    fn push_deltas(&mut self, deltas: &[String], events: &mut String) {
        let length: usize = deltas.iter().map(String::len).sum();
        events.reserve(length + deltas.len() * (self.prefix.len() + 64));
        if self.is_first {
            self.is_first = false;
            self.push_choice("{\"role\":\"assistant\",\"content\":\"\"}", "null", events);
        }
        for delta in deltas {
            self.push_choice(delta, "null", events);
        }
    }

    fn push_choice(&self, delta: &str, finish_reason: &str, events: &mut String) {
        events.push_str(&self.prefix);
        events.push_str("{\"index\":0,\"delta\":");
        events.push_str(delta);
        events.push_str(",\"finish_reason\":");
        events.push_str(finish_reason);
        events.push_str("}]}\n\n");
    }

    fn push_end(&mut self, reason: &str, usage: Usage, events: &mut String) {
        self.is_ended = true;
        self.push_choice("{}", &Value::String(reason.to_owned()).to_string(), events);
        if self.include_usage {
            events.push_str(&self.prefix);
            events.push_str("],\"usage\":");
            events.push_str(&usage_json(usage).to_string());
            events.push_str("}\n\n");
        }
        events.push_str("data: [DONE]\n\n");
    }

    /// Ends the stream without `[DONE]`, so that no client takes the answer for complete.
    fn push_problem(&mut self, problem: &Problem, events: &mut String) {
        self.is_ended = true;
        events.push_str("data: ");
        events.push_str(&problem_json(problem).to_string());
        events.push_str("\n\n");
    }
}
