//! Backend servers over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures::{StreamExt, stream};
use guavaspread_model::AdapterVersion;
use ntex::client::error::ClientError;
use ntex::client::{Client, ClientResponse, Connector};
use ntex::http::{Method, StatusCode, header};
use ntex::time::{Millis, Seconds, timeout};
use serde::{Deserialize, Serialize};

use crate::backend::{Backend, Piece, RunRequest, RunStream};
use crate::error::{Error, ErrorCode, Result};

const CONNECT_TIMEOUT: Seconds = Seconds(2);
const ORDER_TIMEOUT_MS: u32 = 20_000;
const CONNECTION_LIFETIME: Seconds = Seconds(30);
const FENCE_HEADER: &str = "x-fencing-token";
const END_OF_STREAM: &str = "[DONE]";

/// Speaks to one backend server over HTTP; belongs to one thread.
#[derive(Clone)]
pub struct HttpBackend {
    client: Client,
    base: String,
}

#[derive(Serialize)]
struct AdapterOrder<'a> {
    lora_name: &'a str,
    lora_path: &'a str,
}

#[derive(Deserialize)]
struct ModelList {
    data: Vec<ModelEntry>,
}

#[derive(Deserialize)]
struct ModelEntry {
    id: String,
}

impl HttpBackend {
    /// Prepares a client for the server at `address`.
    ///
    /// # Errors
    ///
    /// Fails when the HTTP client can't be built.
    pub async fn new(address: SocketAddr) -> Result<Self> {
        // Not 0, "no limit": the pool then never wakes a call that waits for the connection that
        // another call is opening.
        let connector = Connector::default().limit(usize::MAX).lifetime(CONNECTION_LIFETIME);
        let client = Client::builder()
            .connector::<()>(connector)
            .disable_timeout()
            .disable_redirects()
            .response_payload_timeout(Millis::ZERO)
            .build(
                ntex::SharedCfg::new("backend")
                    .add(ntex::io::IoConfig::new().set_connect_timeout(CONNECT_TIMEOUT)),
            )
            .await
            .map_err(|e| Error::new(ErrorCode::Unreachable, e))?;
        Ok(HttpBackend { client, base: format!("http://{address}") })
    }

    async fn order(&self, path: &str, adapter: &AdapterVersion, fence: u64) -> Result<()> {
        let name = adapter.to_string();
        let req = self.client.post(format!("{}{path}", self.base));
        let req = req.header(FENCE_HEADER, fence).timeout(Millis(ORDER_TIMEOUT_MS)).force_close();
        let order = AdapterOrder { lora_name: &name, lora_path: &name };
        let res = req.send_json(&order).await.map_err(failed_send)?;
        match res.status() {
            StatusCode::OK => Ok(()),
            StatusCode::CONFLICT => Err(Error::new(ErrorCode::StaleFence, adapter)),
            StatusCode::NOT_FOUND => Err(Error::new(ErrorCode::NotLoaded, adapter)),
            StatusCode::BAD_REQUEST => Err(Error::new(ErrorCode::NoSlot, adapter)),
            status => Err(Error::new(ErrorCode::LoadFailed, status)),
        }
    }
}

/// Tells a request that never left from one that may have run.
fn failed_send(error: ClientError) -> Error {
    match error {
        ClientError::Connect(_) => Error::new(ErrorCode::Unreachable, error),
        ClientError::Timeout => Error::new(ErrorCode::Silent, error),
        _ => Error::new(ErrorCode::Broken, error),
    }
}

#[async_trait(?Send)]
impl Backend for HttpBackend {
    async fn load(&self, adapter: &AdapterVersion, fence: u64) -> Result<()> {
        self.order("/v1/load_lora_adapter", adapter, fence).await
    }

    async fn unload(&self, adapter: &AdapterVersion, fence: u64) -> Result<()> {
        self.order("/v1/unload_lora_adapter", adapter, fence).await
    }

    async fn loaded(&self) -> Result<Vec<AdapterVersion>> {
        let req = self.client.get(format!("{}/v1/models", self.base));
        let req = req.timeout(Millis(ORDER_TIMEOUT_MS)).force_close();
        let res = req.send().await.map_err(failed_send)?;
        let body = res.body().await.map_err(|e| Error::new(ErrorCode::Broken, e))?;
        let list: ModelList =
            serde_json::from_slice(&body).map_err(|e| Error::new(ErrorCode::Broken, e))?;
        // The base model stands in the list too; its name is no adapter.
        Ok(list.data.iter().filter_map(|model| model.id.parse().ok()).collect())
    }

    async fn run(&self, req: RunRequest) -> Result<RunStream> {
        let method: Method =
            req.method.parse().map_err(|e| Error::new(ErrorCode::Unreachable, e))?;
        let mut out = self.client.request(method, format!("{}{}", self.base, req.path));
        out = out.header("x-request-id", format!("{:032x}", req.id));
        out = out.timeout(Millis(req.silence_ms));
        // A late second copy of its answer would be taken for that of the next run.
        out = out.force_close();
        if let Some(content_type) = &req.content_type {
            out = out.header(header::CONTENT_TYPE, content_type.as_str());
        }
        if !req.traceparent.is_empty() {
            out = out.header("traceparent", req.traceparent.as_str());
        }
        let sent = match req.body.is_empty() {
            true => out.send().await,
            false => out.send_body(req.body.to_vec()).await,
        };
        let res = sent.map_err(failed_send)?;
        if res.status() == StatusCode::NOT_FOUND && res.headers().contains_key("x-adapter-missing")
        {
            return Err(Error::new(ErrorCode::NotLoaded, &req.path));
        }
        Ok(pieces(res, &req))
    }
}

fn pieces(res: ClientResponse, req: &RunRequest) -> RunStream {
    let content_type =
        res.headers().get(header::CONTENT_TYPE).and_then(|v| v.to_str().ok()).map(str::to_owned);
    let head = Piece::Head { status: res.status().as_u16(), content_type };
    let head = stream::iter([Ok(head)]);
    let silence = Duration::from_millis(req.silence_ms.into());
    match req.stream && res.status() == StatusCode::OK {
        true => Box::pin(head.chain(event_pieces(res, silence))),
        false => Box::pin(head.chain(plain_pieces(res, silence))),
    }
}

/// Ends in order only behind the end marker: a stream that just stops was cut.
fn event_pieces(
    res: ClientResponse,
    silence: Duration,
) -> impl futures::Stream<Item = Result<Piece>> {
    let events = Box::pin(res.eventsource());
    stream::unfold(Some(events), move |state| async move {
        let mut events = state?;
        match timeout(silence, events.next()).await {
            Err(()) => Some((Err(Error::new(ErrorCode::Silent, "no event")), None)),
            Ok(None) => Some((Err(Error::new(ErrorCode::Broken, "no end marker")), None)),
            Ok(Some(Err(e))) => Some((Err(Error::new(ErrorCode::Broken, e)), None)),
            Ok(Some(Ok(event))) if event.data == END_OF_STREAM => Some((Ok(Piece::Done), None)),
            Ok(Some(Ok(event))) => Some((Ok(Piece::Data(event.data.into())), Some(events))),
        }
    })
}

fn plain_pieces(
    res: ClientResponse,
    silence: Duration,
) -> impl futures::Stream<Item = Result<Piece>> {
    stream::unfold(Some(res), move |state| async move {
        let mut res = state?;
        match timeout(silence, res.next()).await {
            Err(()) => Some((Err(Error::new(ErrorCode::Silent, "no data")), None)),
            Ok(None) => Some((Ok(Piece::Done), None)),
            Ok(Some(Err(e))) => Some((Err(Error::new(ErrorCode::Broken, e)), None)),
            Ok(Some(Ok(buf))) => Some((Ok(Piece::Data(Bytes::copy_from_slice(&buf))), Some(res))),
        }
    })
}
