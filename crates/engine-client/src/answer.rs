//! Putting an answer together from the pieces of its stream.

use serde_json::{Map, Value, json};
use sumacdrift_types::ChatMessage;

/// An assistant's message that is still growing.
#[derive(Debug, Clone, Default)]
pub struct AnswerBuilder {
    content: String,
    tool_calls: Vec<Value>,
    finish_reason: Option<String>,
}

impl AnswerBuilder {
    /// Adds text.
    pub fn push_text(&mut self, text: &str) {
        self.content.push_str(text);
    }

    /// Adds pieces of tool calls; arguments of one call come in several pieces.
    pub fn push_tool_calls(&mut self, pieces: &[Value]) {
        for piece in pieces {
            let position = piece.get("index").and_then(Value::as_u64).unwrap_or(0) as usize;
            while self.tool_calls.len() <= position {
                self.tool_calls.push(json!({"type": "function", "function": {"name": "", "arguments": ""}}));
            }
            merge_tool_call(&mut self.tool_calls[position], piece);
        }
    }

    /// Sets the engine's reason for stopping.
    pub fn finish(&mut self, reason: &str) {
        self.finish_reason = Some(reason.to_owned());
    }

    /// The text so far.
    pub fn text(&self) -> &str {
        &self.content
    }

    /// Whether the answer can be continued elsewhere: text can, half a tool call can't.
    pub fn is_resumable(&self) -> bool {
        self.tool_calls.is_empty()
    }

    /// Whether nothing has come yet.
    pub fn is_empty(&self) -> bool {
        self.content.is_empty() && self.tool_calls.is_empty()
    }

    /// The engine's reason for stopping, if it has stopped.
    pub fn finish_reason(&self) -> Option<&str> {
        self.finish_reason.as_deref()
    }

    /// The whole message.
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

fn merge_tool_call(call: &mut Value, piece: &Value) {
    if let Some(id) = piece.get("id").filter(|id| id.is_string()) {
        call["id"] = id.clone();
    }
    for field in ["name", "arguments"] {
        let added = piece.pointer(&format!("/function/{field}")).and_then(Value::as_str);
        if let Some(added) = added {
            let present = call["function"][field].as_str().unwrap_or_default();
            call["function"][field] = Value::String(format!("{present}{added}"));
        }
    }
}
