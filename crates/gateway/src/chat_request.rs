//! The body of a chat completion request.

use serde_json::{Map, Value};
use sumacdrift_types::{ChatMessage, ModelName, Problem, ResultCode, TokenCount};

/// A chat completion request with its parts checked.
#[derive(Debug)]
pub(crate) struct ChatRequest {
    pub(crate) model: ModelName,
    pub(crate) messages: Vec<ChatMessage>,
    pub(crate) is_stream: bool,
    pub(crate) include_usage: bool,
    pub(crate) max_tokens: Option<TokenCount>,
    /// Everything else, passed on to the engine.
    pub(crate) parameters: Map<String, Value>,
}

/// Reads and checks a body.
pub(crate) fn parse(body: &[u8]) -> Result<ChatRequest, Problem> {
    let value: Value =
        serde_json::from_slice(body).map_err(|error| malformed(format!("not JSON: {error}")))?;
    let Value::Object(mut members) = value else {
        return Err(malformed("a JSON object is needed"));
    };
    let model = take_model(&mut members)?;
    let messages = take_messages(&mut members)?;
    let is_stream = take_flag(&mut members, "stream")?;
    let include_usage = take_include_usage(&mut members)?;
    let max_tokens = take_max_tokens(&mut members)?;
    check_choices(&mut members)?;
    Ok(ChatRequest { model, messages, is_stream, include_usage, max_tokens, parameters: members })
}

fn take_model(members: &mut Map<String, Value>) -> Result<ModelName, Problem> {
    let model = members.get("model").and_then(Value::as_str);
    let model = model.ok_or_else(|| malformed("\"model\" must be a text"))?;
    ModelName::new(model).map_err(|error| malformed(format!("\"model\": {error}")))
}

fn take_messages(members: &mut Map<String, Value>) -> Result<Vec<ChatMessage>, Problem> {
    let Some(Value::Array(messages)) = members.remove("messages") else {
        return Err(malformed("\"messages\" must be a list"));
    };
    if messages.is_empty() {
        return Err(malformed("\"messages\" must not be empty"));
    }
    let read = |(position, message): (usize, &Value)| {
        ChatMessage::from_value(message).map_err(|error| malformed(format!("messages[{position}]: {error}")))
    };
    messages.iter().enumerate().map(read).collect()
}

fn take_flag(members: &mut Map<String, Value>, name: &str) -> Result<bool, Problem> {
    match members.remove(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(flag),
        Some(_) => Err(malformed(format!("\"{name}\" must be true or false"))),
    }
}

fn take_include_usage(members: &mut Map<String, Value>) -> Result<bool, Problem> {
    match members.remove("stream_options") {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Object(mut options)) => take_flag(&mut options, "include_usage"),
        Some(_) => Err(malformed("\"stream_options\" must be an object")),
    }
}

fn take_max_tokens(members: &mut Map<String, Value>) -> Result<Option<TokenCount>, Problem> {
    let older = members.remove("max_tokens");
    let value = members.remove("max_completion_tokens").or(older);
    match value {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match value.as_u64().filter(|count| *count > 0) {
            Some(count) => Ok(Some(count)),
            None => Err(malformed("\"max_tokens\" must be a whole number above 0")),
        },
    }
}

fn check_choices(members: &mut Map<String, Value>) -> Result<(), Problem> {
    match members.remove("n") {
        None | Some(Value::Null) => Ok(()),
        Some(value) if value.as_u64() == Some(1) => Ok(()),
        Some(_) => {
            // Several answers to one turn would leave open which one is the history.
            let detail = "\"n\" must be 1: a turn has one answer";
            Err(Problem::not_run(ResultCode::UnsupportedParameter, detail))
        }
    }
}

fn malformed(detail: impl Into<String>) -> Problem {
    Problem::not_run(ResultCode::MalformedBody, detail)
}
