//! Token text, usage and server-sent events of chat completion answers.

use std::io;

use axum::body::{Body, Bytes};
use axum::response::Response;
use futures::stream;
use serde_json::{Value, json};

use super::{ActiveRequest, StreamState, TOKEN_TEXT_BYTES};
use crate::EngineEvent;

impl ActiveRequest {
    /// Waits for the next token and returns its text; `None` when the answer is finished.
    pub(super) async fn next_text(&mut self) -> Option<String> {
        match self.events.recv().await? {
            EngineEvent::Token { .. } => {
                self.tokens += 1;
                let end = (self.sent_bytes + TOKEN_TEXT_BYTES).min(self.answer.len());
                let text = self.answer[self.sent_bytes..end].to_owned();
                self.sent_bytes = end;
                Some(text)
            }
            EngineEvent::Finished { usage, at, .. } => {
                self.usage = Some(usage);
                self.shared.trace.finish(self.trace_position, at);
                None
            }
        }
    }

    pub(super) fn is_cut(&self) -> bool {
        self.cut_after.is_some_and(|cut_after| self.tokens >= cut_after)
    }

    pub(super) fn finish_reason(&self) -> &'static str {
        if self.sent_bytes >= self.answer.len() { "stop" } else { "length" }
    }

    pub(super) fn usage_json(&self) -> Value {
        let usage = self.usage.unwrap_or_default();
        json!({
            "prompt_tokens": usage.prompt_tokens,
            "completion_tokens": usage.output_tokens,
            "total_tokens": usage.prompt_tokens + usage.output_tokens,
            "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
        })
    }
}

pub(super) fn stream_answer(active: ActiveRequest) -> Response {
    let events = stream::unfold(StreamState::Tokens(Box::new(active)), |state| async move {
        let StreamState::Tokens(mut active) = state else { return None };
        if active.is_cut() {
            let cut_error = io::Error::new(io::ErrorKind::ConnectionReset, "cut");
            return Some((Err(cut_error), StreamState::Ended));
        }
        match active.next_text().await {
            Some(text) => {
                let event = token_event(&active, &text);
                Some((Ok::<Bytes, io::Error>(Bytes::from(event)), StreamState::Tokens(active)))
            }
            None => Some((Ok(Bytes::from(end_events(&active))), StreamState::Ended)),
        }
    });
    let mut response = Response::new(Body::from_stream(events));
    let content_type = axum::http::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert("content-type", content_type);
    response
}

fn token_event(active: &ActiveRequest, text: &str) -> String {
    format!(
        "data: {{\"id\":\"chatcmpl-{}\",\"object\":\"chat.completion.chunk\",\"created\":0,\"model\":\"{}\",\
         \"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}},\"finish_reason\":null}}]}}\n\n",
        active.id.0, active.model,
    )
}

fn end_events(active: &ActiveRequest) -> String {
    let last_chunk = json!({
        "id": format!("chatcmpl-{}", active.id.0),
        "object": "chat.completion.chunk",
        "created": 0,
        "model": active.model,
        "choices": [{"index": 0, "delta": {}, "finish_reason": active.finish_reason()}],
    });
    let mut events = format!("data: {last_chunk}\n\n");
    if active.include_usage {
        let usage = json!({
            "id": format!("chatcmpl-{}", active.id.0),
            "object": "chat.completion.chunk",
            "created": 0,
            "model": active.model,
            "choices": [],
            "usage": active.usage_json(),
        });
        events.push_str(&format!("data: {usage}\n\n"));
    }
    events.push_str("data: [DONE]\n\n");
    events
}
