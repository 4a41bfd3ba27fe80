//! Generated text of the engine stand-in.
//!
//! Token `i` of a response depends only on the adapter, the content and `i`, so that a test
//! detects a wrong adapter, a lost token and a duplicate token.

use guavaspread_model::content_hash;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

const MAX_TOKENS_DEFAULT: u32 = 16;

/// Fields of a request body that the engine stand-in reads.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct CompletionRequest {
    pub(crate) model: String,
    #[serde(default)]
    pub(crate) messages: Value,
    #[serde(default)]
    pub(crate) prompt: Value,
    #[serde(default)]
    pub(crate) max_tokens: Option<u32>,
    #[serde(default)]
    pub(crate) stream: bool,
    #[serde(default)]
    pub(crate) user: Option<String>,
}

impl CompletionRequest {
    pub(crate) fn tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(MAX_TOKENS_DEFAULT)
    }

    /// Returns the token index of the fault `name` in the `user` field, as in
    /// `standin:stop-after=3`.
    ///
    /// Returns 0 if the fault has no valid index, and `None` if the field has no such fault.
    pub(crate) fn fault(&self, name: &str) -> Option<u32> {
        let faults = self.user.as_deref()?.strip_prefix("standin:")?;
        let index = faults.split(',').find_map(|fault| fault.strip_prefix(name))?;
        Some(index.strip_prefix('=').and_then(|n| n.parse().ok()).unwrap_or(0))
    }

    /// Returns the token at `index`; the first token names the adapter.
    pub(crate) fn token(&self, index: u32) -> String {
        match index {
            0 => format!("[{}] ", self.model),
            _ => {
                let content = format!("{}{}{index}", self.messages, self.prompt);
                format!("{:04x}.{index} ", content_hash(content.as_bytes()) & 0xffff)
            }
        }
    }

    fn text(&self) -> String {
        (0..self.tokens()).map(|index| self.token(index)).collect()
    }

    /// Returns the event of a streamed response with the token at `index`.
    pub(crate) fn chunk(&self, id: &str, index: u32, chat: bool) -> Value {
        let last = index + 1 == self.tokens();
        let finish = if last { json!("stop") } else { Value::Null };
        let token = self.token(index);
        let choice = match chat {
            true => json!({
                "index": 0, "delta": {"role": "assistant", "content": token},
                "finish_reason": finish,
            }),
            false => json!({"index": 0, "text": token, "finish_reason": finish}),
        };
        let object = if chat { "chat.completion.chunk" } else { "text_completion" };
        json!({"id": id, "object": object, "created": 0, "model": self.model, "choices": [choice]})
    }

    /// Returns the body of a response that is not streamed.
    pub(crate) fn completion(&self, id: &str, chat: bool) -> Value {
        let text = self.text();
        let choice = match chat {
            true => json!({
                "index": 0, "message": {"role": "assistant", "content": text},
                "finish_reason": "stop",
            }),
            false => json!({"index": 0, "text": text, "finish_reason": "stop"}),
        };
        let object = if chat { "chat.completion" } else { "text_completion" };
        let usage = json!({
            "prompt_tokens": 1, "completion_tokens": self.tokens(),
            "total_tokens": 1 + self.tokens(),
        });
        json!({
            "id": id, "object": object, "created": 0, "model": self.model,
            "choices": [choice], "usage": usage,
        })
    }
}
