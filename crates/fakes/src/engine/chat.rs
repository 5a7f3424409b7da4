//! Chat completions in OpenAI's format. An answer depends on the request alone, except for the
//! number of cached tokens.

use super::cache::Prefix;
use sequoiaridge_core::{hash_parts, hash64};
use serde::Deserialize;
use serde_json::{Value, json};

/// Number of output tokens of a request without `max_tokens`.
const DEFAULT_OUTPUT_TOKENS: u32 = 16;
/// Largest number of output tokens.
const MAX_OUTPUT_TOKENS: u32 = 100_000;
/// Bytes of text in one prompt token.
const TOKEN_BYTES: usize = 4;

/// The parts of a request that an engine reads.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct ChatRequest {
    pub(super) model: String,
    messages: Vec<Message>,
    #[serde(default)]
    pub(super) stream: bool,
    #[serde(default, alias = "max_completion_tokens")]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream_options: StreamOptions,
}

#[derive(Clone, Debug, Deserialize)]
struct Message {
    role: String,
    #[serde(default)]
    content: Value,
}

#[derive(Clone, Debug, Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

/// Token counts of one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Usage {
    pub(super) prompt: u64,
    pub(super) cached: u64,
    pub(super) output: u64,
}

/// A request with the prefixes and the seed from which its answer is derived.
#[derive(Clone, Debug)]
pub(super) struct Chat {
    pub(super) request: ChatRequest,
    /// Prefixes of the prompt, one for each message.
    pub(super) prompt: Vec<Prefix>,
    seed: u64,
}

impl Chat {
    /// Parses a request.
    ///
    /// # Errors
    ///
    /// A description of what is wrong with the body.
    pub(super) fn parse(body: &[u8]) -> Result<Chat, String> {
        let request: ChatRequest =
            serde_json::from_slice(body).map_err(|error| error.to_string())?;
        if request.messages.is_empty() {
            return Err("messages must not be empty".to_string());
        }
        let mut seed = hash64(request.model.as_bytes());
        let mut prompt = Vec::new();
        for message in &request.messages {
            let prefix = extend_prompt(seed, &message.role, &message.content);
            seed = prefix.hash;
            prompt.push(prefix);
        }
        Ok(Chat {
            request,
            prompt,
            seed,
        })
    }

    /// Returns the same request with other content, to produce an answer that belongs to another
    /// request.
    pub(super) fn crossed(mut self) -> Chat {
        self.seed = !self.seed;
        self
    }

    /// Returns the number of tokens of the whole prompt.
    pub(super) fn prompt_tokens(&self) -> u64 {
        self.prompt.iter().map(|prefix| prefix.tokens).sum()
    }

    /// Returns the number of output tokens.
    pub(super) fn output_tokens(&self) -> usize {
        let wanted = self.request.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS);
        wanted.min(MAX_OUTPUT_TOKENS) as usize
    }

    /// Returns the whole text of the answer.
    pub(super) fn text(&self) -> String {
        (0..self.output_tokens()).map(|i| self.token(i)).collect()
    }

    /// Returns the prompt together with its answer, as the next request of the chat sends it.
    pub(super) fn with_answer(&self) -> Vec<Prefix> {
        let mut prompt = self.prompt.clone();
        prompt.push(extend_prompt(
            self.seed,
            "assistant",
            &Value::from(self.text()),
        ));
        prompt
    }

    /// Returns the answer as one JSON object.
    pub(super) fn completion(&self, usage: Usage) -> Vec<u8> {
        let answer = json!({
            "id": self.id(),
            "object": "chat.completion",
            "created": 0,
            "model": self.request.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": self.text() },
                "finish_reason": "length",
            }],
            "usage": usage.to_json(),
        });
        answer.to_string().into_bytes()
    }

    /// Returns the number of events of the streamed answer: one for each token, the finish reason,
    /// the usage if requested, and the end marker.
    pub(super) fn event_count(&self) -> usize {
        self.output_tokens() + 2 + usize::from(self.request.stream_options.include_usage)
    }

    /// Returns one event of the streamed answer.
    pub(super) fn event(&self, index: usize, usage: Usage) -> Vec<u8> {
        let tokens = self.output_tokens();
        if index + 1 == self.event_count() {
            return b"data: [DONE]\n\n".to_vec();
        }
        let choices = if index < tokens {
            let delta = json!({ "role": "assistant", "content": self.token(index) });
            json!([{ "index": 0, "delta": delta, "finish_reason": null }])
        } else if index == tokens {
            json!([{ "index": 0, "delta": {}, "finish_reason": "length" }])
        } else {
            json!([])
        };
        let mut chunk = json!({
            "id": self.id(),
            "object": "chat.completion.chunk",
            "created": 0,
            "model": self.request.model,
            "choices": choices,
        });
        if index > tokens {
            chunk["usage"] = usage.to_json();
        }
        format!("data: {chunk}\n\n").into_bytes()
    }

    fn token(&self, index: usize) -> String {
        let hash = hash_parts(&[&self.seed.to_le_bytes(), &index.to_le_bytes()]);
        let space = if index == 0 { "" } else { " " };
        format!("{space}{:06x}", hash & 0xff_ffff)
    }

    fn id(&self) -> String {
        format!("chatcmpl-{:016x}", self.seed)
    }
}

impl Usage {
    fn to_json(self) -> Value {
        json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": self.output,
            "total_tokens": self.prompt + self.output,
            "prompt_tokens_details": { "cached_tokens": self.cached },
        })
    }
}

/// Returns the prefix that ends with a message, given the hash of the prompt before it.
fn extend_prompt(before: u64, role: &str, content: &Value) -> Prefix {
    let text = match content {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let hash = hash_parts(&[&before.to_le_bytes(), role.as_bytes(), text.as_bytes()]);
    let tokens = text.len().div_ceil(TOKEN_BYTES).max(1) as u64;
    Prefix { hash, tokens }
}
