//! Deterministic completions of a model engine, in the formats of the OpenAI API.

use std::hash::{DefaultHasher, Hash, Hasher};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

/// The number of tokens of a response whose request sets no limit.
const DEFAULT_N_TOKENS: u64 = 16;

const WORDS: [&str; 12] = [
    "jack",
    "quill",
    "register",
    "soundboard",
    "string",
    "bridge",
    "valve",
    "compressor",
    "pressure",
    "gasket",
    "evaporator",
    "fan",
];

/// Returns the tokens that every engine stand-in generates for `body`.
///
/// They depend only on the prompt; `max_completion_tokens` (or `max_tokens`) sets their number.
pub fn expected_tokens(body: &Value) -> Vec<String> {
    let mut hasher = DefaultHasher::new();
    prompt_text(body).hash(&mut hasher);
    let mut rng = ChaCha8Rng::seed_from_u64(hasher.finish());
    (0..token_limit(body).unwrap_or(DEFAULT_N_TOKENS))
        .map(|idx| format!("{}{idx} ", WORDS[rng.random_range(0..WORDS.len())]))
        .collect()
}

/// Returns the prompt of a chat completion or a text completion as one string.
pub(crate) fn prompt_text(body: &Value) -> String {
    let messages = body["messages"].as_array().into_iter().flatten();
    let contents = messages.map(|message| content_text(&message["content"]));
    let text: Vec<String> = contents.chain([content_text(&body["prompt"])]).collect();
    text.join("\n")
}

fn content_text(content: &Value) -> String {
    match content {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn token_limit(body: &Value) -> Option<u64> {
    let limit = body["max_completion_tokens"].as_u64();
    limit.or_else(|| body["max_tokens"].as_u64())
}

/// The fields that all chunks of a response share.
#[derive(Clone, Debug)]
pub(crate) struct ResponseFields {
    /// The request id.
    pub(crate) id: String,
    /// The model name, as in the request.
    pub(crate) model: Value,
    /// Whether this is a chat completion.
    pub(crate) is_chat: bool,
    /// The finish reason of a complete response.
    pub(crate) finish_reason: &'static str,
    /// The number of words in the prompt.
    pub(crate) prompt_tokens: usize,
}

impl ResponseFields {
    /// Reads the response fields from the request `body`.
    pub(crate) fn new(id: String, is_chat: bool, body: &Value) -> Self {
        Self {
            id,
            model: body["model"].clone(),
            is_chat,
            finish_reason: token_limit(body).map_or("stop", |_| "length"),
            prompt_tokens: prompt_text(body).split_whitespace().count(),
        }
    }

    /// Returns the stream chunk for one token.
    pub(crate) fn token_chunk(&self, token: &str) -> String {
        let choice = if self.is_chat {
            json!({"index": 0, "delta": {"content": token}, "finish_reason": null})
        } else {
            json!({"index": 0, "text": token, "finish_reason": null})
        };
        self.chunk(&choice)
    }

    /// Returns the last stream chunk of a response.
    pub(crate) fn last_chunk(&self, finish_reason: &str) -> String {
        let choice = if self.is_chat {
            json!({"index": 0, "delta": {}, "finish_reason": finish_reason})
        } else {
            json!({"index": 0, "text": "", "finish_reason": finish_reason})
        };
        self.chunk(&choice)
    }

    /// Returns the complete response of a request without streaming.
    pub(crate) fn complete_body(&self, tokens: &[String]) -> Value {
        let text = tokens.concat();
        let choice = if self.is_chat {
            let message = json!({"role": "assistant", "content": text});
            json!({"index": 0, "message": message, "finish_reason": self.finish_reason})
        } else {
            json!({"index": 0, "text": text, "finish_reason": self.finish_reason})
        };
        let object = if self.is_chat {
            "chat.completion"
        } else {
            "text_completion"
        };
        json!({
            "id": self.id,
            "object": object,
            "created": 0,
            "model": self.model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": self.prompt_tokens,
                "completion_tokens": tokens.len(),
                "total_tokens": self.prompt_tokens + tokens.len(),
            },
        })
    }

    fn chunk(&self, choice: &Value) -> String {
        let object = if self.is_chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        };
        json!({
            "id": self.id,
            "object": object,
            "created": 0,
            "model": self.model,
            "choices": [choice],
        })
        .to_string()
    }
}
