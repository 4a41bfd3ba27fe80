//! The client interface to a backend server.

use std::pin::Pin;

use async_trait::async_trait;
use bytes::Bytes;
use futures::Stream;
use guavaspread_model::AdapterVersion;

use crate::error::Result;

/// One request to a backend server.
#[derive(Clone, Debug)]
pub struct BackendRequest {
    /// The request id, which the server writes to its log.
    pub id: u128,
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The `Content-Type` of the body, if there is one.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
    /// Whether the response is a stream of server-sent events.
    pub stream: bool,
    /// The longest time without data from the server, in milliseconds.
    pub idle_timeout_ms: u32,
    /// The W3C trace context; empty if there is none.
    pub traceparent: String,
}

/// One part of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// The status and content type; always the first part.
    Head {
        /// The HTTP status.
        status: u16,
        /// The `Content-Type`.
        content_type: Option<String>,
    },
    /// The data of one event, or a part of a body that is no event stream.
    Data(Bytes),
    /// The end of a complete response; always the last part. Without it the response is truncated.
    Done,
}

/// A stream of the parts of a response; dropping it cancels the request.
pub type ResponseStream = Pin<Box<dyn Stream<Item = Result<ResponsePart>>>>;

/// A client of one backend server.
#[async_trait(?Send)]
pub trait BackendClient {
    /// Commands the engine to load an adapter.
    ///
    /// # Errors
    ///
    /// Fails when the engine rejects the command, can't load the adapter, or does not respond.
    async fn load_adapter(&self, adapter: &AdapterVersion, fence: u64) -> Result<()>;

    /// Commands the engine to unload an adapter.
    ///
    /// # Errors
    ///
    /// Fails when the engine rejects the command or does not respond.
    async fn unload_adapter(&self, adapter: &AdapterVersion, fence: u64) -> Result<()>;

    /// Requests the list of the adapters that the engine has loaded.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not respond or the list does not parse.
    async fn list_adapters(&self) -> Result<Vec<AdapterVersion>>;

    /// Sends a request and returns the stream of its response.
    ///
    /// # Errors
    ///
    /// Fails when the server rejects the request or does not respond.
    async fn send(&self, req: BackendRequest) -> Result<ResponseStream>;
}
