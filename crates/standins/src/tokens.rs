//! The text that an engine stand-in generates.
//!
//! Token `i` of an answer follows from the adapter and the content alone, so a
//! test can tell a wrong adapter, a lost token and a doubled one.

use guavaspread_model::content_hash;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

const TOKENS_DEFAULT: u32 = 16;

/// Holds the fields of a request that the stand-in reads.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Prompt {
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

impl Prompt {
    pub(crate) fn tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(TOKENS_DEFAULT)
    }

    /// Returns the number behind `name` in the `user` field, as in `standin:stop-after=3`.
    pub(crate) fn order(&self, name: &str) -> Option<u32> {
        let orders = self.user.as_deref()?.strip_prefix("standin:")?;
        let order = orders.split(',').find_map(|order| order.strip_prefix(name))?;
        Some(order.strip_prefix('=').and_then(|n| n.parse().ok()).unwrap_or(0))
    }

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

    pub(crate) fn whole(&self, id: &str, chat: bool) -> Value {
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
