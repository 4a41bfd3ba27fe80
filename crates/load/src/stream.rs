//! A streamed request and the measurement of its latency.

use std::time::{Duration, Instant};

use futures::StreamExt;
use ntex::client::Client;
use ntex::http::StatusCode;
use serde_json::json;

const END_MARKER: &[u8] = b"data: [DONE]";
const EVENT_START: &[u8] = b"data: {";

/// Destination and parameters of a streamed request.
pub(crate) struct Target {
    pub(crate) url: String,
    pub(crate) key: Option<String>,
    pub(crate) model: String,
    pub(crate) tokens: u32,
}

/// Latency and result of a streamed request.
#[derive(Debug, Default)]
pub(crate) struct StreamOutcome {
    pub(crate) first_token: Option<Duration>,
    pub(crate) between_tokens: Vec<Duration>,
    /// Whether every token and the end marker arrived.
    pub(crate) complete: bool,
    pub(crate) refused: bool,
}

/// Sends a request and reads its response to the end.
pub(crate) async fn run_stream(client: &Client, target: &Target) -> StreamOutcome {
    let body = json!({
        "model": target.model, "messages": [{"role": "user", "content": "load"}],
        "max_tokens": target.tokens, "stream": true,
    });
    let started_at = Instant::now();
    let mut outcome = StreamOutcome::default();
    let mut req = client.post(&target.url);
    if let Some(key) = &target.key {
        req = req.bearer_auth(key);
    }
    let Ok(mut res) = req.send_json(&body).await else {
        return outcome;
    };
    if res.status() != StatusCode::OK {
        outcome.refused = true;
        return outcome;
    }
    let (mut tokens, mut has_end_marker, mut last_token_at) = (0, false, started_at);
    while let Some(Ok(chunk)) = res.next().await {
        let now = Instant::now();
        let count =
            chunk.windows(EVENT_START.len()).filter(|window| *window == EVENT_START).count();
        if count > 0 {
            match outcome.first_token {
                None => outcome.first_token = Some(now - started_at),
                Some(_) => outcome.between_tokens.push(now - last_token_at),
            }
            last_token_at = now;
        }
        tokens += count;
        has_end_marker |= chunk.windows(END_MARKER.len()).any(|window| window == END_MARKER);
    }
    outcome.complete = has_end_marker && tokens == target.tokens as usize;
    outcome
}
