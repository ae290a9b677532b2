//! The fields of the language-model protocol that the router reads and writes.

use serde::Deserialize;
use serde_json::{Value, json};
use wasabi_core::{
    errors::{Code, Error, Result},
    units::{RequestId, Tokens},
};

/// The data of the event that marks the end of a stream.
pub const DONE: &str = "[DONE]";
/// Estimate of prompt bytes per token, used for streams whose backend server reports no prompt
/// tokens.
const BYTES_PER_TOKEN: u64 = 4;
/// Length of the prompt prefix that is hashed for cache affinity.
const PROMPT_PREFIX_BYTES: usize = 256;

/// The parsed body of a request for a model.
#[derive(Clone, Debug)]
pub struct ModelRequest {
    /// The body as the caller sent it.
    pub body: Value,
    /// The model that it names.
    pub model: String,
    /// Whether the caller wants a stream.
    pub stream: bool,
    /// Hash of the first 256 bytes of the prompt.
    pub prefix_hash: u64,
    /// Hashes of the messages that other requests may share: all but the last.
    pub shared_messages: Vec<u64>,
    /// The prompt's length, estimated from its bytes.
    pub prompt_tokens: Tokens,
    /// The caller's limit on generated tokens, if any.
    pub max_tokens: Option<Tokens>,
}

/// Token counts reported by a backend server.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct Usage {
    /// Tokens in the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Tokens generated.
    #[serde(default)]
    pub completion_tokens: u64,
}

/// The fields that the router reads of a complete answer or of one event of a stream.
#[derive(Clone, Debug, Deserialize)]
pub struct Chunk {
    /// The id of the request that it answers.
    pub id: String,
    /// Token counts, if reported.
    #[serde(default)]
    pub usage: Option<Usage>,
    #[serde(default)]
    choices: Vec<Value>,
}

impl Chunk {
    /// Returns how many tokens the event carries, counting one for each choice with text.
    pub fn tokens(&self) -> Tokens {
        Tokens(self.choices.iter().filter(|choice| has_text(choice)).count() as u64)
    }
}

fn has_text(choice: &Value) -> bool {
    let delta = choice.get("delta").and_then(|delta| delta.get("content"));
    let text = delta.or_else(|| choice.get("text")).and_then(Value::as_str);
    text.is_some_and(|text| !text.is_empty())
}

/// Parses a request body.
///
/// Errors: `BodyInvalid`, with what is wrong in the detail.
pub fn parse(body: &[u8]) -> Result<ModelRequest> {
    let invalid = |detail: &str| Error::new(Code::BodyInvalid, detail);
    let value: Value = serde_json::from_slice(body).map_err(|e| invalid(&e.to_string()))?;
    if !value.is_object() {
        return Err(invalid("the body must be an object"));
    }
    let model = value.get("model").and_then(Value::as_str);
    let model = model.ok_or_else(|| invalid("model must be a string"))?.to_string();
    let stream = match value.get("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(stream)) => *stream,
        Some(_) => return Err(invalid("stream must be true or false")),
    };
    let prompt = prompt_text(&value);
    let prefix_hash = hash_bytes(&prompt.as_bytes()[..prompt.len().min(PROMPT_PREFIX_BYTES)]);
    let prompt_tokens = Tokens((prompt.len() as u64).div_ceil(BYTES_PER_TOKEN));
    let limit = value.get("max_completion_tokens").or_else(|| value.get("max_tokens"));
    let max_tokens = limit.and_then(Value::as_u64).map(Tokens);
    let messages = value.get("messages").and_then(Value::as_array).and_then(|all| all.split_last());
    let shared_messages = messages.map_or(&[][..], |(_, shared)| shared).iter();
    let shared_messages =
        shared_messages.map(|message| hash_bytes(message.to_string().as_bytes())).collect();
    Ok(ModelRequest {
        body: value,
        model,
        stream,
        prefix_hash,
        shared_messages,
        prompt_tokens,
        max_tokens,
    })
}

/// Renders the body for the backend server, which is to continue after the first `delivered`
/// tokens.
pub fn backend_body(
    call: &ModelRequest,
    request: &RequestId,
    tier: u8,
    delivered: Tokens,
) -> Vec<u8> {
    let mut body = call.body.clone();
    body["request_id"] = json!(request);
    body["priority"] = json!(tier);
    if delivered > Tokens(0) {
        body["resume_from"] = json!(delivered);
    }
    body.to_string().into_bytes()
}

/// Parses an answer or the data of an event, and checks that it answers `request`.
///
/// Errors: `AnswerBroken` if it cannot be parsed, `AnswerCrossed` if it answers another request.
pub fn parse_chunk(data: &[u8], request: &RequestId) -> Result<Chunk> {
    let chunk: Chunk = serde_json::from_slice(data)
        .map_err(|_| Error::new(Code::AnswerBroken, "not an answer"))?;
    if chunk.id != request.as_str() {
        return Err(Error::new(Code::AnswerCrossed, ""));
    }
    Ok(chunk)
}

fn prompt_text(value: &Value) -> String {
    match value.get("messages").or_else(|| value.get("prompt")) {
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
        None => String::new(),
    }
}

fn hash_bytes(bytes: &[u8]) -> u64 {
    use std::hash::{DefaultHasher, Hasher as _};
    let mut hasher = DefaultHasher::new();
    hasher.write(bytes);
    hasher.finish()
}
