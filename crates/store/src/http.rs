//! An HTTP client of the platform.

use std::net::SocketAddr;

use async_trait::async_trait;
use guavaspread_model::Host;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientRequest, ClientResponse, Connector};
use ntex::http::StatusCode;
use ntex::time::Millis;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::{Error, ErrorCode, Result};
use crate::table::{CommitReceipt, Conflict, PlatformClient, Row, Transaction};

const CALL_TIMEOUT_MS: u32 = 1_000;
const RESPONSE_BYTES_MAX: usize = 64 * 1024 * 1024;

/// An HTTP client of the platform; must stay on one thread.
///
/// Each call has a connection of its own. Responses name no call, so that on a kept connection a late
/// response would be read as that to the next call.
#[derive(Clone)]
pub struct HttpPlatformClient {
    client: Client,
    base_url: String,
}

#[derive(Serialize)]
struct KeyQuery<'a> {
    key: &'a str,
}

#[derive(Serialize)]
struct PrefixQuery<'a> {
    prefix: &'a str,
}

impl HttpPlatformClient {
    /// Creates a client of the platform at `address`.
    ///
    /// # Errors
    ///
    /// Fails when the HTTP client can't be built.
    pub async fn new(address: SocketAddr) -> Result<Self> {
        // Not 0 ("no limit"): with 0 the pool never wakes a call that waits while another call
        // opens a connection.
        let connector = Connector::default().limit(usize::MAX);
        let client = Client::builder()
            .connector::<()>(connector)
            .response_timeout(Millis(CALL_TIMEOUT_MS))
            .response_payload_limit(RESPONSE_BYTES_MAX)
            .disable_redirects()
            .build(ntex::SharedCfg::default())
            .await
            .map_err(|e| Error::new(ErrorCode::Unreachable, e))?;
        Ok(HttpPlatformClient { client, base_url: format!("http://{address}") })
    }

    async fn read<T: DeserializeOwned>(&self, req: ClientRequest) -> Result<T> {
        let res = req.force_close().send().await.map_err(send_error)?;
        if res.status() != StatusCode::OK {
            return Err(Error::new(ErrorCode::Unreachable, res.status()));
        }
        parse(&res).await
    }
}

async fn parse<T: DeserializeOwned>(res: &ClientResponse) -> Result<T> {
    let body = res.body().limit(RESPONSE_BYTES_MAX).await;
    let body = body.map_err(|e| Error::new(ErrorCode::ResponseLost, e))?;
    serde_json::from_slice(&body).map_err(|e| Error::new(ErrorCode::InvalidResponse, e))
}

/// Distinguishes a request that was not sent from a request whose response was lost.
fn send_error(error: ClientError) -> Error {
    let code = match &error {
        // ntex also reports this if the platform closes the connection after the request was sent.
        ClientError::Connect(ConnectError::Disconnected(None)) => ErrorCode::ResponseLost,
        ClientError::Connect(_) => ErrorCode::Unreachable,
        _ => ErrorCode::ResponseLost,
    };
    Error::new(code, error)
}

#[async_trait(?Send)]
impl PlatformClient for HttpPlatformClient {
    async fn get(&self, key: &str) -> Result<Option<Row>> {
        let req = self.client.get(format!("{}/table/row", self.base_url));
        let req =
            req.query(&KeyQuery { key }).map_err(|e| Error::new(ErrorCode::Unreachable, e))?;
        self.read(req).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Row>> {
        let req = self.client.get(format!("{}/table/rows", self.base_url));
        let req = req.query(&PrefixQuery { prefix });
        self.read(req.map_err(|e| Error::new(ErrorCode::Unreachable, e))?).await
    }

    async fn commit(&self, tx: &Transaction) -> Result<CommitReceipt> {
        let req = self.client.post(format!("{}/table/commit", self.base_url));
        let res = req.force_close().send_json(tx).await.map_err(send_error)?;
        match res.status() {
            StatusCode::OK => parse(&res).await,
            StatusCode::CONFLICT => {
                let conflict: Conflict = parse(&res).await?;
                Err(Error::conflict(conflict.key))
            }
            StatusCode::SERVICE_UNAVAILABLE => Err(Error::unreachable(res.status())),
            status => Err(Error::response_lost(status)),
        }
    }

    async fn list_hosts(&self) -> Result<Vec<Host>> {
        self.read(self.client.get(format!("{}/hosts", self.base_url))).await
    }
}
