//! Answers of the emulated engine: as a stream of events, or whole.

use std::io;

use axum::body::{Body, Bytes};
use axum::response::Response;
use futures::stream;
use serde_json::{Value, json};

use super::{Phase, Running, TOKEN_TEXT_BYTES};
use crate::EngineEvent;

impl Running {
    /// The text of the next token; `None` at the end.
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

pub(super) fn stream_answer(running: Running) -> Response {
    let events = stream::unfold(Phase::Tokens(Box::new(running)), |phase| async move {
        let Phase::Tokens(mut running) = phase else { return None };
        if running.is_cut() {
            let cut = io::Error::new(io::ErrorKind::ConnectionReset, "cut");
            return Some((Err(cut), Phase::Ended));
        }
        match running.next_text().await {
            Some(text) => {
                let event = token_event(&running, &text);
                Some((Ok::<Bytes, io::Error>(Bytes::from(event)), Phase::Tokens(running)))
            }
            None => Some((Ok(Bytes::from(end_events(&running))), Phase::Ended)),
        }
    });
    let mut response = Response::new(Body::from_stream(events));
    let content_type = axum::http::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert("content-type", content_type);
    response
}

fn token_event(running: &Running, text: &str) -> String {
    format!(
        "data: {{\"id\":\"chatcmpl-{}\",\"object\":\"chat.completion.chunk\",\"created\":0,\"model\":\"{}\",\
         \"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}},\"finish_reason\":null}}]}}\n\n",
        running.id.0, running.model,
    )
}

fn end_events(running: &Running) -> String {
    let head = json!({
        "id": format!("chatcmpl-{}", running.id.0),
        "object": "chat.completion.chunk",
        "created": 0,
        "model": running.model,
        "choices": [{"index": 0, "delta": {}, "finish_reason": running.finish_reason()}],
    });
    let mut events = format!("data: {head}\n\n");
    if running.include_usage {
        let usage = json!({
            "id": format!("chatcmpl-{}", running.id.0),
            "object": "chat.completion.chunk",
            "created": 0,
            "model": running.model,
            "choices": [],
            "usage": running.usage_json(),
        });
        events.push_str(&format!("data: {usage}\n\n"));
    }
    events.push_str("data: [DONE]\n\n");
    events
}
