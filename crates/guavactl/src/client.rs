//! A gateway as operators reach it.

use std::net::SocketAddr;

use eyre::{Result, eyre};
use guavaspread_query::Table;
use ntex::http::StatusCode;
use ntex::time::Millis;
use serde::Deserialize;

const ANSWER_BYTES_MAX: usize = 256 * 1024 * 1024;
/// A change waits for every entry host, so its answer may take a while.
const ANSWER_TIMEOUT: Millis = Millis(30_000);

/// Holds a gateway's answer.
#[derive(Debug, Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) enum Reply {
    /// Rows.
    Table(Table),
    /// The change is in force.
    Accepted { revision: u64 },
    /// The change would be accepted on top of this revision.
    Valid { changes: usize, revision: u64 },
}

/// Holds a gateway's refusal.
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
            .response_timeout(ANSWER_TIMEOUT)
            .response_payload_limit(ANSWER_BYTES_MAX)
            .build(ntex::SharedCfg::default())
            .await
            .map_err(|e| eyre!("no HTTP client: {e}"))?;
        Ok(Client { http, url: format!("http://{gateway}/operator/query"), key: key.to_owned() })
    }

    pub(crate) async fn execute(&self, statement: &str) -> Result<Result<Reply, Problem>> {
        let req = self.http.post(&self.url).bearer_auth(&self.key);
        let sent = req.send_body(statement.to_owned()).await;
        let res = sent.map_err(|e| eyre!("{}: {e}", self.url))?;
        let body = res.body().limit(ANSWER_BYTES_MAX).await;
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
