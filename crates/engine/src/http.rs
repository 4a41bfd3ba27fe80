//! An HTTP client of backend servers.

use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures::{StreamExt, stream};
use guavaspread_model::{AdapterVersion, is_final_status};
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientResponse, Connector};
use ntex::http::error::PayloadError;
use ntex::http::{Method, StatusCode, Version, header};
use ntex::time::{Millis, Seconds, timeout};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::backend::{BackendClient, BackendRequest, ResponsePart, ResponseStream};
use crate::error::{Error, ErrorCode, Result};

const CONNECT_TIMEOUT: Seconds = Seconds(2);
const COMMAND_TIMEOUT_MS: u32 = 20_000;
const CONNECTION_LIFETIME: Seconds = Seconds(30);
const FENCE_HEADER: &str = "x-fencing-token";
const END_OF_STREAM: &str = "[DONE]";
/// Bytes of a stream without a complete event. The parser keeps the incomplete event, which without
/// a limit would use up the memory.
const EVENT_BYTES_MAX: usize = 1024 * 1024;

/// An HTTP client of one backend server; must stay on one thread.
#[derive(Clone)]
pub struct HttpBackendClient {
    client: Client,
    base_url: String,
}

#[derive(Serialize)]
struct AdapterCommand<'a> {
    lora_name: &'a str,
    lora_path: &'a str,
}

#[derive(Deserialize)]
struct ModelList {
    data: Vec<Box<RawValue>>,
}

#[derive(Deserialize)]
struct ModelEntry {
    id: String,
}

impl HttpBackendClient {
    /// Creates a client of the server at `address`.
    ///
    /// # Errors
    ///
    /// Fails when the HTTP client can't be built.
    pub async fn new(address: SocketAddr) -> Result<Self> {
        // Not 0 ("no limit"): with 0 the pool never wakes a call that waits while another call
        // opens a connection.
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
        Ok(HttpBackendClient { client, base_url: format!("http://{address}") })
    }

    async fn send_command(&self, path: &str, adapter: &AdapterVersion, fence: u64) -> Result<()> {
        let name = adapter.to_string();
        let req = self.client.post(format!("{}{path}", self.base_url));
        let req = req.header(FENCE_HEADER, fence).timeout(Millis(COMMAND_TIMEOUT_MS)).force_close();
        let command = AdapterCommand { lora_name: &name, lora_path: &name };
        let res = req.send_json(&command).await.map_err(send_error)?;
        match res.status() {
            StatusCode::OK => Ok(()),
            StatusCode::CONFLICT => Err(Error::new(ErrorCode::StaleFence, adapter)),
            StatusCode::NOT_FOUND => Err(Error::new(ErrorCode::NotLoaded, adapter)),
            StatusCode::BAD_REQUEST => Err(Error::new(ErrorCode::NoSlot, adapter)),
            status => Err(Error::new(ErrorCode::LoadFailed, status)),
        }
    }
}

/// Distinguishes a request that was not sent from a request that may have run.
fn send_error(error: ClientError) -> Error {
    match error {
        // ntex also reports this if the server closes the connection after the request was sent.
        ClientError::Connect(ConnectError::Disconnected(None)) => {
            Error::new(ErrorCode::Interrupted, error)
        }
        ClientError::Connect(_) => Error::new(ErrorCode::Unreachable, error),
        ClientError::Timeout => Error::new(ErrorCode::TimedOut, error),
        _ => Error::new(ErrorCode::Interrupted, error),
    }
}

#[async_trait(?Send)]
impl BackendClient for HttpBackendClient {
    async fn load_adapter(&self, adapter: &AdapterVersion, fence: u64) -> Result<()> {
        self.send_command("/v1/load_lora_adapter", adapter, fence).await
    }

    async fn unload_adapter(&self, adapter: &AdapterVersion, fence: u64) -> Result<()> {
        self.send_command("/v1/unload_lora_adapter", adapter, fence).await
    }

    async fn list_adapters(&self) -> Result<Vec<AdapterVersion>> {
        let req = self.client.get(format!("{}/v1/models", self.base_url));
        let req = req.timeout(Millis(COMMAND_TIMEOUT_MS)).force_close();
        let res = req.send().await.map_err(send_error)?;
        let body = res.body().await.map_err(|e| Error::new(ErrorCode::Interrupted, e))?;
        let list: ModelList =
            serde_json::from_slice(&body).map_err(|e| Error::new(ErrorCode::Interrupted, e))?;
        let models = list.data.iter().filter_map(|model| serde_json::from_str(model.get()).ok());
        // The list also contains the base model, whose name does not parse as an adapter.
        Ok(models.filter_map(|model: ModelEntry| model.id.parse().ok()).collect())
    }

    async fn send(&self, req: BackendRequest) -> Result<ResponseStream> {
        let method: Method =
            req.method.parse().map_err(|e| Error::new(ErrorCode::Unreachable, e))?;
        let has_body = method != Method::HEAD;
        let mut http_req = self.client.request(method, format!("{}{}", self.base_url, req.path));
        http_req = http_req.header("x-request-id", format!("{:032x}", req.id));
        http_req = http_req.timeout(Millis(req.idle_timeout_ms));
        // On a reused connection, a late duplicate of this response would be read as the response
        // to the next request.
        http_req = http_req.force_close();
        if let Some(content_type) = &req.content_type {
            http_req = http_req.header(header::CONTENT_TYPE, content_type.as_str());
        }
        if !req.traceparent.is_empty() {
            http_req = http_req.header("traceparent", req.traceparent.as_str());
        }
        let sent = match req.body.is_empty() {
            true => http_req.send().await,
            false => http_req.send_body(req.body.to_vec()).await,
        };
        let res = sent.map_err(send_error)?;
        if !is_final_status(res.status().as_u16()) {
            return Err(Error::new(ErrorCode::Interrupted, res.status()));
        }
        if res.status() == StatusCode::NOT_FOUND && res.headers().contains_key("x-adapter-missing")
        {
            return Err(Error::new(ErrorCode::NotLoaded, &req.path));
        }
        if has_body && is_close_delimited(&res) {
            return Err(Error::new(ErrorCode::Interrupted, "neither a length nor chunks"));
        }
        let length = stated_length(&res).filter(|_| has_body);
        Ok(response_parts(res, length, &req))
    }
}

/// Returns whether a response ends with its connection.
///
/// The client reads such a body only from HTTP/1.0, and otherwise takes it for empty.
fn is_close_delimited(res: &ClientResponse) -> bool {
    let headers = res.headers();
    res.version() != Version::HTTP_10
        && !matches!(res.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
        && match headers.get(header::TRANSFER_ENCODING) {
            Some(encoding) => !encoding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked"),
            None => !headers.contains_key(header::CONTENT_LENGTH),
        }
}

/// Returns the length of the body that the head states.
///
/// The client doesn't compare it with the bytes received from HTTP/1.0.
fn stated_length(res: &ClientResponse) -> Option<u64> {
    if matches!(res.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
        return None;
    }
    res.headers().get(header::CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()
}

fn response_parts(
    res: ClientResponse,
    length: Option<u64>,
    req: &BackendRequest,
) -> ResponseStream {
    let content_type =
        res.headers().get(header::CONTENT_TYPE).and_then(|v| v.to_str().ok()).map(str::to_owned);
    let head = ResponsePart::Head { status: res.status().as_u16(), content_type };
    let head = stream::iter([Ok(head)]);
    let idle_timeout = Duration::from_millis(req.idle_timeout_ms.into());
    match req.stream && res.status() == StatusCode::OK {
        true => Box::pin(head.chain(event_parts(res, idle_timeout))),
        false => Box::pin(head.chain(body_parts(res, length, idle_timeout))),
    }
}

/// Yields `Done` only after the end marker; a stream that ends without it is truncated.
fn event_parts(
    res: ClientResponse,
    idle_timeout: Duration,
) -> impl futures::Stream<Item = Result<ResponsePart>> {
    let event_bytes = Rc::new(Cell::new(0));
    let events = Box::pin(limit_event(res, event_bytes.clone()).eventsource());
    stream::unfold(Some((events, event_bytes)), move |state| async move {
        let (mut events, event_bytes) = state?;
        let next = timeout(idle_timeout, events.next()).await;
        event_bytes.set(0);
        match next {
            Err(()) => Some((Err(Error::new(ErrorCode::TimedOut, "no event received")), None)),
            Ok(None) => Some((Err(Error::new(ErrorCode::Interrupted, "end marker missing")), None)),
            Ok(Some(Err(e))) => Some((Err(Error::new(ErrorCode::Interrupted, e)), None)),
            Ok(Some(Ok(event))) if event.data == END_OF_STREAM => {
                Some((Ok(ResponsePart::Done), None))
            }
            Ok(Some(Ok(event))) => {
                Some((Ok(ResponsePart::Data(event.data.into())), Some((events, event_bytes))))
            }
        }
    })
}

/// Yields the pieces of a body; fails if an event is larger than [`EVENT_BYTES_MAX`].
///
/// `event_bytes` counts the bytes received since it was last set to 0.
fn limit_event(
    res: ClientResponse,
    event_bytes: Rc<Cell<usize>>,
) -> impl futures::Stream<Item = std::result::Result<Bytes, PieceError>> {
    res.map(move |piece| {
        let piece = piece.map_err(PieceError::Payload)?;
        event_bytes.set(event_bytes.get() + piece.len());
        match event_bytes.get() > EVENT_BYTES_MAX {
            true => Err(PieceError::EventTooLarge),
            false => Ok(Bytes::copy_from_slice(&piece)),
        }
    })
}

/// The error of a stream's next piece.
#[derive(Debug)]
enum PieceError {
    /// The body broke off.
    Payload(PayloadError),
    /// An event exceeds [`EVENT_BYTES_MAX`].
    EventTooLarge,
}

impl fmt::Display for PieceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PieceError::Payload(e) => write!(f, "the body broke off: {e}"),
            PieceError::EventTooLarge => write!(f, "an event exceeds {EVENT_BYTES_MAX} bytes"),
        }
    }
}

impl std::error::Error for PieceError {}

/// Yields `Done` only if `length`, where it is known, has arrived.
fn body_parts(
    res: ClientResponse,
    length: Option<u64>,
    idle_timeout: Duration,
) -> impl futures::Stream<Item = Result<ResponsePart>> {
    stream::unfold(Some((res, 0)), move |state| async move {
        let (mut res, received) = state?;
        match timeout(idle_timeout, res.next()).await {
            Err(()) => Some((Err(Error::new(ErrorCode::TimedOut, "no data received")), None)),
            Ok(None) if length.is_some_and(|length| length != received) => {
                let detail = "the body is shorter than its length";
                Some((Err(Error::new(ErrorCode::Interrupted, detail)), None))
            }
            Ok(None) => Some((Ok(ResponsePart::Done), None)),
            Ok(Some(Err(e))) => Some((Err(Error::new(ErrorCode::Interrupted, e)), None)),
            Ok(Some(Ok(buf))) => {
                let received = received + buf.len() as u64;
                let data = ResponsePart::Data(Bytes::copy_from_slice(&buf));
                Some((Ok(data), Some((res, received))))
            }
        }
    })
}
