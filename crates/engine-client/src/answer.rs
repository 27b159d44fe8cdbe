//! Assembling a message from the deltas of its stream.

use serde_json::{Map, Value, json};
use sumacdrift_types::ChatMessage;

/// Builds an assistant message from streamed deltas.
#[derive(Debug, Clone, Default)]
pub struct AnswerBuilder {
    content: String,
    tool_calls: Vec<Value>,
    finish_reason: Option<String>,
}

impl AnswerBuilder {
    /// Appends text to the content.
    pub fn push_text(&mut self, text: &str) {
        self.content.push_str(text);
    }

    /// Merges deltas of tool calls. The arguments of one call arrive in several deltas.
    pub fn push_tool_calls(&mut self, deltas: &[Value]) {
        for delta in deltas {
            let index = delta.get("index").and_then(Value::as_u64).unwrap_or(0) as usize;
            while self.tool_calls.len() <= index {
                self.tool_calls.push(json!({"type": "function", "function": {"name": "", "arguments": ""}}));
            }
            merge_tool_call(&mut self.tool_calls[index], delta);
        }
    }

    /// Sets the finish reason that the engine reported.
    pub fn finish(&mut self, reason: &str) {
        self.finish_reason = Some(reason.to_owned());
    }

    /// The content received so far.
    pub fn text(&self) -> &str {
        &self.content
    }

    /// Whether another engine can continue the message. It can continue text, but not a partial tool call.
    pub fn is_resumable(&self) -> bool {
        self.tool_calls.is_empty()
    }

    /// Whether neither text nor tool calls have been received.
    pub fn is_empty(&self) -> bool {
        self.content.is_empty() && self.tool_calls.is_empty()
    }

    /// The engine's finish reason; `None` while the message is incomplete.
    pub fn finish_reason(&self) -> Option<&str> {
        self.finish_reason.as_deref()
    }

    /// The assembled message.
    pub fn message(&self) -> ChatMessage {
        if self.tool_calls.is_empty() {
            return ChatMessage::assistant(&self.content);
        }
        let mut members = Map::new();
        members.insert("role".to_owned(), json!("assistant"));
        if !self.content.is_empty() {
            members.insert("content".to_owned(), json!(self.content));
        }
        members.insert("tool_calls".to_owned(), Value::Array(self.tool_calls.clone()));
        let value = Value::Object(members);
        ChatMessage::from_value(&value).unwrap_or_else(|_| ChatMessage::assistant(&self.content))
    }
}

fn merge_tool_call(call: &mut Value, delta: &Value) {
    if let Some(id) = delta.get("id").filter(|id| id.is_string()) {
        call["id"] = id.clone();
    }
    for field in ["name", "arguments"] {
        let added = delta.pointer(&format!("/function/{field}")).and_then(Value::as_str);
        if let Some(added) = added {
            let present = call["function"][field].as_str().unwrap_or_default();
            call["function"][field] = Value::String(format!("{present}{added}"));
        }
    }
}
