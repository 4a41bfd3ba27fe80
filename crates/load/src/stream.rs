//! One stream, timed.

use std::time::{Duration, Instant};

use futures::StreamExt;
use ntex::client::Client;
use ntex::http::StatusCode;
use serde_json::json;

const END_MARKER: &[u8] = b"data: [DONE]";
const EVENT: &[u8] = b"data: {";

/// Says where a stream goes.
pub(crate) struct Target {
    pub(crate) url: String,
    pub(crate) key: Option<String>,
    pub(crate) model: String,
    pub(crate) tokens: u32,
}

/// Tells how a stream ended.
#[derive(Debug, Default)]
pub(crate) struct StreamOutcome {
    pub(crate) first_token: Option<Duration>,
    pub(crate) between_tokens: Vec<Duration>,
    /// Whether every token and the end marker arrived.
    pub(crate) whole: bool,
    pub(crate) refused: bool,
}

/// Runs a stream to its end.
pub(crate) async fn run_stream(client: &Client, target: &Target) -> StreamOutcome {
    let body = json!({
        "model": target.model, "messages": [{"role": "user", "content": "load"}],
        "max_tokens": target.tokens, "stream": true,
    });
    let started = Instant::now();
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
    let (mut tokens, mut ended, mut last) = (0, false, started);
    while let Some(Ok(chunk)) = res.next().await {
        let now = Instant::now();
        let count = chunk.windows(EVENT.len()).filter(|window| *window == EVENT).count();
        if count > 0 {
            match outcome.first_token {
                None => outcome.first_token = Some(now - started),
                Some(_) => outcome.between_tokens.push(now - last),
            }
            last = now;
        }
        tokens += count;
        ended |= chunk.windows(END_MARKER.len()).any(|window| window == END_MARKER);
    }
    outcome.whole = ended && tokens == target.tokens as usize;
    outcome
}
