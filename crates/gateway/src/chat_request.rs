//! Parsing of chat completion request bodies.

use serde_json::{Map, Value};
use sumacdrift_types::{ChatMessage, ModelName, Problem, ResultCode, TokenCount};

/// A validated chat completion request.
#[derive(Debug)]
pub(crate) struct ChatRequest {
    pub(crate) model: ModelName,
    pub(crate) messages: Vec<ChatMessage>,
    pub(crate) is_stream: bool,
    pub(crate) include_usage: bool,
    pub(crate) max_tokens: Option<TokenCount>,
    /// All other members, passed on to the engine.
    pub(crate) parameters: Map<String, Value>,
}

pub(crate) fn parse(body: &[u8]) -> Result<ChatRequest, Problem> {
    let value: Value =
        serde_json::from_slice(body).map_err(|error| malformed(format!("invalid JSON: {error}")))?;
    let Value::Object(mut members) = value else {
        return Err(malformed("the body must be a JSON object"));
    };
    let model = take_model(&mut members)?;
    let messages = take_messages(&mut members)?;
    let is_stream = take_bool(&mut members, "stream")?;
    let include_usage = take_include_usage(&mut members)?;
    let max_tokens = take_max_tokens(&mut members)?;
    check_choice_count(&mut members)?;
    Ok(ChatRequest { model, messages, is_stream, include_usage, max_tokens, parameters: members })
}

fn take_model(members: &mut Map<String, Value>) -> Result<ModelName, Problem> {
    let model = members.get("model").and_then(Value::as_str);
    let model = model.ok_or_else(|| malformed("\"model\" must be a string"))?;
    ModelName::new(model).map_err(|error| malformed(format!("\"model\": {error}")))
}

fn take_messages(members: &mut Map<String, Value>) -> Result<Vec<ChatMessage>, Problem> {
    let Some(Value::Array(messages)) = members.remove("messages") else {
        return Err(malformed("\"messages\" must be an array"));
    };
    if messages.is_empty() {
        return Err(malformed("\"messages\" must not be empty"));
    }
    let read = |(index, message): (usize, &Value)| {
        ChatMessage::from_value(message).map_err(|error| malformed(format!("messages[{index}]: {error}")))
    };
    messages.iter().enumerate().map(read).collect()
}

fn take_bool(members: &mut Map<String, Value>, name: &str) -> Result<bool, Problem> {
    match members.remove(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(value)) => Ok(value),
        Some(_) => Err(malformed(format!("\"{name}\" must be a boolean"))),
    }
}

fn take_include_usage(members: &mut Map<String, Value>) -> Result<bool, Problem> {
    match members.remove("stream_options") {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Object(mut options)) => take_bool(&mut options, "include_usage"),
        Some(_) => Err(malformed("\"stream_options\" must be an object")),
    }
}

fn take_max_tokens(members: &mut Map<String, Value>) -> Result<Option<TokenCount>, Problem> {
    let deprecated = members.remove("max_tokens");
    let value = members.remove("max_completion_tokens").or(deprecated);
    match value {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match value.as_u64().filter(|count| *count > 0) {
            Some(count) => Ok(Some(count)),
            None => Err(malformed("\"max_tokens\" must be a positive integer")),
        },
    }
}

fn check_choice_count(members: &mut Map<String, Value>) -> Result<(), Problem> {
    match members.remove("n") {
        None | Some(Value::Null) => Ok(()),
        Some(value) if value.as_u64() == Some(1) => Ok(()),
        Some(_) => {
            // With several choices it would be undefined which one becomes part of the history.
            let detail = "\"n\" must be 1: a turn has exactly one answer";
            Err(Problem::not_run(ResultCode::UnsupportedParameter, detail))
        }
    }
}

fn malformed(detail: impl Into<String>) -> Problem {
    Problem::not_run(ResultCode::MalformedBody, detail)
}
