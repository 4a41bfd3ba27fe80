//! HTTP client of a caller or an operator, independent of guavaspread's own client code.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, eyre};
use reqwest::blocking::{Client, RequestBuilder, Response};
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(60);

/// Client of one gateway with one bearer key.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    base: String,
    key: String,
}

/// Response that was read to its end.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Value of the `Retry-After` header, in seconds.
    pub retry_after: Option<u64>,
    /// Body; null if it is not JSON.
    pub body: Value,
    /// Tokens of a streamed response.
    pub tokens: Vec<String>,
    /// Whether a stream ended with its end marker; true if the response is not a stream.
    pub complete: bool,
}

impl Reply {
    /// Returns the error code of a rejected request; 0 if there is none.
    pub fn code(&self) -> u64 {
        self.body["code"].as_u64().unwrap_or(0)
    }

    /// Returns whether a rejected request ran, as the error body reports it.
    pub fn ran(&self) -> &str {
        self.body["ran"].as_str().unwrap_or("")
    }

    /// Returns the text of a chat completion that is not streamed.
    pub fn text(&self) -> &str {
        self.body["choices"][0]["message"]["content"].as_str().unwrap_or("")
    }
}

impl Caller {
    /// Creates a client of the gateway at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be built.
    pub fn new(address: SocketAddr, key: &str) -> Result<Self> {
        let client = Client::builder().timeout(TIMEOUT).build()?;
        Ok(Caller { client, base: format!("http://{address}"), key: key.to_owned() })
    }

    /// Builds a POST request to `path`.
    pub fn post(&self, path: &str) -> RequestBuilder {
        self.client.post(format!("{}{path}", self.base)).bearer_auth(&self.key)
    }

    /// Builds a GET request for `path`.
    pub fn get(&self, path: &str) -> RequestBuilder {
        self.client.get(format!("{}{path}", self.base)).bearer_auth(&self.key)
    }

    /// Submits changes to the configuration, as an operator.
    ///
    /// # Errors
    ///
    /// Returns an error if the gateway does not respond.
    pub fn submit_changes(&self, changes: &Value) -> Result<Reply> {
        read_json(self.post("/operator/changes").json(changes).send()?)
    }

    /// Sends a chat completion request that is not streamed.
    ///
    /// # Errors
    ///
    /// Returns an error if the gateway does not respond.
    pub fn chat(&self, model: &str, prompt: &str, tokens: u32) -> Result<Reply> {
        read_json(self.post("/v1/chat/completions").json(&chat_body(model, prompt, tokens)).send()?)
    }

    /// Sends a streamed chat completion request.
    ///
    /// # Errors
    ///
    /// Returns an error if the gateway does not respond or an event of the stream is malformed.
    pub fn stream(&self, model: &str, prompt: &str, tokens: u32) -> Result<Reply> {
        let mut body = chat_body(model, prompt, tokens);
        body["stream"] = json!(true);
        read_stream(self.post("/v1/chat/completions").json(&body).send()?)
    }
}

/// Returns the body of a chat completion request.
fn chat_body(model: &str, prompt: &str, tokens: u32) -> Value {
    json!({
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
    })
}

/// Reads a response that is not streamed.
///
/// # Errors
///
/// Returns an error if the connection closes before the end of the response.
pub fn read_json(res: Response) -> Result<Reply> {
    let (status, retry_after) = read_head(&res);
    let text = res.text()?;
    let body = serde_json::from_str(&text).unwrap_or(Value::Null);
    Ok(Reply { status, retry_after, body, tokens: Vec::new(), complete: true })
}

/// Reads a streamed response, or the body of a rejected request.
///
/// # Errors
///
/// Returns an error if an event of the stream is malformed.
pub fn read_stream(res: Response) -> Result<Reply> {
    let (status, retry_after) = read_head(&res);
    if status != 200 {
        return read_json(res);
    }
    let mut reply =
        Reply { status, retry_after, body: Value::Null, tokens: Vec::new(), complete: false };
    for line in BufReader::new(res).lines() {
        let Ok(line) = line else { break };
        let Some(data) = line.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            reply.complete = true;
            break;
        }
        let event: Value = serde_json::from_str(data)?;
        if event.get("error").is_some() {
            reply.body = event;
            break;
        }
        let token = event["choices"][0]["delta"]["content"].as_str();
        reply.tokens.push(token.ok_or_else(|| eyre!("the event has no token: {data}"))?.to_owned());
    }
    Ok(reply)
}

fn read_head(res: &Response) -> (u16, Option<u64>) {
    let retry_after = res.headers().get("retry-after").and_then(|v| v.to_str().ok());
    (res.status().as_u16(), retry_after.and_then(|text| text.parse().ok()))
}
