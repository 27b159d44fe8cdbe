//! The body of a request to an engine.

use serde_json::{Map, Value};
use sumacdrift_types::{CallId, ChatMessage, ProgramId, TokenCount};

/// Parameters that the system sets itself; a caller's values for them are dropped.
const OWN_PARAMETERS: [&str; 9] = [
    "messages",
    "stream",
    "stream_options",
    "max_tokens",
    "max_completion_tokens",
    "user",
    "priority",
    "n",
    "continue_final_message",
];

/// One request to an engine.
#[derive(Debug, Clone)]
pub struct EngineRequest {
    /// The call.
    pub call: CallId,
    /// The program, by which the engine can free memory later.
    pub program: ProgramId,
    /// The whole prompt.
    pub messages: Vec<ChatMessage>,
    /// The caller's other parameters.
    pub parameters: Map<String, Value>,
    /// Cap on generated tokens.
    pub max_tokens: TokenCount,
    /// Priority; lower goes first.
    pub priority: u32,
    /// Text that another engine generated before its stream broke; the answer continues after it.
    pub partial_answer: String,
}

impl EngineRequest {
    /// The request as JSON. Messages are written as they are kept, without being parsed again.
    pub fn to_json(&self) -> String {
        let length: usize = self.messages.iter().map(|message| message.canonical().len() + 1).sum();
        let mut json = String::with_capacity(length + 512);
        json.push_str("{\"messages\":[");
        for (position, message) in self.messages.iter().enumerate() {
            if position > 0 {
                json.push(',');
            }
            json.push_str(message.canonical());
        }
        if !self.partial_answer.is_empty() {
            json.push(',');
            json.push_str(ChatMessage::assistant(&self.partial_answer).canonical());
        }
        json.push(']');
        self.push_parameters(&mut json);
        json.push('}');
        json
    }

    fn push_parameters(&self, json: &mut String) {
        for (name, value) in &self.parameters {
            if !OWN_PARAMETERS.contains(&name.as_str()) {
                json.push_str(&format!(",{}:{value}", Value::String(name.clone())));
            }
        }
        json.push_str(",\"stream\":true,\"stream_options\":{\"include_usage\":true}");
        json.push_str(&format!(",\"max_tokens\":{}", self.max_tokens));
        json.push_str(&format!(",\"user\":\"{}\",\"priority\":{}", self.program, self.priority));
        if !self.partial_answer.is_empty() {
            json.push_str(",\"continue_final_message\":true,\"add_generation_prompt\":false");
        }
    }
}
