//! An HTTP client of a gateway's operator API.

use std::net::SocketAddr;

use eyre::{Result, eyre};
use guavaspread_query::Table;
use ntex::http::StatusCode;
use ntex::time::Millis;
use serde::Deserialize;

const RESPONSE_BYTES_MAX: usize = 256 * 1024 * 1024;
// The response to a change can be slow: the gateway sends it after every entry host has
// acknowledged the change.
const RESPONSE_TIMEOUT: Millis = Millis(30_000);

/// A gateway's response to a statement.
#[derive(Debug, Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) enum Reply {
    /// The rows of a query.
    Table(Table),
    /// The changes took effect with this revision.
    Accepted { revision: u64 },
    /// The dry run of this number of changes succeeded on top of this revision.
    Valid { changes: usize, revision: u64 },
}

/// A gateway's error response (`application/problem+json`).
#[derive(Debug, Deserialize, serde::Serialize)]
pub(crate) struct Problem {
    pub(crate) code: u16,
    pub(crate) title: String,
    pub(crate) detail: String,
    pub(crate) ran: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) retry_after_ms: Option<u32>,
}

/// Sends statements to one gateway.
pub(crate) struct Client {
    http: ntex::client::Client,
    url: String,
    key: String,
}

impl Client {
    pub(crate) async fn new(gateway: SocketAddr, key: &str) -> Result<Self> {
        let http = ntex::client::Client::builder()
            .response_timeout(RESPONSE_TIMEOUT)
            .response_payload_limit(RESPONSE_BYTES_MAX)
            .build(ntex::SharedCfg::default())
            .await
            .map_err(|e| eyre!("failed to create the HTTP client: {e}"))?;
        Ok(Client { http, url: format!("http://{gateway}/operator/query"), key: key.to_owned() })
    }

    pub(crate) async fn execute(&self, statement: &str) -> Result<Result<Reply, Problem>> {
        let req = self.http.post(&self.url).bearer_auth(&self.key);
        let sent = req.send_body(statement.to_owned()).await;
        let res = sent.map_err(|e| eyre!("{}: {e}", self.url))?;
        let body = res.body().limit(RESPONSE_BYTES_MAX).await;
        let body = body.map_err(|e| eyre!("{}: {e}", self.url))?;
        match res.status() {
            StatusCode::OK => Ok(Ok(serde_json::from_slice(&body)?)),
            status => match serde_json::from_slice(&body) {
                Ok(problem) => Ok(Err(problem)),
                Err(_) => Err(eyre!("{}: {status}", self.url)),
            },
        }
    }
}
