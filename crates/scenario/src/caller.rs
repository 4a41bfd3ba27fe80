//! A caller or an operator, over HTTP with an independent client.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, eyre};
use reqwest::blocking::{Client, RequestBuilder, Response};
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(60);

/// Calls one gateway with one key.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    base: String,
    key: String,
}

/// Holds a whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The `Retry-After` header, in seconds.
    pub retry_after: Option<u64>,
    /// The body, null if it is not JSON.
    pub body: Value,
    /// The texts of a stream's events, without the end marker.
    pub tokens: Vec<String>,
    /// Whether a stream ended with its end marker.
    pub whole: bool,
}

impl Reply {
    /// Returns the numbered code of a refusal, 0 if there is none.
    pub fn code(&self) -> u64 {
        self.body["code"].as_u64().unwrap_or(0)
    }

    /// Returns what a refusal says about having run.
    pub fn ran(&self) -> &str {
        self.body["ran"].as_str().unwrap_or("")
    }

    /// Returns the text of a whole chat completion.
    pub fn text(&self) -> &str {
        self.body["choices"][0]["message"]["content"].as_str().unwrap_or("")
    }
}

impl Caller {
    /// Prepares to call the gateway at `address`.
    ///
    /// # Errors
    ///
    /// Fails when the HTTP client can't be built.
    pub fn new(address: SocketAddr, key: &str) -> Result<Self> {
        let client = Client::builder().timeout(TIMEOUT).build()?;
        Ok(Caller { client, base: format!("http://{address}"), key: key.to_owned() })
    }

    /// Starts a request to `path`.
    pub fn post(&self, path: &str) -> RequestBuilder {
        self.client.post(format!("{}{path}", self.base)).bearer_auth(&self.key)
    }

    /// Starts a request for `path`.
    pub fn get(&self, path: &str) -> RequestBuilder {
        self.client.get(format!("{}{path}", self.base)).bearer_auth(&self.key)
    }

    /// Proposes changes, as an operator.
    ///
    /// # Errors
    ///
    /// Fails when the gateway does not answer.
    pub fn change(&self, changes: &Value) -> Result<Reply> {
        plain(self.post("/operator/changes").json(changes).send()?)
    }

    /// Completes a chat in one piece.
    ///
    /// # Errors
    ///
    /// Fails when the gateway does not answer.
    pub fn chat(&self, model: &str, prompt: &str, tokens: u32) -> Result<Reply> {
        plain(self.post("/v1/chat/completions").json(&body(model, prompt, tokens)).send()?)
    }

    /// Completes a chat as a stream.
    ///
    /// # Errors
    ///
    /// Fails when the gateway does not answer.
    pub fn stream(&self, model: &str, prompt: &str, tokens: u32) -> Result<Reply> {
        let mut body = body(model, prompt, tokens);
        body["stream"] = json!(true);
        read_stream(self.post("/v1/chat/completions").json(&body).send()?)
    }
}

/// Makes the body of a chat completion.
fn body(model: &str, prompt: &str, tokens: u32) -> Value {
    json!({
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
    })
}

/// Reads a plain answer.
///
/// # Errors
///
/// Fails when the answer breaks off.
pub fn plain(res: Response) -> Result<Reply> {
    let (status, retry_after) = head(&res);
    let text = res.text()?;
    let body = serde_json::from_str(&text).unwrap_or(Value::Null);
    Ok(Reply { status, retry_after, body, tokens: Vec::new(), whole: true })
}

/// Reads a stream of events, or a refusal.
///
/// # Errors
///
/// Fails when an event is not what the API describes.
pub fn read_stream(res: Response) -> Result<Reply> {
    let (status, retry_after) = head(&res);
    if status != 200 {
        return plain(res);
    }
    let mut reply =
        Reply { status, retry_after, body: Value::Null, tokens: Vec::new(), whole: false };
    for line in BufReader::new(res).lines() {
        let Ok(line) = line else { break };
        let Some(data) = line.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            reply.whole = true;
            break;
        }
        let event: Value = serde_json::from_str(data)?;
        if event.get("error").is_some() {
            reply.body = event;
            break;
        }
        let token = event["choices"][0]["delta"]["content"].as_str();
        reply.tokens.push(token.ok_or_else(|| eyre!("no token in {data}"))?.to_owned());
    }
    Ok(reply)
}

fn head(res: &Response) -> (u16, Option<u64>) {
    let retry_after = res.headers().get("retry-after").and_then(|v| v.to_str().ok());
    (res.status().as_u16(), retry_after.and_then(|text| text.parse().ok()))
}
